"""The membership: records of VMs and upstreams, spread by gossip."""

import random

from pollenseam import lifecycles
from pollenseam import messages

SUSPECT_SECONDS = 3.0
DEAD_SECONDS = 15.0
MAX_TTL_MS = 60_000
MAX_UPSTREAMS = 20_000
MAX_VMS = 10_000

UpstreamName = tuple[str, str]


class KnownVm:
    """A VM's latest record here.

    Attributes:
        record: The record.
        heard_at: Time at which its beat last rose.
        sequence: Local count of changes at which it last changed.
    """

    __slots__ = ("record", "heard_at", "sequence")

    def __init__(
        self, record: messages.Vm, heard_at: float, sequence: int
    ) -> None:
        self.record = record
        self.heard_at = heard_at
        self.sequence = sequence

    def is_suspect(self, now: float) -> bool:
        """Whether it has not been heard of for SUSPECT_SECONDS."""
        return now - self.heard_at > SUSPECT_SECONDS


class KnownUpstream:
    """An upstream's latest record here.

    Attributes:
        record: The record, as announced.
        deadline: Time after which it must not be used.
        sequence: Local count of changes at which it last changed.
    """

    __slots__ = ("record", "deadline", "sequence")

    def __init__(
        self, record: messages.Upstream, deadline: float, sequence: int
    ) -> None:
        self.record = record
        self.deadline = deadline
        self.sequence = sequence


class Directory:
    """All records that one VM knows.

    Attributes:
        own: The VM's own record.
        vms: Other VMs by name.
        upstreams: Upstreams by service and name.
        sequence: Count of changes so far.
        sent: Sequence up to which each VM has been sent records.
        random: Seeded source for the choice of peers.
    """

    __slots__ = ("own", "vms", "upstreams", "sequence", "sent", "random")

    def __init__(self, own: messages.Vm, seed: int) -> None:
        self.own = own
        self.vms: dict[str, KnownVm] = {}
        self.upstreams: dict[UpstreamName, KnownUpstream] = {}
        self.sequence = 0
        self.sent: dict[str, int] = {}
        self.random = random.Random(seed)

    def beat(self, state: str, age_ms: int, index: int, load: float) -> None:
        """Renews the VM's own record."""
        self.own.index = index
        self.own.beat += 1
        self.own.state = state
        self.own.age_ms = age_ms
        self.own.load = load

    def merge(self, gossip: messages.Gossip, now: float) -> int:
        """Takes in another VM's records; returns how many were news."""
        news = 0
        for record in gossip.vms:
            news += self.merge_vm(record, now)
        for upstream in gossip.upstreams:
            news += self.merge_upstream(upstream, now)
        return news

    def merge_vm(self, record: messages.Vm, now: float) -> bool:
        """Takes in one VM's record; True when it was news."""
        if record.name == self.own.name:
            self._refute(record)
            return False
        known = self.vms.get(record.name)
        if known is None and len(self.vms) >= MAX_VMS:
            return False
        if known is not None and not _is_newer_vm(record, known.record):
            return False
        self.sequence += 1
        self.vms[record.name] = KnownVm(record, now, self.sequence)
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
        if known is not None and not _is_newer_upstream(record, known.record):
            return False
        ttl = min(record.ttl_ms, MAX_TTL_MS) / 1000
        if known is None and ttl <= 0:
            return False
        self.sequence += 1
        known = KnownUpstream(record, now + ttl, self.sequence)
        self.upstreams[name] = known
        return True

    def forget(self, now: float) -> None:
        """Drops what is long dead.

        A record stays for a while after its deadline, so that an older one
        that is still under way cannot bring the upstream back.
        """
        for name, vm in list(self.vms.items()):
            if now - vm.heard_at > DEAD_SECONDS:
                del self.vms[name]
                self.sent.pop(name, None)
        for key, upstream in list(self.upstreams.items()):
            if now - upstream.deadline > MAX_TTL_MS / 1000:
                del self.upstreams[key]

    def gossip_to(
        self, peer: str, now: float, logical: int, whole: bool = False
    ) -> messages.Gossip:
        """Returns what changed since the last exchange with `peer`."""
        after = 0 if whole else self.sent.get(peer, 0)
        vms = [self.own]
        vms += [
            known.record
            for known in self.vms.values()
            if known.sequence > after
            and known.record.name != peer
            and not known.is_suspect(now)
        ]
        upstreams = [
            _aged(known, now)
            for known in self.upstreams.values()
            if known.sequence > after
        ]
        return messages.Gossip(
            self.own.name, logical, vms, upstreams, peer not in self.sent
        )

    def note_sent(self, peer: str, sequence: int) -> None:
        """Notes that `peer` has all records up to `sequence`."""
        self.sent[peer] = max(self.sent.get(peer, 0), sequence)

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
            for known in self.vms.values()
            if not known.is_suspect(now)
            and known.record.state != lifecycles.VmState.GONE
        ]
        return [self.own, *others]


def _is_newer_vm(new: messages.Vm, old: messages.Vm) -> bool:
    return (new.incarnation, new.beat) > (old.incarnation, old.beat)


def _is_newer_upstream(new: messages.Upstream, old: messages.Upstream) -> bool:
    # Within an incarnation an upstream only moves on: a late "serving"
    # never overtakes "leaving", whatever its beat.
    return _age_key(new) > _age_key(old)


def _age_key(record: messages.Upstream) -> tuple[int, int, int]:
    rank = lifecycles.RANKS[lifecycles.UpstreamState(record.state)]
    return (record.incarnation, rank, record.beat)


def _aged(known: KnownUpstream, now: float) -> messages.Upstream:
    record = known.record
    left_ms = max(0, int((known.deadline - now) * 1000))
    return messages.Upstream(
        record.service,
        record.name,
        record.incarnation,
        record.beat,
        record.state,
        record.address,
        record.region,
        record.failure_domain,
        record.slots,
        record.connections,
        record.load,
        left_ms,
    )
