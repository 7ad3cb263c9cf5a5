"""Load balancing over the upstreams of one service."""

import random
from collections.abc import Iterable

from pollenseam import lifecycles
from pollenseam import members
from pollenseam import messages
from pollenseam import upstreamstatements

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
# An upstream is not chosen for this time after a connect that failed, doubled
# up to the maximum with each further one, as long as others can be.
UNREACHABLE_SECONDS = 1.0
MAX_UNREACHABLE_SECONDS = 8.0


class Upstream:
    """One incarnation of an upstream, with its load and failures seen here.

    All times are in seconds.

    Attributes:
        record: Latest announcement of the upstream.
        deadline: Time after which the upstream must not be used.
        in_flight: Requests of this VM that are running on the upstream.
        slow_start_limit: Requests that this VM may run on the upstream at a
            time; starts at 1 and rises with each success.
        others_in_flight: Requests of other VMs, from the last load report.
        reported_at: Time of the last load report.
        consecutive_failures: Failures in a row.
        failure_ratio: Smoothed fraction (0 to 1) of requests that failed.
        samples: Number of finished requests.
        latency: Smoothed response time.
        ejections: Ejections since the last success.
        ejected_until: Time until which the upstream is ejected.
        is_on_probation: Whether the upstream was ejected and has not yet
            answered successfully; it then gets one request at a time.
        full_until: Time until which the upstream is assumed to be full, after
            it shed a request.
        connect_failures: Connects that failed since the last success.
        unreachable_until: Time until which the upstream is only chosen if all
            others are out of reach as well.
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
        "connect_failures",
        "unreachable_until",
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
        self.consecutive_failures = 0
        self.failure_ratio = 0.0
        self.samples = 0
        self.latency = 0.0
        self.ejections = 0
        self.ejected_until = now
        self.is_on_probation = False
        self.full_until = now
        self.record_reachable()

    def record_reachable(self) -> None:
        """Records that a connection was opened."""
        self.connect_failures = 0
        self.unreachable_until = 0.0

    def record_unreachable(self, now: float) -> None:
        """Records that a connection could not be opened."""
        seconds = UNREACHABLE_SECONDS * 2**self.connect_failures
        self.connect_failures += 1
        self.unreachable_until = now + min(seconds, MAX_UNREACHABLE_SECONDS)

    def is_usable(self, now: float) -> bool:
        """Returns whether the upstream may get requests, if it has room."""
        return (
            self.record.state == lifecycles.UpstreamState.SERVING
            and now < self.deadline
            and now >= self.ejected_until
        )

    def concurrency_limit(self) -> int:
        """Returns how many requests this VM may run on the upstream at once."""
        if self.is_on_probation:
            return 1
        return max(1, min(self.record.slots, int(self.slow_start_limit)))

    def has_room(self, now: float) -> bool:
        """Returns whether this VM may send one more request to the upstream."""
        return (
            self.in_flight < self.concurrency_limit() and now >= self.full_until
        )

    def utilization(self, now: float) -> float:
        """Returns the expected number of requests per slot.

        This VM's own requests count fully. Those of other VMs come from a load
        report that may be late or wrong, so their weight falls to 0 within
        LOAD_REPORT_FADE_SECONDS.
        """
        fade = max(0.0, 1 - (now - self.reported_at) / LOAD_REPORT_FADE_SECONDS)
        return (
            self.in_flight + self.others_in_flight * fade
        ) / self.record.slots


class Pool:
    """The upstreams of one service.

    Attributes:
        upstreams: Upstreams by name.
        random: Seeded random generator, used to break ties.
        statements: What upstreams stated in their responses.
    """

    __slots__ = ("upstreams", "random", "statements")

    def __init__(
        self, seed: int, statements: upstreamstatements.Table | None = None
    ) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.random = random.Random(seed)
        self.statements = statements or upstreamstatements.Table()

    def refresh(
        self, latest: Iterable[members.KnownUpstream], now: float
    ) -> None:
        """Replaces the set of upstreams with the latest records.

        An upstream without a record is removed once it has no requests in
        flight.
        """
        names = set()
        for known in latest:
            names.add(known.record.name)
            self.update(known, now)
        for name in self.upstreams.keys() - names:
            if self.upstreams[name].in_flight == 0:
                del self.upstreams[name]

    def update(self, known: members.KnownUpstream, now: float) -> None:
        """Adds or updates one upstream.

        Requests that run on an earlier incarnation keep its object, so that
        what it answers is not taken for a response of the new one.
        """
        upstream = self.upstreams.get(known.record.name)
        incarnation = known.record.incarnation
        if upstream is None or upstream.record.incarnation != incarnation:
            upstream = Upstream(known.record, known.deadline, now)
            self.upstreams[known.record.name] = upstream
        if known.record is not upstream.record:
            others = known.record.load - upstream.in_flight
            upstream.others_in_flight = max(0.0, others)
            upstream.reported_at = now
        upstream.record = known.record
        upstream.deadline = known.deadline

    def _is_usable(self, upstream: Upstream, now: float) -> bool:
        """Returns whether an upstream gets requests, now or after a pause."""
        record = upstream.record
        return upstream.is_usable(now) and not self.statements.is_over(
            record.path, record.incarnation
        )

    def pause_seconds(self, region: str, now: float) -> float:
        """Returns the time until an upstream of a region is not paused.

        It is 0 if one is not, and if none is usable.

        Args:
            region: Region to look in.
            now: Time in seconds.
        """
        left = [
            self._pause_seconds(upstream, now)
            for upstream in self.upstreams.values()
            if upstream.record.region == region
            and self._is_usable(upstream, now)
        ]
        return min(left, default=0.0)

    def _pause_seconds(self, upstream: Upstream, now: float) -> float:
        record = upstream.record
        stated = self.statements.find(record.path, record.incarnation)
        return max(0.0, stated.paused_until - now) if stated else 0.0

    def choose(
        self, region: str, domain: str, now: float, tried: set[str]
    ) -> Upstream | None:
        """Returns the least utilized upstream with room, or None.

        Upstreams in the given failure domain come first; ties are broken at
        random. Those to which a connect failed lately are left out, unless
        there are no others or those are paused.

        Args:
            region: Region to choose in.
            domain: Failure domain to prefer.
            now: Time in seconds.
            tried: Names of upstreams that this request was already sent to.
        """
        best: Upstream | None = None
        best_key = (True, 2, 0.0, 0.0)
        has_reachable = False
        for name, upstream in self.upstreams.items():
            record = upstream.record
            if record.region != region or name in tried:
                continue
            if not self._is_usable(upstream, now):
                continue
            if self._pause_seconds(upstream, now):
                continue
            is_unreachable = now < upstream.unreachable_until
            has_reachable |= not is_unreachable
            if not upstream.has_room(now):
                continue
            is_remote = int(record.failure_domain != domain)
            load = upstream.utilization(now)
            key = (is_unreachable, is_remote, load, self.random.random())
            if best is None or key < best_key:
                best = upstream
                best_key = key
        return None if has_reachable and best_key[0] else best

    def has_usable(self, region: str, now: float) -> bool:
        """Returns whether any upstream of a region may get requests."""
        return any(
            upstream.record.region == region and self._is_usable(upstream, now)
            for upstream in self.upstreams.values()
        )

    def slot_usage(self, region: str, now: float) -> tuple[int, int]:
        """Returns the requests in flight and the slots in a region.

        Counts only usable upstreams, and only requests of this VM.
        """
        used = 0
        slots = 0
        for upstream in self.upstreams.values():
            if upstream.record.region != region:
                continue
            if self._is_usable(upstream, now):
                used += upstream.in_flight
                slots += upstream.record.slots
        return used, slots

    def record_success(
        self, upstream: Upstream, seconds: float, now: float
    ) -> None:
        """Records a successful response that took `seconds`."""
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
        """Records a failure after `seconds`; may eject the upstream.

        Ejects after EJECT_AFTER_FAILURES in a row, above EJECT_RATIO failures
        (with at least EJECT_MIN_SAMPLES), or on any failure on probation.
        """
        _record_request(upstream, seconds, failed=True)
        upstream.consecutive_failures += 1
        is_failing = upstream.consecutive_failures >= EJECT_AFTER_FAILURES
        is_unreliable = (
            upstream.samples >= EJECT_MIN_SAMPLES
            and upstream.failure_ratio > EJECT_RATIO
        )
        if (
            is_failing or is_unreliable or upstream.is_on_probation
        ) and self._may_eject(now):
            self._eject(upstream, now)

    def record_shed(self, upstream: Upstream, now: float) -> None:
        """Records that the upstream shed a request because it was full."""
        upstream.full_until = now + FULL_AFTER_SHED_SECONDS
        upstream.slow_start_limit = max(1.0, upstream.slow_start_limit - 1)

    def _may_eject(self, now: float) -> bool:
        count = len(self.upstreams)
        ejected = sum(u.ejected_until > now for u in self.upstreams.values())
        # A single upstream is never ejected: nothing else could serve.
        max_ejected = max(count * MAX_EJECTED_RATIO, 1.0) if count > 1 else 0.0
        return ejected + 1 <= max_ejected

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
    """Limits retries to a fraction of requests, to prevent retry storms.

    Attributes:
        balance: Number of retries that may be made now.
    """

    __slots__ = ("balance",)

    MAX_BALANCE = 10.0

    def __init__(self) -> None:
        self.balance = self.MAX_BALANCE

    def deposit(self, ratio: float) -> None:
        """Adds `ratio` of a retry to the balance, for one request."""
        self.balance = min(self.balance + ratio, self.MAX_BALANCE)

    def try_spend(self) -> bool:
        """Takes one retry; returns False if the budget is exhausted."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
