"""The upstreams of one service as an entry VM uses them, and the choice."""

import random
from collections.abc import Iterable

from pollenseam import lifecycles
from pollenseam import members
from pollenseam import messages

LOAD_REPORT_FADE_SECONDS = 1.0
LATENCY_WEIGHT = 0.2
EJECT_AFTER_FAILURES = 3
EJECT_RATIO = 0.5
EJECT_MIN_SAMPLES = 10
EJECT_SECONDS = 2.0
MAX_EJECT_SECONDS = 60.0
MAX_EJECTED_RATIO = 0.34
FAILURE_RATIO_WEIGHT = 0.1
FULL_AFTER_SHED_SECONDS = 0.015


class Upstream:
    """One upstream and what this VM has learnt of it.

    Attributes:
        record: Its latest announcement.
        deadline: Time after which it must not be used.
        in_flight: Requests this VM has running on it.
        allowed: Requests this VM may run on it; rises from 1 (slow start).
        hint: Requests of others that its load report implied.
        hint_at: Time of that report.
        failures: Failures in a row.
        failure_ratio: Smoothed share of failures.
        samples: Finished requests.
        latency: Smoothed time to answer, in seconds.
        ejections: Times it was ejected without a success in between.
        ejected_until: Time at which one probe request may go to it.
        is_probing: Whether it is on probation after an ejection.
        full_until: Time until which it is held to be full, after a shed.
    """

    __slots__ = (
        "record",
        "deadline",
        "in_flight",
        "slow_start_limit",
        "others_in_flight",
        "reported_at",
        "consecutive_failures",
        "failure_ratio",
        "samples",
        "latency",
        "ejections",
        "ejected_until",
        "is_on_probation",
        "full_until",
    )

    def __init__(
        self, record: messages.Upstream, deadline: float, now: float
    ) -> None:
        self.record = record
        self.deadline = deadline
        self.in_flight = 0
        self.slow_start_limit = 1.0
        self.others_in_flight = record.load
        self.reported_at = now
        self.reset(now)

    def reset(self, now: float) -> None:
        """Forgets what was learnt, for a new incarnation."""
        self.slow_start_limit = 1.0
        self.consecutive_failures = 0
        self.failure_ratio = 0.0
        self.samples = 0
        self.latency = 0.0
        self.ejections = 0
        self.ejected_until = now
        self.is_on_probation = False
        self.full_until = now

    def is_usable(self, now: float) -> bool:
        """Whether new work may go to it, room aside."""
        return (
            self.record.state == lifecycles.UpstreamState.SERVING
            and now < self.deadline
            and now >= self.ejected_until
        )

    def concurrency_limit(self) -> int:
        """Returns how many requests this VM may run on it."""
        if self.is_on_probation:
            return 1
        return max(1, min(self.record.slots, int(self.slow_start_limit)))

    def has_room(self, now: float) -> bool:
        """Whether this VM may send it one more request now."""
        return (
            self.in_flight < self.concurrency_limit() and now >= self.full_until
        )

    def utilization(self, now: float) -> float:
        """Returns its expected use, as a share of its slots.

        Own requests count fully; others' are a report that may lag or
        mislead, so they fade within HINT_SECONDS.
        """
        fade = max(0.0, 1 - (now - self.reported_at) / LOAD_REPORT_FADE_SECONDS)
        return (
            self.in_flight + self.others_in_flight * fade
        ) / self.record.slots


class Pool:
    """The upstreams of one service.

    Attributes:
        upstreams: By name.
        random: Seeded source for ties.
    """

    __slots__ = ("upstreams", "random")

    def __init__(self, seed: int) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.random = random.Random(seed)

    def refresh(
        self, known: Iterable[members.KnownUpstream], now: float
    ) -> None:
        """Takes in the latest records; drops upstreams that are gone."""
        names = set()
        for one in known:
            names.add(one.record.name)
            self.update(one, now)
        for name in self.upstreams.keys() - names:
            if self.upstreams[name].in_flight == 0:
                del self.upstreams[name]

    def update(self, known: members.KnownUpstream, now: float) -> None:
        """Takes in one record."""
        upstream = self.upstreams.get(known.record.name)
        if upstream is None:
            upstream = Upstream(known.record, known.deadline, now)
            self.upstreams[known.record.name] = upstream
        old = upstream.record
        if known.record.incarnation != old.incarnation:
            upstream.reset(now)
        if known.record is not old:
            others = known.record.load - upstream.in_flight
            upstream.others_in_flight = max(0.0, others)
            upstream.reported_at = now
        upstream.record = known.record
        upstream.deadline = known.deadline

    def choose(
        self, region: str, domain: str, now: float, tried: set[str]
    ) -> Upstream | None:
        """Returns the least used upstream with room, the nearest first.

        Args:
            region: Region to choose in.
            domain: Failure domain to prefer.
            now: Time.
            tried: Names that this request has already been to.
        """
        best: Upstream | None = None
        best_key = (2, 0.0, 0.0)
        for name, upstream in self.upstreams.items():
            record = upstream.record
            if record.region != region or name in tried:
                continue
            if not upstream.is_usable(now) or not upstream.has_room(now):
                continue
            far = int(record.failure_domain != domain)
            key = (far, upstream.utilization(now), self.random.random())
            if best is None or key < best_key:
                best = upstream
                best_key = key
        return best

    def has_usable(self, region: str, now: float) -> bool:
        """Tells whether any upstream of a region may get work at all."""
        return any(
            upstream.record.region == region and upstream.is_usable(now)
            for upstream in self.upstreams.values()
        )

    def slot_usage(self, region: str, now: float) -> tuple[int, int]:
        """Returns requests in flight and slots of a region's upstreams."""
        used = 0
        slots = 0
        for upstream in self.upstreams.values():
            if upstream.record.region == region and upstream.is_usable(now):
                used += upstream.in_flight
                slots += upstream.record.slots
        return used, slots

    def record_success(
        self, upstream: Upstream, seconds: float, now: float
    ) -> None:
        """Notes an answer that was no failure."""
        _record_request(upstream, seconds, failed=False)
        upstream.consecutive_failures = 0
        upstream.ejections = 0
        upstream.is_on_probation = False
        upstream.slow_start_limit = min(
            upstream.slow_start_limit + 1, upstream.record.slots
        )

    def record_failure(
        self, upstream: Upstream, seconds: float, now: float
    ) -> None:
        """Notes a failure; ejects the upstream on enough evidence."""
        _record_request(upstream, seconds, failed=True)
        upstream.consecutive_failures += 1
        row = upstream.consecutive_failures >= EJECT_AFTER_FAILURES
        ratio = (
            upstream.samples >= EJECT_MIN_SAMPLES
            and upstream.failure_ratio > EJECT_RATIO
        )
        if (row or ratio or upstream.is_on_probation) and self._may_eject(now):
            self._eject(upstream, now)

    def record_shed(self, upstream: Upstream, now: float) -> None:
        """Notes that the upstream said it was full."""
        upstream.full_until = now + FULL_AFTER_SHED_SECONDS
        upstream.slow_start_limit = max(1.0, upstream.slow_start_limit - 1)

    def _may_eject(self, now: float) -> bool:
        count = len(self.upstreams)
        ejected = sum(u.ejected_until > now for u in self.upstreams.values())
        # The only upstream is better than none.
        most = max(count * MAX_EJECTED_RATIO, 1.0) if count > 1 else 0.0
        return ejected + 1 <= most

    def _eject(self, upstream: Upstream, now: float) -> None:
        seconds = EJECT_SECONDS * 2**upstream.ejections
        upstream.ejections += 1
        upstream.ejected_until = now + min(seconds, MAX_EJECT_SECONDS)
        upstream.is_on_probation = True
        upstream.consecutive_failures = 0
        upstream.slow_start_limit = 1.0


def _record_request(upstream: Upstream, seconds: float, failed: bool) -> None:
    upstream.samples += 1
    upstream.latency += (seconds - upstream.latency) * LATENCY_WEIGHT
    ratio = upstream.failure_ratio
    upstream.failure_ratio += (float(failed) - ratio) * FAILURE_RATIO_WEIGHT


class RetryBudget:
    """Allows retries as a share of requests, so that they cannot storm.

    Attributes:
        balance: Retries that may be made now.
    """

    __slots__ = ("balance",)

    MAX_BALANCE = 10.0

    def __init__(self) -> None:
        self.balance = self.MAX_BALANCE

    def deposit(self, ratio: float) -> None:
        """Notes one request; each earns `ratio` of a retry."""
        self.balance = min(self.balance + ratio, self.MAX_BALANCE)

    def try_spend(self) -> bool:
        """Takes one retry; False when the budget is used up."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
