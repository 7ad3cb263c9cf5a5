"""A control VM: runs a replica of the registry and serves it to others.

The control VM accepts changes from operators and announcements from upstreams,
and answers entry VMs and other control VMs.
"""

import asyncio
import contextlib
import pathlib
import time

from pollenseam import commands
from pollenseam import controlmessages
from pollenseam import datafolder
from pollenseam import errors
from pollenseam import events
from pollenseam import items
from pollenseam import joining
from pollenseam import journal
from pollenseam import leaderduties
from pollenseam import leaderfollower
from pollenseam import leases
from pollenseam import liveness
from pollenseam import messages
from pollenseam import metrics
from pollenseam import observations
from pollenseam import peers
from pollenseam import peerserver
from pollenseam import proposer
from pollenseam import registry
from pollenseam import registrysync
from pollenseam import renewals
from pollenseam import replicarunner
from pollenseam import reservekeeper
from pollenseam import tasks
from pollenseam import upstreamrecords
from pollenseam import validity
from pollenseam import vm

# Interval of the leader's periodic duties.
LEADER_INTERVAL_SECONDS = 0.1
# Time in which a call of another control VM is answered.
ANSWER_SECONDS = 0.8
# Upper bound of the time that a Watch may wait for a change.
MAX_WAIT_MS = 2000
# Changes within this time are sent in one response, because each response
# costs every VM a message and its processing.
BATCH_SECONDS = 0.1
# Compressed size above which a patch is refused. A link of 2 Mbit/s transfers
# it in 1.25 s, half of the 2.5 s within which a change must be in force.
MAX_PATCH_TRANSFER_BYTES = 312_500
# Time in which an order on an evacuation must find its place in the log, at
# its arrival. Callers wait 1 s before they send it, or the opposite, elsewhere.
ORDERING_SECONDS = 0.6
# Time that calls of other VMs in progress get at a planned stop.
CLOSE_SECONDS = 0.3


class Settings:
    """Settings that a control VM gets at its start.

    Attributes:
        name: Name of the control VM.
        region: Region of the control VM.
        failure_domain: Failure domain of the control VM.
        address: IP:PORT at which other VMs reach the control VM.
        seeds: Addresses of some control VMs; may include the own address.
        data_folder: Folder for durable state.
        may_bootstrap: Whether this is the first start of the whole fleet.
        announce_seconds: Time between two announcements of an upstream.
        tolerance: How far a workspace's rate may be overdrawn.
        tolerated_losses: How many control VMs at a time may lose their disks,
            or None if that is not stated.
    """

    __slots__ = (
        "name",
        "region",
        "failure_domain",
        "address",
        "seeds",
        "data_folder",
        "may_bootstrap",
        "announce_seconds",
        "tolerance",
        "tolerated_losses",
    )

    def __init__(
        self,
        name: str,
        region: str,
        failure_domain: str,
        address: str,
        seeds: list[str],
        data_folder: pathlib.Path,
        may_bootstrap: bool,
        announce_seconds: float,
        tolerance: leases.Tolerance,
        tolerated_losses: int | None = None,
    ) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.address = address
        self.seeds = seeds
        self.data_folder = data_folder
        self.may_bootstrap = may_bootstrap
        self.announce_seconds = announce_seconds
        self.tolerance = tolerance
        self.tolerated_losses = tolerated_losses


class ControlVm:
    """Runs a replica and answers operators, upstreams and other VMs.

    Attributes:
        settings: Settings given at the start.
        log: Event log.
        peers: Client for calls to other VMs.
        now: Returns the time since boot in seconds.
        supervisor: Keeps the replica running.
        proposer: Submits commands to the leader.
        liveness: Directory of VMs and deadlines of VMs and upstreams.
        board: What entry VMs observe at upstreams; used by the leader.
        renewals: Leases shares of rates to entry VMs; used by the leader.
        leader_duties: What this VM does while it leads.
        leader_follower: What it does while it does not.
        reserve_keeper: Lends tokens of rates while no leader does.
        upstream_records: Records what upstreams announce.
        changed: Event that is set, and replaced by a new one, when the
            registry changes.
        metrics: Counters of this VM.
        server: Server for calls from other VMs.
    """

    def __init__(
        self,
        settings: Settings,
        log: events.EventLog,
        peer_client: peers.Client,
    ) -> None:
        self.settings = settings
        self.log = log
        self.peers = peer_client
        self.now = vm.boot_seconds
        self.liveness = liveness.LivenessTracker(settings.announce_seconds)
        self.board = observations.Board(self._log_block)
        self.changed = asyncio.Event()
        self.metrics = metrics.ControlMetrics()
        self.server = peerserver.Server(log.clock, peer_client.traffic, log=log)
        self.supervisor = datafolder.Supervisor(
            settings.data_folder, settings.name, self._create_runner, log
        )
        self.renewals = renewals.Renewals(
            log,
            self.now,
            lambda: self.replica_runner,
            lambda: self.applied_registry,
            lambda: self.settings.tolerance,
            self.liveness,
            self.board,
            self.metrics.renewals,
        )
        self.reserve_keeper = reservekeeper.ReserveKeeper(
            settings.address,
            log,
            self.now,
            lambda: self.replica_runner,
            lambda: self.applied_registry,
            lambda: self.settings.tolerance,
            lambda: self.directory.controls,
            lambda: self.leader_follower.age_ms(),
            self.metrics.borrows,
        )
        self.proposer = proposer.Proposer(
            lambda: self.replica_runner, peer_client, self.now
        )
        self.upstream_records = upstreamrecords.UpstreamRecords(
            log,
            self.proposer,
            lambda: self.applied_registry,
            lambda: self.leader_follower.is_leader_reachable(),
        )
        self.leader_follower = leaderfollower.LeaderFollower(
            log,
            self.now,
            peer_client,
            settings.seeds,
            lambda: self.replica_runner,
            lambda: self.own_record,
            self.liveness,
            self.upstream_records,
        )
        self._tasks = tasks.Group(log)
        self.leader_duties = leaderduties.LeaderDuties(
            log,
            lambda: self.replica_runner,
            lambda: self.applied_registry,
            lambda: self.own_record,
            lambda: self.settings.tolerated_losses,
            self.liveness,
            self.board,
            self.renewals,
            self._tasks,
        )
        self._index = 0
        self._members_index = -1

    @property
    def replica_runner(self) -> replicarunner.ReplicaRunner:
        """The runner of the replica; another one after a disk error."""
        return self.supervisor.runner

    @property
    def own_record(self) -> controlmessages.ControlVm:
        """The record of this VM, as sent to other VMs."""
        settings = self.settings
        return controlmessages.ControlVm(
            self.replica_runner.replica.id,
            settings.address,
            settings.region,
            settings.failure_domain,
        )

    @property
    def applied_registry(self) -> registry.Registry:
        """The registry as of the last log entry that this replica applied."""
        return self.replica_runner.state.registry

    @property
    def directory(self) -> controlmessages.Directory:
        """The latest directory of VMs that this VM has."""
        return self.liveness.directory

    # Start and stop.

    async def start(self) -> None:
        """Starts the server and the background tasks.

        Raises:
            FlagError: The address cannot be bound.
        """
        server = self.server
        server.handle_stream(peers.DELIVER, self._deliver)
        server.handle(peers.PROBE, self._answer_probe)
        server.handle(peers.SUBMIT, self._answer_submit)
        server.handle(peers.READ, self._answer_read)
        server.handle(controlmessages.WATCH, self._answer_watch)
        server.handle(controlmessages.RENEW, self.renewals.answer)
        server.handle(controlmessages.BORROW, self.reserve_keeper.answer)
        server.handle(controlmessages.JOIN, self._answer_join)
        await server.start(self.settings.address)
        self._tasks.spawn(self.supervisor.run(self._run_replica))
        self._tasks.repeat(self._do_leader_duties)
        self._tasks.repeat(self.leader_follower.follow_once)

    async def stop(self) -> None:
        """Transfers leadership and stops the VM.

        Calls of other VMs in progress end before the replica that they need.
        """
        await self.replica_runner.transfer_leadership()
        await self.server.stop(CLOSE_SECONDS)
        self._tasks.cancel()
        await self.peers.close()

    def _create_runner(
        self, local_journal: journal.Journal, recovered: journal.Recovered
    ) -> replicarunner.ReplicaRunner:
        runner = replicarunner.open_runner(
            local_journal,
            recovered,
            self.peers,
            self.log,
            self.now,
            "",
            self.settings.address,
            time.time_ns(),
        )
        runner.on_applied = self._on_applied
        runner.gate.is_announcing = self._is_announcing
        runner.gate.on_unknown_service = self._keep_announcement
        self.log.emit(
            "replica-opened",
            replica=runner.replica.id,
            term=recovered.hard_state.term,
            last=recovered.log.last_index,
            base=recovered.log.base_index,
        )
        return runner

    async def _run_replica(self, runner: replicarunner.ReplicaRunner) -> None:
        """Runs the replica, and its joiner, until its disk fails."""
        joiner = joining.Joiner(
            self.own_record,
            runner.journal,
            self.settings.seeds,
            self.settings.may_bootstrap,
            self.peers,
            self.log,
        )
        join_task = asyncio.create_task(joiner.run(runner))
        try:
            await runner.run()
        finally:
            join_task.cancel()

    def _keep_announcement(self, record: registry.Upstream) -> None:
        self.leader_duties.waiting.add(record, self.now())

    def _is_announcing(self, id: str) -> bool:
        """Whether an upstream announced itself lately, if this VM leads."""
        term = self.replica_runner.replica.hard_state.term
        if self.leader_duties.led_term != term:
            # The deadlines are those of an earlier term.
            return True
        return self.liveness.is_announcing(id, self.now())

    def _on_applied(self) -> None:
        if self.applied_registry.index != self._index:
            for record in self.applied_registry.upstreams_after(self._index):
                why = validity.why_unusable(record)
                if why:
                    self.log.emit_often(
                        "upstream-unusable", id=record.id, reason=why
                    )
            self._index = self.applied_registry.index
            changed = self.changed
            self.changed = asyncio.Event()
            changed.set()

    # Duties of the leader.

    async def _do_leader_duties(self) -> None:
        """Does what the leader does, once, after an interval."""
        await asyncio.sleep(LEADER_INTERVAL_SECONDS)
        self._log_members()
        self.reserve_keeper.observe()
        if not self.replica_runner.is_leader:
            return
        announced_ids = sorted(self.upstream_records.unreported_ids)
        self.upstream_records.unreported_ids.clear()
        self.leader_duties.do_once(announced_ids, self.now())

    def _log_block(self, fingerprint: bytes) -> None:
        suspect = self.board.blocklist.suspects[fingerprint]
        self.log.emit(
            "request-blocked",
            fingerprint=fingerprint.hex(),
            upstreams=",".join(id for id, _ in suspect.crashes),
        )

    def _log_members(self) -> None:
        replica = self.replica_runner.replica
        index = replica.members_index
        if index == self._members_index or replica.commit_index < index:
            return
        self._members_index = index
        self.log.emit(
            "quorum-members",
            index=index,
            voters=",".join(replica.members.voters),
            learners=",".join(replica.members.learners),
        )

    def expose(self) -> str:
        """Returns all metrics in the Prometheus text exposition format."""
        replica = self.replica_runner.replica
        states = [u.state for u in self.applied_registry.upstreams.values()]
        exposition = self.metrics.expose(
            {
                "is_leader": self.replica_runner.is_leader,
                "term": replica.hard_state.term,
                "commit_index": replica.commit_index,
                "settings_index": self.applied_registry.index,
                "settings_age_seconds": self.leader_follower.age_ms() / 1000,
                "voters": len(replica.members.voters),
                "learners": len(replica.members.learners),
                "unreachable_voters": len(self.leader_duties.kept_voters)
                if self.replica_runner.is_leader
                else 0,
                "entry_vms": len(self.directory.entries),
                "control_vms": len(self.directory.controls),
                "blocked_requests": self.board.blocklist.count_blocked(
                    self.now()
                ),
                "upstreams_serving": states.count(registry.SERVING),
                "step_failures": self._tasks.failures,
                "log_lines_dropped": self.log.dropped,
            }
        )
        return exposition + self.peers.traffic.expose()

    # Calls of operators and upstreams.

    async def patch(self, patch: list[items.Item], deadline: float) -> int:
        """Changes configuration items; returns the log index of the change.

        Raises:
            RefusedError: The patch is invalid, or larger than
                MAX_PATCH_TRANSFER_BYTES.
            UnreachableError: The outcome is not known by `deadline`.
        """
        command = commands.PatchItems(patch)
        commands.check(command)
        size = registry.encoded_size(patch)
        if size > MAX_PATCH_TRANSFER_BYTES:
            raise errors.refuse(
                errors.Kind.BODY_TOO_LARGE,
                f"the patch has {size} bytes compressed, above the limit of "
                f"{MAX_PATCH_TRANSFER_BYTES}; send it in parts",
            )
        outcome = await self.proposer.submit(command, deadline)
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)
        return outcome.index

    async def evacuate(
        self, failure_domain: str, is_on: bool, deadline: float
    ) -> None:
        """Starts or ends the evacuation of a failure domain.

        Raises:
            RefusedError: The failure domain's name is out of bounds, or the
                leader refuses the order.
            UnreachableError: The outcome is not known by `deadline`, or a
                newer order for the failure domain may exist.
        """
        validity.check(registry.Evacuation(failure_domain, is_on))
        arrived_index = await self.proposer.confirmed_index(
            min(deadline, self.now() + ORDERING_SECONDS)
        )
        command = commands.SetEvacuation(failure_domain, is_on, arrived_index)
        commands.check(command)
        outcome = await self.proposer.submit(command, deadline)
        if outcome.kind == errors.Kind.CONFLICT:
            # A refusal would be final for the caller; it sends the order again
            # if it still wants it.
            self.log.emit_often(
                "evacuation-late",
                domain=failure_domain,
                is_on=is_on,
                arrived_index=arrived_index,
            )
            raise errors.UnreachableError(outcome.detail)
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)

    async def announce(
        self, record: registry.Upstream, deadline: float
    ) -> None:
        """Records an announcement of an upstream.

        An announcement that changes the upstream's record is written to the
        quorum log. Any other one is a heartbeat, which is only reported to
        the leader.

        Raises:
            RefusedError: A value of the record is out of bounds, or the record
                is not used, see `succession`.
            UnreachableError: The announcement could not be recorded by
                `deadline`, or it is a heartbeat and the leader is
                unreachable.
        """
        await self.upstream_records.announce(record, deadline)

    async def leave(self, id: str, started_ms: int, deadline: float) -> None:
        """Records that an upstream has stopped.

        Args:
            id: Id of the upstream.
            started_ms: Start of the upstream in Unix milliseconds; 0 if not
                known.
                If a later start is recorded, the call has no effect.
            deadline: Time by which the record must be committed.

        Raises:
            RefusedError: The id or the start is out of bounds, or another
                start goes on announcing itself.
            UnreachableError: The stop could not be recorded by `deadline`.
        """
        await self.upstream_records.leave(id, started_ms, deadline)

    async def read(self, deadline: float) -> registry.Snapshot:
        """Returns the registry with all changes acknowledged before the call.

        Raises:
            UnreachableError: No leader confirmed the read by `deadline`.
        """
        await self.proposer.read_barrier(deadline)
        return self.applied_registry.snapshot()

    # Calls of other VMs.

    def _deliver(self, batch: messages.Batch) -> None:
        self.replica_runner.deliver(batch)

    async def _answer_probe(
        self, request: messages.IdentityRequest
    ) -> messages.IdentityResponse:
        members = self.replica_runner.replica.members
        existing = members if members.voters else None
        return messages.IdentityResponse(
            self.replica_runner.replica.id,
            existing,
            0,
            self.settings.failure_domain,
        )

    async def _answer_submit(
        self, request: messages.Submit
    ) -> messages.SubmitResponse:
        runner = self.replica_runner
        kind = errors.Kind.NO_QUORUM
        try:
            command = commands.decode_proposal(request.command)
        except errors.RefusedError as error:
            refusal = error.refusal
            self.log.emit("command-refused", reason=refusal.detail)
            outcome = commands.Outcome(refusal.kind, refusal.detail)
            return messages.SubmitResponse(messages.encode(outcome), "", "", 0)
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                outcome = await runner.submit(command, is_guarded=True)
        except (errors.NotLeaderError, TimeoutError):
            return messages.SubmitResponse(b"", kind, runner.leader_address, 0)
        return messages.SubmitResponse(messages.encode(outcome), "", "", 0)

    async def _answer_read(
        self, request: messages.ReadIndex
    ) -> messages.ReadIndexResponse:
        runner = self.replica_runner
        try:
            await runner.read_barrier(self.now() + ANSWER_SECONDS)
        except errors.NotLeaderError:
            return messages.ReadIndexResponse(-1, 0)
        return messages.ReadIndexResponse(runner.state.index, 0)

    async def _answer_join(
        self, request: controlmessages.Join
    ) -> controlmessages.JoinResponse:
        controlmessages.check_record(request.control)
        runner = self.replica_runner
        if not runner.is_leader:
            return controlmessages.JoinResponse(False, runner.leader_address)
        members = joining.add_learner(runner.replica.members, request.control)
        if members is not None:
            now = self.now()
            if runner.replica.change_members(members, now) is not None:
                runner.replica.flush(now)
                runner.wake()
                self.log.emit(
                    "replica-joins",
                    replica=request.control.replica_id,
                    address=request.control.address,
                )
        self.liveness.record_control(request.control)
        return controlmessages.JoinResponse(True, "")

    async def _answer_watch(
        self, request: controlmessages.Watch
    ) -> controlmessages.WatchResponse:
        runner = self.replica_runner
        is_member = True
        asker = "entry" if request.control is None else "control"
        self.metrics.watches.add(asker)
        if request.control is not None and runner.is_leader:
            controlmessages.check_record(request.control)
            self.liveness.record_upstreams(request.announced_ids, self.now())
            members = runner.replica.members
            id = request.control.replica_id
            is_member = id in members.voters or id in members.learners
            if is_member:
                self.liveness.record_control(request.control)
        await self._wait_for_change(request)
        age_ms = self.leader_follower.age_ms()
        response = controlmessages.WatchResponse(
            self.replica_runner.state.index,
            age_ms,
            self.replica_runner.leader_address,
            is_member=is_member,
        )
        if request.index >= 0:
            response.page = registrysync.next_page(
                self.applied_registry, request.index, request.after
            )
        if request.directory != self.directory.version:
            response.directory = self.directory
        return response

    async def _wait_for_change(self, request: controlmessages.Watch) -> None:
        wait_ms = min(request.wait_ms, MAX_WAIT_MS)
        has_changed = self.applied_registry.index > request.index
        if wait_ms <= 0 or request.index <= 0 or has_changed:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self.changed.wait()
            await asyncio.sleep(BATCH_SECONDS)


async def open_vm(
    settings: Settings, log: events.EventLog, peer_client: peers.Client
) -> ControlVm:
    """Returns a control VM; retries until its data folder can be opened.

    Raises:
        DamagedError: The data folder is damaged.
    """
    while True:
        try:
            return ControlVm(settings, log, peer_client)
        except OSError as error:
            log.emit("disk-refuses", reason=str(error))
            await asyncio.sleep(datafolder.REOPEN_SECONDS)
