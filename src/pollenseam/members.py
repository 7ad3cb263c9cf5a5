"""The membership: records of VMs and upstreams, spread by gossip.

News is passed on a few times by each VM that hears it (Demers et al., 1987),
so that what a VM sends grows with what changes, not with the fleet; a whole
exchange now and then repairs what was missed. Signs of life are small and
their number per message is bounded.
"""

import heapq
import math
import random
from collections.abc import Iterable

import msgspec

from pollenseam import lifecycles
from pollenseam import messages

SUSPECT_SECONDS = 4.0
DEAD_SECONDS = 15.0
MAX_TTL_MS = 60_000
MAX_UPSTREAMS = 20_000
MAX_VMS = 10_000
MAX_VM_HEARTBEATS = 20
MAX_RECORDS = 40
VM_HEARTBEAT_SENDS = 5
EXTRA_SENDS = 2
MIN_GOSSIP_TTL_SECONDS = 8.0
HEARTBEAT_MARGIN_SECONDS = 5.5
MAX_UPSTREAM_HEARTBEATS = 120

UpstreamName = tuple[str, str]


class KnownVm:
    """A VM's latest record here.

    Attributes:
        record: The record.
        heard_at: Time at which its beat last rose.
        copies: Times that the record is still to be passed on.
        beat_copies: Times that its last beat is still to be passed on.
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
        """Whether it has not been heard of for SUSPECT_SECONDS."""
        return now - self.last_seen_at > SUSPECT_SECONDS


class KnownUpstream:
    """An upstream's latest record here.

    Attributes:
        record: The record, as announced.
        deadline: Time after which it must not be used.
        told_until: Deadline that others are told of.
        copies: Times that the record is still to be passed on.
        renewal_copies: Times that its last beat is still to be passed on.
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
    """All records that one VM knows.

    Attributes:
        own: The VM's own record.
        vms: Other VMs by name.
        upstreams: Upstreams by service and name.
        sequence: Count of changes of upstreams so far.
        met: VMs that this one has exchanged whole records with.
        is_urgent: Whether there is news that should not wait for a round.
        random: Seeded source for the choice of peers.
    """

    __slots__ = (
        "own_record",
        "vms",
        "upstreams",
        "sequence",
        "synced_peers",
        "is_urgent",
        "random",
    )

    def __init__(self, own_record: messages.Vm, seed: int) -> None:
        self.own_record = own_record
        self.vms: dict[str, KnownVm] = {}
        self.upstreams: dict[UpstreamName, KnownUpstream] = {}
        self.sequence = 0
        self.synced_peers: set[str] = set()
        self.is_urgent = False
        self.random = random.Random(seed)

    # What this VM says.

    def update_own(
        self, state: str, age_ms: int, index: int, load: float
    ) -> None:
        """Renews the VM's own record."""
        self.own_record.settings_index = index
        self.own_record.heartbeat_count += 1
        self.own_record.state = state
        self.own_record.settings_age_ms = age_ms
        self.own_record.load = load

    def announce(self, record: messages.Upstream, now: float) -> bool:
        """Takes an upstream's own announcement in; False if it is old.

        This VM itself holds to the upstream's time to live. To others it
        vouches for VOUCH_SECONDS, and again when RENEW_SECONDS of that are
        left, so that a renewal has time to spread.
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

    # What others say.

    def merge(self, gossip: messages.Gossip, now: float) -> None:
        """Takes in another VM's news."""
        for record in gossip.vms:
            self.merge_vm(record, now)
        for beat in gossip.vm_heartbeats:
            if not self.merge_vm_heartbeat(beat, now):
                self.synced_peers.discard(gossip.sender)
        for upstream in gossip.upstreams:
            self.merge_upstream(upstream, now)
        for renewals in gossip.upstream_heartbeats:
            for renewal in renewals.heartbeats:
                if not self.merge_upstream_heartbeat(
                    renewals.service, renewal, now
                ):
                    self.synced_peers.discard(gossip.sender)
        if gossip.wants_all_records:
            self.synced_peers.discard(gossip.sender)

    def merge_vm(self, record: messages.Vm, now: float) -> bool:
        """Takes in one VM's record; True when it was news."""
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
        self, beat: messages.VmHeartbeat, now: float
    ) -> bool:
        """Takes in a sign of life; False when its record is missing."""
        known = self.vms.get(beat.name)
        if known is None or known.record.incarnation < beat.incarnation:
            return beat.name == self.own_record.name
        record = known.record
        if (beat.incarnation, beat.heartbeat_count) <= (
            record.incarnation,
            record.heartbeat_count,
        ):
            return True
        record.heartbeat_count = beat.heartbeat_count
        record.settings_age_ms = beat.settings_age_ms
        record.settings_index = beat.settings_index
        record.load = beat.load
        known.last_seen_at = now
        known.heartbeat_sends_left = VM_HEARTBEAT_SENDS
        return True

    def _refute(self, record: messages.Vm) -> None:
        # A record of an earlier start may outlive a clock that went back.
        if record.incarnation > self.own_record.incarnation:
            self.own_record.incarnation = record.incarnation + 1

    def merge_upstream(self, record: messages.Upstream, now: float) -> bool:
        """Takes in one upstream's record; True when it was news."""
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
        self, service: str, renewal: messages.UpstreamHeartbeat, now: float
    ) -> bool:
        """Takes in a sign of life; False when its record is missing."""
        known = self.upstreams.get((service, renewal.name))
        if known is None or known.record.incarnation < renewal.incarnation:
            return False
        record = known.record
        is_old = renewal.heartbeat_count <= record.heartbeat_count
        if renewal.incarnation != record.incarnation or is_old:
            return True
        # A new object, so that its users see that the load is news.
        known.record = msgspec.structs.replace(
            record,
            heartbeat_count=renewal.heartbeat_count,
            load=float(renewal.load),
        )
        left = min(renewal.left_ms, MAX_TTL_MS) / 1000
        known.deadline = known.gossip_deadline = now + left
        known.heartbeat_sends_left = self.sends_per_update()
        self.sequence += 1
        return True

    def remove_expired(self, now: float) -> None:
        """Drops what is long dead.

        A record stays for a while after its deadline, so that an older one
        that is still under way cannot bring the upstream back.
        """
        for name, vm in list(self.vms.items()):
            if now - vm.last_seen_at > DEAD_SECONDS:
                del self.vms[name]
                self.synced_peers.discard(name)
        for key, upstream in list(self.upstreams.items()):
            if now - upstream.deadline > MAX_TTL_MS / 1000:
                del self.upstreams[key]
                self.sequence += 1

    # What is passed on.

    def sends_per_update(self) -> int:
        """Returns how many times each VM passes a piece of news on."""
        return math.ceil(math.log2(len(self.vms) + 2)) + EXTRA_SENDS

    def make_gossip(
        self, peer: str, now: float, is_full: bool = False
    ) -> messages.Gossip:
        """Returns the news for one peer.

        Args:
            peer: Name of the peer, or "" when not known yet.
            now: Time.
            whole: Whether to send all records, news or not.
        """
        ask = peer not in self.synced_peers
        if is_full or ask:
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
                ask,
            )
        return messages.Gossip(
            self.own_record.name,
            0,
            [self.own_record, *self._pending_vms(now)],
            self._pending_vm_heartbeats(peer, now),
            self._pending_upstreams(now),
            self._pending_upstream_heartbeats(now),
        )

    def mark_synced(self, peer: str) -> None:
        """Notes that `peer` has been sent, and has sent, all records."""
        if peer in self.vms:
            self.synced_peers.add(peer)

    def _live(self, now: float) -> Iterable[KnownVm]:
        return [v for v in self.vms.values() if not v.is_suspect(now)]

    def _pending_vms(self, now: float) -> list[messages.Vm]:
        fresh = [v for v in self._live(now) if v.sends_left > 0]
        chosen = heapq.nlargest(MAX_RECORDS, fresh, key=lambda v: v.sends_left)
        for known in chosen:
            known.sends_left -= 1
        return [known.record for known in chosen]

    def _pending_vm_heartbeats(
        self, peer: str, now: float
    ) -> list[messages.VmHeartbeat]:
        fresh = [
            v
            for v in self._live(now)
            if v.heartbeat_sends_left > 0 and v.record.name != peer
        ]
        self.random.shuffle(fresh)
        chosen = heapq.nlargest(
            MAX_VM_HEARTBEATS, fresh, key=lambda v: v.heartbeat_sends_left
        )
        for known in chosen:
            known.heartbeat_sends_left -= 1
        return [_make_vm_heartbeat(known.record) for known in chosen]

    def _pending_upstreams(self, now: float) -> list[messages.Upstream]:
        fresh = [u for u in self.upstreams.values() if u.sends_left > 0]
        chosen = heapq.nlargest(MAX_RECORDS, fresh, key=lambda u: u.sends_left)
        for known in chosen:
            known.sends_left -= 1
        return [_with_remaining_ttl(known, now) for known in chosen]

    def _pending_upstream_heartbeats(
        self, now: float
    ) -> list[messages.ServiceHeartbeats]:
        fresh = [
            u for u in self.upstreams.values() if u.heartbeat_sends_left > 0
        ]
        chosen = heapq.nlargest(
            MAX_UPSTREAM_HEARTBEATS, fresh, key=lambda u: u.heartbeat_sends_left
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
        """Returns one VM of the own failure domain and one of another."""
        near: list[messages.Vm] = []
        far: list[messages.Vm] = []
        for known in self.vms.values():
            if known.record.state == lifecycles.VmState.GONE:
                continue
            same = known.record.failure_domain == self.own_record.failure_domain
            (near if same else far).append(known.record)
        return [self.random.choice(group) for group in (near, far) if group]

    def live(self, now: float) -> list[messages.Vm]:
        """Returns the records of all VMs that are not suspect, own first."""
        others = [
            known.record
            for known in self._live(now)
            if known.record.state != lifecycles.VmState.GONE
        ]
        return [self.own_record, *others]


def _is_newer(new: messages.Upstream, old: messages.Upstream) -> bool:
    # Within an incarnation an upstream only moves on: a late "serving"
    # never overtakes "leaving", whatever its beat.
    return _version(new) > _version(old)


def _is_heartbeat(new: messages.Upstream, old: messages.Upstream) -> bool:
    """Tells whether nothing but the beat and the load differs."""
    return (
        _version(new) > _version(old)
        and new.incarnation == old.incarnation
        and new.state == old.state
        and new.address == old.address
        and new.slots == old.slots
    )


def _version(record: messages.Upstream) -> tuple[int, int, int]:
    rank = lifecycles.RANKS[lifecycles.UpstreamState(record.state)]
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
    # Others keep the deadline that came with this beat, however late they
    # hear of it; a longer one needs a new beat.
    left_ms = max(0, int((known.gossip_deadline - now) * 1000))
    return msgspec.structs.replace(known.record, ttl_ms=left_ms)
