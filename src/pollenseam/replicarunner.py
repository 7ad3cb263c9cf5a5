"""Runs a replica of the quorum log: its timers, disk, network and state."""

import asyncio
import collections
import contextlib
from collections.abc import Callable

from pollenseam import commands
from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import leases
from pollenseam import lending
from pollenseam import messages
from pollenseam import outbox
from pollenseam import peers
from pollenseam import proposals
from pollenseam import quorumlog
from pollenseam import replica
from pollenseam import snapshots
from pollenseam import state

SNAPSHOT_INTERVAL_ENTRIES = 8192
# Bytes of commands after which a snapshot is taken as well: the log is held in
# memory and on disks of 256 MB, and a change may have megabytes.
SNAPSHOT_INTERVAL_BYTES = 16 * 1024 * 1024
MAX_PENDING_PROPOSALS = 10_000

Clock = Callable[[], float]


class ReplicaRunner:
    """Runs one replica: carries out what its consensus core decides.

    Attributes:
        replica: Consensus core of the replica, without input or output.
        state: The state machine that committed entries are applied to.
        journal: Journal in the data folder of the replica.
        peers: Client for calls to other VMs.
        log: Event log.
        now: Returns the time in seconds.
        root_digest: Digest of the root operator's token, or "" to create no
            root operator.
        own_address: This replica's address for other VMs.
        lending: Leases that this replica grants while it leads.
        failure_reason: Why the replica stopped, or "" while it runs.
        outbox: Sends messages to the other replicas.
        gate: Decides which commands are appended while this replica leads.
        on_applied: Called after entries or a snapshot changed the state.
    """

    def __init__(
        self,
        core: replica.Replica,
        state_machine: state.State,
        storage: journal.Journal,
        peer_client: peers.Client,
        log: events.EventLog,
        now: Clock,
        root_digest: str,
        own_address: str,
    ) -> None:
        self.own_address = own_address
        self.replica = core
        self.state = state_machine
        self.journal = storage
        self.peers = peer_client
        self.log = log
        self.now = now
        self.root_digest = root_digest
        self.failure_reason = ""
        self.lending = lending.LeaseServer(leases.Lender(0.0))
        self.on_applied: Callable[[], None] = _do_nothing
        self._inbox: collections.deque[messages.AnyMessage] = (
            collections.deque()
        )
        self._proposals: list[proposals.Proposal] = []
        self._pending: dict[int, proposals.Proposal] = {}
        self.gate = proposals.Gate(lambda: self.state.registry)
        self.outbox = outbox.Outbox(core, own_address, peer_client, log)
        self._snapshot_sender = snapshots.Sender(
            core, storage, self.outbox.enqueue, self.wake, log, now
        )
        self._incoming_snapshot = snapshots.Incoming("", 0)
        self._wake_event = asyncio.Event()
        self._confirmed_event = asyncio.Event()
        self._last_role = ("", 0, "")
        self._snapshot_index = core.log.base_index
        self._bytes_since_snapshot = 0

    # Queries.

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has committed an entry in its term."""
        return not self.failure_reason and self.replica.is_ready_leader

    @property
    def leader_address(self) -> str:
        """Address of the leader, or "" when unknown."""
        core = self.replica
        return core.address(core.leader) if core.leader else ""

    @property
    def is_member(self) -> bool:
        """Whether this replica runs and is in its own configuration."""
        members = self.replica.members
        ids = members.voters.keys() | members.learners.keys()
        return not self.failure_reason and self.replica.id in ids

    def has_lost_leader(self) -> bool:
        """Whether this replica runs and has not heard from a leader lately.

        The limit is ELECTION_TIMEOUT_SECONDS. A leader hears from itself.
        """
        if self.failure_reason or self.replica.role == replica.LEADER:
            return False
        silent_seconds = self.now() - self.replica.leader_contact_at
        return silent_seconds > replica.ELECTION_TIMEOUT_SECONDS

    def replicas(self) -> list[messages.ReplicaRecord]:
        """Returns all replicas in this replica's configuration."""
        core = self.replica
        records = []
        for role, group in (
            ("voter", core.members.voters),
            ("learner", core.members.learners),
        ):
            for id, address in sorted(group.items()):
                progress = core.progress.get(id)
                match = progress.match_index if progress is not None else -1
                shown_role = "leader" if id == core.leader else role
                records.append(
                    messages.ReplicaRecord(id, address, shown_role, match)
                )
        return records

    def confirmed_at(self) -> float | None:
        """Returns the latest time as of which the applied state is current.

        Every change acknowledged before that time is applied here. The result
        is None unless this replica leads and has applied the first entry of
        its term.
        """
        core = self.replica
        if not self.is_leader or core.applied_index < core.term_start:
            return None
        if self.state.index < core.term_start:
            return None
        return core.confirmed_at(self.now())

    def clock_ms(self) -> int:
        """Returns the state clock, advanced to the present, in milliseconds.

        Only the leader knows the time since the last entry: on other replicas
        the result means nothing.
        """
        elapsed = self.now() - self.replica.last_entry_at
        return self.state.clock_ms + int(max(0.0, elapsed) * 1000)

    # Requests of other modules.

    def deliver(self, batch: messages.Batch) -> None:
        """Queues messages of another replica for the loop."""
        if batch.receiver != self.replica.id or self.failure_reason:
            return
        self.outbox.reported_addresses[batch.sender] = batch.address
        self._inbox.extend(batch.messages)
        self._wake_event.set()

    def wake(self) -> None:
        """Makes the loop process work that other callers left in `replica`."""
        self._wake_event.set()

    async def submit(
        self, command: commands.Command, is_guarded: bool = False
    ) -> commands.Outcome:
        """Replicates a command and returns its outcome.

        A command whose caller is cancelled before it was appended to the log
        is dropped.

        Args:
            command: The command.
            is_guarded: Whether the command has to pass the gate, as those from
                outside do. The outcome says so if it does not.

        Raises:
            NotLeaderError: This replica does not lead, or stopped leading
                before the outcome was known.
            RefusedError: Too many proposals are pending.
        """
        return await self._propose(command, None, is_guarded)

    async def change_members(self, members: messages.Members) -> None:
        """Replicates a new configuration.

        Raises:
            NotLeaderError: This replica does not lead, or stopped leading
                before the configuration was committed.
            RefusedError: Another change of the configuration is in progress,
                more than one voter would change, no voter would be left, or
                too many proposals are pending.
        """
        outcome = await self._propose(None, members)
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)

    async def _propose(
        self,
        command: commands.Command | None,
        members: messages.Members | None,
        is_guarded: bool = False,
    ) -> commands.Outcome:
        if not self.is_leader:
            raise errors.NotLeaderError("this replica is not the leader")
        if len(self._pending) + len(self._proposals) > MAX_PENDING_PROPOSALS:
            raise errors.refuse(
                errors.Kind.NO_ROOM, "too many changes are pending"
            )
        future: asyncio.Future[commands.Outcome]
        future = asyncio.get_running_loop().create_future()
        self._proposals.append(
            proposals.Proposal(command, members, future, is_guarded)
        )
        self._wake_event.set()
        return await future

    async def read_barrier(self, deadline: float) -> None:
        """Waits until reads on this replica are linearizable.

        Raises:
            NotLeaderError: This replica does not lead, or no majority
                confirmed its leadership by `deadline`.
        """
        started_at = self.now()
        while True:
            confirmed = self.confirmed_at()
            if confirmed is not None and confirmed >= started_at:
                return
            if not self.is_leader or self.now() >= deadline:
                raise errors.NotLeaderError("leadership could not be confirmed")
            self._confirmed_event.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(replica.HEARTBEAT_INTERVAL_SECONDS):
                    await self._confirmed_event.wait()

    async def transfer_leadership(self) -> None:
        """Transfers leadership to another voter before a planned stop.

        Returns once the transfer is complete or ELECTION_TIMEOUT_SECONDS have
        passed.
        """
        if not self.is_leader or not self.replica.transfer_leadership(
            self.now()
        ):
            return
        self._wake_event.set()
        deadline = self.now() + replica.ELECTION_TIMEOUT_SECONDS
        while self.replica.role == replica.LEADER and self.now() < deadline:
            await asyncio.sleep(0.01)
        self.log.emit("leadership-handed-over", leader=self.replica.leader)

    # Main loop.

    async def run(self) -> None:
        """Runs the replica until cancelled, or until its disk fails.

        A failure of the disk is logged and kept in `failure_reason`.
        """
        try:
            while True:
                await self._wait()
                self._process_inbox()
                await self._process_ready(self.replica.take_ready())
        except (OSError, errors.DamagedError) as error:
            self.fail(str(error))
        finally:
            self.outbox.cancel()
            self._snapshot_sender.cancel()
            self.journal.close()

    def fail(self, reason: str) -> None:
        """Records that the disk failed, and fails all proposals."""
        self.failure_reason = reason
        self.log.emit("replica-failed", reason=reason)
        self._fail_proposals("the replica's disk failed")

    async def _wait(self) -> None:
        delay = self.replica.next_tick_at() - self.now()
        if delay > 0 and not self._wake_event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay):
                    await self._wake_event.wait()
        self._wake_event.clear()

    def _process_inbox(self) -> None:
        now = self.now()
        while self._inbox:
            message = self._inbox.popleft()
            self.replica.receive(message, now)
            if isinstance(message, messages.InstallResponse):
                self._snapshot_sender.receive(message)
            elif isinstance(message, messages.InstallSnapshot):
                self._add_chunk(message)
        self.replica.tick(now)
        self.outbox.connect()
        self._append_proposals(now)
        self._report_role(now)

    def _append_proposals(self, now: float) -> None:
        queued = self._proposals
        self._proposals = []
        for proposal in queued:
            if proposal.future.done():
                # Its caller has given it up, and may have sent it again, or
                # the opposite, to another VM.
                self.log.emit_often(
                    "proposal-given-up", command=type(proposal.command).__name__
                )
                continue
            entry = self._append_proposal(proposal, now)
            if entry is not None:
                proposal.term = entry.term
                self._pending[entry.index] = proposal
                proposals.record_appended(
                    proposal.command, entry.index, self.gate
                )
        if queued:
            self.replica.flush(now)

    def _append_proposal(
        self, proposal: proposals.Proposal, now: float
    ) -> messages.Entry | None:
        if proposal.members is not None:
            entry = self.replica.change_members(proposal.members, now)
            if entry is None and self.is_leader:
                detail = "another change of the replicas is in progress"
                outcome = commands.Outcome(errors.Kind.CONFLICT, detail)
                proposal.future.set_result(outcome)
                return None
        else:
            assert proposal.command is not None
            if proposal.is_guarded and self.is_leader:
                refusal = proposals.why_refused(
                    proposal.command, self.gate, self.replica.term_start
                )
                if refusal is not None:
                    outcome = commands.Outcome(refusal.kind, refusal.detail)
                    proposal.future.set_result(outcome)
                    return None
            data = commands.encode(proposal.command)
            entry = self.replica.propose(data, now)
        if entry is None:
            error = errors.NotLeaderError("this replica is not the leader")
            proposal.future.set_exception(error)
        return entry

    def _report_role(self, now: float) -> None:
        core = self.replica
        self._confirmed_event.set()
        current = (core.role, core.hard_state.term, core.leader)
        if current == self._last_role:
            return
        was_leader = self._last_role[0] == replica.LEADER
        self._last_role = current
        self.log.emit(
            "replica-role",
            replica=core.id,
            role=core.role,
            term=core.hard_state.term,
            leader=core.leader or None,
        )
        if core.role == replica.LEADER:
            self._start_lending(now)
        elif was_leader:
            self._fail_proposals("leadership was lost")

    def _start_lending(self, now: float) -> None:
        # A majority confirmed the previous leader, and at least one voter of
        # that majority voted for this one: the previous leader's leases start
        # no later than that voter's last contact with it.
        contact_at = self.replica.quorum_leader_contact_at
        leases_end_at = contact_at + leases.LEASE_SECONDS + leases.DRIFT_SECONDS
        if self.replica.log.last_index <= 2 and self.state.index == 0:
            # A new fleet has no earlier leases.
            leases_end_at = now
        self.lending = lending.LeaseServer(leases.Lender(leases_end_at))

    def _fail_proposals(self, why: str) -> None:
        for proposal in [*self._pending.values(), *self._proposals]:
            if not proposal.future.done():
                proposal.future.set_exception(errors.NotLeaderError(why))
        self._pending.clear()
        self._proposals.clear()

    async def _process_ready(self, ready: quorumlog.Ready) -> None:
        self.outbox.enqueue(ready.messages_before_sync)
        if ready.hard_state is not None or ready.entries:
            await asyncio.to_thread(
                self.journal.append, ready.hard_state, ready.entries
            )
            if ready.entries:
                last = ready.entries[-1]
                self.replica.mark_synced(last.index, last.term)
                self._wake_event.set()
        self.outbox.enqueue(ready.messages)
        for id in ready.snapshot_receivers:
            self._snapshot_sender.start(id)
        if ready.committed_entries:
            self._apply(ready.committed_entries)
            self._wake_event.set()
            await self._compact()
        self._promote_learners()

    def _apply(self, entries: list[messages.Entry]) -> None:
        for entry in entries:
            self._bytes_since_snapshot += len(entry.command)
            outcome = self._apply_entry(entry)
            proposal = self._pending.pop(entry.index, None)
            if proposal is None or proposal.future.done():
                continue
            if proposal.term == entry.term:
                proposal.future.set_result(outcome)
            else:
                error = errors.NotLeaderError(
                    "another leader's entry replaced the change"
                )
                proposal.future.set_exception(error)
        self.on_applied()
        self._create_root_operator()

    def _apply_entry(self, entry: messages.Entry) -> commands.Outcome:
        command: commands.AnyCommand = commands.AdvanceClock()
        if entry.command:
            command = commands.decode(entry.command)
        return self.state.apply(entry.index, entry.elapsed_ms, command)

    def _create_root_operator(self) -> None:
        is_missing = state.ROOT_OPERATOR not in self.state.tree.nodes
        if is_missing and self.root_digest and self.is_leader:
            command = commands.encode(
                commands.CreateRootOperator(self.root_digest)
            )
            self.replica.propose(command, self.now())
            self.replica.flush(self.now())
            self._wake_event.set()

    async def _compact(self) -> None:
        entry_count = self.state.index - self._snapshot_index
        if (
            entry_count >= SNAPSHOT_INTERVAL_ENTRIES
            or self._bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES
        ):
            await self.snapshot()

    async def snapshot(self) -> None:
        """Syncs a snapshot of the applied state and compacts the log."""
        core = self.replica
        index = self.state.index
        term = core.log.term_at(index)
        if term is None:
            return
        header = journal.SnapshotHeader(index, term, core.members_at(index))
        data = self.state.encode_snapshot()
        # Entries above synced_index are appended by a later record.
        later = core.log.slice(index + 1, core.synced_index + 1)
        await asyncio.to_thread(self.journal.save_snapshot, header, data, later)
        core.compact(index)
        self._snapshot_index = index
        self._bytes_since_snapshot = 0
        self.log.emit("snapshot", index=index, bytes=len(data))

    # Receiving snapshots.

    def _add_chunk(self, chunk: messages.InstallSnapshot) -> None:
        if chunk.term != self.replica.hard_state.term:
            return
        incoming = self._incoming_snapshot
        if not incoming.includes(chunk):
            incoming = snapshots.Incoming(chunk.leader, chunk.index)
            self._incoming_snapshot = incoming
        incoming.add(chunk)
        offset = len(incoming.data)
        if offset >= chunk.size:
            self._install_snapshot(chunk, bytes(incoming.data))
            self._incoming_snapshot = snapshots.Incoming("", 0)
        response = messages.InstallResponse(
            self.replica.hard_state.term,
            self.replica.id,
            chunk.index,
            offset,
            chunk.sent_at,
        )
        self.outbox.enqueue([quorumlog.Outbound(chunk.leader, response)])

    def _install_snapshot(
        self, chunk: messages.InstallSnapshot, data: bytes
    ) -> None:
        if chunk.index <= self.replica.commit_index:
            return
        new_state = state.decode_snapshot(data)
        header = journal.SnapshotHeader(
            chunk.index, chunk.last_term, chunk.members
        )
        core = self.replica
        later: list[messages.Entry] = []
        if core.log.term_at(chunk.index) == chunk.last_term:
            later = core.log.slice(chunk.index + 1, core.synced_index + 1)
        # Blocks the event loop on purpose: the chunk must not be answered
        # before the snapshot is synced.
        self.journal.save_snapshot(header, data, later)
        core.restore(chunk.index, chunk.last_term, chunk.members)
        self._snapshot_index = chunk.index
        self._bytes_since_snapshot = 0
        self.state.restore_from(new_state)
        self.on_applied()
        self.log.emit("snapshot-installed", index=chunk.index)

    # Membership.

    def _promote_learners(self) -> None:
        core = self.replica
        if not self.is_leader or core.members_index > core.commit_index:
            return
        for id, address in core.members.learners.items():
            progress = core.progress.get(id)
            if progress is None or progress.match_index == 0:
                continue
            lag = core.log.last_index - progress.match_index
            if lag <= replica.MAX_PROMOTION_LAG_ENTRIES:
                self._promote(id, address)
                return

    def _promote(self, id: str, address: str) -> None:
        """Makes a learner a voter, after the one that it replaces is out.

        A voter with the learner's address lost its disk. Were both voters,
        the lost one would count towards the majority that is needed.
        """
        old = self.replica.members
        replaced = [v for v, a in old.voters.items() if a == address]
        if replaced:
            self.remove(replaced[0])
            return
        self._propose_members(old.with_promoted(id), "replica-promoted", id)

    def remove(self, id: str) -> None:
        """Proposes a configuration without a replica, if this one may."""
        old = self.replica.members
        event = "replica-removed" if id in old.voters else "learner-removed"
        self._propose_members(old.without(id), event, id)

    def record_failure_domains(self, known: dict[str, str]) -> None:
        """Proposes a configuration with failure domains that it lacks.

        Args:
            known: Failure domains of any replicas, by replica id.
        """
        old = self.replica.members
        members = old.with_failure_domains(known)
        added = members.failure_domains.items() - old.failure_domains.items()
        if added:
            ids = ",".join(sorted(id for id, _ in added))
            self._propose_members(members, "failure-domains-recorded", ids)

    def _propose_members(
        self, members: messages.Members, event: str, id: str
    ) -> None:
        if self.replica.change_members(members, self.now()) is not None:
            self.replica.flush(self.now())
            self._wake_event.set()
            self.log.emit(event, replica=id)


def _do_nothing() -> None:
    """Default `on_applied` callback; does nothing."""


def open_runner(
    storage: journal.Journal,
    recovered: journal.Recovered,
    peer_client: peers.Client,
    log: events.EventLog,
    now: Clock,
    root_digest: str,
    own_address: str,
    seed: int,
) -> ReplicaRunner:
    """Returns a runner for the replica of a recovered data folder.

    Args:
        storage: Journal in the data folder.
        recovered: What `storage.recover` returned.
        peer_client: Client for calls to other VMs.
        log: Event log.
        now: Returns the time in seconds.
        root_digest: Digest of the root operator's token, or "" to create no
            root operator.
        own_address: This replica's address for other VMs.
        seed: Seed of the random part of election time-outs.
    """
    identity = storage.identity
    members = identity.members or messages.Members({})
    state_machine = state.State()
    if recovered.snapshot_header is not None:
        members = recovered.snapshot_header.members
        state_machine = state.decode_snapshot(recovered.snapshot_data)
    core = replica.create_replica(
        identity.replica_id,
        recovered.hard_state,
        recovered.log,
        members,
        now(),
        seed,
    )
    return ReplicaRunner(
        core,
        state_machine,
        storage,
        peer_client,
        log,
        now,
        root_digest,
        own_address,
    )
