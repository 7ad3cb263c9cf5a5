"""A control VM: a replica of the registry that takes changes and answers."""

import asyncio
import contextlib
import pathlib
import time

import msgspec

from pollenseam import census
from pollenseam import commands
from pollenseam import control
from pollenseam import errors
from pollenseam import events
from pollenseam import freshness
from pollenseam import items
from pollenseam import joining
from pollenseam import journal
from pollenseam import leases
from pollenseam import lending
from pollenseam import messages
from pollenseam import metrics
from pollenseam import news
from pollenseam import peers
from pollenseam import proposer
from pollenseam import registry
from pollenseam import tasks
from pollenseam import vm

TEND_SECONDS = 0.1
WATCH_SECONDS = 0.4
CALL_TIMEOUT_SECONDS = 0.8
MAX_WAIT_MS = 2000
# Changes that come together go out in one answer: each one costs all VMs a
# message and its handling.
GATHER_SECONDS = 0.1
REOPEN_SECONDS = 0.3
# Whoever has not heard of the leader for this long refers others elsewhere.
OUT_OF_TOUCH_SECONDS = 1.5
# Most of what nobody demands stays with the lender, for overdrafts.
IDLE_SPARE_RATIO = 0.05
BUSY_SPARE_RATIO = 0.05
# An entry VM's share of a smaller burst runs out by chance.
DRAWN_BURST = 3.0
# Part of what a rate may be overdrawn by that is lent.
SPARE_RATIO = 0.4
NO_LIMIT = leases.Whole(0.0, 0.0)


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
        "may_found",
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
        may_found: bool,
        announce_seconds: float,
        tolerance: leases.Tolerance,
    ) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.address = address
        self.seeds = seeds
        self.data_folder = data_folder
        self.may_found = may_found
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
        self, settings: Settings, log: events.EventLog, caller: peers.Peers
    ) -> None:
        self.settings = settings
        self.log = log
        self.peers = caller
        self.now = vm.boot_seconds
        self.census = census.Census(settings.announce_seconds)
        self.freshness = freshness.Freshness()
        self.heard: set[str] = set()
        self.changed = asyncio.Event()
        self.metrics = metrics.ControlMetrics()
        self.server = peers.Server(log.clock, caller.traffic)
        self.control = self._open()
        self.proposer = proposer.Proposer(
            lambda: self.control, caller, self.now
        )
        self._tasks = tasks.Group(log)
        self._index = 0
        self._led_term = 0
        self._members_index = -1
        self._wholes_index = -1
        self._known_wholes: dict[str, leases.Whole] = {}
        self._is_in_touch = False

    @property
    def own(self) -> news.ControlVm:
        """This VM's record."""
        settings = self.settings
        return news.ControlVm(
            self.control.replica.id,
            settings.address,
            settings.region,
            settings.failure_domain,
        )

    @property
    def recorded(self) -> registry.Registry:
        """The registry as of the last entry applied here."""
        return self.control.state.registry

    @property
    def directory(self) -> news.Directory:
        """Who is there, as far as known here."""
        return self.census.directory

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
        server.handle(news.WATCH, self._answer_watch)
        server.handle(news.RENEW, self._answer_renew)
        server.handle(news.JOIN, self._answer_join)
        await server.start(self.settings.address)
        self._tasks.spawn(self._run_replica())
        self._tasks.spawn(self._tend())
        self._tasks.spawn(self._follow())

    async def stop(self) -> None:
        """Hands leadership over and stops."""
        await self.control.transfer()
        self._tasks.cancel()
        await self.server.stop(0.1)
        await self.peers.close()

    def _open(self) -> control.Control:
        settings = self.settings
        folder = journal.open_folder(settings.data_folder, settings.name)
        recovered = folder.recover()
        opened = control.open_control(
            folder,
            recovered,
            self.peers,
            self.log,
            self.now,
            "",
            settings.address,
            time.time_ns(),
        )
        opened.on_applied = self._note_applied
        self.freshness = freshness.Freshness()
        self.log.emit(
            "replica-opened",
            replica=opened.replica.id,
            term=recovered.hard.term,
            last=recovered.log.last_index,
            base=recovered.log.base_index,
        )
        return opened

    async def _run_replica(self) -> None:
        """Runs the replica; opens its folder again when the disk failed."""
        while True:
            joiner = joining.Joiner(
                self.own,
                self.control.journal,
                self.settings.seeds,
                self.settings.may_found,
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
                opened.journal.rewrite()
            except (OSError, errors.DamagedError) as error:
                self.log.emit("disk-refuses", reason=str(error))
                continue
            self.control = opened
            self.log.emit("replica-restarted", replica=opened.replica.id)
            return

    def _note_applied(self) -> None:
        if self.recorded.index != self._index:
            self._index = self.recorded.index
            changed = self.changed
            self.changed = asyncio.Event()
            changed.set()

    # The leader's duties.

    async def _tend(self) -> None:
        while True:
            await asyncio.sleep(TEND_SECONDS)
            own = self.control
            self._note_members()
            if not own.is_leader:
                continue
            now = self.now()
            term = own.replica.hard.term
            if term != self._led_term:
                self._led_term = term
                self._start_leading(term, now)
            self.census.hear_control(self.own)
            self.census.hear_upstreams(self.heard, now)
            self.heard.clear()
            self.census.drop_silent(own.replica.members, now)
            self._record_lost(now)
            self._remove_obsolete(now)

    def _start_leading(self, term: int, now: float) -> None:
        self.census.lead(term, self.recorded.upstreams.values(), now)
        lender = self.control.lending.lender
        lender.idle_spare = IDLE_SPARE_RATIO
        lender.busy_spare = BUSY_SPARE_RATIO
        lender.drawn_burst = DRAWN_BURST
        lender.succeed(entry.name for entry in self.directory.entries)

    def _note_members(self) -> None:
        core = self.control.replica
        index = core.members_index
        if index == self._members_index or core.commit < index:
            return
        self._members_index = index
        self.log.emit(
            "quorum-members",
            index=index,
            voters=",".join(core.members.voters),
            learners=",".join(core.members.learners),
        )

    def _record_lost(self, now: float) -> None:
        lost = self.census.lost_upstreams(self.recorded.upstreams, now)
        if not lost:
            return
        records = [
            msgspec.structs.replace(record, state=registry.LOST)
            for record in lost
        ]
        self.log.emit("upstreams-lost", ids=",".join(r.id for r in records))
        self.census.hear_upstreams([r.id for r in records], now)
        self._tasks.spawn(self._submit_quietly(records))

    async def _submit_quietly(self, records: list[registry.Upstream]) -> None:
        with contextlib.suppress(errors.NotLeaderError):
            await self.control.submit(commands.RecordUpstreams(records))

    def _remove_obsolete(self, now: float) -> None:
        core = self.control.replica
        heard = {id: p.confirmed_at for id, p in core.progress.items()}
        domains = {
            c.replica_id: c.failure_domain for c in self.directory.controls
        }
        id = joining.obsolete(core.members, heard, domains, now)
        if not id:
            return
        voters = {k: v for k, v in core.members.voters.items() if k != id}
        members = messages.Members(voters, core.members.learners)
        if core.change_members(members, now) is not None:
            core.flush(now)
            self.control.wake()
            self.log.emit("replica-removed", replica=id)

    # The other replicas' duties.

    async def _follow(self) -> None:
        """Learns from the leader how old this replica's state is."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            own = self.control
            self._note_touch()
            address = own.leader_address
            if own.is_leader or not address:
                continue
            heard = sorted(self.heard)
            request = news.Watch(
                -1, 0, self.directory.version, 0, self.own, heard
            )
            sent_at = self.now()
            try:
                answer: news.News = await self.peers.call(
                    address, news.WATCH, request, CALL_TIMEOUT_SECONDS
                )
            except errors.UnreachableError:
                continue
            self.heard.difference_update(heard)
            await self._take_in(answer, sent_at)

    async def _take_in(self, answer: news.News, sent_at: float) -> None:
        if answer.directory is not None:
            self.census.follow(answer.directory)
        if not answer.is_member:
            await joining.ask_to_join(self.peers, answer.leader, self.own)
            return
        deadline = self.now() + WATCH_SECONDS
        while self.control.state.index < answer.index:
            if self.now() >= deadline:
                return
            await asyncio.sleep(0.01)
        self.freshness.note(sent_at, answer.age_ms)

    def _note_touch(self) -> None:
        is_in_touch = self.is_in_touch()
        if is_in_touch != self._is_in_touch:
            self._is_in_touch = is_in_touch
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
        states = [u.state for u in self.recorded.upstreams.values()]
        return self.metrics.expose(
            {
                "is_leader": self.control.is_leader,
                "term": core.hard.term,
                "commit_index": core.commit,
                "settings_index": self.recorded.index,
                "settings_age_seconds": self.age_ms() / 1000,
                "voters": len(core.members.voters),
                "learners": len(core.members.learners),
                "entry_vms": len(self.directory.entries),
                "control_vms": len(self.directory.controls),
                "upstreams_serving": states.count(registry.SERVING),
            }
        )

    def is_in_touch(self) -> bool:
        """Whether what is said here reaches the leader, as far as known."""
        return 0 <= self.age_ms() <= OUT_OF_TOUCH_SECONDS * 1000

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
        if self.recorded.is_news(record):
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
        elif not self.is_in_touch():
            raise errors.UnreachableError("the leader is out of reach")
        self.heard.add(record.id)

    async def leave(self, id: str, born_ms: int, deadline: float) -> None:
        """Notes that an upstream ends.

        Raises:
            UnreachableError: It could not be recorded by `deadline`.
        """
        known = self.recorded.upstreams.get(id)
        if known is None:
            await self.proposer.barrier(deadline)
            known = self.recorded.upstreams.get(id)
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
        await self.proposer.barrier(deadline)
        return self.recorded.image()

    # Answers to other VMs.

    def _deliver(self, batch: messages.Batch) -> None:
        self.control.deliver(batch)

    async def _answer_probe(
        self, request: messages.ProbeReplica
    ) -> messages.ReplicaProbed:
        members = self.control.replica.members
        known = members if members.voters else None
        return messages.ReplicaProbed(self.control.replica.id, known, 0)

    async def _answer_submit(
        self, request: messages.Submit
    ) -> messages.Submitted:
        own = self.control
        kind = errors.Kind.NO_QUORUM
        try:
            command = commands.decode(request.command)
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                outcome = await own.submit(command)
        except (errors.NotLeaderError, TimeoutError):
            return messages.Submitted(b"", kind, own.leader_address, 0)
        return messages.Submitted(messages.encode(outcome), "", "", 0)

    async def _answer_read(
        self, request: messages.ReadIndex
    ) -> messages.ReadAt:
        own = self.control
        try:
            await own.read_barrier(self.now() + CALL_TIMEOUT_SECONDS)
        except errors.NotLeaderError:
            return messages.ReadAt(-1, 0)
        return messages.ReadAt(own.state.index, 0)

    async def _answer_join(self, request: news.Join) -> news.Joined:
        own = self.control
        if not own.is_leader:
            return news.Joined(False, own.leader_address)
        members = joining.admit(own.replica.members, request.control)
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
        self.census.hear_control(request.control)
        return news.Joined(True, "")

    async def _answer_watch(self, request: news.Watch) -> news.News:
        own = self.control
        is_member = True
        asker = "entry" if request.control is None else "control"
        self.metrics.watches.add(asker)
        if request.control is not None and own.is_leader:
            self.census.hear_upstreams(request.heard, self.now())
            members = own.replica.members
            id = request.control.replica_id
            is_member = id in members.voters or id in members.learners
            if is_member:
                self.census.hear_control(request.control)
        await self._wait_for_news(request)
        age_ms = self.age_ms()
        answer = news.News(
            self.control.state.index,
            age_ms,
            self.control.leader_address,
            is_member=is_member,
        )
        if request.index >= 0:
            answer.changes = self.recorded.since(request.index)
            if answer.changes is None or request.index == 0:
                answer.changes = None
                answer.image = self.recorded.image()
        if request.directory != self.directory.version:
            answer.directory = self.directory
        return answer

    async def _wait_for_news(self, request: news.Watch) -> None:
        known = max(request.index, 0)
        wait_ms = min(request.wait_ms, MAX_WAIT_MS)
        if wait_ms <= 0 or known == 0 or self.recorded.index > known:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self.changed.wait()
            await asyncio.sleep(GATHER_SECONDS)

    async def _answer_renew(self, request: news.Renew) -> messages.Lent:
        """Lends shares of workspaces' rates to an entry VM.

        A lease ends LEASE_SECONDS after the time at which leadership was
        confirmed, so that the next leader knows when all have ended.
        """
        own = self.control
        confirmed = own.confirmed_at()
        if confirmed is None:
            self.metrics.renewals.add("not-leader")
            return messages.Lent(0, own.leader_address, [], 0)
        now = self.now()
        self.census.hear_entry(request.entry, now)
        ttl_ms = int((leases.LEASE_SECONDS - (now - confirmed)) * 1000)
        if ttl_ms <= 0:
            return messages.Lent(0, "", [], 0)
        holder = f"{request.entry.name}/{request.entry.started_ms}"
        lender = own.lending.lender
        if not request.entry.is_serving and not request.asks:
            lender.give_back(holder, now)
        wholes = self._wholes()
        shares = [
            lending.lend(
                lender, holder, ask, wholes.get(ask.resource, NO_LIMIT), now
            )
            for ask in request.asks
        ]
        if request.is_whole:
            lender.hear(request.entry.name, now)
        is_learning = lender.is_learning(now)
        self.metrics.renewals.add("learning" if is_learning else "lent")
        scarce = lender.scarce(wholes, now)
        return messages.Lent(ttl_ms, "", shares, 0, scarce, is_learning)

    def _wholes(self) -> dict[str, leases.Whole]:
        """Returns what each limited workspace may use over all VMs."""
        index = self.recorded.index
        if index != self._wholes_index:
            self._wholes_index = index
            self._known_wholes = {
                name: self._whole(item.body)
                for (_, name), item in self.recorded.items.items()
                if isinstance(item.body, items.Workspace) and item.body.rate > 0
            }
        return self._known_wholes

    def _whole(self, workspace: items.Workspace) -> leases.Whole:
        whole = leases.Whole(workspace.rate, workspace.burst)
        spare = self.settings.tolerance.spare(whole)
        whole.burst += SPARE_RATIO * spare
        return whole


async def open_vm(
    settings: Settings, log: events.EventLog, caller: peers.Peers
) -> ControlVm:
    """Returns a control VM, once its disk lets its folder be opened.

    Raises:
        DamagedError: The data folder is damaged.
    """
    while True:
        try:
            return ControlVm(settings, log, caller)
        except OSError as error:
            log.emit("disk-refuses", reason=str(error))
            await asyncio.sleep(REOPEN_SECONDS)
