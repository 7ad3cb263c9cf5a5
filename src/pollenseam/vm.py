"""State of one VM, shared by all parts of its daemon."""

import asyncio
import functools
import time

from pollenseam import buckets
from pollenseam import catalog
from pollenseam import events
from pollenseam import flags
from pollenseam import freshness
from pollenseam import leases
from pollenseam import lifecycles
from pollenseam import lookups
from pollenseam import members
from pollenseam import messages
from pollenseam import metrics
from pollenseam import observations
from pollenseam import peers
from pollenseam import poolreach
from pollenseam import replicarunner
from pollenseam import settings
from pollenseam import shifts
from pollenseam import statementwatch
from pollenseam import traces
from pollenseam import tree
from pollenseam import upstreams
from pollenseam import upstreamstatements

# Returns the time since boot in seconds, including time spent suspended. This
# is a partial and not a function because each request calls it several times.
boot_seconds = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


def loop_deadline(deadline: float) -> float:
    """Converts a deadline from `boot_seconds` to the clock of the event loop.

    Args:
        deadline: Time in seconds, as `boot_seconds` returns it.
    """
    return asyncio.get_running_loop().time() + deadline - boot_seconds()


# Number of client blocks up to which they are compiled on the event loop.
MAX_INLINE_BLOCKS = 1000


class Vm:
    """State of one VM.

    Attributes:
        now: Function that returns the VM's time in seconds.
        flags: Validated flags of the daemon.
        log: Event log.
        peers: Client for calls to other VMs.
        incarnation: Start time in milliseconds since the epoch.
        directory: Records of VMs and upstreams, spread by gossip.
        tree: Settings in force.
        catalog: Settings in force, compiled for fast access.
        block_table: Regions of the client blocks in force.
        freshness: Tracks the age of the settings.
        lease_table: Leases of this VM.
        fleet_view: Observations at upstreams, shared by all VMs.
        statement_watch: Follows what upstreams state in their responses.
        board: What the VMs observe at upstreams; used by the leader.
        pools: Pool of upstreams, by service path.
        metrics: Counters and latencies.
        reach_watch: Follows which services this VM reaches, by their paths.
            Only upstreams in this VM's region count.
        trace: Recorder of the inputs of decisions; off without a trace file.
        lifecycle: Life cycle of the VM.
        replica_runner: Runs this VM's replica; None if the VM has none.
        uses_replica_tree: Whether `tree` belongs to this VM's replica and not
            to the follower.
        settings_changed: Event that is set, and replaced by a new one, on
            each change of the settings.
        settings_fetched: Event that is set once the VM has settings.
        in_flight: Number of requests in progress.
        stop_deadline: Time in seconds at which requests in progress are
            aborted; infinite unless the VM is leaving.
        lease_wake: Event that is set to renew leases at once.
    """

    def __init__(
        self,
        daemon_flags: flags.Flags,
        log: events.EventLog,
        peer_client: peers.Client,
    ) -> None:
        self.now = boot_seconds
        self.flags = daemon_flags
        self.log = log
        self.peers = peer_client
        self.incarnation = time.time_ns() // 1_000_000
        own_record = messages.Vm(
            daemon_flags.vm,
            self.incarnation,
            0,
            lifecycles.VmState.STARTING,
            daemon_flags.region,
            daemon_flags.failure_domain,
            daemon_flags.caller_address,
            daemon_flags.peer_address,
            "",
            -1,
            0,
            0.0,
        )
        self.directory = members.Directory(own_record, self.incarnation)
        self.tree = tree.Tree()
        self.catalog = catalog.compile({})
        self.block_table = lookups.compile_blocks({})
        self.freshness = freshness.Freshness()
        self.lease_table = buckets.LeaseTable()
        self.fleet_view = observations.FleetView()
        self.board = observations.Board(self._log_block)
        self.pools: dict[str, upstreams.Pool] = {}
        self.metrics = metrics.Metrics()
        self.reach_watch = poolreach.PoolReach(
            log,
            self.now,
            self.metrics.connects,
            self.region_addresses,
            self.pool,
        )
        self.statement_watch = statementwatch.StatementWatch(
            self.fleet_view.statements, log, self.now, self.metrics.statements
        )
        self.trace = traces.open_recorder(daemon_flags.trace_file)
        if self.trace.is_on:
            name, region = daemon_flags.vm, daemon_flags.region
            self.trace.add(traces.Started(self.now(), name, region))
        self.lifecycle = lifecycles.vm()
        self.replica_runner: replicarunner.ReplicaRunner | None = None
        self.uses_replica_tree = False
        self.settings_changed = asyncio.Event()
        self.settings_fetched = asyncio.Event()
        self.in_flight = 0
        self.stop_deadline = float("inf")
        self.lease_wake = asyncio.Event()
        self._compiled_index = -1
        self._fresh_until = 0.0
        self._refreshed_sequence = -1

    def _log_block(self, fingerprint: bytes) -> None:
        self.log.emit("request-blocked", fingerprint=fingerprint.hex())

    @property
    def lease_holder(self) -> str:
        """Name under which this incarnation of the VM holds leases."""
        return f"{self.flags.vm}/{self.incarnation}"

    def settings_age_ms(self) -> int:
        """Returns the age of the settings in ms; -1 if it is not known."""
        self._record_leader_confirmation()
        return self.freshness.age_ms(self.now())

    def is_fresh(self) -> bool:
        """Returns whether the settings are recent enough to check API keys."""
        if self.now() < self._fresh_until:
            return True
        self._record_leader_confirmation()
        max_age = self.catalog.fleet.freshness_ms / 1000
        self._fresh_until = self.freshness.time_at_age(max_age)
        return self.now() < self._fresh_until

    def _record_leader_confirmation(self) -> None:
        """Updates the freshness if this VM's replica is the leader."""
        if self.replica_runner is None:
            return
        confirmed = self.replica_runner.confirmed_at()
        if confirmed is not None:
            self.freshness.record_age(confirmed, 0)

    def attach_replica_tree(self) -> None:
        """Uses the tree of this VM's replica, if the replica is up to date.

        The tree of the replica must not be older than the current one, and
        the replica must be a member of the quorum. The settings of an attached
        tree are activated. Called at the start and after the replica has
        applied entries.
        """
        if self.replica_runner is None:
            return
        replica_tree = self.replica_runner.state.tree
        is_usable = (
            self.replica_runner.is_member
            and replica_tree.index >= self.tree.index
        )
        if is_usable and not self.uses_replica_tree:
            self.tree = replica_tree
            self.uses_replica_tree = True
        if self.uses_replica_tree:
            self.activate_settings()

    def detach_replica_tree(self) -> None:
        """Copies the settings, so that they can be fetched from other VMs.

        Called when the replica has failed, has no leader or has left the
        quorum.
        """
        if self.uses_replica_tree:
            replica_tree = self.tree
            self.tree = tree.from_nodes(
                dict(replica_tree.nodes),
                replica_tree.index,
                replica_tree.changed_index,
            )
            self.uses_replica_tree = False

    def activate_settings(self) -> None:
        """Compiles the settings if they changed, and wakes waiting tasks."""
        if self._compiled_index != self.tree.changed_index:
            fleet = self.catalog.fleet
            old_catalog = self.catalog
            self.catalog = catalog.compile(self.tree.nodes)
            if self.trace.is_on:
                self._trace_settings(old_catalog)
            if self.catalog.fleet is not fleet:
                self._compile_blocks(self.catalog.fleet)
            self._compiled_index = self.tree.changed_index
            self._fresh_until = 0.0
            self.lease_table.set_resources(self.catalog.resources(), self.now())
            self.settings_changed.set()
            self.settings_changed = asyncio.Event()
            self.log.emit("settings-in-force", index=self.tree.changed_index)
        if not self.settings_fetched.is_set() and self.tree.index > 0:
            self.settings_fetched.set()

    def _compile_blocks(self, fleet: settings.Fleet) -> None:
        """Compiles client blocks, more than MAX_INLINE_BLOCKS in a thread."""
        count = sum(len(r.client_blocks) for r in fleet.regions.values())
        if count <= MAX_INLINE_BLOCKS:
            self.block_table = lookups.fleet_blocks(fleet)
            return

        def store(future: "asyncio.Future[lookups.BlockTable]") -> None:
            # The settings may have changed again in the meantime.
            if not future.cancelled() and self.catalog.fleet is fleet:
                self.block_table = future.result()

        loop = asyncio.get_running_loop()
        compilation = loop.run_in_executor(None, lookups.fleet_blocks, fleet)
        compilation.add_done_callback(store)

    def _trace_settings(self, old_catalog: catalog.Catalog) -> None:
        now = self.now()
        self.trace.add(traces.Applied(now, self.tree.changed_index))
        for key in old_catalog.keys.keys() - self.catalog.keys.keys():
            self.trace.add(traces.Withdrawn(now, key))
        for path, node in self.catalog.workspaces.items():
            if old_catalog.workspaces.get(path) != node:
                self.trace.add(traces.Limits(now, path, node.rate, node.burst))
        for service in self.catalog.services.values():
            for path, shift in service.shifts:
                burst = shifts.burst(shift.cap)
                rate = shift.cap - burst
                self.trace.add(traces.Limits(now, path, rate, burst))

    def pool(self, service: str) -> upstreams.Pool:
        """Returns the pool of a service's upstreams, created if missing.

        Args:
            service: Path of the service.
        """
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = upstreams.Pool(
                self.incarnation, self.fleet_view.statements
            )
        return pool

    def refresh_pools(self) -> bool:
        """Updates the pools from the directory.

        Returns:
            False if the directory has not changed since the last refresh.
        """
        if self._refreshed_sequence == self.directory.sequence:
            return False
        self._refreshed_sequence = self.directory.sequence
        grouped: dict[str, list[members.KnownUpstream]] = {}
        for known in self.directory.upstreams.values():
            grouped.setdefault(known.record.service, []).append(known)
        now = self.now()
        for service in grouped.keys() | self.pools.keys():
            pool = self.pool(service)
            pool.refresh(grouped.get(service, ()), now)
            self.reach_watch.retain(service, pool.upstreams)
        self.statement_watch.retain(self._latest_start)
        self.board.statements.retain(self._latest_start, now)
        return True

    def _latest_start(self, path: str) -> upstreamstatements.Latest | None:
        service, _, name = path.rpartition("/")
        known = self.directory.upstreams.get((service, name))
        if known is None:
            return None
        has_ended = known.record.state == lifecycles.UpstreamState.GONE
        return upstreamstatements.Latest(known.record.incarnation, has_ended)

    def region_addresses(self, service: str) -> dict[str, str]:
        """Returns the addresses of a service's upstreams, by name.

        Only those in this VM's region that are serving.

        Args:
            service: Path of the service.
        """
        now = self.now()
        return {
            name: upstream.record.address
            for name, upstream in self.pool(service).upstreams.items()
            if upstream.record.region == self.flags.region
            and upstream.record.state == lifecycles.UpstreamState.SERVING
            and now < upstream.deadline
        }

    def load(self) -> float:
        """Returns the load: this VM's requests in flight per upstream slot.

        Only upstreams in this VM's region count. The load is 1.0 at most, and
        0.0 if there are no slots.
        """
        used = 0
        slots = 0
        for pool in self.pools.values():
            pool_used, pool_slots = pool.slot_usage(
                self.flags.region, self.now()
            )
            used += pool_used
            slots += pool_slots
        return min(1.0, used / slots) if slots else 0.0

    def fresh_entries(self, service: str = "") -> list[lookups.Entry]:
        """Returns other serving VMs, the best first, to retry a request at.

        Their settings, as last reported, are at most half as old as allowed.

        Args:
            service: Path of the service that the VMs should reach, or "".
        """
        fleet = self.catalog.fleet
        others = self.directory.live(self.now())[1:]
        distances = lookups.region_distances(fleet, self.flags.region)
        cut_off = self.directory.reach_reports.cut_off(service, self.now())
        return lookups.rank(
            others, distances, set(), fleet.freshness_ms // 2, cut_off
        )

    def gauges(self) -> dict[str, float]:
        """Returns the values of the VM's gauges, by metric name."""
        traffic = self.peers.traffic
        return {
            "in_flight": float(self.in_flight),
            "settings_age_ms": float(self.settings_age_ms()),
            "settings_index": float(self.tree.index),
            "known_vms": float(len(self.directory.vms) + 1),
            "known_upstreams": float(len(self.directory.upstreams)),
            "peer_sent_bytes": float(traffic.sent_bytes),
            "peer_received_bytes": float(traffic.received_bytes),
            "peer_calls": float(traffic.calls),
            "process_cpu_seconds": time.process_time(),
            "is_leader": float(
                self.replica_runner is not None
                and self.replica_runner.is_leader
            ),
            "load": self.load(),
            "log_lines_dropped": float(self.log.dropped),
            **self.reach_watch.gauges(),
        }

    def held_shares(self) -> dict[str, leases.Limit]:
        """Returns the share that this VM holds of each resource.

        Rate and burst of a share are 0 if its lease has expired.
        """
        now = self.now()
        return {
            resource: account.bucket.held(now)
            for resource, account in self.lease_table.accounts.items()
        }


def create_vm(
    daemon_flags: flags.Flags, log: events.EventLog, peer_client: peers.Client
) -> Vm:
    """Returns the state of a VM that is starting."""
    return Vm(daemon_flags, log, peer_client)
