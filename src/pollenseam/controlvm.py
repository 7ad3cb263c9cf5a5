"""A control VM: a replica of the registry that takes changes and answers."""

import asyncio
import contextlib
import pathlib
import time

import msgspec

from pollenseam import commands
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import freshness
from pollenseam import items
from pollenseam import joining
from pollenseam import journal
from pollenseam import leases
from pollenseam import lending
from pollenseam import liveness
from pollenseam import messages
from pollenseam import metrics
from pollenseam import peers
from pollenseam import proposer
from pollenseam import registry
from pollenseam import replicarunner
from pollenseam import tasks
from pollenseam import vm

LEADER_INTERVAL_SECONDS = 0.1
WATCH_INTERVAL_SECONDS = 0.4
CALL_TIMEOUT_SECONDS = 0.8
MAX_WAIT_MS = 2000
# Changes that come together go out in one answer: each one costs all VMs a
# message and its handling.
BATCH_SECONDS = 0.1
REOPEN_SECONDS = 0.3
# Whoever has not heard of the leader for this long refers others elsewhere.
LEADER_UNREACHABLE_SECONDS = 1.5
# Most of what nobody demands stays with the lender, for overdrafts.
IDLE_SPARE_RATIO = 0.05
BUSY_SPARE_RATIO = 0.05
# An entry VM's share of a smaller burst runs out by chance.
DRAWN_BURST = 3.0
# Part of what a rate may be overdrawn by that is lent.
LENT_OVERDRAFT_RATIO = 0.4
NO_LIMIT = leases.Limit(0.0, 0.0)


class Settings:
    """What a control VM is told at its start.

    Attributes:
        name: Its name.
        region: Its region.
        failure_domain: Its failure domain.
        address: IP:PORT for other VMs.
        seeds: Addresses of some control VMs, perhaps its own among them.
        data_folder: Folder for durable state.
        may_found: Whether this is the first start of the whole fleet.
        announce_seconds: Time between two announcements of an upstream.
        tolerance: How far a workspace's rate may be overdrawn.
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


class ControlVm:
    """Runs a replica and answers operators, upstreams and other VMs.

    Attributes:
        settings: What it was told at its start.
        log: Event log.
        peers: Calls to other VMs.
        control: The replica's shell; replaced when its disk failed.
        proposer: Brings commands to the leader.
        census: Who is alive.
        freshness: Age of the replica's state.
        heard: Upstreams heard of that the leader does not know of yet.
        changed: Set and replaced whenever the registry moved on.
        metrics: What it counts.
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
        self.freshness = freshness.Freshness()
        self.unreported_ids: set[str] = set()
        self.changed = asyncio.Event()
        self.metrics = metrics.ControlMetrics()
        self.server = peers.Server(log.clock, peer_client.traffic)
        self.control = self._open()
        self.proposer = proposer.Proposer(
            lambda: self.control, peer_client, self.now
        )
        self._tasks = tasks.Group(log)
        self._index = 0
        self._led_term = 0
        self._members_index = -1
        self._limits_index = -1
        self._cached_limits: dict[str, leases.Limit] = {}
        self._was_leader_reachable = False

    @property
    def own_record(self) -> controlmessages.ControlVm:
        """This VM's record."""
        settings = self.settings
        return controlmessages.ControlVm(
            self.control.replica.id,
            settings.address,
            settings.region,
            settings.failure_domain,
        )

    @property
    def applied_registry(self) -> registry.Registry:
        """The registry as of the last entry applied here."""
        return self.control.state.registry

    @property
    def directory(self) -> controlmessages.Directory:
        """Who is there, as far as known here."""
        return self.liveness.directory

    # Start and stop.

    async def start(self) -> None:
        """Starts all parts.

        Raises:
            FlagError: The address cannot be bound.
        """
        server = self.server
        server.handle_stream(peers.DELIVER, self._deliver)
        server.handle(peers.PROBE, self._answer_probe)
        server.handle(peers.SUBMIT, self._answer_submit)
        server.handle(peers.READ, self._answer_read)
        server.handle(controlmessages.WATCH, self._answer_watch)
        server.handle(controlmessages.RENEW, self._answer_renew)
        server.handle(controlmessages.JOIN, self._answer_join)
        await server.start(self.settings.address)
        self._tasks.spawn(self._run_replica())
        self._tasks.spawn(self._run_leader_duties())
        self._tasks.spawn(self._follow_leader())

    async def stop(self) -> None:
        """Hands leadership over and stops."""
        await self.control.transfer_leadership()
        self._tasks.cancel()
        await self.server.stop(0.1)
        await self.peers.close()

    def _open(self) -> replicarunner.ReplicaRunner:
        settings = self.settings
        folder = journal.open_journal(settings.data_folder, settings.name)
        recovered = folder.recover()
        opened = replicarunner.open_runner(
            folder,
            recovered,
            self.peers,
            self.log,
            self.now,
            "",
            settings.address,
            time.time_ns(),
        )
        opened.on_applied = self._on_applied
        self.freshness = freshness.Freshness()
        self.log.emit(
            "replica-opened",
            replica=opened.replica.id,
            term=recovered.hard_state.term,
            last=recovered.log.last_index,
            base=recovered.log.base_index,
        )
        return opened

    async def _run_replica(self) -> None:
        """Runs the replica; opens its folder again when the disk failed."""
        while True:
            joiner = joining.Joiner(
                self.own_record,
                self.control.journal,
                self.settings.seeds,
                self.settings.may_bootstrap,
                self.peers,
                self.log,
            )
            entering = asyncio.create_task(joiner.run(self.control))
            try:
                await self.control.run()
            finally:
                entering.cancel()
            await self._reopen()

    async def _reopen(self) -> None:
        while True:
            await asyncio.sleep(REOPEN_SECONDS)
            try:
                # What the kernel kept of a failed write is not known to be
                # on the disk: all that is read is written anew.
                opened = self._open()
                opened.journal.rewrite_segments()
            except (OSError, errors.DamagedError) as error:
                self.log.emit("disk-refuses", reason=str(error))
                continue
            self.control = opened
            self.log.emit("replica-restarted", replica=opened.replica.id)
            return

    def _on_applied(self) -> None:
        if self.applied_registry.index != self._index:
            self._index = self.applied_registry.index
            changed = self.changed
            self.changed = asyncio.Event()
            changed.set()

    # The leader's duties.

    async def _run_leader_duties(self) -> None:
        while True:
            await asyncio.sleep(LEADER_INTERVAL_SECONDS)
            own = self.control
            self._log_members()
            if not own.is_leader:
                continue
            now = self.now()
            term = own.replica.hard_state.term
            if term != self._led_term:
                self._led_term = term
                self._start_leading(term, now)
            self.liveness.record_control(self.own_record)
            self.liveness.record_upstreams(self.unreported_ids, now)
            self.unreported_ids.clear()
            self.liveness.remove_expired(own.replica.members, now)
            self._record_expired(now)
            self._remove_replaced_voter(now)

    def _start_leading(self, term: int, now: float) -> None:
        self.liveness.start_term(
            term, self.applied_registry.upstreams.values(), now
        )
        lender = self.control.lending.lender
        lender.idle_spare = IDLE_SPARE_RATIO
        lender.busy_spare = BUSY_SPARE_RATIO
        lender.min_share_burst = DRAWN_BURST
        lender.expect_reports(entry.name for entry in self.directory.entries)

    def _log_members(self) -> None:
        core = self.control.replica
        index = core.members_index
        if index == self._members_index or core.commit_index < index:
            return
        self._members_index = index
        self.log.emit(
            "quorum-members",
            index=index,
            voters=",".join(core.members.voters),
            learners=",".join(core.members.learners),
        )

    def _record_expired(self, now: float) -> None:
        lost = self.liveness.expired_upstreams(
            self.applied_registry.upstreams, now
        )
        if not lost:
            return
        records = [
            msgspec.structs.replace(record, state=registry.LOST)
            for record in lost
        ]
        self.log.emit("upstreams-lost", ids=",".join(r.id for r in records))
        self.liveness.record_upstreams([r.id for r in records], now)
        self._tasks.spawn(self._submit_if_leader(records))

    async def _submit_if_leader(self, records: list[registry.Upstream]) -> None:
        with contextlib.suppress(errors.NotLeaderError):
            await self.control.submit(commands.RecordUpstreams(records))

    def _remove_replaced_voter(self, now: float) -> None:
        core = self.control.replica
        heard = {id: p.confirmed_at for id, p in core.progress.items()}
        domains = {
            c.replica_id: c.failure_domain for c in self.directory.controls
        }
        id = joining.replaced_voter(core.members, heard, domains, now)
        if not id:
            return
        voters = {k: v for k, v in core.members.voters.items() if k != id}
        members = messages.Members(voters, core.members.learners)
        if core.change_members(members, now) is not None:
            core.flush(now)
            self.control.wake()
            self.log.emit("replica-removed", replica=id)

    # The other replicas' duties.

    async def _follow_leader(self) -> None:
        """Learns from the leader how old this replica's state is."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
            own = self.control
            self._log_leader_reachability()
            address = own.leader_address
            if own.is_leader or not address:
                continue
            heard = sorted(self.unreported_ids)
            request = controlmessages.Watch(
                -1, 0, self.directory.version, 0, self.own_record, heard
            )
            sent_at = self.now()
            try:
                answer: controlmessages.WatchResponse = await self.peers.call(
                    address,
                    controlmessages.WATCH,
                    request,
                    CALL_TIMEOUT_SECONDS,
                )
            except errors.UnreachableError:
                continue
            self.unreported_ids.difference_update(heard)
            await self._handle_answer(answer, sent_at)

    async def _handle_answer(
        self, answer: controlmessages.WatchResponse, sent_at: float
    ) -> None:
        if answer.directory is not None:
            self.liveness.adopt_directory(answer.directory)
        if not answer.is_member:
            await joining.request_join(
                self.peers, answer.leader, self.own_record
            )
            return
        deadline = self.now() + WATCH_INTERVAL_SECONDS
        while self.control.state.index < answer.index:
            if self.now() >= deadline:
                return
            await asyncio.sleep(0.01)
        self.freshness.note(sent_at, answer.age_ms)

    def _log_leader_reachability(self) -> None:
        is_in_touch = self.is_leader_reachable()
        if is_in_touch != self._was_leader_reachable:
            self._was_leader_reachable = is_in_touch
            name = "leader-reached" if is_in_touch else "leader-out-of-reach"
            self.log.emit(name, age_ms=self.age_ms())

    def age_ms(self) -> int:
        """Returns the age of the state here in ms; -1 when not known."""
        confirmed = self.control.confirmed_at()
        if confirmed is not None:
            self.freshness.note(confirmed, 0)
        return self.freshness.age_ms(self.now())

    def expose(self) -> str:
        """Returns all metrics in the text exposition format."""
        core = self.control.replica
        states = [u.state for u in self.applied_registry.upstreams.values()]
        return self.metrics.expose(
            {
                "is_leader": self.control.is_leader,
                "term": core.hard_state.term,
                "commit_index": core.commit_index,
                "settings_index": self.applied_registry.index,
                "settings_age_seconds": self.age_ms() / 1000,
                "voters": len(core.members.voters),
                "learners": len(core.members.learners),
                "entry_vms": len(self.directory.entries),
                "control_vms": len(self.directory.controls),
                "upstreams_serving": states.count(registry.SERVING),
            }
        )

    def is_leader_reachable(self) -> bool:
        """Whether what is said here reaches the leader, as far as known."""
        return 0 <= self.age_ms() <= LEADER_UNREACHABLE_SECONDS * 1000

    # Operators and upstreams.

    async def patch(self, patch: list[items.Item], deadline: float) -> int:
        """Puts items in force; returns the index of the change.

        Raises:
            RefusedError: The patch is not valid.
            UnreachableError: The outcome is not known by `deadline`.
        """
        outcome = await self.proposer.submit(
            commands.PatchItems(patch), deadline
        )
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)
        return outcome.index

    async def evacuate(
        self, failure_domain: str, is_on: bool, deadline: float
    ) -> None:
        """Empties a failure domain, or takes it back.

        Raises:
            UnreachableError: The outcome is not known by `deadline`.
        """
        command = commands.SetEvacuation(failure_domain, is_on)
        await self.proposer.submit(command, deadline)

    async def announce(
        self, record: registry.Upstream, deadline: float
    ) -> None:
        """Takes in what an upstream says of itself.

        Raises:
            UnreachableError: It could not be recorded by `deadline`, or a
                sign of life would not reach the leader.
        """
        if self.applied_registry.is_news(record):
            await self.proposer.submit(
                commands.RecordUpstreams([record]), deadline
            )
            self.log.emit(
                "upstream",
                id=record.id,
                state=record.state,
                service=record.service,
                address=record.address,
                cold_ms=record.cold_ms,
                sequence=record.sequence,
            )
        elif not self.is_leader_reachable():
            raise errors.UnreachableError("the leader is out of reach")
        self.unreported_ids.add(record.id)

    async def leave(self, id: str, born_ms: int, deadline: float) -> None:
        """Notes that an upstream ends.

        Raises:
            UnreachableError: It could not be recorded by `deadline`.
        """
        known = self.applied_registry.upstreams.get(id)
        if known is None:
            await self.proposer.read_barrier(deadline)
            known = self.applied_registry.upstreams.get(id)
        if known is None or known.state == registry.GONE:
            return
        if born_ms and known.born_ms > born_ms:
            return
        record = msgspec.structs.replace(
            known, state=registry.GONE, sequence=known.sequence + 1
        )
        await self.proposer.submit(commands.RecordUpstreams([record]), deadline)
        self.log.emit("upstream", id=id, state=record.state)

    async def read(self, deadline: float) -> registry.Image:
        """Returns the registry with all changes acknowledged before.

        Raises:
            UnreachableError: No leader confirmed by `deadline`.
        """
        await self.proposer.read_barrier(deadline)
        return self.applied_registry.image()

    # Answers to other VMs.

    def _deliver(self, batch: messages.Batch) -> None:
        self.control.deliver(batch)

    async def _answer_probe(
        self, request: messages.IdentityRequest
    ) -> messages.IdentityResponse:
        members = self.control.replica.members
        known = members if members.voters else None
        return messages.IdentityResponse(self.control.replica.id, known, 0)

    async def _answer_submit(
        self, request: messages.Submit
    ) -> messages.SubmitResponse:
        own = self.control
        kind = errors.Kind.NO_QUORUM
        try:
            command = commands.decode(request.command)
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                outcome = await own.submit(command)
        except (errors.NotLeaderError, TimeoutError):
            return messages.SubmitResponse(b"", kind, own.leader_address, 0)
        return messages.SubmitResponse(messages.encode(outcome), "", "", 0)

    async def _answer_read(
        self, request: messages.ReadIndex
    ) -> messages.ReadIndexResponse:
        own = self.control
        try:
            await own.read_barrier(self.now() + CALL_TIMEOUT_SECONDS)
        except errors.NotLeaderError:
            return messages.ReadIndexResponse(-1, 0)
        return messages.ReadIndexResponse(own.state.index, 0)

    async def _answer_join(
        self, request: controlmessages.Join
    ) -> controlmessages.JoinResponse:
        own = self.control
        if not own.is_leader:
            return controlmessages.JoinResponse(False, own.leader_address)
        members = joining.add_learner(own.replica.members, request.control)
        if members is not None:
            now = self.now()
            if own.replica.change_members(members, now) is not None:
                own.replica.flush(now)
                own.wake()
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
        own = self.control
        is_member = True
        asker = "entry" if request.control is None else "control"
        self.metrics.watches.add(asker)
        if request.control is not None and own.is_leader:
            self.liveness.record_upstreams(request.announced_ids, self.now())
            members = own.replica.members
            id = request.control.replica_id
            is_member = id in members.voters or id in members.learners
            if is_member:
                self.liveness.record_control(request.control)
        await self._wait_for_change(request)
        age_ms = self.age_ms()
        answer = controlmessages.WatchResponse(
            self.control.state.index,
            age_ms,
            self.control.leader_address,
            is_member=is_member,
        )
        if request.index >= 0:
            answer.changes = self.applied_registry.since(request.index)
            if answer.changes is None or request.index == 0:
                answer.changes = None
                answer.image = self.applied_registry.image()
        if request.directory != self.directory.version:
            answer.directory = self.directory
        return answer

    async def _wait_for_change(self, request: controlmessages.Watch) -> None:
        known = max(request.index, 0)
        wait_ms = min(request.wait_ms, MAX_WAIT_MS)
        if wait_ms <= 0 or known == 0 or self.applied_registry.index > known:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self.changed.wait()
            await asyncio.sleep(BATCH_SECONDS)

    async def _answer_renew(
        self, request: controlmessages.Renew
    ) -> messages.LeaseResponse:
        """Lends shares of workspaces' rates to an entry VM.

        A lease ends LEASE_SECONDS after the time at which leadership was
        confirmed, so that the next leader knows when all have ended.
        """
        own = self.control
        confirmed = own.confirmed_at()
        if confirmed is None:
            self.metrics.renewals.add("not-leader")
            return messages.LeaseResponse(0, own.leader_address, [], 0)
        now = self.now()
        self.liveness.record_entry(request.entry, now)
        ttl_ms = int((leases.LEASE_SECONDS - (now - confirmed)) * 1000)
        if ttl_ms <= 0:
            return messages.LeaseResponse(0, "", [], 0)
        holder = f"{request.entry.name}/{request.entry.started_ms}"
        lender = own.lending.lender
        if not request.entry.is_serving and not request.demands:
            lender.release(holder, now)
        wholes = self._limits()
        shares = [
            lending.lend(
                lender, holder, ask, wholes.get(ask.resource, NO_LIMIT), now
            )
            for ask in request.demands
        ]
        if request.is_complete:
            lender.record_report(request.entry.name, now)
        is_learning = lender.is_recovering(now)
        self.metrics.renewals.add("learning" if is_learning else "lent")
        scarce = lender.scarce_resources(wholes, now)
        return messages.LeaseResponse(
            ttl_ms, "", shares, 0, scarce, is_learning
        )

    def _limits(self) -> dict[str, leases.Limit]:
        """Returns what each limited workspace may use over all VMs."""
        index = self.applied_registry.index
        if index != self._limits_index:
            self._limits_index = index
            self._cached_limits = {
                name: self._limit_of(item.body)
                for (_, name), item in self.applied_registry.items.items()
                if isinstance(item.body, items.Workspace) and item.body.rate > 0
            }
        return self._cached_limits

    def _limit_of(self, workspace: items.Workspace) -> leases.Limit:
        whole = leases.Limit(workspace.rate, workspace.burst)
        spare = self.settings.tolerance.max_overdraft(whole)
        whole.burst += LENT_OVERDRAFT_RATIO * spare
        return whole


async def open_vm(
    settings: Settings, log: events.EventLog, peer_client: peers.Client
) -> ControlVm:
    """Returns a control VM, once its disk lets its folder be opened.

    Raises:
        DamagedError: The data folder is damaged.
    """
    while True:
        try:
            return ControlVm(settings, log, peer_client)
        except OSError as error:
            log.emit("disk-refuses", reason=str(error))
            await asyncio.sleep(REOPEN_SECONDS)
