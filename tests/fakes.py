"""Fake network, disks and clock for replicas of the quorum log."""

import copy
import random

from pollenseam import messages
from pollenseam import quorumlog
from pollenseam import replica


class Disk:
    """The synced state of one replica.

    Attributes:
        hard_state: Synced term and vote.
        log: Synced entries after the snapshot.
        members: Configuration at the snapshot, or the initial one.
    """

    def __init__(self) -> None:
        self.hard_state = quorumlog.HardState()
        self.log = quorumlog.Log()
        self.members = messages.Members({})

    def write(self, ready: quorumlog.Ready) -> None:
        if ready.hard_state is not None:
            self.hard_state = copy.copy(ready.hard_state)
        for entry in ready.entries:
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
            assert entry.index == self.log.last_index + 1
            self.log.entries.append(entry)


class Node:
    """A replica with its disk.

    Attributes:
        id: Replica id.
        disk: The disk, which outlives a crash.
        core: The running replica, or None after a crash.
        is_paused: Whether the node neither runs nor receives messages.
        starts: Number of starts, used as the seed of time-outs.
    """

    def __init__(self, id: str, members: messages.Members) -> None:
        self.id = id
        self.disk = Disk()
        self.disk.members = members
        self.core: replica.Replica | None = None
        self.is_paused = False
        self.starts = 0

    def start(self, now: float) -> None:
        self.starts += 1
        log = quorumlog.Log(
            self.disk.log.base_index,
            self.disk.log.base_term,
            list(self.disk.log.entries),
        )
        self.core = replica.create_replica(
            self.id,
            copy.copy(self.disk.hard_state),
            log,
            self.disk.members,
            now,
            seed=self.starts,
        )


class Cluster:
    """Nodes, the messages between them, and the invariants of Raft.

    Attributes:
        now: Time in seconds, the same on all nodes.
        nodes: Nodes by replica id.
        in_flight: Messages sent and not delivered, as (sender, receiver,
            message).
        blocked_links: Links that lose all messages, as (sender, receiver).
        applied_entries: The entry applied at each index by any node.
        leaders: The leader of each term.
        applied_history: For each check of a confirmed leader, the time and
            the index that it had applied.
        proposal_count: Number of proposals, also the next command.
    """

    def __init__(self, ids: list[str], seed: int = 0) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        members = messages.Members({id: f"at-{id}" for id in ids})
        self.nodes = {id: Node(id, members) for id in ids}
        self.in_flight: list[tuple[str, str, messages.AnyMessage]] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.applied_entries: dict[int, messages.Entry] = {}
        self.leaders: dict[int, str] = {}
        self.applied_history: list[tuple[float, int]] = []
        self.proposal_count = 0
        for node in self.nodes.values():
            node.start(self.now)

    # Events.

    def running_nodes(self) -> list[Node]:
        return [
            node
            for node in self.nodes.values()
            if node.core is not None and not node.is_paused
        ]

    def tick(self, id: str) -> None:
        node = self.nodes[id]
        if node.core is not None and not node.is_paused:
            node.core.tick(self.now)

    def process_ready(self, id: str, crash: str = "") -> None:
        """Carries out what a node has ready.

        Args:
            id: Replica id of the node.
            crash: "before-sync" or "after-sync" to crash the node at that
                point, or "".
        """
        node = self.nodes[id]
        if node.core is None or node.is_paused:
            return
        ready = node.core.take_ready()
        self._send(node, ready.messages_before_sync)
        if crash == "before-sync":
            self.crash(id)
            return
        node.disk.write(ready)
        if crash == "after-sync":
            self.crash(id)
            return
        if ready.entries:
            last = ready.entries[-1]
            node.core.mark_synced(last.index, last.term)
        self._send(node, ready.messages)
        for entry in ready.committed_entries:
            self._apply(node, entry)
        for receiver in ready.snapshot_receivers:
            self._send_snapshot(node, receiver)
        self.check_invariants(node)

    def _send(self, node: Node, outbound: list[quorumlog.Outbound]) -> None:
        for outgoing in outbound:
            if (node.id, outgoing.receiver) not in self.blocked_links:
                self.in_flight.append(
                    (node.id, outgoing.receiver, outgoing.message)
                )

    def _apply(self, node: Node, entry: messages.Entry) -> None:
        first = self.applied_entries.setdefault(entry.index, entry)
        assert first == entry, f"{node.id} applied another entry"

    def _send_snapshot(self, node: Node, receiver: str) -> None:
        """Transfers a snapshot at once, where `replicarunner` sends chunks."""
        other = self.nodes.get(receiver)
        core = node.core
        assert core is not None
        is_blocked = (node.id, receiver) in self.blocked_links
        if other is None or other.core is None or other.is_paused or is_blocked:
            core.mark_snapshot_failed(receiver)
            return
        log = core.log
        chunk = messages.InstallSnapshot(
            core.hard_state.term,
            core.id,
            log.base_index,
            log.base_term,
            core.base_members,
            0,
            0,
            b"",
            self.now,
        )
        other.core.receive(chunk, self.now)
        is_current = other.core.hard_state.term == chunk.term
        if is_current and chunk.index > other.core.commit_index:
            self._restore(other, chunk)
        core.mark_snapshot_sent(receiver, chunk.index, self.now)

    def _restore(self, node: Node, chunk: messages.InstallSnapshot) -> None:
        assert node.core is not None
        kept: list[messages.Entry] = []
        if node.disk.log.term_at(chunk.index) == chunk.last_term:
            kept = node.disk.log.slice(
                chunk.index + 1, node.disk.log.last_index + 1
            )
        node.disk.log = quorumlog.Log(chunk.index, chunk.last_term, kept)
        node.disk.members = chunk.members
        node.core.restore(chunk.index, chunk.last_term, chunk.members)

    def deliver(self, position: int, is_kept: bool = False) -> None:
        """Delivers one message in flight.

        Args:
            position: Position of the message, modulo the number in flight.
            is_kept: Whether the message stays in flight, to be delivered
                again.
        """
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        sender, receiver, message = self.in_flight[position]
        if not is_kept:
            del self.in_flight[position]
        node = self.nodes.get(receiver)
        is_blocked = (sender, receiver) in self.blocked_links
        if node is None or node.core is None or node.is_paused or is_blocked:
            return
        node.core.receive(message, self.now)

    def propose(self, id: str) -> None:
        node = self.nodes[id]
        if node.core is None or node.is_paused:
            return
        self.proposal_count += 1
        if node.core.propose(b"%d" % self.proposal_count, self.now) is not None:
            node.core.flush(self.now)

    def crash(self, id: str) -> None:
        self.nodes[id].core = None

    def restart(self, id: str) -> None:
        if self.nodes[id].core is None:
            self.nodes[id].start(self.now)

    def compact(self, id: str) -> None:
        node = self.nodes[id]
        if (
            node.core is None
            or node.core.applied_index == node.core.log.base_index
        ):
            return
        index = node.core.applied_index
        members = node.core.members_at(index)
        if node.disk.log.term_at(index) is None:
            return
        node.core.compact(index)
        node.disk.log.compact(index)
        node.disk.members = members

    # Invariants.

    def check_invariants(self, node: Node) -> None:
        core = node.core
        if core is None or core.role != replica.LEADER:
            return
        first = self.leaders.setdefault(core.hard_state.term, node.id)
        assert first == node.id, f"two leaders in term {core.hard_state.term}"
        if not core.is_ready_leader or core.applied_index < core.term_start:
            return
        # A leader must have applied all that any leader had applied before the
        # time as of which this leader calls its state current.
        confirmed = core.confirmed_at(self.now)
        for at, index in self.applied_history:
            if at < confirmed:
                assert (
                    core.applied_index >= index
                ), "a stale leader confirmed its state"
        self.applied_history.append((self.now, core.applied_index))

    def leader(self) -> Node | None:
        found = [
            node
            for node in self.running_nodes()
            if node.core is not None
            and node.core.is_ready_leader
            and self.now - node.core.confirmed_at(self.now) < 0.5
        ]
        return found[0] if found else None

    def step(self) -> None:
        """Lets 0.05 s pass and delivers the messages in flight in order."""
        self.now += 0.05
        for id in self.nodes:
            self.tick(id)
            self.process_ready(id)
        for _ in range(len(self.in_flight)):
            self.deliver(0)

    def heal_and_run(self, seconds: float = 8.0) -> None:
        """Unblocks and restarts everything, then runs without faults.

        Args:
            seconds: Simulated time to run.
        """
        self.blocked_links.clear()
        for node in self.nodes.values():
            node.is_paused = False
            self.restart(node.id)
        deadline = self.now + seconds
        while self.now < deadline:
            self.now += 0.05
            for id in self.nodes:
                self.tick(id)
            for _ in range(4):
                for id in self.nodes:
                    self.process_ready(id)
                for _ in range(len(self.in_flight)):
                    self.deliver(0)
