"""Orders that start and end evacuations, and which of them come too late."""

from pollenseam import commands


class Orders:
    """The orders that the leader has appended in its term.

    An order states up to which index of the log its VM had applied when it
    arrived. One that was appended later is newer: had the caller still been
    waiting for the first, it would not have sent the other. Orders that change
    nothing count as well.

    Attributes:
        term_start: Index of the first entry of the leader's term. Of earlier
            orders only this is known, that their indices are lower.
        indices: Index of the latest order by failure domain.
    """

    __slots__ = ("term_start", "indices")

    def __init__(self) -> None:
        self.term_start = 0
        self.indices: dict[str, int] = {}

    def is_late(self, order: commands.SetEvacuation, term_start: int) -> bool:
        """Returns whether a newer order for the failure domain may exist.

        Orders of VMs of an earlier build do not say when they arrived; they
        are never late.

        Args:
            order: The order, before it is appended.
            term_start: Index of the first entry of the leader's term.
        """
        if term_start != self.term_start:
            self.term_start = term_start
            self.indices = {}
        if order.arrived_index == commands.NO_INDEX:
            return False
        latest = self.indices.get(order.failure_domain, term_start - 1)
        return order.arrived_index < latest

    def record(self, order: commands.SetEvacuation, index: int) -> None:
        """Records that an order was appended at an index of the log."""
        self.indices[order.failure_domain] = index
