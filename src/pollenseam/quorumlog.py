"""The kept entries of the quorum log, and what a replica has ready."""

from pollenseam import messages


class HardState:
    """What must be synced before any message that depends on it is sent."""

    __slots__ = ("term", "vote")

    def __init__(self, term: int = 0, vote: str = "") -> None:
        self.term = term
        self.vote = vote

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, HardState):
            return NotImplemented
        return (self.term, self.vote) == (other.term, other.vote)


class Outbound:
    """A message and the replica id that it goes to."""

    __slots__ = ("receiver", "message")

    def __init__(self, receiver: str, message: messages.AnyMessage) -> None:
        self.receiver = receiver
        self.message = message


class Ready:
    """What the shell has to carry out, in this order.

    Attributes:
        early: Messages that may be sent before the sync.
        hard_state: Term and vote to sync, or None when unchanged.
        entries: Entries to append and sync; the first one's index may lie
            below the end of the log, which is then cut first.
        messages: Messages to send after the sync.
        committed: Entries to apply.
        snapshots: Replica ids that need a snapshot.
    """

    __slots__ = (
        "messages_before_sync",
        "hard_state",
        "entries",
        "messages",
        "committed_entries",
        "snapshot_receivers",
    )

    def __init__(self) -> None:
        self.messages_before_sync: list[Outbound] = []
        self.hard_state: HardState | None = None
        self.entries: list[messages.Entry] = []
        self.messages: list[Outbound] = []
        self.committed_entries: list[messages.Entry] = []
        self.snapshot_receivers: list[str] = []

    def __bool__(self) -> bool:
        return bool(
            self.messages_before_sync
            or self.hard_state
            or self.entries
            or self.messages
            or self.committed_entries
            or self.snapshot_receivers
        )


class Progress:
    """What the leader knows of another replica.

    Attributes:
        match: Last index known to be synced there.
        next: Next index to send.
        confirmed_at: Leader's time at which the last answered message was
            sent.
        snapshot_index: Index of the snapshot under way, or 0.
    """

    __slots__ = ("match_index", "next_index", "confirmed_at", "snapshot_index")

    def __init__(self, next_index: int, confirmed_at: float) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.confirmed_at = confirmed_at
        self.snapshot_index = 0


class Log:
    """The entries that are kept, after the last snapshot.

    Attributes:
        base_index: Index of the snapshot.
        base_term: Term of the entry at that index.
        entries: Entries from base_index + 1 on.
    """

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(
        self,
        base_index: int = 0,
        base_term: int = 0,
        entries: list[messages.Entry] | None = None,
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = entries or []

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at `index`, or None when it is not kept."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def slice(self, start: int, stop: int) -> list[messages.Entry]:
        """Returns the entries from `start` up to, not including, `stop`."""
        base = self.base_index + 1
        return self.entries[max(start - base, 0) : max(stop - base, 0)]

    def truncate(self, index: int) -> None:
        """Drops the entries from `index` on."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drops the entries up to `index`, which a snapshot now holds."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
