"""An entry VM: follows the registry, holds shares of rates, admits calls."""

import asyncio
import random
import time

from pollenseam import buckets
from pollenseam import calls
from pollenseam import controlmessages
from pollenseam import dispatcher
from pollenseam import errors
from pollenseam import events
from pollenseam import freshness
from pollenseam import items
from pollenseam import leases
from pollenseam import metrics
from pollenseam import peers
from pollenseam import registry
from pollenseam import routing
from pollenseam import shares
from pollenseam import steering
from pollenseam import tasks
from pollenseam import vm

WATCH_WAIT_MS = 1000
CALL_TIMEOUT_SECONDS = 0.6
RETRY_SECONDS = 0.05
# A source whose news is older than this is cut off: another one is asked.
MAX_SOURCE_AGE_SECONDS = 1.2
SOURCE_BACKOFF_SECONDS = 2.0
# Part of what a rate may be overdrawn by that entry VMs use unreported; the
# lender hands out another part.
OVERDRAFT_RATIO = 0.4
# The same while no lender answers.
OUTAGE_OVERDRAFT_RATIO = 0.2


class Settings:
    """What an entry VM is told at its start.

    Attributes:
        name: Its name.
        region: Its region.
        failure_domain: Its failure domain.
        address: IP:PORT for callers.
        regions: Region of each failure domain.
        seeds: Addresses of some control VMs.
        fresh_seconds: Age of the settings above which no key is accepted.
        retry_ratio: Further sends per request, for all VMs together.
        retry_slack: Further sends per window, for all VMs together.
        retry_window_seconds: Length of that window.
        tolerance: How far a workspace's rate may be overdrawn.
    """

    __slots__ = (
        "name",
        "region",
        "failure_domain",
        "address",
        "regions",
        "seeds",
        "max_settings_age_seconds",
        "retry_ratio",
        "retry_slack",
        "retry_window_seconds",
        "tolerance",
    )

    def __init__(
        self,
        name: str,
        region: str,
        failure_domain: str,
        address: str,
        regions: dict[str, str],
        seeds: list[str],
        max_settings_age_seconds: float,
        retry_ratio: float,
        retry_slack: float,
        retry_window_seconds: float,
        tolerance: leases.Tolerance,
    ) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.address = address
        self.regions = regions
        self.seeds = seeds
        self.max_settings_age_seconds = max_settings_age_seconds
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_seconds = retry_window_seconds
        self.tolerance = tolerance


class EntryVm:
    """One entry VM's view, and the calls that it admits.

    Attributes:
        settings: What it was told at its start.
        log: Event log.
        peers: Calls to other VMs.
        registry: Items and upstreams in force here.
        directory: Who is there.
        table: Routes and keys, compiled.
        pools: Upstreams by service.
        freshness: Age of the registry.
        shares: What it may use of workspaces' rates.
        carrier: Sends calls to upstreams.
        is_leaving: Whether it is about to stop.
        in_flight: Calls under way.
        metrics: What it counts.
    """

    def __init__(
        self,
        settings: Settings,
        log: events.EventLog,
        peer_client: peers.Client,
        protocol: calls.UpstreamProtocol,
    ) -> None:
        self.settings = settings
        self.log = log
        self.peers = peer_client
        self.now = vm.boot_seconds
        self.started_ms = time.time_ns() // 1_000_000
        self.registry = registry.Registry()
        self.directory = controlmessages.Directory()
        self.table = routing.Table()
        self.pools: dict[str, steering.Pool] = {}
        self.statistics = steering.WorkEstimates()
        self.freshness = freshness.Freshness()
        self.shares = shares.LeaseClient(
            log, peer_client, self.now, lambda: self.own_record
        )
        self.metrics = metrics.EntryMetrics()
        self.dispatcher = dispatcher.Dispatcher(
            protocol,
            log,
            self.metrics.tries,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_seconds,
        )
        self.is_leaving = False
        self.in_flight = 0
        self._avoided_until: dict[str, float] = {}
        self._tasks = tasks.Group(log)
        self._was_fresh = False

    # Start and stop.

    async def start(self) -> None:
        """Starts to follow the registry."""
        self._tasks.spawn(self._watch())
        self._tasks.spawn(self.shares.run())

    async def leave(self) -> None:
        """Tells the leader that callers should go elsewhere."""
        self.is_leaving = True
        self.shares.wake.set()

    async def stop(self) -> None:
        """Gives all shares back and stops."""
        self._tasks.cancel()
        await self.shares.release()
        await self.dispatcher.close()
        await self.peers.close()

    @property
    def own_record(self) -> controlmessages.EntryVm:
        """This VM's record in the directory."""
        settings = self.settings
        return controlmessages.EntryVm(
            settings.name,
            self.started_ms,
            settings.address,
            settings.region,
            settings.failure_domain,
            self.is_ready and not self.is_leaving,
        )

    @property
    def is_ready(self) -> bool:
        """Whether it can serve callers."""
        return self.registry.index > 0 and self.is_fresh()

    def is_fresh(self) -> bool:
        """Whether the settings are young enough to accept keys."""
        age = self.freshness.age(self.now())
        return age <= self.settings.max_settings_age_seconds

    # Following the registry.

    async def _watch(self) -> None:
        while True:
            source = self._choose_source()
            if not await self._watch_once(source):
                self._avoided_until[source] = (
                    self.now() + SOURCE_BACKOFF_SECONDS
                )
                await asyncio.sleep(RETRY_SECONDS)
            self._log_freshness()

    def _choose_source(self) -> str:
        """Returns the nearest control VM that is not avoided."""
        settings = self.settings
        now = self.now()
        controls = sorted(
            self.directory.controls,
            key=lambda c: (
                c.failure_domain != settings.failure_domain,
                c.region != settings.region,
                c.address,
            ),
        )
        addresses = [c.address for c in controls]
        addresses += [s for s in settings.seeds if s not in addresses]
        for address in addresses:
            if self._avoided_until.get(address, 0.0) <= now:
                return address
        return min(addresses, key=lambda a: self._avoided_until[a])

    async def _watch_once(self, source: str) -> bool:
        wait_ms = WATCH_WAIT_MS if self.freshness.as_of is not None else 0
        request = controlmessages.Watch(
            self.registry.index, wait_ms, self.directory.version
        )
        sent_at = self.now()
        timeout = wait_ms / 1000 + CALL_TIMEOUT_SECONDS
        try:
            answer: controlmessages.WatchResponse = await self.peers.call(
                source, controlmessages.WATCH, request, timeout
            )
        except errors.UnreachableError as error:
            self.log.emit("source-unreachable", source=source, why=str(error))
            return False
        if answer.index < self.registry.index:
            self.log.emit("source-behind", source=source, index=answer.index)
            return False
        self._apply_update(answer, sent_at)
        self.shares.leader = answer.leader or self.shares.leader
        return 0 <= answer.age_ms <= MAX_SOURCE_AGE_SECONDS * 1000

    def _apply_update(
        self, answer: controlmessages.WatchResponse, sent_at: float
    ) -> None:
        if answer.directory is not None:
            if answer.directory.version > self.directory.version:
                self.directory = answer.directory
                self.dispatcher.vm_count = max(1, len(self.directory.entries))
                self._divide_cold_rates()
        if answer.image is not None:
            self.registry = registry.load(answer.image)
            self._rebuild_table()
            self._rebuild_pools()
        elif answer.changes:
            self._apply_changes(answer.changes)
        self.freshness.note(sent_at, answer.age_ms)

    def _apply_changes(self, changes: list[registry.Change]) -> None:
        later = self.registry.follow(changes)
        if any(change.written for change in later):
            self._rebuild_table()
        self._rebuild_pools()
        if later:
            self.log.emit_often("registry-in-force", index=self.registry.index)

    def _rebuild_table(self) -> None:
        self.table = routing.build(self.registry.items, self.table)
        limited = [
            name
            for name, workspace in self.table.workspaces.items()
            if workspace.rate > 0
        ]
        self.shares.lease_table.set_resources(limited, self.now())
        self.shares.wake.set()

    def _rebuild_pools(self) -> None:
        usable: dict[str, list[registry.Upstream]] = {
            name: [] for name in self.table.services
        }
        for record in self.registry.upstreams.values():
            if record.state != registry.SERVING:
                continue
            if record.failure_domain in self.registry.evacuated:
                continue
            if record.service in usable:
                usable[record.service].append(record)
        now = self.now()
        settings = self.settings
        for name, records in usable.items():
            pool = self.pools.get(name)
            if pool is None:
                pool = self.pools[name] = steering.Pool(
                    settings.name,
                    settings.region,
                    settings.failure_domain,
                    self.statistics,
                )
            pool.update(records, settings.regions, now)
        for name in self.pools.keys() - usable.keys():
            self.pools[name].update([], settings.regions, now)
        self._divide_cold_rates()

    def _divide_cold_rates(self) -> None:
        vms = {e.name: e.region for e in self.directory.entries}
        vms = vms or {self.settings.name: self.settings.region}
        for name, pool in self.pools.items():
            service = self.table.services.get(name)
            rate = service.cold_rate if service is not None else 0.0
            pool.set_cold_limit(rate, vms)

    def _log_freshness(self) -> None:
        is_fresh = self.is_fresh()
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            self.log.emit(
                "settings-fresh" if is_fresh else "settings-stale",
                age_ms=self.freshness.age_ms(self.now()),
                index=self.registry.index,
            )

    # Calls.

    async def serve(self, call: calls.Call) -> calls.Reply:
        """Returns an upstream's answer to a call.

        Raises:
            RefusedError: The call was refused, or no upstream answered it.
        """
        self.in_flight += 1
        try:
            trip = self._admit(call)
            await self._take_token(call, trip.deadline)
            reply = await self.dispatcher.dispatch(trip)
            self._record_reply(call, reply.status)
            return reply
        except errors.RefusedError as error:
            self._record_refusal(call, error.refusal)
            raise
        finally:
            self.in_flight -= 1

    def _admit(self, call: calls.Call) -> calls.ActiveCall:
        if self.registry.index == 0 or self.freshness.as_of is None:
            raise errors.refuse(
                errors.Kind.NOT_FRESH, "no settings are known yet"
            )
        entry = self.table.find_route(call.host, call.path)
        if entry is None:
            raise errors.refuse(
                errors.Kind.NO_ROUTE, "no route takes this host and path"
            )
        call.route = entry.name
        route = entry.route
        regions = frozenset(route.homes)
        priority = route.priority
        if self.table.requires_key and not route.is_open:
            workspace = self._check_key(call)
            if workspace.priority is not None:
                priority = workspace.priority
            homes = frozenset(workspace.homes)
            regions = _common_regions(regions, homes)
        deadline = min(call.deadline, call.arrived_at + route.timeout_seconds)
        service = entry.next_service()
        pool = self.pools.get(service)
        if pool is None:
            raise errors.refuse(errors.Kind.NO_ROOM, "no upstream serves")
        return calls.ActiveCall(
            call, entry, service, pool, deadline, regions, priority
        )

    def _check_key(self, call: calls.Call) -> items.Workspace:
        if not self.is_fresh():
            raise errors.refuse(
                errors.Kind.NOT_FRESH, "the settings are too old to check keys"
            )
        if call.key is None:
            raise errors.refuse(errors.Kind.KEY_MISSING, "no key was given")
        tenancy = self.table.keys.get(call.key)
        if tenancy is None:
            raise errors.refuse(errors.Kind.KEY_UNKNOWN, "the key is unknown")
        call.workspace = tenancy.name
        return tenancy.workspace

    async def _take_token(self, call: calls.Call, deadline: float) -> None:
        workspace = self.table.workspaces.get(call.workspace)
        if workspace is not None and workspace.rate > 0:
            most = self._allowed_overdraft(workspace)
            whole = leases.Limit(workspace.rate, workspace.burst)
            await self.shares.acquire(call.workspace, whole, most, deadline)

    def _allowed_overdraft(
        self, workspace: items.Workspace
    ) -> buckets.OverdraftLimits:
        """Returns what may be used beyond a share before it is reported."""
        whole = leases.Limit(workspace.rate, workspace.burst)
        spare = self.settings.tolerance.max_overdraft(whole)
        return overdraft(
            whole, spare, self.dispatcher.vm_count, random.random()
        )

    def _record_reply(self, call: calls.Call, status: int) -> None:
        counted = self.metrics
        counted.answers.add(call.route, str(status))
        counted.workspaces.add(call.workspace, "answered")
        counted.latencies.observe(call.route, self.now() - call.arrived_at)

    def record_unparsed(self, id: str, refusal: errors.Refusal) -> None:
        """Notes a request that was refused before it could be read."""
        self.metrics.answers.add("", refusal.kind.value)
        self.log.emit_often(
            "refused",
            request=id,
            kind=refusal.kind.value,
            why=refusal.detail,
            executed=refusal.executed,
        )

    def expose(self) -> str:
        """Returns all metrics in the text exposition format."""
        upstreams = sum(len(pool.upstreams) for pool in self.pools.values())
        return self.metrics.expose(
            {
                "in_flight": self.in_flight,
                "is_ready": self.is_ready,
                "is_leaving": self.is_leaving,
                "settings_index": self.registry.index,
                "settings_age_seconds": self.freshness.age(self.now()),
                "upstreams": upstreams,
                "entry_vms": len(self.directory.entries),
            }
        )

    def _record_refusal(
        self, call: calls.Call, refusal: errors.Refusal
    ) -> None:
        now = self.now()
        kind = refusal.kind.value
        self.metrics.answers.add(call.route, kind)
        self.metrics.workspaces.add(call.workspace, kind)
        self.metrics.holds.observe(kind, now - call.arrived_at)
        self.log.emit_often(
            "refused",
            request=call.id,
            route=call.route or None,
            kind=kind,
            why=refusal.detail,
            executed=refusal.executed,
            workspace=call.workspace or None,
            held_seconds=now - call.arrived_at,
            left_seconds=call.deadline - now,
            settings_index=self.registry.index,
            settings_age_ms=self.freshness.age_ms(now),
        )


def overdraft(
    limit: leases.Limit, tolerated: float, vms: int, random_fraction: float
) -> buckets.OverdraftLimits:
    """Returns what one VM may use of a rate beyond its share.

    While no lender answers that is its part of the rate; of a part of a token
    some VMs have one and others none.

    Args:
        whole: What all VMs together may use.
        spare: Requests by which they may overdraw it.
        vms: How many VMs there are.
        chance: From 0 to 1, drawn for each request.
    """
    informed = max(1.0, OVERDRAFT_RATIO * tolerated / vms)
    meanwhile = (
        limit.rate * buckets.UPDATE_VALID_SECONDS
        + OUTAGE_OVERDRAFT_RATIO * tolerated
    )
    return buckets.OverdraftLimits(informed, meanwhile / vms + random_fraction)


def _common_regions(
    route: frozenset[str], workspace: frozenset[str]
) -> frozenset[str]:
    """Returns the regions that both allow.

    Raises:
        RefusedError: No region is allowed by both.
    """
    if not route or not workspace:
        return route or workspace
    if not route & workspace:
        raise errors.refuse(
            errors.Kind.NO_ROOM, "no region may serve both route and workspace"
        )
    return route & workspace
