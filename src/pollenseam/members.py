"""The membership: records of VMs and upstreams, spread by gossip.

Each VM forwards an update a limited number of times (rumor mongering, Demers
et al., 1987), so that gossip traffic grows with the number of changes and not
with the size of the fleet. An occasional full exchange of records repairs
missed updates. Heartbeats are small, and each message carries a bounded number
of them.
"""

import heapq
import math
import random
from collections.abc import Iterable

import msgspec

from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import reachreports

# Time without a heartbeat after which a VM is suspect, then removed.
SUSPECT_SECONDS = 4.0
DEAD_SECONDS = 15.0
MAX_TTL_MS = 60_000
# Limits of one directory.
MAX_UPSTREAMS = 20_000
MAX_VMS = 10_000
# Limits of one gossip message; MAX_RECORDS applies to VMs and to upstreams.
MAX_VM_HEARTBEATS = 20
MAX_RECORDS = 40
# How many times a VM forwards one VM heartbeat.
VM_HEARTBEAT_SENDS = 5
EXTRA_SENDS = 2
# Shortest time to live of an announced upstream that is sent to other VMs.
MIN_GOSSIP_TTL_SECONDS = 8.0
# Remaining part of that time at which an upstream's heartbeat is sent.
HEARTBEAT_MARGIN_SECONDS = 5.5
MAX_UPSTREAM_HEARTBEATS = 120

UpstreamName = tuple[str, str]


class KnownVm:
    """The latest record of another VM.

    Attributes:
        record: The record.
        last_seen_at: Time at which a newer heartbeat count last arrived.
        sends_left: Remaining number of messages that include the record.
        heartbeat_sends_left: Remaining number of messages that include the
            latest heartbeat.
    """

    __slots__ = ("record", "last_seen_at", "sends_left", "heartbeat_sends_left")

    def __init__(
        self, record: messages.Vm, last_seen_at: float, sends_left: int
    ) -> None:
        self.record = record
        self.last_seen_at = last_seen_at
        self.sends_left = sends_left
        self.heartbeat_sends_left = 0

    def is_suspect(self, now: float) -> bool:
        """Whether the VM had no new heartbeat for SUSPECT_SECONDS."""
        return now - self.last_seen_at > SUSPECT_SECONDS


class KnownUpstream:
    """The latest record of an upstream.

    Attributes:
        record: The record, as announced.
        deadline: Time after which this VM must not use the upstream.
        gossip_deadline: Deadline that is sent to other VMs.
        sends_left: Remaining number of messages that include the record.
        heartbeat_sends_left: Remaining number of messages that include the
            latest heartbeat.
    """

    __slots__ = (
        "record",
        "deadline",
        "gossip_deadline",
        "sends_left",
        "heartbeat_sends_left",
    )

    def __init__(
        self, record: messages.Upstream, deadline: float, sends_left: int
    ) -> None:
        self.record = record
        self.deadline = deadline
        self.gossip_deadline = deadline
        self.sends_left = sends_left
        self.heartbeat_sends_left = 0


class Directory:
    """All membership records that one VM has.

    Attributes:
        own_record: The VM's own record.
        vms: Other VMs by name.
        upstreams: Upstreams by service and name.
        sequence: Number of changes to upstreams so far.
        synced_peers: Names of VMs with which all records were exchanged.
        is_urgent: Whether an update is pending that should not wait for the
            next gossip round.
        random: Seeded random number generator for the choice of peers.
        reach_reports: VMs that do not reach a service which others reach.
    """

    __slots__ = (
        "own_record",
        "vms",
        "upstreams",
        "sequence",
        "synced_peers",
        "is_urgent",
        "random",
        "reach_reports",
    )

    def __init__(self, own_record: messages.Vm, seed: int) -> None:
        self.own_record = own_record
        self.vms: dict[str, KnownVm] = {}
        self.upstreams: dict[UpstreamName, KnownUpstream] = {}
        self.sequence = 0
        self.synced_peers: set[str] = set()
        self.is_urgent = False
        self.random = random.Random(seed)
        self.reach_reports = reachreports.ReachReports(own_record.name)

    # Local updates.

    def update_own(
        self, state: str, age_ms: int, index: int, load: float
    ) -> None:
        """Updates the VM's own record and increments its heartbeat count.

        Args:
            state: State of the VM's life cycle.
            age_ms: Age of the VM's settings in milliseconds.
            index: Index of the VM's settings.
            load: The VM's load, as in `messages.Vm`.
        """
        self.own_record.settings_index = index
        self.own_record.heartbeat_count += 1
        self.own_record.state = state
        self.own_record.settings_age_ms = age_ms
        self.own_record.load = load

    def update_reach(self, services: list[str], now: float) -> None:
        """Updates the report of this VM's reach.

        Args:
            services: Paths of the services that only other VMs reach.
            now: Time in seconds.
        """
        self.is_urgent |= self.reach_reports.update_own(
            services, self.own_record.incarnation, self.sends_per_update(), now
        )

    def announce(self, record: messages.Upstream, now: float) -> bool:
        """Records an upstream's own announcement.

        Locally the upstream expires after its own time to live. Other VMs are
        given at least MIN_GOSSIP_TTL_SECONDS, extended when no more than
        HEARTBEAT_MARGIN_SECONDS of it are left, so that a heartbeat has time
        to spread.

        Returns:
            False if the announcement is outdated, the directory is full, or
            the time to live of a new upstream is 0.
        """
        name = (record.service, record.name)
        known = self.upstreams.get(name)
        ttl = min(record.ttl_ms, MAX_TTL_MS) / 1000
        if known is None or not _is_heartbeat(record, known.record):
            if not self.merge_upstream(record, now):
                return False
            known = self.upstreams[name]
            known.gossip_deadline = now + max(ttl, MIN_GOSSIP_TTL_SECONDS)
        elif known.gossip_deadline - now <= HEARTBEAT_MARGIN_SECONDS:
            known.record = record
            known.gossip_deadline = now + max(ttl, MIN_GOSSIP_TTL_SECONDS)
            known.heartbeat_sends_left = self.sends_per_update()
            self.sequence += 1
        known.deadline = now + ttl
        return True

    # Updates from other VMs.

    def merge(self, gossip: messages.Gossip, now: float) -> None:
        """Merges a gossip message from another VM into the directory."""
        for record in gossip.vms:
            self.merge_vm(record, now)
        for heartbeat in gossip.vm_heartbeats:
            if not self.merge_vm_heartbeat(heartbeat, now):
                self.synced_peers.discard(gossip.sender)
        for upstream in gossip.upstreams:
            self.merge_upstream(upstream, now)
        for group in gossip.upstream_heartbeats:
            for upstream_heartbeat in group.heartbeats:
                if not self.merge_upstream_heartbeat(
                    group.service, upstream_heartbeat, now
                ):
                    self.synced_peers.discard(gossip.sender)
        for report in gossip.reach_reports:
            self.is_urgent |= self.reach_reports.merge(
                report, self.vms, self.sends_per_update(), now
            )
        if gossip.wants_all_records:
            self.synced_peers.discard(gossip.sender)

    def merge_vm(self, record: messages.Vm, now: float) -> bool:
        """Merges one VM's record; True if the directory changed.

        A record of this VM itself is never stored. If it has a higher
        incarnation, the own incarnation is raised above that.
        """
        if record.name == self.own_record.name:
            self._refute(record)
            return False
        known = self.vms.get(record.name)
        if known is None:
            if len(self.vms) >= MAX_VMS:
                return False
            self.vms[record.name] = KnownVm(
                record, now, self.sends_per_update()
            )
            self.is_urgent = True
            return True
        old = known.record
        if (record.incarnation, record.heartbeat_count) <= (
            old.incarnation,
            old.heartbeat_count,
        ):
            return False
        if (record.incarnation, record.state) != (old.incarnation, old.state):
            known.sends_left = self.sends_per_update()
            self.is_urgent = True
        known.record = record
        known.last_seen_at = now
        known.heartbeat_sends_left = VM_HEARTBEAT_SENDS
        return True

    def merge_vm_heartbeat(
        self, heartbeat: messages.VmHeartbeat, now: float
    ) -> bool:
        """Merges a heartbeat of a VM.

        Returns:
            False if the VM's record is missing or of an earlier incarnation.
        """
        known = self.vms.get(heartbeat.name)
        if known is None or known.record.incarnation < heartbeat.incarnation:
            return heartbeat.name == self.own_record.name
        record = known.record
        if (heartbeat.incarnation, heartbeat.heartbeat_count) <= (
            record.incarnation,
            record.heartbeat_count,
        ):
            return True
        record.heartbeat_count = heartbeat.heartbeat_count
        record.settings_age_ms = heartbeat.settings_age_ms
        record.settings_index = heartbeat.settings_index
        record.load = heartbeat.load
        known.last_seen_at = now
        known.heartbeat_sends_left = VM_HEARTBEAT_SENDS
        return True

    def _refute(self, record: messages.Vm) -> None:
        # Incarnations come from the clock. If it was set back between two
        # starts, the record of the earlier start has the higher incarnation.
        if record.incarnation > self.own_record.incarnation:
            self.own_record.incarnation = record.incarnation + 1

    def merge_upstream(self, record: messages.Upstream, now: float) -> bool:
        """Merges one upstream's record; True if the directory changed."""
        name = (record.service, record.name)
        known = self.upstreams.get(name)
        if known is None and len(self.upstreams) >= MAX_UPSTREAMS:
            return False
        if known is not None and not _is_newer(record, known.record):
            return False
        ttl = min(record.ttl_ms, MAX_TTL_MS) / 1000
        if known is None and ttl <= 0:
            return False
        if known is None or record.state != known.record.state:
            self.is_urgent = True
        self.sequence += 1
        self.upstreams[name] = KnownUpstream(
            record, now + ttl, self.sends_per_update()
        )
        return True

    def merge_upstream_heartbeat(
        self, service: str, heartbeat: messages.UpstreamHeartbeat, now: float
    ) -> bool:
        """Merges a heartbeat of an upstream.

        Returns:
            False if the upstream's record is missing or of an earlier
            incarnation.
        """
        known = self.upstreams.get((service, heartbeat.name))
        if known is None or known.record.incarnation < heartbeat.incarnation:
            return False
        record = known.record
        is_old = heartbeat.heartbeat_count <= record.heartbeat_count
        if heartbeat.incarnation != record.incarnation or is_old:
            return True
        # A new object, so that its users notice the changed load.
        known.record = msgspec.structs.replace(
            record,
            heartbeat_count=heartbeat.heartbeat_count,
            load=float(heartbeat.load),
        )
        left = min(heartbeat.left_ms, MAX_TTL_MS) / 1000
        known.deadline = known.gossip_deadline = now + left
        known.heartbeat_sends_left = self.sends_per_update()
        self.sequence += 1
        return True

    def remove_expired(self, now: float) -> None:
        """Removes records of expired VMs and upstreams.

        VMs are removed after DEAD_SECONDS without a heartbeat. An upstream's
        record is kept for MAX_TTL_MS after its deadline, so that an older
        record still in transit cannot bring the upstream back.
        """
        for name, vm in list(self.vms.items()):
            if now - vm.last_seen_at > DEAD_SECONDS:
                del self.vms[name]
                self.synced_peers.discard(name)
        self.reach_reports.remove_expired(now)
        for key, upstream in list(self.upstreams.items()):
            if now - upstream.deadline > MAX_TTL_MS / 1000:
                del self.upstreams[key]
                self.sequence += 1

    # Outgoing gossip.

    def sends_per_update(self) -> int:
        """Returns how many times a VM forwards one update.

        The number grows with the logarithm of the count of VMs.
        """
        return math.ceil(math.log2(len(self.vms) + 2)) + EXTRA_SENDS

    def make_gossip(
        self, peer: str, now: float, is_full: bool = False
    ) -> messages.Gossip:
        """Returns the gossip message for one peer.

        Each pending update that the message includes counts as sent. A peer
        that is not synced gets all records and is asked for all of its own.

        Args:
            peer: Name of the peer, or "" if it is not known yet.
            now: Current time in seconds.
            is_full: Whether to send all records instead of pending updates.
        """
        wants_all = peer not in self.synced_peers
        if is_full or wants_all:
            vms = [v.record for v in self._live(now) if v.record.name != peer]
            upstreams = [
                _with_remaining_ttl(u, now) for u in self.upstreams.values()
            ]
            return messages.Gossip(
                self.own_record.name,
                0,
                [self.own_record, *vms],
                [],
                upstreams,
                [],
                wants_all,
                self.reach_reports.all(now),
            )
        return messages.Gossip(
            self.own_record.name,
            0,
            [self.own_record, *self._pending_vms(now)],
            self._pending_vm_heartbeats(peer, now),
            self._pending_upstreams(now),
            self._pending_upstream_heartbeats(now),
            False,
            self.reach_reports.pending(now),
        )

    def mark_synced(self, peer: str) -> None:
        """Records that all records were exchanged with `peer`."""
        if peer in self.vms:
            self.synced_peers.add(peer)

    def _live(self, now: float) -> Iterable[KnownVm]:
        return [v for v in self.vms.values() if not v.is_suspect(now)]

    def _pending_vms(self, now: float) -> list[messages.Vm]:
        pending = [v for v in self._live(now) if v.sends_left > 0]
        chosen = heapq.nlargest(
            MAX_RECORDS, pending, key=lambda v: v.sends_left
        )
        for known in chosen:
            known.sends_left -= 1
        return [known.record for known in chosen]

    def _pending_vm_heartbeats(
        self, peer: str, now: float
    ) -> list[messages.VmHeartbeat]:
        pending = [
            v
            for v in self._live(now)
            if v.heartbeat_sends_left > 0 and v.record.name != peer
        ]
        self.random.shuffle(pending)
        chosen = heapq.nlargest(
            MAX_VM_HEARTBEATS, pending, key=lambda v: v.heartbeat_sends_left
        )
        for known in chosen:
            known.heartbeat_sends_left -= 1
        return [_make_vm_heartbeat(known.record) for known in chosen]

    def _pending_upstreams(self, now: float) -> list[messages.Upstream]:
        pending = [u for u in self.upstreams.values() if u.sends_left > 0]
        chosen = heapq.nlargest(
            MAX_RECORDS, pending, key=lambda u: u.sends_left
        )
        for known in chosen:
            known.sends_left -= 1
        return [_with_remaining_ttl(known, now) for known in chosen]

    def _pending_upstream_heartbeats(
        self, now: float
    ) -> list[messages.ServiceHeartbeats]:
        pending = [
            u for u in self.upstreams.values() if u.heartbeat_sends_left > 0
        ]
        chosen = heapq.nlargest(
            MAX_UPSTREAM_HEARTBEATS,
            pending,
            key=lambda u: u.heartbeat_sends_left,
        )
        grouped: dict[str, list[messages.UpstreamHeartbeat]] = {}
        for known in chosen:
            known.heartbeat_sends_left -= 1
            items = grouped.setdefault(known.record.service, [])
            items.append(_make_upstream_heartbeat(known, now))
        return [
            messages.ServiceHeartbeats(s, items) for s, items in grouped.items()
        ]

    def choose_peers(self, now: float) -> list[messages.Vm]:
        """Returns up to two random VMs to gossip with.

        One is in this VM's own failure domain, one in another.
        """
        near: list[messages.Vm] = []
        far: list[messages.Vm] = []
        for known in self.vms.values():
            if known.record.state == lifecycles.VmState.GONE:
                continue
            same = known.record.failure_domain == self.own_record.failure_domain
            (near if same else far).append(known.record)
        return [self.random.choice(group) for group in (near, far) if group]

    def live(self, now: float) -> list[messages.Vm]:
        """Returns the records of all VMs in use, this VM's own first.

        VMs that are suspect or in state "gone" are left out.
        """
        others = [
            known.record
            for known in self._live(now)
            if known.record.state != lifecycles.VmState.GONE
        ]
        return [self.own_record, *others]


def _is_newer(new: messages.Upstream, old: messages.Upstream) -> bool:
    # Within one incarnation the state only moves forward: a delayed "serving"
    # never replaces "leaving", whatever its heartbeat count.
    return _version(new) > _version(old)


def _is_heartbeat(new: messages.Upstream, old: messages.Upstream) -> bool:
    """Tells whether `new` is newer and changes only the heartbeat and load.

    Incarnation, state, address and slots are compared.
    """
    return (
        _version(new) > _version(old)
        and new.incarnation == old.incarnation
        and new.state == old.state
        and new.address == old.address
        and new.slots == old.slots
    )


def _version(record: messages.Upstream) -> tuple[int, int, int]:
    rank = lifecycles.UPSTREAM_STATE_RANKS[
        lifecycles.UpstreamState(record.state)
    ]
    return (record.incarnation, rank, record.heartbeat_count)


def _make_vm_heartbeat(record: messages.Vm) -> messages.VmHeartbeat:
    return messages.VmHeartbeat(
        record.name,
        record.incarnation,
        record.heartbeat_count,
        record.settings_age_ms,
        record.settings_index,
        record.load,
    )


def _make_upstream_heartbeat(
    known: KnownUpstream, now: float
) -> messages.UpstreamHeartbeat:
    record = known.record
    left_ms = max(0, int((known.gossip_deadline - now) * 1000))
    return messages.UpstreamHeartbeat(
        record.name,
        record.incarnation,
        record.heartbeat_count,
        left_ms,
        round(record.load),
    )


def _with_remaining_ttl(known: KnownUpstream, now: float) -> messages.Upstream:
    # The deadline is the one set at this heartbeat, however late a VM receives
    # the record; only a new heartbeat extends it.
    left_ms = max(0, int((known.gossip_deadline - now) * 1000))
    return msgspec.structs.replace(known.record, ttl_ms=left_ms)
