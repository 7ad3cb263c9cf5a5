"""Sends a replica's messages to the other replicas, by one stream to each.

The streams to a majority of the voters are open before they are needed: an
election would otherwise wait for connections between replicas that never spoke
to each other, while more and more of them stand. Both ways of a pair are, as
a vote returns by the voter's own stream.
"""

import asyncio
from collections.abc import AsyncIterator

from pollenseam import errors
from pollenseam import events
from pollenseam import messages
from pollenseam import peers
from pollenseam import quorumlog
from pollenseam import replica

MAX_BATCH_MESSAGES = 64
MAX_QUEUED_MESSAGES = 1024
RECONNECT_DELAY_SECONDS = 0.05
# The same while there is nothing to send.
IDLE_RECONNECT_DELAY_SECONDS = 1.0
# Streams that are open beyond those to a majority, as some voters may be down.
SPARE_STREAMS = 2


class Outbox:
    """Queues of messages to the other replicas, and the tasks that send them.

    Attributes:
        replica: Consensus core of the replica that sends.
        own_address: Its address for other VMs.
        peers: Client for calls to other VMs.
        log: Event log.
        reported_addresses: Addresses that other replicas gave as their own,
            by id.
    """

    def __init__(
        self,
        core: replica.Replica,
        own_address: str,
        peer_client: peers.Client,
        log: events.EventLog,
    ) -> None:
        self.replica = core
        self.own_address = own_address
        self.peers = peer_client
        self.log = log
        self.reported_addresses: dict[str, str] = {}
        self._queues: dict[str, asyncio.Queue[messages.AnyMessage]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._connected_members: messages.Members | None = None

    def enqueue(self, outbound: list[quorumlog.Outbound]) -> None:
        """Queues messages; drops the oldest ones of a queue that is full."""
        for outgoing in outbound:
            queue = self._get_queue(outgoing.receiver)
            if queue.full():
                # The oldest message is the most likely to be out of date.
                queue.get_nowait()
            queue.put_nowait(outgoing.message)

    def connect(self) -> None:
        """Opens streams to a majority of the voters, if they are not open."""
        if self._connected_members is self.replica.members:
            return
        self._connected_members = self.replica.members
        for id in neighbours(self.replica.members, self.replica.id):
            self._get_queue(id)

    def cancel(self) -> None:
        """Stops to send."""
        for task in self._tasks.values():
            task.cancel()

    def _get_queue(self, id: str) -> "asyncio.Queue[messages.AnyMessage]":
        queue = self._queues.get(id)
        if queue is None:
            queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._queues[id] = queue
            task = asyncio.create_task(self._send_to(id, queue))
            self._tasks[id] = task
        return queue

    async def _send_to(
        self, id: str, queue: "asyncio.Queue[messages.AnyMessage]"
    ) -> None:
        while True:
            address = self._find_address(id)
            if not address:
                await queue.get()
                continue
            try:
                await self.peers.stream(
                    address, peers.DELIVER, self._batches(id, address, queue)
                )
            except errors.UnreachableError:
                pass
            except Exception as error:
                # Without this task the other replica would get nothing more.
                self.log.emit_often(
                    "sending-failed", replica=id, reason=repr(error)
                )
            await self._pause(queue)

    async def _pause(self, queue: "asyncio.Queue[messages.AnyMessage]") -> None:
        """Waits before a stream is opened again, longer if it is not needed."""
        waited_seconds = 0.0
        while waited_seconds < IDLE_RECONNECT_DELAY_SECONDS:
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)
            waited_seconds += RECONNECT_DELAY_SECONDS
            if not queue.empty():
                return

    async def _batches(
        self,
        id: str,
        address: str,
        queue: "asyncio.Queue[messages.AnyMessage]",
    ) -> AsyncIterator[messages.Batch]:
        """Yields queued messages until the receiver's address changes."""
        while self._find_address(id) == address:
            batch = [await queue.get()]
            while len(batch) < MAX_BATCH_MESSAGES and not queue.empty():
                batch.append(queue.get_nowait())
            yield messages.Batch(
                self.replica.id, self.own_address, id, 0, batch
            )

    def _find_address(self, id: str) -> str:
        # A candidate or leader may belong to a configuration that this replica
        # does not have yet.
        return self.replica.address(id) or self.reported_addresses.get(id, "")


def neighbours(members: messages.Members, id: str) -> list[str]:
    """Returns the voters to which a replica keeps streams open, by their ids.

    They are as many before as after it in the order of the ids, which is taken
    as a ring: two voters are neighbours of each other or neither is. With the
    replica they are a majority, and SPARE_STREAMS more.

    Args:
        members: The configuration.
        id: Id of the replica. The result is empty unless it is a voter.
    """
    ids = sorted(members.voters)
    if id not in members.voters:
        return []
    position = ids.index(id)
    others = ids[position + 1 :] + ids[:position]
    # Of an odd number one more is taken.
    reach = (len(ids) // 2 + SPARE_STREAMS + 1) // 2
    return list(dict.fromkeys([*others[:reach], *others[-reach:]]))
