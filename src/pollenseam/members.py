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
MAX_BEATS = 20
MAX_RECORDS = 40
BEAT_COPIES = 5
EXTRA_COPIES = 2
VOUCH_SECONDS = 8.0
RENEW_SECONDS = 5.5
MAX_RENEWALS = 120

UpstreamName = tuple[str, str]


class KnownVm:
    """A VM's latest record here.

    Attributes:
        record: The record.
        heard_at: Time at which its beat last rose.
        copies: Times that the record is still to be passed on.
        beat_copies: Times that its last beat is still to be passed on.
    """

    __slots__ = ("record", "heard_at", "copies", "beat_copies")

    def __init__(
        self, record: messages.Vm, heard_at: float, copies: int
    ) -> None:
        self.record = record
        self.heard_at = heard_at
        self.copies = copies
        self.beat_copies = 0

    def is_suspect(self, now: float) -> bool:
        """Whether it has not been heard of for SUSPECT_SECONDS."""
        return now - self.heard_at > SUSPECT_SECONDS


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
        "told_until",
        "copies",
        "renewal_copies",
    )

    def __init__(
        self, record: messages.Upstream, deadline: float, copies: int
    ) -> None:
        self.record = record
        self.deadline = deadline
        self.told_until = deadline
        self.copies = copies
        self.renewal_copies = 0


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
        "own",
        "vms",
        "upstreams",
        "sequence",
        "met",
        "is_urgent",
        "random",
    )

    def __init__(self, own: messages.Vm, seed: int) -> None:
        self.own = own
        self.vms: dict[str, KnownVm] = {}
        self.upstreams: dict[UpstreamName, KnownUpstream] = {}
        self.sequence = 0
        self.met: set[str] = set()
        self.is_urgent = False
        self.random = random.Random(seed)

    # What this VM says.

    def beat(self, state: str, age_ms: int, index: int, load: float) -> None:
        """Renews the VM's own record."""
        self.own.index = index
        self.own.beat += 1
        self.own.state = state
        self.own.age_ms = age_ms
        self.own.load = load

    def announce(self, record: messages.Upstream, now: float) -> bool:
        """Takes an upstream's own announcement in; False if it is old.

        This VM itself holds to the upstream's time to live. To others it
        vouches for VOUCH_SECONDS, and again when RENEW_SECONDS of that are
        left, so that a renewal has time to spread.
        """
        name = (record.service, record.name)
        known = self.upstreams.get(name)
        ttl = min(record.ttl_ms, MAX_TTL_MS) / 1000
        if known is None or not _is_renewal(record, known.record):
            if not self.merge_upstream(record, now):
                return False
            known = self.upstreams[name]
            known.told_until = now + max(ttl, VOUCH_SECONDS)
        elif known.told_until - now <= RENEW_SECONDS:
            known.record = record
            known.told_until = now + max(ttl, VOUCH_SECONDS)
            known.renewal_copies = self.copies()
            self.sequence += 1
        known.deadline = now + ttl
        return True

    # What others say.

    def merge(self, gossip: messages.Gossip, now: float) -> None:
        """Takes in another VM's news."""
        for record in gossip.vms:
            self.merge_vm(record, now)
        for beat in gossip.beats:
            if not self.merge_beat(beat, now):
                self.met.discard(gossip.sender)
        for upstream in gossip.upstreams:
            self.merge_upstream(upstream, now)
        for renewals in gossip.renewals:
            for renewal in renewals.items:
                if not self.merge_renewal(renewals.service, renewal, now):
                    self.met.discard(gossip.sender)
        if gossip.whole:
            self.met.discard(gossip.sender)

    def merge_vm(self, record: messages.Vm, now: float) -> bool:
        """Takes in one VM's record; True when it was news."""
        if record.name == self.own.name:
            self._refute(record)
            return False
        known = self.vms.get(record.name)
        if known is None:
            if len(self.vms) >= MAX_VMS:
                return False
            self.vms[record.name] = KnownVm(record, now, self.copies())
            self.is_urgent = True
            return True
        old = known.record
        if (record.incarnation, record.beat) <= (old.incarnation, old.beat):
            return False
        if (record.incarnation, record.state) != (old.incarnation, old.state):
            known.copies = self.copies()
            self.is_urgent = True
        known.record = record
        known.heard_at = now
        known.beat_copies = BEAT_COPIES
        return True

    def merge_beat(self, beat: messages.Beat, now: float) -> bool:
        """Takes in a sign of life; False when its record is missing."""
        known = self.vms.get(beat.name)
        if known is None or known.record.incarnation < beat.incarnation:
            return beat.name == self.own.name
        record = known.record
        if (beat.incarnation, beat.beat) <= (record.incarnation, record.beat):
            return True
        record.beat = beat.beat
        record.age_ms = beat.age_ms
        record.index = beat.index
        record.load = beat.load
        known.heard_at = now
        known.beat_copies = BEAT_COPIES
        return True

    def _refute(self, record: messages.Vm) -> None:
        # A record of an earlier start may outlive a clock that went back.
        if record.incarnation > self.own.incarnation:
            self.own.incarnation = record.incarnation + 1

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
        self.upstreams[name] = KnownUpstream(record, now + ttl, self.copies())
        return True

    def merge_renewal(
        self, service: str, renewal: messages.Renewal, now: float
    ) -> bool:
        """Takes in a sign of life; False when its record is missing."""
        known = self.upstreams.get((service, renewal.name))
        if known is None or known.record.incarnation < renewal.incarnation:
            return False
        record = known.record
        is_old = renewal.beat <= record.beat
        if renewal.incarnation != record.incarnation or is_old:
            return True
        # A new object, so that its users see that the load is news.
        known.record = msgspec.structs.replace(
            record, beat=renewal.beat, load=float(renewal.load)
        )
        left = min(renewal.left_ms, MAX_TTL_MS) / 1000
        known.deadline = known.told_until = now + left
        known.renewal_copies = self.copies()
        self.sequence += 1
        return True

    def forget(self, now: float) -> None:
        """Drops what is long dead.

        A record stays for a while after its deadline, so that an older one
        that is still under way cannot bring the upstream back.
        """
        for name, vm in list(self.vms.items()):
            if now - vm.heard_at > DEAD_SECONDS:
                del self.vms[name]
                self.met.discard(name)
        for key, upstream in list(self.upstreams.items()):
            if now - upstream.deadline > MAX_TTL_MS / 1000:
                del self.upstreams[key]
                self.sequence += 1

    # What is passed on.

    def copies(self) -> int:
        """Returns how many times each VM passes a piece of news on."""
        return math.ceil(math.log2(len(self.vms) + 2)) + EXTRA_COPIES

    def gossip_to(
        self, peer: str, now: float, whole: bool = False
    ) -> messages.Gossip:
        """Returns the news for one peer.

        Args:
            peer: Name of the peer, or "" when not known yet.
            now: Time.
            whole: Whether to send all records, news or not.
        """
        ask = peer not in self.met
        if whole or ask:
            vms = [v.record for v in self._live(now) if v.record.name != peer]
            upstreams = [_aged(u, now) for u in self.upstreams.values()]
            return messages.Gossip(
                self.own.name, 0, [self.own, *vms], [], upstreams, [], ask
            )
        return messages.Gossip(
            self.own.name,
            0,
            [self.own, *self._news_of_vms(now)],
            self._beats(peer, now),
            self._news_of_upstreams(now),
            self._renewals(now),
        )

    def note_met(self, peer: str) -> None:
        """Notes that `peer` has been sent, and has sent, all records."""
        if peer in self.vms:
            self.met.add(peer)

    def _live(self, now: float) -> Iterable[KnownVm]:
        return [v for v in self.vms.values() if not v.is_suspect(now)]

    def _news_of_vms(self, now: float) -> list[messages.Vm]:
        fresh = [v for v in self._live(now) if v.copies > 0]
        chosen = heapq.nlargest(MAX_RECORDS, fresh, key=lambda v: v.copies)
        for known in chosen:
            known.copies -= 1
        return [known.record for known in chosen]

    def _beats(self, peer: str, now: float) -> list[messages.Beat]:
        fresh = [
            v
            for v in self._live(now)
            if v.beat_copies > 0 and v.record.name != peer
        ]
        self.random.shuffle(fresh)
        chosen = heapq.nlargest(MAX_BEATS, fresh, key=lambda v: v.beat_copies)
        for known in chosen:
            known.beat_copies -= 1
        return [_beat(known.record) for known in chosen]

    def _news_of_upstreams(self, now: float) -> list[messages.Upstream]:
        fresh = [u for u in self.upstreams.values() if u.copies > 0]
        chosen = heapq.nlargest(MAX_RECORDS, fresh, key=lambda u: u.copies)
        for known in chosen:
            known.copies -= 1
        return [_aged(known, now) for known in chosen]

    def _renewals(self, now: float) -> list[messages.Renewals]:
        fresh = [u for u in self.upstreams.values() if u.renewal_copies > 0]
        chosen = heapq.nlargest(
            MAX_RENEWALS, fresh, key=lambda u: u.renewal_copies
        )
        grouped: dict[str, list[messages.Renewal]] = {}
        for known in chosen:
            known.renewal_copies -= 1
            items = grouped.setdefault(known.record.service, [])
            items.append(_renewal(known, now))
        return [messages.Renewals(s, items) for s, items in grouped.items()]

    def choose_peers(self, now: float) -> list[messages.Vm]:
        """Returns one VM of the own failure domain and one of another."""
        near: list[messages.Vm] = []
        far: list[messages.Vm] = []
        for known in self.vms.values():
            if known.record.state == lifecycles.VmState.GONE:
                continue
            same = known.record.failure_domain == self.own.failure_domain
            (near if same else far).append(known.record)
        return [self.random.choice(group) for group in (near, far) if group]

    def live(self, now: float) -> list[messages.Vm]:
        """Returns the records of all VMs that are not suspect, own first."""
        others = [
            known.record
            for known in self._live(now)
            if known.record.state != lifecycles.VmState.GONE
        ]
        return [self.own, *others]


def _is_newer(new: messages.Upstream, old: messages.Upstream) -> bool:
    # Within an incarnation an upstream only moves on: a late "serving"
    # never overtakes "leaving", whatever its beat.
    return _order(new) > _order(old)


def _is_renewal(new: messages.Upstream, old: messages.Upstream) -> bool:
    """Tells whether nothing but the beat and the load differs."""
    return (
        _order(new) > _order(old)
        and new.incarnation == old.incarnation
        and new.state == old.state
        and new.address == old.address
        and new.slots == old.slots
    )


def _order(record: messages.Upstream) -> tuple[int, int, int]:
    rank = lifecycles.RANKS[lifecycles.UpstreamState(record.state)]
    return (record.incarnation, rank, record.beat)


def _beat(record: messages.Vm) -> messages.Beat:
    return messages.Beat(
        record.name,
        record.incarnation,
        record.beat,
        record.age_ms,
        record.index,
        record.load,
    )


def _renewal(known: KnownUpstream, now: float) -> messages.Renewal:
    record = known.record
    left_ms = max(0, int((known.told_until - now) * 1000))
    return messages.Renewal(
        record.name,
        record.incarnation,
        record.beat,
        left_ms,
        round(record.load),
    )


def _aged(known: KnownUpstream, now: float) -> messages.Upstream:
    # Others keep the deadline that came with this beat, however late they
    # hear of it; a longer one needs a new beat.
    left_ms = max(0, int((known.told_until - now) * 1000))
    return msgspec.structs.replace(known.record, ttl_ms=left_ms)
