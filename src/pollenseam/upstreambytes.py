"""Bytes of request bodies that are in flight to each upstream."""

DEFAULT_MAX_BYTES = 128 * 1024 * 1024


class UpstreamBytes:
    """Bodies in flight, by upstream; an upstream fails if it holds too many.

    Attributes:
        max_bytes: Most bytes in flight to one upstream. A body is admitted
            whatever its size if no other is in flight to that upstream.
        in_flight: Bytes in flight, by upstream id.
        refused: Number of bodies that were not admitted.
    """

    __slots__ = ("max_bytes", "in_flight", "refused")

    def __init__(self, max_bytes: float = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.in_flight: dict[str, int] = {}
        self.refused = 0

    def begin(self, upstream: str, size: int) -> bool:
        """Counts a body and returns True if it may be sent to an upstream."""
        held_bytes = self.in_flight.get(upstream, 0)
        if held_bytes and held_bytes + size > self.max_bytes:
            self.refused += 1
            return False
        self.in_flight[upstream] = held_bytes + size
        return True

    def end(self, upstream: str, size: int) -> None:
        """Ends the count of a body for which `begin` returned True."""
        held_bytes = self.in_flight.pop(upstream) - size
        if held_bytes:
            self.in_flight[upstream] = held_bytes
