"""A control replica's shell: carries out what the quorum log decides."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable

from pollenseam import commands
from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import leases
from pollenseam import lending
from pollenseam import messages
from pollenseam import peers
from pollenseam import quorumlog
from pollenseam import replica
from pollenseam import state

SNAPSHOT_ENTRIES = 8192
CHUNK_BYTES = 256 * 1024
MAX_BATCH_MESSAGES = 64
MAX_QUEUED_MESSAGES = 1024
RECONNECT_SECONDS = 0.05
CHUNK_TIMEOUT_SECONDS = 3.0
MAX_PENDING_PROPOSALS = 10_000

Clock = Callable[[], float]


class Proposal:
    """A command on its way through the log.

    Attributes:
        command: Encoded command.
        members: New configuration instead of a command, or None.
        term: Term in which it was appended; 0 before.
        future: Gets the outcome.
    """

    __slots__ = ("command", "members", "term", "future")

    def __init__(
        self,
        command: bytes,
        future: "asyncio.Future[commands.Outcome]",
        members: messages.Members | None = None,
    ) -> None:
        self.command = command
        self.members = members
        self.term = 0
        self.future = future


class Assembly:
    """A snapshot that arrives in chunks."""

    __slots__ = ("leader", "index", "data")

    def __init__(self, leader: str, index: int) -> None:
        self.leader = leader
        self.index = index
        self.data = bytearray()


class Control:
    """Runs one replica.

    Attributes:
        replica: The replica's decisions.
        state: The state machine.
        journal: The data folder.
        lending: Leases that this replica gives out while it leads.
        failed: Why the replica stopped, or "".
        addresses: Where replicas said that they are, by id.
        on_applied: Called whenever the state machine moved on.
    """

    def __init__(
        self,
        core: replica.Replica,
        machine: state.State,
        folder: journal.Journal,
        caller: peers.Peers,
        log: events.EventLog,
        now: Clock,
        root_digest: str,
        own_address: str,
    ) -> None:
        self.own_address = own_address
        self.replica = core
        self.state = machine
        self.journal = folder
        self.peers = caller
        self.log = log
        self.now = now
        self.root_digest = root_digest
        self.failed = ""
        self.lending = lending.Lending(leases.Lender(0.0))
        self.on_applied: Callable[[], None] = _do_nothing
        self._inbox: collections.deque[messages.AnyMessage] = (
            collections.deque()
        )
        self._proposals: list[Proposal] = []
        self._pending: dict[int, Proposal] = {}
        self._queues: dict[str, asyncio.Queue[messages.AnyMessage]] = {}
        self._senders: dict[str, asyncio.Task[None]] = {}
        self._snapshots: dict[str, asyncio.Task[None]] = {}
        self._snapshot_answers: dict[
            str, asyncio.Queue[messages.InstallAnswer]
        ] = {}
        self._assembly: Assembly | None = None
        self._wake = asyncio.Event()
        self._confirmed = asyncio.Event()
        self._was = ("", 0, "")
        self._snapshot_index = core.log.base_index
        self.addresses: dict[str, str] = {}

    # Questions.

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has committed in its term."""
        return not self.failed and self.replica.is_ready_leader

    @property
    def leader_address(self) -> str:
        """Address of the leader, or "" when not known."""
        core = self.replica
        return core.address(core.leader) if core.leader else ""

    @property
    def is_member(self) -> bool:
        """Whether this replica is in the configuration that it knows."""
        members = self.replica.members
        known = members.voters.keys() | members.learners.keys()
        return not self.failed and self.replica.id in known

    def replicas(self) -> list[messages.ReplicaRecord]:
        """Returns all replicas of the configuration as this one sees them."""
        core = self.replica
        found = []
        for role, group in (
            ("voter", core.members.voters),
            ("learner", core.members.learners),
        ):
            for id, address in sorted(group.items()):
                progress = core.progress.get(id)
                match = progress.match if progress is not None else -1
                name = "leader" if id == core.leader else role
                found.append(messages.ReplicaRecord(id, address, name, match))
        return found

    def confirmed_at(self) -> float | None:
        """Returns the time as of which the applied state is current.

        None unless this replica leads and has applied its first entry.
        """
        core = self.replica
        if not self.is_leader or core.applied < core.term_start:
            return None
        if self.state.index < core.term_start:
            return None
        return core.confirmed_at(self.now())

    def clock_ms(self) -> int:
        """Returns the state clock moved on to now; on the leader only."""
        elapsed = self.now() - self.replica.entry_at
        return self.state.clock_ms + int(max(0.0, elapsed) * 1000)

    # Calls of other parts.

    def deliver(self, batch: messages.Batch) -> None:
        """Takes in another replica's messages."""
        if batch.receiver != self.replica.id or self.failed:
            return
        self.addresses[batch.sender] = batch.address
        self._inbox.extend(batch.messages)
        self._wake.set()

    def wake(self) -> None:
        """Lets the loop carry out what was decided outside of it."""
        self._wake.set()

    async def submit(self, command: commands.Command) -> commands.Outcome:
        """Carries a command through the log and returns its outcome.

        Raises:
            NotLeaderError: This replica does not lead, or stopped leading
                before the outcome was known.
        """
        return await self._propose(commands.encode(command), None)

    async def change_members(self, members: messages.Members) -> None:
        """Carries a configuration through the log.

        Raises:
            NotLeaderError: As for `submit`.
            RefusedError: Another change is under way.
        """
        outcome = await self._propose(b"", members)
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)

    async def _propose(
        self, command: bytes, members: messages.Members | None
    ) -> commands.Outcome:
        if not self.is_leader:
            raise errors.NotLeaderError("this replica does not lead")
        if len(self._pending) + len(self._proposals) > MAX_PENDING_PROPOSALS:
            raise errors.refuse(errors.Kind.NO_ROOM, "too many changes wait")
        future: asyncio.Future[commands.Outcome]
        future = asyncio.get_running_loop().create_future()
        self._proposals.append(Proposal(command, future, members))
        self._wake.set()
        return await future

    async def read_barrier(self, deadline: float) -> None:
        """Waits until reads on this replica are linearizable.

        Raises:
            NotLeaderError: It did not lead from now on until a majority
                confirmed so, or not before `deadline`.
        """
        started = self.now()
        while True:
            confirmed = self.confirmed_at()
            if confirmed is not None and confirmed >= started:
                return
            if not self.is_leader or self.now() >= deadline:
                raise errors.NotLeaderError("leadership is not confirmed")
            self._confirmed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(replica.HEARTBEAT_SECONDS):
                    await self._confirmed.wait()

    async def transfer(self) -> None:
        """Hands leadership over before a planned stop."""
        if not self.is_leader or not self.replica.transfer(self.now()):
            return
        self._wake.set()
        deadline = self.now() + replica.ELECTION_SECONDS
        while self.replica.role == replica.LEADER and self.now() < deadline:
            await asyncio.sleep(0.01)
        self.log.emit("leadership-handed-over", leader=self.replica.leader)

    # The loop.

    async def run(self) -> None:
        """Runs the replica until cancelled or until its disk fails."""
        try:
            while True:
                await self._wait()
                self._take_in()
                await self._carry_out(self.replica.take())
        except (OSError, errors.DamagedError) as error:
            self._fail(str(error))
        finally:
            for task in [*self._senders.values(), *self._snapshots.values()]:
                task.cancel()
            self.journal.close()

    def _fail(self, reason: str) -> None:
        self.failed = reason
        self.log.emit("replica-failed", reason=reason)
        self._drop_pending("the replica's disk failed")

    async def _wait(self) -> None:
        delay = self.replica.wake_at() - self.now()
        if delay > 0 and not self._wake.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await self._wake.wait()
        self._wake.clear()

    def _take_in(self) -> None:
        now = self.now()
        while self._inbox:
            message = self._inbox.popleft()
            self.replica.receive(message, now)
            if isinstance(message, messages.InstallAnswer):
                answers = self._snapshot_answers.get(message.follower)
                if answers is not None:
                    answers.put_nowait(message)
            elif isinstance(message, messages.Install):
                self._assemble(message)
        self.replica.tick(now)
        self._append_proposals(now)
        self._note_role(now)

    def _append_proposals(self, now: float) -> None:
        proposals = self._proposals
        self._proposals = []
        for proposal in proposals:
            entry = self._append_proposal(proposal, now)
            if entry is not None:
                proposal.term = entry.term
                self._pending[entry.index] = proposal
        if proposals:
            self.replica.flush(now)

    def _append_proposal(
        self, proposal: Proposal, now: float
    ) -> messages.Entry | None:
        if proposal.members is None:
            entry = self.replica.propose(proposal.command, now)
        else:
            entry = self.replica.change_members(proposal.members, now)
        if entry is not None or proposal.future.done():
            return entry
        if proposal.members is not None and self.is_leader:
            detail = "another change of the replicas is under way"
            outcome = commands.Outcome(errors.Kind.CONFLICT, detail)
            proposal.future.set_result(outcome)
        else:
            error = errors.NotLeaderError("this replica does not lead")
            proposal.future.set_exception(error)
        return None

    def _note_role(self, now: float) -> None:
        core = self.replica
        self._confirmed.set()
        current = (core.role, core.hard.term, core.leader)
        if current == self._was:
            return
        was_leader = self._was[0] == replica.LEADER
        self._was = current
        self.log.emit(
            "replica-role",
            replica=core.id,
            role=core.role,
            term=core.hard.term,
            leader=core.leader or None,
        )
        if core.role == replica.LEADER:
            self._start_leading(now)
        elif was_leader:
            self._drop_pending("leadership was lost")

    def _start_leading(self, now: float) -> None:
        # The leader before was confirmed by a majority, and one of it voted
        # here: no lease counts from later than that voter heard of it.
        heard_at = self.replica.quorum_heard_at
        ended = heard_at + leases.LEASE_SECONDS + leases.DRIFT_SECONDS
        if self.replica.log.last_index <= 2 and self.state.index == 0:
            # Nobody can hold a lease of a fleet that has just been founded.
            ended = now
        self.lending = lending.Lending(leases.Lender(ended))

    def _drop_pending(self, why: str) -> None:
        for proposal in [*self._pending.values(), *self._proposals]:
            if not proposal.future.done():
                proposal.future.set_exception(errors.NotLeaderError(why))
        self._pending.clear()
        self._proposals.clear()

    async def _carry_out(self, ready: quorumlog.Ready) -> None:
        self._dispatch(ready.early)
        if ready.hard_state is not None or ready.entries:
            await asyncio.to_thread(
                self.journal.append, ready.hard_state, ready.entries
            )
            if ready.entries:
                last = ready.entries[-1]
                self.replica.synced(last.index, last.term)
                self._wake.set()
        self._dispatch(ready.messages)
        for id in ready.snapshots:
            self._start_snapshot(id)
        if ready.committed:
            self._apply(ready.committed)
            self._wake.set()
            await self._compact()
        self._tend_members()

    def _apply(self, entries: list[messages.Entry]) -> None:
        for entry in entries:
            outcome = self._apply_one(entry)
            proposal = self._pending.pop(entry.index, None)
            if proposal is None or proposal.future.done():
                continue
            if proposal.term == entry.term:
                proposal.future.set_result(outcome)
            else:
                error = errors.NotLeaderError("another entry took its place")
                proposal.future.set_exception(error)
        self.on_applied()
        self._found()

    def _apply_one(self, entry: messages.Entry) -> commands.Outcome:
        command: commands.AnyCommand = commands.Advance()
        if entry.command:
            command = commands.decode(entry.command)
        return self.state.apply(entry.index, entry.elapsed_ms, command)

    def _found(self) -> None:
        missing = state.ROOT_OPERATOR not in self.state.tree.nodes
        if missing and self.root_digest and self.is_leader:
            command = commands.encode(commands.Found(self.root_digest))
            self.replica.propose(command, self.now())
            self.replica.flush(self.now())
            self._wake.set()

    async def _compact(self) -> None:
        index = self.state.index
        if index - self._snapshot_index < SNAPSHOT_ENTRIES:
            return
        await self.snapshot()

    async def snapshot(self) -> None:
        """Syncs a snapshot of the applied state and drops the log before."""
        core = self.replica
        index = self.state.index
        term = core.log.term(index)
        if term is None:
            return
        head = journal.SnapshotHead(index, term, core.members_at(index))
        data = self.state.dump()
        # Entries above synced_index are appended by a later record.
        rest = core.log.slice(index + 1, core.synced_index + 1)
        await asyncio.to_thread(self.journal.save_snapshot, head, data, rest)
        core.compact(index)
        self._snapshot_index = index
        self.log.emit("snapshot", index=index, bytes=len(data))

    # Messages.

    def _dispatch(self, outbound: list[quorumlog.Outbound]) -> None:
        for one in outbound:
            queue = self._queue(one.receiver)
            if queue.full():
                # The oldest message is the one most surely out of date.
                queue.get_nowait()
            queue.put_nowait(one.message)

    def _queue(self, id: str) -> "asyncio.Queue[messages.AnyMessage]":
        queue = self._queues.get(id)
        if queue is None:
            queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._queues[id] = queue
            task = asyncio.create_task(self._send_to(id, queue))
            self._senders[id] = task
        return queue

    async def _send_to(
        self, id: str, queue: "asyncio.Queue[messages.AnyMessage]"
    ) -> None:
        while True:
            address = self._address(id)
            if not address:
                await queue.get()
                continue
            with contextlib.suppress(errors.UnreachableError):
                await self.peers.stream(
                    address, peers.DELIVER, self._batches(id, address, queue)
                )
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _batches(
        self,
        id: str,
        address: str,
        queue: "asyncio.Queue[messages.AnyMessage]",
    ) -> AsyncIterator[messages.Batch]:
        """Yields queued messages until the replica has another address."""
        while self._address(id) == address:
            batch = [await queue.get()]
            while len(batch) < MAX_BATCH_MESSAGES and not queue.empty():
                batch.append(queue.get_nowait())
            yield messages.Batch(
                self.replica.id, self.own_address, id, 0, batch
            )

    def _address(self, id: str) -> str:
        # A candidate or leader may be of a configuration that is not here.
        return self.replica.address(id) or self.addresses.get(id, "")

    # Snapshots to others.

    def _start_snapshot(self, id: str) -> None:
        running = self._snapshots.get(id)
        if running is None or running.done():
            task = asyncio.create_task(self._send_snapshot(id))
            self._snapshots[id] = task

    async def _send_snapshot(self, id: str) -> None:
        head, data = await asyncio.to_thread(self.journal.read_snapshot)
        answers: asyncio.Queue[messages.InstallAnswer] = asyncio.Queue()
        self._snapshot_answers[id] = answers
        try:
            if head is not None and await self._send_chunks(
                id, head, data, answers
            ):
                self.replica.snapshot_sent(id, head.index, self.now())
                self._wake.set()
                self.log.emit("snapshot-sent", replica=id, index=head.index)
                return
        finally:
            del self._snapshot_answers[id]
        self.replica.snapshot_failed(id)

    async def _send_chunks(
        self,
        id: str,
        head: journal.SnapshotHead,
        data: bytes,
        answers: "asyncio.Queue[messages.InstallAnswer]",
    ) -> bool:
        offset = 0
        core = self.replica
        while core.role == replica.LEADER:
            chunk = messages.Install(
                core.hard.term,
                core.id,
                head.index,
                head.term,
                head.members,
                offset,
                len(data),
                data[offset : offset + CHUNK_BYTES],
                self.now(),
            )
            self._dispatch([quorumlog.Outbound(id, chunk)])
            try:
                async with asyncio.timeout(CHUNK_TIMEOUT_SECONDS):
                    answer = await answers.get()
            except TimeoutError:
                return False
            if answer.index == head.index:
                offset = answer.offset
            if offset >= len(data):
                return True
        return False

    # Snapshots from the leader.

    def _assemble(self, chunk: messages.Install) -> None:
        if chunk.term != self.replica.hard.term:
            return
        place = self._assembly
        if place is None or (place.leader, place.index) != (
            chunk.leader,
            chunk.index,
        ):
            place = self._assembly = Assembly(chunk.leader, chunk.index)
        if chunk.offset == len(place.data):
            place.data += chunk.data
        offset = len(place.data)
        if offset >= chunk.size:
            self._install(chunk, bytes(place.data))
            self._assembly = None
        answer = messages.InstallAnswer(
            self.replica.hard.term,
            self.replica.id,
            chunk.index,
            offset,
            chunk.sent_at,
        )
        self._dispatch([quorumlog.Outbound(chunk.leader, answer)])

    def _install(self, chunk: messages.Install, data: bytes) -> None:
        if chunk.index <= self.replica.commit:
            return
        machine = state.load(data)
        head = journal.SnapshotHead(chunk.index, chunk.last_term, chunk.members)
        core = self.replica
        rest: list[messages.Entry] = []
        if core.log.term(chunk.index) == chunk.last_term:
            rest = core.log.slice(chunk.index + 1, core.synced_index + 1)
        # Blocks the loop: nothing may be answered before it is synced.
        self.journal.save_snapshot(head, data, rest)
        core.restore(chunk.index, chunk.last_term, chunk.members)
        self._snapshot_index = chunk.index
        self.state.replace(machine)
        self.on_applied()
        self.log.emit("snapshot-installed", index=chunk.index)

    # Configuration.

    def _tend_members(self) -> None:
        core = self.replica
        if not self.is_leader or core.members_index > core.commit:
            return
        for id, address in core.members.learners.items():
            progress = core.progress.get(id)
            if progress is None or progress.match == 0:
                continue
            gap = core.log.last_index - progress.match
            if gap <= replica.CAUGHT_UP_ENTRIES:
                self._promote(id, address)
                return

    def _promote(self, id: str, address: str) -> None:
        old = self.replica.members
        learners = {k: v for k, v in old.learners.items() if k != id}
        members = messages.Members({**old.voters, id: address}, learners)
        if self.replica.change_members(members, self.now()) is not None:
            self.replica.flush(self.now())
            self._wake.set()
            self.log.emit("replica-promoted", replica=id)


def _do_nothing() -> None:
    """Stands in until somebody wants to hear of applied entries."""


def open_control(
    folder: journal.Journal,
    recovered: journal.Recovered,
    caller: peers.Peers,
    log: events.EventLog,
    now: Clock,
    root_digest: str,
    own_address: str,
    seed: int,
) -> Control:
    """Returns the control shell of a data folder that has been read."""
    identity = folder.identity
    members = identity.members or messages.Members({})
    machine = state.State()
    if recovered.head is not None:
        members = recovered.head.members
        machine = state.load(recovered.snapshot)
    core = replica.start(
        identity.replica_id, recovered.hard, recovered.log, members, now(), seed
    )
    return Control(
        core, machine, folder, caller, log, now, root_digest, own_address
    )
