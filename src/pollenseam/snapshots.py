"""Transfer of snapshots between replicas, in chunks.

Chunks travel among the other messages of the quorum log. The receiver answers
each with the offset that it has reached, so a transfer that is begun again goes
on where it stopped, as long as the leader and its snapshot are the same.
"""

import asyncio
from collections.abc import Callable

from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import messages
from pollenseam import quorumlog
from pollenseam import replica

CHUNK_BYTES = 256 * 1024
CHUNK_TIMEOUT_SECONDS = 3.0
# Delay before the snapshot is read again after an error.
READ_RETRY_SECONDS = 0.5

Responses = asyncio.Queue[messages.InstallResponse]


class Sender:
    """Sends the leader's snapshot to replicas that need it.

    Attributes:
        replica: Consensus core of the replica that sends.
        journal: Journal that contains the snapshot.
        enqueue: Queues messages to other replicas.
        on_done: Called when a transfer has ended successfully.
        log: Event log.
        now: Returns the time in seconds.
    """

    def __init__(
        self,
        core: replica.Replica,
        storage: journal.Journal,
        enqueue: Callable[[list[quorumlog.Outbound]], None],
        on_done: Callable[[], None],
        log: events.EventLog,
        now: Callable[[], float],
    ) -> None:
        self.replica = core
        self.journal = storage
        self.enqueue = enqueue
        self.on_done = on_done
        self.log = log
        self.now = now
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._responses: dict[str, Responses] = {}

    def start(self, receiver: str) -> None:
        """Starts a transfer, unless one to the receiver is in progress."""
        current = self._tasks.get(receiver)
        if current is None or current.done():
            task = asyncio.create_task(self._send(receiver))
            self._tasks[receiver] = task

    def receive(self, response: messages.InstallResponse) -> None:
        """Passes a response on to the transfer that waits for it."""
        responses = self._responses.get(response.follower)
        if responses is not None:
            responses.put_nowait(response)

    def cancel(self) -> None:
        """Cancels all transfers."""
        for task in self._tasks.values():
            task.cancel()

    async def _send(self, receiver: str) -> None:
        try:
            header, data = await asyncio.to_thread(self.journal.read_snapshot)
        except (OSError, errors.DamagedError) as error:
            self.log.emit("snapshot-unreadable", reason=str(error))
            await asyncio.sleep(READ_RETRY_SECONDS)
            self.replica.mark_snapshot_failed(receiver)
            return
        responses: Responses = asyncio.Queue()
        self._responses[receiver] = responses
        try:
            if header is not None and await self._send_chunks(
                receiver, header, data, responses
            ):
                self.replica.mark_snapshot_sent(
                    receiver, header.index, self.now()
                )
                self.on_done()
                self.log.emit(
                    "snapshot-sent", replica=receiver, index=header.index
                )
                return
        finally:
            del self._responses[receiver]
        self.replica.mark_snapshot_failed(receiver)

    async def _send_chunks(
        self,
        receiver: str,
        header: journal.SnapshotHeader,
        data: bytes,
        responses: Responses,
    ) -> bool:
        offset = 0
        while self.replica.role == replica.LEADER:
            chunk = self._chunk(header, data, offset)
            self.enqueue([quorumlog.Outbound(receiver, chunk)])
            try:
                async with asyncio.timeout(CHUNK_TIMEOUT_SECONDS):
                    response = await responses.get()
            except TimeoutError:
                return False
            if response.index == header.index:
                offset = response.offset
            if offset >= len(data):
                return True
        return False

    def _chunk(
        self, header: journal.SnapshotHeader, data: bytes, offset: int
    ) -> messages.InstallSnapshot:
        core = self.replica
        return messages.InstallSnapshot(
            core.hard_state.term,
            core.id,
            header.index,
            header.term,
            header.members,
            offset,
            len(data),
            data[offset : offset + CHUNK_BYTES],
            self.now(),
        )


class Incoming:
    """A snapshot that a replica is receiving.

    Attributes:
        leader: Id of the leader that sends it, or "" for none.
        index: Index of the last entry that the snapshot covers.
        data: The chunks received so far.
    """

    __slots__ = ("leader", "index", "data")

    def __init__(self, leader: str, index: int) -> None:
        self.leader = leader
        self.index = index
        self.data = bytearray()

    def includes(self, chunk: messages.InstallSnapshot) -> bool:
        """Returns whether a chunk is a part of this snapshot."""
        return (self.leader, self.index) == (chunk.leader, chunk.index)

    def add(self, chunk: messages.InstallSnapshot) -> None:
        """Appends a chunk if it is the next one."""
        if chunk.offset == len(self.data):
            self.data += chunk.data
