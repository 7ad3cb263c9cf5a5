"""A small fake network and fake disks for replicas of the quorum log."""

import copy
import random

from pollenseam import messages
from pollenseam import quorumlog
from pollenseam import replica


class Disk:
    """What one replica has synced."""

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
    """A replica, its disk and the commands it applied."""

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
    """Nodes, messages under way, and what must hold over all of them."""

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
        """Carries out what a node has ready, crashing at a point if asked."""
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
        for one in outbound:
            if (node.id, one.receiver) not in self.blocked_links:
                self.in_flight.append((node.id, one.receiver, one.message))

    def _apply(self, node: Node, entry: messages.Entry) -> None:
        known = self.applied_entries.setdefault(entry.index, entry)
        assert known == entry, f"{node.id} applied another entry"

    def _send_snapshot(self, node: Node, receiver: str) -> None:
        """Hands a snapshot over whole, as the shell's chunks would."""
        other = self.nodes.get(receiver)
        core = node.core
        assert core is not None
        blocked = (node.id, receiver) in self.blocked_links
        if other is None or other.core is None or other.is_paused or blocked:
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
        current = other.core.hard_state.term == chunk.term
        if current and chunk.index > other.core.commit_index:
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

    def deliver(self, place: int, again: bool = False) -> None:
        """Delivers one message under way, in any order, maybe twice."""
        if not self.in_flight:
            return
        place %= len(self.in_flight)
        sender, receiver, message = self.in_flight[place]
        if not again:
            del self.in_flight[place]
        node = self.nodes.get(receiver)
        cut = (sender, receiver) in self.blocked_links
        if node is None or node.core is None or node.is_paused or cut:
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

    # What must hold.

    def check_invariants(self, node: Node) -> None:
        core = node.core
        if core is None or core.role != replica.LEADER:
            return
        known = self.leaders.setdefault(core.hard_state.term, node.id)
        assert known == node.id, f"two leaders in term {core.hard_state.term}"
        if not core.is_ready_leader or core.applied_index < core.term_start:
            return
        # What a leader believes current must include all that was applied
        # anywhere before the time that it gives.
        confirmed = core.confirmed_at(self.now)
        for at, index in self.applied_history:
            if at < confirmed:
                assert (
                    core.applied_index >= index
                ), "a stale leader believes itself"
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
        """Lets 0.05 s pass and delivers in order what is under way."""
        self.now += 0.05
        for id in self.nodes:
            self.tick(id)
            self.process_ready(id)
        for _ in range(len(self.in_flight)):
            self.deliver(0)

    def heal_and_run(self, seconds: float = 8.0) -> None:
        """Heals everything and runs in order until a leader is steady."""
        self.blocked_links.clear()
        for node in self.nodes.values():
            node.is_paused = False
            self.restart(node.id)
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for id in self.nodes:
                self.tick(id)
            for _ in range(4):
                for id in self.nodes:
                    self.process_ready(id)
                for _ in range(len(self.in_flight)):
                    self.deliver(0)
