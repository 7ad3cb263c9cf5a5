"""Which upstream a request goes to, without input or output.

Every VM orders the upstreams of a service in the same way for the same
object (rendezvous hashing, Thaler and Ravishankar, 1998), so that an object
is mostly served where it is known. From that order a request takes the
upstream with the earliest expected answer: travel, wait and work, which is
shorter where the object is known.
"""

import collections
import hashlib
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping

from pollenseam import registry

# Work on an object that an upstream knows, as a part of the work on others.
KNOWN_WORK_RATIO = 0.35
# A send to an upstream that does not know the object makes it learn it, at
# the cost of others that wait there.
STRAY_COST_SECONDS = 0.8
MAX_KNOWN = 48
DEFAULT_WORK_SECONDS = 0.5
REPORT_HALF_LIFE_SECONDS = 0.7
STATISTIC_WEIGHT = 0.1
SLOWNESS_WEIGHT = 0.25
SLOWNESS_HALF_LIFE_SECONDS = 3.0
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_SECONDS = 3.0
FAILURE_COST_SECONDS = 2.0
REGION_COST_SECONDS = 0.1
DOMAIN_COST_SECONDS = 0.002
# An overflow into another region costs this much more than a planned one:
# requests move between regions slowly.
OVERFLOW_COST_SECONDS = 0.35
SUSPECT_COST_SECONDS = 100.0
SUSPECT_SECONDS = 1.0
MAX_SUSPECT_SECONDS = 8.0
FULL_SECONDS = 0.1
# An upstream that has not answered anything for this long, and for this many
# times the expected time, is held to be silent.
SILENT_SECONDS = 0.8
SILENT_RATIO = 2.5
# After its start an upstream is taught what it will know.
LEARNING_SECONDS = 8.0
# Work on a cold upstream, over that on a warm one.
COLD_WORK_RATIO = 2.0
# Part of the sends of a short while that may leave their region for room.
OVERFLOW_RATIO = 0.08
OVERFLOW_WINDOW_SECONDS = 2.0
# A wait that is always worth it.
MIN_WAIT_SECONDS = 0.2
# Load up to which an upstream takes objects that it does not know.
STRAY_LOAD_RATIO = 0.67
# Upstreams queue a few more than they have slots for, and shed the rest.
FULL_LOAD_RATIO = 3.5
FULL_COST_SECONDS = 2.0
# VMs that send to a cold upstream: each may send one at the same moment.
MAX_COLD_SENDERS = 3


class Send:
    """A send that has no answer yet.

    Attributes:
        started: Time of the send.
        expected: Expected seconds to its answer.
    """

    __slots__ = ("started", "expected")

    def __init__(self, started: float, expected: float) -> None:
        self.started = started
        self.expected = expected


class Upstream:
    """One start of an upstream, and what this VM has learnt of it.

    Attributes:
        record: As the registry has it.
        region: Its region.
        in_flight: Requests that this VM has running on it.
        others: Requests of other VMs that its last report implied.
        reported_at: Time of that report.
        slowness: Observed over expected time to answer, smoothed.
        failure_ratio: Smoothed share of failures and sheds.
        judged_at: Time of the last change of the two.
        failures: Failures to connect or to answer, in a row.
        suspect_until: Time until which it only serves when no other can.
        full_until: Time until which it is held to be full, after a shed.
        cold_until: Time until which it is cold.
        cold_rate: Requests per second that this VM may send it while it is
            cold; None when there is no limit.
        cold_tokens: Requests that this VM may send it while it is cold.
        cold_filled_at: Time of the last fill of those.
        known: Objects that it served for this VM lately, oldest first.
        seen_at: Time at which this VM first heard of it.
        answered_at: Time of its last answer.
        sends: Sends without an answer yet, oldest first.
    """

    __slots__ = (
        "record",
        "region",
        "in_flight",
        "others",
        "reported_at",
        "slowness",
        "failure_ratio",
        "judged_at",
        "failures",
        "suspect_until",
        "full_until",
        "cold_until",
        "cold_rate",
        "cold_tokens",
        "cold_filled_at",
        "known",
        "seen_at",
        "answered_at",
        "sends",
        "seed",
    )

    def __init__(
        self, record: registry.Upstream, region: str, now: float
    ) -> None:
        self.record = record
        self.region = region
        self.in_flight = 0
        self.others = 0.0
        self.reported_at = now
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.judged_at = now
        self.failures = 0
        self.suspect_until = now
        self.full_until = now
        self.cold_until = now
        self.cold_rate: float | None = None
        self.cold_tokens = 1.0
        self.cold_filled_at = now
        self.known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.seen_at = now
        self.answered_at = now
        self.sends: list[Send] = []
        self.seed = record.id.encode()

    def load(self, now: float) -> float:
        """Returns the requests that it is expected to have now."""
        age = now - self.reported_at
        return self.in_flight + self.others * _fade(
            age, REPORT_HALF_LIFE_SECONDS
        )

    def report(self, running: int, waiting: int, now: float) -> None:
        """Takes in its own report; what is not this VM's is the others'."""
        self.others = max(0.0, running + waiting - self.in_flight)
        self.reported_at = now

    def succeed(
        self, object: str | None, seconds: float, expected: float, now: float
    ) -> None:
        """Notes an answer and how long it took."""
        self.failures = 0
        self.answered_at = now
        self.suspect_until = now
        self._decay(now)
        ratio = min(MAX_SLOWNESS, seconds / max(expected, 0.001))
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT
        self.failure_ratio *= 1 - FAILURE_WEIGHT
        if object is not None:
            self.known[object] = None
            self.known.move_to_end(object)
            while len(self.known) > MAX_KNOWN:
                self.known.popitem(last=False)

    def shed(self, now: float) -> None:
        """Notes that it was full, or said so."""
        self.answered_at = now
        self._decay(now)
        self.failure_ratio += (1 - self.failure_ratio) * FAILURE_WEIGHT
        self.full_until = now + FULL_SECONDS

    def err(self, now: float) -> None:
        """Notes an answer that is a failure."""
        self.failures = 0
        self.answered_at = now
        self._decay(now)
        self.failure_ratio += (1 - self.failure_ratio) * FAILURE_WEIGHT

    def fail(self, now: float) -> None:
        """Notes that it could not be reached, or did not answer."""
        failures = self.failures
        self.err(now)
        self.failures = failures + 1
        seconds = SUSPECT_SECONDS * 2 ** min(self.failures - 1, 3)
        self.suspect_until = now + min(seconds, MAX_SUSPECT_SECONDS)

    def _decay(self, now: float) -> None:
        age = now - self.judged_at
        fade = _fade(age, SLOWNESS_HALF_LIFE_SECONDS)
        self.slowness = 1 + (self.slowness - 1) * fade
        self.failure_ratio *= _fade(age, FAILURE_HALF_LIFE_SECONDS)
        self.judged_at = now

    def judged_slowness(self, now: float) -> float:
        """Returns its slowness, faded since it was last observed."""
        fade = _fade(now - self.judged_at, SLOWNESS_HALF_LIFE_SECONDS)
        return max(MIN_SLOWNESS, 1 + (self.slowness - 1) * fade)

    def judged_failures(self, now: float) -> float:
        """Returns its share of failures, faded since it was observed."""
        fade = _fade(now - self.judged_at, FAILURE_HALF_LIFE_SECONDS)
        return self.failure_ratio * fade

    def admits(self, now: float) -> bool:
        """Tells whether it is warm, or this VM has a token for it."""
        if self.cold_until <= now or self.cold_rate is None:
            return True
        filled = (now - self.cold_filled_at) * self.cold_rate
        self.cold_tokens = min(1.0, self.cold_tokens + filled)
        self.cold_filled_at = now
        return self.cold_rate > 0 and self.cold_tokens >= 1.0

    def begin(self, expected: float, now: float) -> Send:
        """Notes a send; pass what it returns to `end`.

        Args:
            expected: Expected seconds to its answer.
            now: Time in seconds.
        """
        if self.cold_until > now and self.cold_rate is not None:
            self.cold_tokens -= 1.0
        send = Send(now, expected)
        self.sends.append(send)
        self.in_flight += 1
        return send

    def end(self, send: Send) -> None:
        """Notes that a send has come to its end."""
        self.sends.remove(send)
        self.in_flight -= 1

    def is_silent(self, now: float) -> bool:
        """Tells whether it has been without any answer for too long."""
        if not self.sends:
            return False
        oldest = self.sends[0]
        silence = now - max(oldest.started, self.answered_at)
        return silence > max(SILENT_SECONDS, SILENT_RATIO * oldest.expected)


class Choice:
    """The upstream that a request should go to.

    Its wait may be longer than the request has patience for; then it should
    be refused, and may come back when that has passed.

    Attributes:
        upstream: It.
        rank: Its place in the order for the object.
        wait_seconds: Expected wait for a slot.
        work_seconds: Expected time at a slot, with travel.
        excess_seconds: Expected wait beyond what is worth waiting.
    """

    __slots__ = (
        "upstream",
        "rank",
        "wait_seconds",
        "work_seconds",
        "excess_seconds",
    )

    def __init__(
        self,
        upstream: Upstream,
        rank: int,
        wait_seconds: float,
        work_seconds: float,
        excess_seconds: float = 0.0,
    ) -> None:
        self.excess_seconds = excess_seconds
        self.upstream = upstream
        self.rank = rank
        self.wait_seconds = wait_seconds
        self.work_seconds = work_seconds

    @property
    def seconds(self) -> float:
        """Expected time to the answer."""
        return self.wait_seconds + self.work_seconds


class _Weighed:
    """A choice and what it costs; one without excess goes first."""

    __slots__ = ("choice", "key")

    def __init__(self, choice: Choice, cost: float) -> None:
        self.choice = choice
        self.key = (choice.excess_seconds > 0, cost)


class Statistics:
    """Times to answer by route, smoothed: without known objects."""

    __slots__ = ("works",)

    def __init__(self) -> None:
        self.works: dict[str, float] = {}

    def work(self, route: str) -> float:
        """Returns the expected work on an object that is not known."""
        return self.works.get(route, DEFAULT_WORK_SECONDS)

    def note(self, route: str, seconds: float) -> None:
        """Takes in the work that an answer implies."""
        work = self.works.setdefault(route, seconds)
        self.works[route] = work + (seconds - work) * STATISTIC_WEIGHT


class Ask:
    """What a request needs of an upstream.

    Attributes:
        route: Name of its route.
        object: What it concerns, or None.
        regions: Regions that may serve it; all when empty.
        tried: Ids of upstreams that must not get it again.
        patience: Seconds within which an answer should be expected.
    """

    __slots__ = ("route", "object", "regions", "tried", "patience")

    def __init__(
        self,
        route: str,
        object: str | None,
        regions: Container[str],
        tried: Container[str],
        patience: float = 1.0,
    ) -> None:
        self.patience = patience
        self.route = route
        self.object = object
        self.regions = regions
        self.tried = tried


class Pool:
    """The upstreams of one service as one entry VM uses them.

    Attributes:
        upstreams: By id.
        region: Region of the VM.
        domain: Failure domain of the VM.
        home_share: Part of this region's objects that its own upstreams
            have room for, when all regions ask for the same.
        cold_rate: Requests per second that a cold one tolerates from all
            VMs; 0 when there is no limit.
        vms: Entry VMs, with their regions.
        name: Name of this VM.
        statistics: Expected work by route.
        sends: Choices of the last OVERFLOW_WINDOW_SECONDS by time; True for
            those that left their region for room.
    """

    __slots__ = (
        "upstreams",
        "region",
        "domain",
        "home_share",
        "cold_rate",
        "vms",
        "name",
        "statistics",
        "sends",
        "_orders",
        "_next_id",
    )

    def __init__(
        self, name: str, region: str, domain: str, statistics: Statistics
    ) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.name = name
        self.vms: dict[str, str] = {name: region}
        self.region = region
        self.domain = domain
        self.home_share = 1.0
        self.cold_rate = 0.0
        self.statistics = statistics
        self.sends: dict[float, bool] = {}
        self._orders: dict[str, list[Upstream]] = {}
        self._next_id = 0

    def update(
        self,
        records: Iterable[registry.Upstream],
        regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Uses exactly these records, keeping what is known of them.

        Args:
            records: Upstreams that may get requests.
            regions: Region of each failure domain.
            now: Time in seconds.
        """
        before = self.upstreams
        self.upstreams = {}
        for record in records:
            known = before.get(record.id)
            if known is None or known.record.born_ms != record.born_ms:
                region = regions.get(record.failure_domain, "")
                known = Upstream(record, region, now)
                known.cold_until = now + record.cold_ms / 1000
            elif known.record is not record and record.cold_ms > 0:
                if known.record.noted_ms != record.noted_ms:
                    known.cold_until = now + record.cold_ms / 1000
            known.record = record
            self.upstreams[record.id] = known
        self.home_share = self._home_share(regions)
        self._orders.clear()
        self.share_cold(self.cold_rate, self.vms)

    def share_cold(self, rate: float, vms: dict[str, str]) -> None:
        """Divides what cold upstreams tolerate between a few VMs each.

        A few, because each may send one at once; the nearest, in an order
        that all VMs know.

        Args:
            rate: Requests per second that each tolerates; 0 for no limit.
            vms: Region of each entry VM.
        """
        self.cold_rate = rate
        self.vms = vms
        for upstream in self.upstreams.values():
            upstream.cold_rate = self._cold_share(upstream)

    def _cold_share(self, upstream: Upstream) -> float | None:
        if self.cold_rate <= 0:
            return None
        order = sorted(
            self.vms,
            key=lambda name: (
                self.vms[name] != upstream.region,
                _unit(name.encode(), upstream.seed),
            ),
        )
        senders = order[:MAX_COLD_SENDERS]
        if self.name not in senders:
            return 0.0
        return self.cold_rate / len(senders)

    def _home_share(self, regions: Mapping[str, str]) -> float:
        domains = list(regions.values())
        slots = sum(u.record.slots for u in self.upstreams.values())
        own = sum(
            u.record.slots
            for u in self.upstreams.values()
            if u.region == self.region
        )
        asking = domains.count(self.region) / max(1, len(domains))
        if slots == 0 or asking == 0:
            return 1.0
        return min(1.0, own / slots / asking)

    def choose(self, ask: Ask, now: float) -> Choice | None:
        """Returns the upstream with the earliest expected answer, if any.

        One without excess goes first: where an upstream that does not know
        the object has room, nobody is refused.
        """
        order = self._order(ask.object)
        planned = order[0].region if order else ""
        best: dict[bool, _Weighed] = {}
        for rank, upstream in enumerate(order):
            if upstream.record.id in ask.tried:
                continue
            if ask.regions and upstream.region not in ask.regions:
                continue
            if not upstream.admits(now):
                continue
            choice = self._weigh(upstream, rank, ask, now)
            penalty = self._penalty(upstream, rank, ask, now)
            weighed = _Weighed(choice, choice.seconds + penalty)
            is_planned = upstream.region == planned
            known = best.get(is_planned)
            if known is None or weighed.key < known.key:
                best[is_planned] = weighed
        return self._settle(best.get(True), best.get(False), now)

    def _settle(
        self,
        planned: "_Weighed | None",
        other: "_Weighed | None",
        now: float,
    ) -> Choice | None:
        """Chooses between the best of the planned region and of the others.

        Requests leave their region for room in small part only, so that they
        come back in small part as well; if nothing else serves, all may.
        """
        if planned is None or other is None:
            found = planned or other
            return found.choice if found is not None else None
        self._forget_sends(now)
        if self._is_suspect(planned.choice.upstream, now):
            return min(planned, other, key=lambda one: one.key).choice
        most = OVERFLOW_RATIO * len(self.sends)
        leaves = other.key < planned.key and sum(self.sends.values()) < most
        self.sends[now] = leaves
        return other.choice if leaves else planned.choice

    def _forget_sends(self, now: float) -> None:
        oldest = now - OVERFLOW_WINDOW_SECONDS
        while self.sends and next(iter(self.sends)) < oldest:
            del self.sends[next(iter(self.sends))]

    def _is_suspect(self, upstream: Upstream, now: float) -> bool:
        return upstream.suspect_until > now or upstream.is_silent(now)

    def _weigh(
        self, upstream: Upstream, rank: int, ask: Ask, now: float
    ) -> Choice:
        work = self.expected(upstream, ask, now, rank)
        slots = max(1, upstream.record.slots)
        ahead = max(0.0, upstream.load(now) + 1 - slots)
        wait = ahead / slots * work
        travel = 0.0
        if upstream.region != self.region:
            travel = REGION_COST_SECONDS
        elif upstream.record.failure_domain != self.domain:
            travel = DOMAIN_COST_SECONDS
        excess = self._excess(upstream, rank, ask, now, wait, work + travel)
        return Choice(upstream, rank, wait, work + travel, excess)

    def _excess(
        self,
        upstream: Upstream,
        rank: int,
        ask: Ask,
        now: float,
        wait: float,
        work: float,
    ) -> float:
        """Returns how much longer a wait is than it is worth.

        Waiting behind others is worth it while the answer is expected within
        the patience. An upstream that does not know the object works on it
        several times as long: it should have slots to spare.
        """
        if rank == 0 or ask.object is None or ask.object in upstream.known:
            return max(0.0, wait - max(MIN_WAIT_SECONDS, ask.patience - work))
        spare = STRAY_LOAD_RATIO * upstream.record.slots
        return max(0.0, upstream.load(now) + 1 - spare) * work

    def expected(
        self, upstream: Upstream, ask: Ask, now: float, rank: int = 1
    ) -> float:
        """Returns the expected work of a request at an upstream."""
        work = self.statistics.work(ask.route)
        if ask.object is not None:
            # The first in the order is where other VMs send the object too.
            is_taught = rank == 0 and now - upstream.seen_at > LEARNING_SECONDS
            if is_taught or ask.object in upstream.known:
                work *= KNOWN_WORK_RATIO
        if upstream.cold_until > now:
            work *= COLD_WORK_RATIO
        return work * upstream.judged_slowness(now)

    def _penalty(
        self, upstream: Upstream, rank: int, ask: Ask, now: float
    ) -> float:
        cost = upstream.judged_failures(now) * FAILURE_COST_SECONDS
        if self._is_suspect(upstream, now):
            cost += SUSPECT_COST_SECONDS
        if upstream.full_until > now:
            cost += 0.3
        if upstream.load(now) >= FULL_LOAD_RATIO * upstream.record.slots:
            cost += FULL_COST_SECONDS
        if upstream.cold_until > now:
            cost += 1.0
        if rank > 0 and ask.object not in upstream.known:
            cost += STRAY_COST_SECONDS
        if rank > 0 and upstream.region != self.region:
            cost += OVERFLOW_COST_SECONDS
        return cost

    def _order(self, object: str | None) -> list[Upstream]:
        """Returns the upstreams in the order for an object."""
        if object is None:
            self._next_id += 1
            object = f"#{self._next_id % 64}"
        order = self._orders.get(object)
        if order is None:
            order = self._sort(object)
            if len(self._orders) > 4096:
                self._orders.clear()
            self._orders[object] = order
        return order

    def _sort(self, object: str) -> list[Upstream]:
        key = object.encode()
        is_home = _unit(key, b"home") < self.home_share
        scored = [
            (
                (upstream.region == self.region) == is_home,
                _unit(key, upstream.seed),
                upstream.record.id,
                upstream,
            )
            for upstream in self.upstreams.values()
        ]
        scored.sort(key=lambda s: s[:3], reverse=True)
        return [s[3] for s in scored]


def _fade(age: float, half_life: float) -> float:
    return float(0.5 ** (max(0.0, age) / half_life))


def _unit(key: bytes, salt: bytes) -> float:
    digest = hashlib.blake2b(key, digest_size=8, key=salt[:64]).digest()
    return int.from_bytes(digest, "big") / 2**64
