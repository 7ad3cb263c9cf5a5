"""An entry VM: follows the registry, leases rate shares and serves calls."""

import asyncio
import collections
import copy
import random
import time

from pollenseam import answerlog
from pollenseam import buckets
from pollenseam import calls
from pollenseam import controlmessages
from pollenseam import crashwatch
from pollenseam import demands
from pollenseam import dispatcher
from pollenseam import entryoptions
from pollenseam import errors
from pollenseam import events
from pollenseam import intake
from pollenseam import items
from pollenseam import leases
from pollenseam import links
from pollenseam import metrics
from pollenseam import observations
from pollenseam import options
from pollenseam import overdrafts
from pollenseam import pacing
from pollenseam import peers
from pollenseam import peerserver
from pollenseam import poolcopies
from pollenseam import rankwatch
from pollenseam import reachwatch
from pollenseam import registry
from pollenseam import registryfollower
from pollenseam import registrysync
from pollenseam import relayhelper
from pollenseam import relaying
from pollenseam import routing
from pollenseam import shares
from pollenseam import statementwatch
from pollenseam import steering
from pollenseam import stopping
from pollenseam import tasks
from pollenseam import upstreamstatements
from pollenseam import vm
from pollenseam import workestimates


class Settings:
    """Start-up settings of an entry VM.

    Attributes:
        name: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        address: IP:PORT at which callers reach the VM.
        regions: Region of each failure domain, by the domain's name.
        seeds: Peer addresses of some control VMs.
        max_settings_age_seconds: Age of the settings in force above which no
            key is accepted.
        retry_ratio: Retries per request, over all entry VMs.
        retry_slack: Retries per window beyond that, over all entry VMs.
        retry_window_seconds: Length of the retry budget's window.
        tolerance: How far all entry VMs together may exceed a workspace's
            rate.
        relay_port: Port, at the IP of `address`, at which this VM sends calls
            of other entry VMs; 0 if it doesn't.
        link_bytes_per_second: Rate of this VM's network link in each
            direction; 0 if it is not limited.
        options: Options that the operator set.
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
        "relay_port",
        "link_bytes_per_second",
        "options",
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
        relay_port: int = 0,
        link_bytes_per_second: float = 0.0,
        entry_options: options.Options | None = None,
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
        self.relay_port = relay_port
        self.link_bytes_per_second = link_bytes_per_second
        self.options = entry_options or options.Options()


class EntryVm:
    """One entry VM: its copy of the registry, and the calls it serves.

    Attributes:
        settings: Start-up settings.
        options: Options in force, shared with the parts of this VM.
        log: Event log.
        peers: Client for calls to other VMs.
        now: Returns the time since boot in seconds.
        started_ms: Start of this process, in Unix milliseconds.
        follower: Keeps the copy of the registry and the directory current.
        vms: The directory's entry VMs that reach the upstreams; they share the
            rates of upstreams.
        table: Routes and keys, compiled from the registry's items.
        pools: Upstreams by service name.
        work_estimates: Observed work per route, common to all pools.
        fleet_view: Observations at upstreams, shared by all VMs.
        rank_watch: Gives scarce room to calls by their rank.
        shares: Leased shares of the workspaces' rates.
        statement_watch: Follows what upstreams state in their responses.
        reach_watch: Follows which services this VM reaches.
        relayer: Has calls sent by other entry VMs.
        relay_helper: Sends calls of other entry VMs.
        dispatcher: Sends calls to upstreams.
        is_leaving: Whether this VM is about to stop.
        stop_deadline: When this VM stops, if it is leaving.
        in_flight: Number of calls being served.
        link: Network link of this VM.
        metrics: Counters and latencies of this VM.
        answer_log: Counts and logs answers to callers.
    """

    def __init__(
        self,
        settings: Settings,
        log: events.EventLog,
        peer_client: peers.Client,
        protocol: calls.UpstreamProtocol,
    ) -> None:
        self.settings = settings
        self.options = settings.options
        self.log = log
        self.peers = peer_client
        self.now = vm.boot_seconds
        self.started_ms = time.time_ns() // 1_000_000
        self.follower = registryfollower.RegistryFollower(
            _place(settings),
            log,
            peer_client,
            self.now,
            self._apply_update,
            self._adopt_directory,
            self._adopt_leader,
        )
        self.vms = pacing.Vms({settings.name: settings.region})
        self.table = routing.Table()
        self.pools: dict[str, steering.Pool] = {}
        self.work_estimates = workestimates.WorkEstimates()
        self.fleet_view = observations.FleetView()
        self.metrics = metrics.EntryMetrics()
        self.rank_watch = rankwatch.RankWatch(
            self.options, log, self.metrics, self.now
        )
        self.shares = shares.LeaseClient(
            log,
            peer_client,
            self.now,
            lambda: self.own_record,
            self.fleet_view,
            self._adopt_observations,
            lambda: self.follower.directory.controls,
            self.rank_watch.order,
        )
        self.statement_watch = statementwatch.StatementWatch(
            self.fleet_view.statements, log, self.now, self.metrics.statements
        )
        self.reach_watch = reachwatch.ReachWatch(
            log, self.now, self.metrics.connects, self._upstream_addresses
        )
        self.relayer = relaying.create_relayer(
            settings.name,
            settings.region,
            log,
            self.now,
            peer_client,
            self.reach_watch,
            self.metrics.relays,
        )
        self.dispatcher = dispatcher.Dispatcher(
            protocol,
            log,
            self.metrics,
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_seconds,
            self.statement_watch,
            self.fleet_view.watchlist,
            crashwatch.CrashWatch(
                log, self.now, self._record_crash, self._is_leaving
            ),
            self.relayer,
            self.options,
        )
        self._bound_upstream_bytes()
        self.relay_helper = relayhelper.RelayHelper(
            self.dispatcher,
            self.pools,
            self.now,
            self._lends_until,
            peerserver.Server(log.clock, peer_client.traffic, log=log),
            log,
        )
        self.link = links.Link(settings.link_bytes_per_second)
        self.follower.link = self.link
        self.shares.link = self.link
        self.reach_watch.link = self.link
        self.relayer.link = self.link
        self.relayer.helper_watch.link = self.link
        self.dispatcher.sender.link = self.link
        self.relay_helper.link = self.link
        self.is_leaving = False
        self.stop_deadline = stopping.StopDeadline()
        self.in_flight = 0
        self.answer_log = answerlog.AnswerLog(
            log, self.metrics, self.now, self.follower, self.stop_deadline
        )
        self._tasks = tasks.Group(log)
        self._was_fresh = False

    def reload(self, settings: Settings) -> None:
        """Replaces the settings of a running VM."""
        self.settings = settings
        self.options.adopt(settings.options)
        self._bound_upstream_bytes()
        self.follower.place = _place(settings)

    def _bound_upstream_bytes(self) -> None:
        self.dispatcher.upstream_bytes.max_bytes = self.options.get(
            entryoptions.UPSTREAM_BODY_BYTES
        )

    def bound_replies(self, server_intake: intake.Intake) -> None:
        """Counts replies of upstreams with what is held for callers."""
        self.dispatcher.sender.reply_buffers.share(server_intake)

    def _upstream_addresses(self, service: str) -> dict[str, str]:
        pool = self.pools.get(service)
        upstreams = pool.upstreams if pool is not None else {}
        return {id: u.record.address for id, u in upstreams.items()}

    def _lends_until(self) -> float:
        """Returns the time by which calls of other VMs must end."""
        return self.stop_deadline.deadline if self.is_ready else 0.0

    # Start and stop.

    async def start(self) -> None:
        """Starts to follow the registry, to lease shares and to help."""
        settings = self.settings
        host = settings.address.rpartition(":")[0]
        await self.relay_helper.start(host, settings.relay_port)
        self._tasks.repeat(self._follow)
        self._tasks.repeat(self.shares.renew_once)

    async def leave(self, stop_deadline: float) -> None:
        """Reports to the leader that callers should use other entry VMs.

        Args:
            stop_deadline: Time in seconds by which all calls must have ended.
                Calls that may take longer are refused from now on.
        """
        self.is_leaving = True
        self.stop_deadline.set(stop_deadline)
        self.shares.wake.set()

    async def stop(self) -> None:
        """Stops all tasks, returns the shares and closes all connections."""
        self._tasks.cancel()
        self.follower.stop()
        self.reach_watch.close()
        left_seconds = self.stop_deadline.deadline - self.now()
        grace = max(0.0, left_seconds) if self.is_leaving else 0.0
        await self.relay_helper.stop(grace)
        await self.relayer.peers.close()
        await self.shares.release()
        await self.dispatcher.close()
        await self.peers.close()

    @property
    def registry(self) -> registry.Registry:
        """Items and upstreams in force on this VM."""
        return self.follower.registry

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
            self.relay_helper.port,
            self.reach_watch.is_cut_off,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this VM has settings that are recent enough to serve."""
        return self.registry.index > 0 and self.is_fresh()

    def is_fresh(self) -> bool:
        """Returns whether the settings are recent enough to accept keys."""
        age = self.follower.freshness.age(self.now())
        return age <= self.settings.max_settings_age_seconds

    # Following the registry.

    async def _follow(self) -> None:
        await self.follower.follow_once()
        self._log_freshness()
        self.statement_watch.end_pauses()
        await self.relayer.close_idle()

    def _adopt_directory(self, directory: controlmessages.Directory) -> None:
        self.dispatcher.vm_count = max(1, len(directory.entries))
        self.relayer.helpers.update(directory.entries)
        # One that is cut off sends its calls through others, which count them.
        regions = {
            e.name: e.region for e in directory.entries if not e.is_cut_off
        }
        regions = regions or {self.settings.name: self.settings.region}
        if regions != self.vms.regions:
            self.vms = pacing.Vms(regions)
        self._divide_cold_rates()
        sharing_vms = self.options.get(demands.SHARING_VMS)
        self.fleet_view.shares_demand = len(directory.entries) >= sharing_vms

    def _apply_update(self, update: registrysync.Update) -> None:
        started_at = self.now()
        for id, why in update.unusable.items():
            self.log.emit_often("upstream-unusable", id=id, reason=why)
        if update.is_whole or update.has_items:
            self._rebuild_table()
        self._rebuild_pools()
        seconds = self.now() - started_at
        if not update.records:
            return
        content = "whole" if update.is_whole else "changes"
        self.metrics.apply_latencies.observe(content, seconds)
        self.log.emit_often(
            "registry-in-force",
            index=self.registry.index,
            content=content,
            records=update.records,
            pages=update.pages,
            seconds=seconds,
        )

    def _rebuild_table(self) -> None:
        self.table = routing.build(self.registry.items, self.table)
        limited = [
            name
            for name, workspace in self.table.workspaces.items()
            if workspace.rate > 0
        ]
        self.rank_watch.adopt_table(self.table)
        self.shares.lease_table.set_resources(limited, self.now())
        self.shares.wake.set()

    def _rebuild_pools(self) -> None:
        records_by_service: dict[str, list[registry.Upstream]] = {
            name: [] for name in self.table.services
        }
        for record in self.registry.upstreams.values():
            if record.state != registry.SERVING:
                continue
            if record.failure_domain in self.registry.evacuated:
                continue
            if record.service in records_by_service:
                records_by_service[record.service].append(record)
        now = self.now()
        settings = self.settings
        for name, records in records_by_service.items():
            pool = self.pools.get(name)
            if pool is None:
                pool = self.pools[name] = steering.Pool(
                    settings.name,
                    settings.region,
                    settings.failure_domain,
                    self.work_estimates,
                    self.fleet_view.statements,
                )
            pool.update(records, settings.regions, now)
            self.rank_watch.order.slots[name] = sum(r.slots for r in records)
            self.reach_watch.retain(name, pool.upstreams)
        for name in self.pools.keys() - records_by_service.keys():
            self.pools[name].update([], settings.regions, now)
        self.statement_watch.retain(self.registry.latest_start)
        self.dispatcher.sender.crash_watch.record_upstreams(
            self.registry.upstreams
        )
        self._divide_cold_rates()

    def _adopt_leader(self, address: str) -> None:
        self.shares.leader = address

    def _divide_cold_rates(self) -> None:
        for name, pool in self.pools.items():
            service = self.table.services.get(name)
            rate = service.cold_rate if service is not None else 0.0
            pool.set_cold_limit(rate, self.vms)

    def _adopt_observations(
        self, statements: list[upstreamstatements.Statement]
    ) -> None:
        self._log_statements(statements)
        view = self.fleet_view.demand_view
        if not view.has_changed:
            return
        view.has_changed = False
        for service, pool in self.pools.items():
            shares = view.by_service.get(service, {})
            pool.divide_demand(self.settings.regions, shares)
            self.log.emit_often(
                "demand-divided",
                service=service,
                home_ratio=pool.rankings.home_ratio,
                shares=",".join(f"{r}:{s:g}" for r, s in shares.items()),
            )

    def _log_statements(
        self, statements: list[upstreamstatements.Statement]
    ) -> None:
        for statement in statements:
            record = self.registry.upstreams.get(statement.upstream)
            pool = self.pools.get(record.service) if record else None
            if pool is None or statement.upstream not in pool.upstreams:
                continue
            upstream = pool.upstreams[statement.upstream]
            self.statement_watch.log_received(statement, pool, upstream)

    def _is_leaving(self, upstream: crashwatch.UpstreamStart) -> bool:
        if self.fleet_view.statements.is_over(upstream.id, upstream.started_ms):
            return True
        latest = self.registry.upstreams.get(upstream.id)
        return latest is not None and latest.state == registry.LEAVING

    def _record_crash(self, run: crashwatch.CrashedRun) -> None:
        """Records that an upstream ended while it had a request."""
        self.log.emit_often(
            "run-ended-by-crash",
            fingerprint=run.fingerprint.hex(),
            upstream=run.upstream,
            age_ms=int((self.now() - run.broken_at) * 1000),
        )
        self.fleet_view.watchlist.record_crash(run)
        self.shares.wake.set()

    def _log_freshness(self) -> None:
        is_fresh = self.is_fresh()
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            self.log.emit(
                "settings-fresh" if is_fresh else "settings-stale",
                age_ms=self.follower.freshness.age_ms(self.now()),
                index=self.registry.index,
            )

    # Calls.

    async def serve(self, call: calls.Call) -> calls.Reply:
        """Returns an upstream's reply to a call.

        Raises:
            RefusedError: The call was refused, or no upstream replied to it.
        """
        self.in_flight += 1
        try:
            active_call = self._admit(call)
            await self._take_token(call, active_call.deadline)
            meter = self.fleet_view.demand_meter
            meter.record(active_call.service, self.now())
            self.rank_watch.check(active_call)
            reply = await self._dispatch(active_call)
            self.link.send(len(reply.body), self.now())
            self.answer_log.record_reply(call, reply.status)
            return reply
        except errors.RefusedError as error:
            self.answer_log.record_refusal(call, error.refusal)
            raise
        except asyncio.CancelledError:
            self.answer_log.record_abandoned(call)
            raise
        finally:
            self.in_flight -= 1

    async def _dispatch(self, active_call: calls.ActiveCall) -> calls.Reply:
        try:
            return await self.dispatcher.dispatch(active_call)
        except errors.RefusedError as error:
            self.rank_watch.record_refusal(active_call, error.refusal)
            raise

    def _admit(self, call: calls.Call) -> calls.ActiveCall:
        if self.registry.index == 0 or self.follower.freshness.as_of is None:
            raise errors.refuse(
                errors.Kind.NOT_FRESH, "this VM has received no settings yet"
            )
        named_route = self.table.find_route(call.host, call.path)
        if named_route is None:
            raise errors.refuse(
                errors.Kind.NO_ROUTE, "no route matches this host and path"
            )
        call.route = named_route.name
        route = named_route.route
        regions = frozenset(route.allowed_regions)
        priority = route.priority
        if self.table.requires_key and not route.is_open:
            workspace = self._check_key(call)
            if workspace.priority is not None:
                priority = workspace.priority
            workspace_regions = frozenset(workspace.allowed_regions)
            regions = _common_regions(regions, workspace_regions)
        deadline = min(call.deadline, call.arrived_at + route.timeout_seconds)
        self.stop_deadline.check(deadline)
        service = named_route.next_service()
        pool = self.pools.get(service)
        if pool is None:
            raise errors.refuse(errors.Kind.NO_ROOM, "no upstream is serving")
        return calls.ActiveCall(
            call, named_route, service, pool, deadline, regions, priority
        )

    def preview(self, call: calls.Call) -> calls.ActiveCall:
        """Returns a call as it would be admitted now, without any effect.

        Raises:
            RefusedError: The call would be refused.
        """
        copied = copy.copy(self)
        copied.table = copy.copy(self.table)
        # Routes divide their traffic in turn.
        host = call.host.lower()
        routes = copy.deepcopy(self.table.hosts.get(host, []))
        copied.table.hosts = {host: routes}
        active_call = copied._admit(call)
        active_call.pool = poolcopies.copy_pool(active_call.pool)
        return active_call

    def preview_token(self, call: calls.Call) -> bool:
        """Returns whether a token of the rate would be taken at once."""
        workspace = self.table.workspaces.get(call.workspace)
        if workspace is None or workspace.rate <= 0:
            return True
        return self.shares.preview(
            call.workspace, self._allowed_overdraft(workspace)
        )

    def _check_key(self, call: calls.Call) -> items.Workspace:
        if not self.is_fresh():
            raise errors.refuse(
                errors.Kind.NOT_FRESH, "the settings are too old to check keys"
            )
        if call.key is None:
            raise errors.refuse(errors.Kind.KEY_MISSING, "no key was given")
        named_workspace = self.table.keys.get(call.key)
        if named_workspace is None:
            raise errors.refuse(errors.Kind.KEY_UNKNOWN, "the key is unknown")
        call.workspace = named_workspace.name
        return named_workspace.workspace

    async def _take_token(self, call: calls.Call, deadline: float) -> None:
        workspace = self.table.workspaces.get(call.workspace)
        if workspace is not None and workspace.rate > 0:
            overdraft_limits = self._allowed_overdraft(workspace)
            limit = leases.Limit(workspace.rate, workspace.burst)
            await self.shares.acquire(
                call.workspace, limit, overdraft_limits, deadline
            )

    def _allowed_overdraft(
        self, workspace: items.Workspace
    ) -> buckets.OverdraftLimits:
        """Returns how far a workspace's share may be overdrawn now."""
        limit = leases.Limit(workspace.rate, workspace.burst)
        tolerated = self.settings.tolerance.max_overdraft(limit)
        return overdrafts.overdraft(
            limit, tolerated, self.dispatcher.vm_count, random.random()
        )

    def _statement_gauges(self) -> dict[str, float]:
        statements = self.fleet_view.statements
        kept_away: collections.Counter[str] = collections.Counter()
        for pool in self.pools.values():
            kept_away += pool.kept_away
        return {
            "stated_limits": statements.count,
            "leaving_upstreams": statements.leaving_count,
            "paused_upstreams": statements.paused_count(self.now()),
            "kept_away_leaving": kept_away["leaving"],
            "kept_away_pause": kept_away["pause"],
            "kept_away_rate": kept_away["rate"],
        }

    def expose(self) -> str:
        """Returns all metrics in the text exposition format."""
        self.rank_watch.update_gauges()
        upstreams = sum(len(pool.upstreams) for pool in self.pools.values())
        exposition = self.metrics.expose(
            {
                "in_flight": self.in_flight,
                "lent_calls": self.relay_helper.lent_calls,
                "is_ready": self.is_ready,
                "is_leaving": self.is_leaving,
                "settings_index": self.registry.index,
                "settings_age_seconds": self.follower.freshness.age(self.now()),
                "upstreams": upstreams,
                "step_failures": self._tasks.failures,
                "log_lines_dropped": self.log.dropped,
                "entry_vms": len(self.follower.directory.entries),
                "dropped_rooms": self.rank_watch.order.refused_count,
                "dropped_demands": self.fleet_view.demand_view.refused_count,
                **self._statement_gauges(),
                "upstream_body_bytes": sum(
                    self.dispatcher.upstream_bytes.in_flight.values()
                ),
                "upstreams_full": self.dispatcher.upstream_bytes.refused,
                **self.reach_watch.gauges(),
            }
        )
        return exposition + self.peers.traffic.expose()


def _place(settings: Settings) -> registryfollower.Place:
    return registryfollower.Place(
        settings.region, settings.failure_domain, settings.seeds
    )


def _common_regions(
    route: frozenset[str], workspace: frozenset[str]
) -> frozenset[str]:
    """Returns the regions allowed by both a route and a workspace.

    An empty set allows all regions.

    Raises:
        RefusedError: Both restrict the regions and have none in common.
    """
    if not route or not workspace:
        return route or workspace
    if not route & workspace:
        raise errors.refuse(
            errors.Kind.NO_ROOM, "route and workspace have no region in common"
        )
    return route & workspace
