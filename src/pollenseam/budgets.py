"""The bytes that a process may hold for callers, and who is ended for room."""

import collections
import enum
from collections.abc import Iterator

# A holder that moves fewer than PROGRESS_BYTES in STALL_SECONDS is stalled.
STALL_SECONDS = 1.0
PROGRESS_BYTES = 64 * 1024
# Small holders are ended last, and small holdings always find room.
SMALL_BYTES = 64 * 1024
# Part of the budget that the callers of one address may use under pressure.
ADDRESS_SHARE = 0.5


class Phase(enum.Enum):
    """What a connection does with the bytes that it holds.

    A request is only refused while RECEIVING: then no upstream has it. While
    WRITING, a reply is cut if the caller doesn't read it; while SERVING,
    nothing is, unless the caller sends more behind the request (CROWDING).
    """

    RECEIVING = "receiving"
    WRITING = "writing"
    SERVING = "serving"
    CROWDING = "crowding"


class Holder:
    """What is held for one connection.

    Attributes:
        address: IP address of the caller.
        began_at: Time in seconds at which the holder began to hold bytes.
        progress_at: Time in seconds of its last progress.
        held_bytes: Bytes held.
        moved_bytes: Bytes moved since `progress_at`.
        phase: What the connection does with these bytes.
        is_ending: Whether the holder is about to release its bytes.
    """

    __slots__ = (
        "address",
        "began_at",
        "progress_at",
        "held_bytes",
        "moved_bytes",
        "phase",
        "is_ending",
    )

    def __init__(self, address: str, now: float) -> None:
        self.address = address
        self.began_at = now
        self.progress_at = now
        self.held_bytes = 0
        self.moved_bytes = 0
        self.phase = Phase.RECEIVING
        self.is_ending = False

    def enter(self, phase: Phase, now: float) -> None:
        """Records the phase; a new one begins with progress."""
        if phase is not self.phase:
            self.phase = phase
            self.progress_at = now
            self.moved_bytes = 0

    def may_end(self, now: float) -> bool:
        """Returns whether the holder may be ended for room."""
        if self.is_ending or self.phase is Phase.SERVING:
            return False
        return self.phase is not Phase.WRITING or self.is_stalled(now)

    def record_moved(self, size: int, now: float) -> None:
        """Records that bytes arrived or left."""
        self.moved_bytes += size
        if self.moved_bytes >= PROGRESS_BYTES:
            self.moved_bytes = 0
            self.progress_at = now

    def is_stalled(self, now: float) -> bool:
        """Returns whether the holder has made no progress for a while."""
        return now - self.progress_at >= STALL_SECONDS


class Budget:
    """The holders of a process, and the bytes of replies being received.

    Attributes:
        max_bytes: Bytes that may be held together.
        total_bytes: Bytes held, replies included.
        ending_bytes: Bytes of holders that are about to release them.
        reply_bytes: Bytes of replies being received.
        holders: All holders.
        bytes_by_address: Bytes held by the callers of each address.
    """

    __slots__ = (
        "max_bytes",
        "total_bytes",
        "ending_bytes",
        "reply_bytes",
        "holders",
        "bytes_by_address",
    )

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.ending_bytes = 0
        self.reply_bytes = 0
        self.holders: set[Holder] = set()
        self.bytes_by_address: collections.Counter[str] = collections.Counter()

    @property
    def excess_bytes(self) -> int:
        """Bytes above the budget that nobody is about to release."""
        return self.total_bytes - self.ending_bytes - self.max_bytes

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Records what is held for a holder; nothing ends its account."""
        change = held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        self.total_bytes += change
        if holder.is_ending:
            self.ending_bytes += change
        self.bytes_by_address[holder.address] += change
        if held_bytes:
            self.holders.add(holder)
            return
        self.holders.discard(holder)
        if self.bytes_by_address[holder.address] <= 0:
            del self.bytes_by_address[holder.address]

    def add_reply(self, change: int) -> None:
        """Records bytes of replies that were received, or given on."""
        self.reply_bytes += change
        self.total_bytes += change

    def make_room(self, now: float) -> list[Holder]:
        """Returns the holders that are to be ended, which are marked so."""
        ended = []
        if self.excess_bytes > 0:
            for holder in self._in_order_of_ending(now):
                holder.is_ending = True
                self.ending_bytes += holder.held_bytes
                ended.append(holder)
                if self.excess_bytes <= 0:
                    break
        return ended

    def _in_order_of_ending(self, now: float) -> Iterator[Holder]:
        """Yields holders: stalled ones, those of a greedy address, new ones.

        The newest go first, so that those that came before them can finish.
        """
        share = self.max_bytes * ADDRESS_SHARE

        def rank(holder: Holder) -> tuple[bool, bool, bool, bool, float]:
            is_stalled = holder.is_stalled(now)
            is_greedy = self.bytes_by_address[holder.address] > share
            age = holder.progress_at if is_stalled else -holder.began_at
            is_small = holder.held_bytes <= SMALL_BYTES
            is_crowding = holder.phase is Phase.CROWDING
            return is_crowding, is_small, not is_stalled, not is_greedy, age

        yield from sorted(
            (holder for holder in self.holders if holder.may_end(now)), key=rank
        )
