"""Data types of the quorum log: its entries, hard state and pending work."""

from pollenseam import messages


class HardState:
    """Term and vote, to be synced before messages that depend on them.

    Attributes:
        term: Current term.
        vote: Id of the replica voted for in this term, or "".
    """

    __slots__ = ("term", "vote")

    def __init__(self, term: int = 0, vote: str = "") -> None:
        self.term = term
        self.vote = vote

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, HardState):
            return NotImplemented
        return (self.term, self.vote) == (other.term, other.vote)


class Outbound:
    """A message to send.

    Attributes:
        receiver: Id of the replica that the message goes to.
        message: The message.
    """

    __slots__ = ("receiver", "message")

    def __init__(self, receiver: str, message: messages.AnyMessage) -> None:
        self.receiver = receiver
        self.message = message


class Ready:
    """Work that a replica's caller has to carry out, in this order.

    Attributes:
        messages_before_sync: Messages that may be sent before the sync.
        hard_state: Term and vote to sync, or None when unchanged.
        entries: Entries to append and sync. They replace all entries of the
            log on disk from the first one's index on.
        messages: Messages to send after the sync.
        committed_entries: Entries to apply to the state machine.
        snapshot_receivers: Ids of replicas to send a snapshot to.
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
    """The leader's replication state of another replica.

    Attributes:
        match_index: Last index known to be synced on that replica.
        next_index: Index of the next entry to send.
        confirmed_at: Leader's time, in seconds, at which it sent the latest
            message that the replica has answered.
        snapshot_index: Index of the snapshot being sent, or 0.
    """

    __slots__ = ("match_index", "next_index", "confirmed_at", "snapshot_index")

    def __init__(self, next_index: int, confirmed_at: float) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.confirmed_at = confirmed_at
        self.snapshot_index = 0


class Log:
    """The log entries after the last snapshot.

    Attributes:
        base_index: Index of the last entry that the snapshot covers.
        base_term: Term of that entry.
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
        """Index of the last entry, or of the snapshot when there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot when there is none."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of the entry at `index`; None if not in the log."""
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
        """Drops the entries up to `index`, which a snapshot covers.

        Does nothing when `index` is not after the last snapshot or not in the
        log.
        """
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
