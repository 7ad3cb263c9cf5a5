"""What all parts of one daemon share: its view of the fleet."""

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
from pollenseam import peers
from pollenseam import replicarunner
from pollenseam import settings
from pollenseam import shifts
from pollenseam import traces
from pollenseam import tree
from pollenseam import upstreams

# Returns the time since boot in seconds, which also counts while suspended.
# A partial, because every request asks for it several times.
boot_seconds = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)


def loop_deadline(deadline: float) -> float:
    """Returns a deadline of `boot_seconds` as a time of the event loop."""
    return asyncio.get_running_loop().time() + deadline - boot_seconds()


MAX_INLINE_BLOCKS = 1000


class Vm:
    """One daemon's view.

    Attributes:
        now: Returns the VM's time in seconds.
        flags: Checked settings of the daemon.
        log: Event log.
        peers: Calls to other processes.
        directory: Membership.
        tree: Settings in force.
        catalog: The tree, compiled.
        blocks: Client blocks, compiled.
        freshness: Age of the settings.
        book: Leased shares.
        pools: Upstreams by service path.
        metrics: Counts.
        trace: Recorder of decisions; off without a trace file.
        life: Life cycle of the VM.
        control: The replica, or None.
        is_attached: Whether `tree` is the replica's own.
        changed: Set and replaced whenever the settings moved on.
        joined: Set once the settings have been fetched for the first time.
        in_flight: Requests under way.
        lease_wake: Set to renew leases at once.
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
        own = messages.Vm(
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
        self.directory = members.Directory(own, self.incarnation)
        self.tree = tree.Tree()
        self.catalog = catalog.compile({})
        self.block_table = lookups.compile_blocks({})
        self.freshness = freshness.Freshness()
        self.lease_table = buckets.LeaseTable()
        self.pools: dict[str, upstreams.Pool] = {}
        self.metrics = metrics.Metrics()
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
        self.lease_wake = asyncio.Event()
        self._compiled_index = -1
        self._fresh_until = 0.0
        self._refreshed_sequence = -1

    @property
    def lease_holder(self) -> str:
        """Name under which this start of the VM holds leases."""
        return f"{self.flags.vm}/{self.incarnation}"

    def settings_age_ms(self) -> int:
        """Returns the age of the settings in ms; -1 when not known."""
        self._record_leader_confirmation()
        return self.freshness.age_ms(self.now())

    def is_fresh(self) -> bool:
        """Whether the settings are young enough for keyed work."""
        if self.now() < self._fresh_until:
            return True
        self._record_leader_confirmation()
        bound = self.catalog.fleet.freshness_ms / 1000
        self._fresh_until = self.freshness.time_at_age(bound)
        return self.now() < self._fresh_until

    def _record_leader_confirmation(self) -> None:
        if self.replica_runner is None:
            return
        confirmed = self.replica_runner.confirmed_at()
        if confirmed is not None:
            self.freshness.record_age(confirmed, 0)

    def attach_replica_tree(self) -> None:
        """Uses the replica's own tree once it is not behind."""
        if self.replica_runner is None:
            return
        own = self.replica_runner.state.tree
        ready = self.replica_runner.is_member and own.index >= self.tree.index
        if ready and not self.uses_replica_tree:
            self.tree = own
            self.uses_replica_tree = True
        if self.uses_replica_tree:
            self.activate_settings()

    def detach_replica_tree(self) -> None:
        """Follows other VMs, because the replica no longer hears a leader."""
        if self.uses_replica_tree:
            before = self.tree
            self.tree = tree.from_nodes(
                dict(before.nodes), before.index, before.changed_index
            )
            self.uses_replica_tree = False

    def activate_settings(self) -> None:
        """Compiles the settings if they changed and wakes who waits."""
        if self._compiled_index != self.tree.changed_index:
            fleet = self.catalog.fleet
            before = self.catalog
            self.catalog = catalog.compile(self.tree.nodes)
            if self.trace.is_on:
                self._trace_settings(before)
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
        """Compiles client blocks; many of them beside the event loop."""
        count = sum(len(r.client_blocks) for r in fleet.regions.values())
        if count <= MAX_INLINE_BLOCKS:
            self.block_table = lookups.fleet_blocks(fleet)
            return

        def use(done: "asyncio.Future[lookups.BlockTable]") -> None:
            # Another change may have overtaken this one.
            if not done.cancelled() and self.catalog.fleet is fleet:
                self.block_table = done.result()

        loop = asyncio.get_running_loop()
        compiled = loop.run_in_executor(None, lookups.fleet_blocks, fleet)
        compiled.add_done_callback(use)

    def _trace_settings(self, before: catalog.Catalog) -> None:
        now = self.now()
        self.trace.add(traces.Applied(now, self.tree.changed_index))
        for key in before.keys.keys() - self.catalog.keys.keys():
            self.trace.add(traces.Withdrawn(now, key))
        for path, node in self.catalog.workspaces.items():
            if before.workspaces.get(path) != node:
                self.trace.add(traces.Limits(now, path, node.rate, node.burst))
        for service in self.catalog.services.values():
            for path, shift in service.shifts:
                burst = shifts.burst(shift.cap)
                rate = shift.cap - burst
                self.trace.add(traces.Limits(now, path, rate, burst))

    def pool(self, service: str) -> upstreams.Pool:
        """Returns the upstreams of a service."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = upstreams.Pool(self.incarnation)
        return pool

    def refresh_pools(self) -> bool:
        """Takes news of upstreams over into the pools; False if none."""
        if self._refreshed_sequence == self.directory.sequence:
            return False
        self._refreshed_sequence = self.directory.sequence
        grouped: dict[str, list[members.KnownUpstream]] = {}
        for known in self.directory.upstreams.values():
            grouped.setdefault(known.record.service, []).append(known)
        now = self.now()
        for service in grouped.keys() | self.pools.keys():
            self.pool(service).refresh(grouped.get(service, ()), now)
        return True

    def load(self) -> float:
        """Returns requests in flight over the slots of the own region."""
        used = 0
        slots = 0
        for pool in self.pools.values():
            some_used, some_slots = pool.slot_usage(
                self.flags.region, self.now()
            )
            used += some_used
            slots += some_slots
        return min(1.0, used / slots) if slots else 0.0

    def fresh_entries(self) -> list[lookups.Entry]:
        """Returns other VMs that are believed to be fresh and serving."""
        fleet = self.catalog.fleet
        others = self.directory.live(self.now())[1:]
        distances = lookups.region_distances(fleet, self.flags.region)
        return lookups.rank(others, distances, set(), fleet.freshness_ms // 2)

    def gauges(self) -> dict[str, float]:
        """Returns the VM's gauges for the metrics page."""
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
        }

    def held_shares(self) -> dict[str, leases.Limit]:
        """Returns the leased shares held now, by resource."""
        now = self.now()
        return {
            resource: account.bucket.held(now)
            for resource, account in self.lease_table.accounts.items()
        }


def create_vm(
    daemon_flags: flags.Flags, log: events.EventLog, peer_client: peers.Client
) -> Vm:
    """Returns the view of a daemon that is starting."""
    return Vm(daemon_flags, log, peer_client)
