"""Statistics that an entry VM keeps about one upstream."""

import collections

from pollenseam import hashing
from pollenseam import pacing
from pollenseam import registry

MAX_WARM_OBJECTS = 48
REPORT_HALF_LIFE_SECONDS = 0.7
# A stated pace changes many times a second: it is soon worth nothing.
PACE_HALF_LIFE_SECONDS = 0.3
MIN_PACE = 0.1
MAX_PACE = 20.0
SLOWNESS_WEIGHT = 0.25
SLOWNESS_HALF_LIFE_SECONDS = 3.0
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_SECONDS = 3.0
SUSPECT_SECONDS = 1.0
MAX_SUSPECT_SECONDS = 8.0
FULL_AFTER_SHED_SECONDS = 0.1
# An upstream counts as unreachable after no response for this many seconds and
# for this many times the expected response time.
UNREACHABLE_SECONDS = 0.8
UNREACHABLE_RATIO = 2.5


class PendingRequest:
    """A request that was sent to an upstream and has no response yet.

    Attributes:
        sent_at: Time in seconds at which the request was sent.
        expected_seconds: Expected time to the response, in seconds.
        is_risky: Whether the request may crash the upstream.
    """

    __slots__ = ("sent_at", "expected_seconds", "is_risky")

    def __init__(
        self, sent_at: float, expected_seconds: float, is_risky: bool
    ) -> None:
        self.sent_at = sent_at
        self.expected_seconds = expected_seconds
        self.is_risky = is_risky


class UpstreamStats:
    """Load, speed, failures and cached objects of one upstream.

    The statistics belong to one start of the upstream; a restarted upstream
    gets a new instance. All times are in seconds.

    Attributes:
        record: Record of the upstream in the registry.
        region: Region of the upstream.
        in_flight: Requests of this VM that are running on the upstream.
        others_in_flight: Requests of other VMs, from the last load report.
        reported_at: Time of the last load report.
        pace: How long work takes, by the usual time, as last stated; 1.0 for
            upstreams that do not state it.
        paced_at: Time at which the pace was stated.
        slowness: Smoothed ratio of observed to expected response time.
        failure_ratio: Smoothed fraction (0 to 1) of requests that failed or
            were shed.
        decayed_at: Time up to which `slowness` and `failure_ratio` have been
            decayed.
        consecutive_failures: Failures to connect or to respond, in a row.
        suspect_until: Time until which the upstream is used only if no other
            can serve.
        full_until: Time until which the upstream is assumed to be full, after
            it shed a request.
        cold_until: Time until which the upstream is cold.
        pacer: Paces this VM's requests while the upstream accepts a limited
            rate.
        ranked_in: Fleet for which `sender_rank` was computed, or None.
        sender_rank: Position of this VM among those that may send to the
            upstream while its rate is limited.
        warm_objects: Objects that the upstream served recently for this VM,
            least recently used first.
        first_seen_at: Time at which this VM first received the record.
        answered_at: Time of the last response or failure to respond.
        pending: Requests without a response, oldest first.
        risky_in_flight: Requests of this VM that may crash the upstream.
        name_hash: Hash of the upstream's id, for rendezvous hashing.
        is_untried: Whether this VM knows nothing of the upstream's speed, as
            it has sent it no request.
    """

    __slots__ = (
        "record",
        "region",
        "in_flight",
        "others_in_flight",
        "reported_at",
        "pace",
        "paced_at",
        "slowness",
        "failure_ratio",
        "decayed_at",
        "consecutive_failures",
        "suspect_until",
        "full_until",
        "cold_until",
        "pacer",
        "ranked_in",
        "sender_rank",
        "warm_objects",
        "first_seen_at",
        "answered_at",
        "pending",
        "risky_in_flight",
        "name_hash",
        "is_untried",
    )

    def __init__(
        self, record: registry.Upstream, region: str, now: float
    ) -> None:
        self.record = record
        self.region = region
        self.in_flight = 0
        self.others_in_flight = 0.0
        self.reported_at = now
        self.pace = 1.0
        self.paced_at = now
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.decayed_at = now
        self.consecutive_failures = 0
        self.suspect_until = now
        self.full_until = now
        self.cold_until = now
        self.pacer = pacing.Pacer(now)
        self.ranked_in: pacing.Fleet | None = None
        self.sender_rank = 0
        self.warm_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.first_seen_at = now
        self.answered_at = now
        self.pending: list[PendingRequest] = []
        self.risky_in_flight = 0
        self.name_hash = hashing.hash64(record.id)
        self.is_untried = True

    def load(self, now: float) -> float:
        """Returns the estimated number of requests on the upstream now.

        The number reported for other VMs decays with the age of the report.
        """
        age = now - self.reported_at
        return self.in_flight + self.others_in_flight * _decay_factor(
            age, REPORT_HALF_LIFE_SECONDS
        )

    def record_load_report(
        self, running: int, waiting: int, now: float
    ) -> None:
        """Records the load that the upstream reports about itself.

        Requests in the report that are not this VM's belong to other VMs.

        Args:
            running: Requests that occupy a slot.
            waiting: Requests that wait for a slot.
            now: Time in seconds.
        """
        self.others_in_flight = max(0.0, running + waiting - self.in_flight)
        self.reported_at = now

    def record_pace(self, pace: float, now: float) -> None:
        """Records how long work takes on the upstream, by the usual time."""
        self.pace = min(MAX_PACE, max(MIN_PACE, pace))
        self.paced_at = now

    def current_pace(self, now: float) -> float:
        """Returns the pace, decayed towards 1 since it was stated."""
        factor = _decay_factor(now - self.paced_at, PACE_HALF_LIFE_SECONDS)
        return 1 + (self.pace - 1) * factor

    def record_success(
        self, object: str | None, seconds: float, expected: float, now: float
    ) -> None:
        """Records a successful response.

        Args:
            object: Object that the request concerned, or None.
            seconds: Time to the response.
            expected: Expected time to the response, in seconds.
            now: Time in seconds.
        """
        self.consecutive_failures = 0
        self.answered_at = now
        self.suspect_until = now
        self._decay(now)
        ratio = min(MAX_SLOWNESS, seconds / max(expected, 0.001))
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT
        self.failure_ratio *= 1 - FAILURE_WEIGHT
        if object is not None:
            self.warm_objects[object] = None
            self.warm_objects.move_to_end(object)
            while len(self.warm_objects) > MAX_WARM_OBJECTS:
                self.warm_objects.popitem(last=False)

    def record_late(self, seconds: float, expected: float, now: float) -> None:
        """Records that a request was ended before it had a response.

        Args:
            seconds: Time for which there was no response.
            expected: Expected time to the response, in seconds.
            now: Time in seconds.
        """
        self._decay(now)
        ratio = min(MAX_SLOWNESS, seconds / max(expected, 0.001))
        excess = max(0.0, ratio - self.slowness)
        self.slowness += excess * SLOWNESS_WEIGHT

    def record_shed(self, now: float) -> None:
        """Records that the upstream shed a request because it was full."""
        self.answered_at = now
        self._decay(now)
        self.failure_ratio += (1 - self.failure_ratio) * FAILURE_WEIGHT
        self.full_until = now + FULL_AFTER_SHED_SECONDS

    def record_error(self, now: float) -> None:
        """Records a response that reports a failure."""
        self.consecutive_failures = 0
        self.answered_at = now
        self._decay(now)
        self.failure_ratio += (1 - self.failure_ratio) * FAILURE_WEIGHT

    def record_unreachable(self, now: float) -> None:
        """Records that the upstream did not accept a connection or respond.

        The upstream is suspect for SUSPECT_SECONDS, doubled for each further
        failure in a row, up to MAX_SUSPECT_SECONDS.
        """
        failures = self.consecutive_failures
        self.record_error(now)
        self.consecutive_failures = failures + 1
        seconds = SUSPECT_SECONDS * 2 ** min(self.consecutive_failures - 1, 3)
        self.suspect_until = now + min(seconds, MAX_SUSPECT_SECONDS)

    def _decay(self, now: float) -> None:
        age = now - self.decayed_at
        factor = _decay_factor(age, SLOWNESS_HALF_LIFE_SECONDS)
        self.is_untried = False
        self.slowness = 1 + (self.slowness - 1) * factor
        self.failure_ratio *= _decay_factor(age, FAILURE_HALF_LIFE_SECONDS)
        self.decayed_at = now

    def current_slowness(self, now: float) -> float:
        """Returns `slowness`, decayed towards 1 since the last update."""
        factor = _decay_factor(
            now - self.decayed_at, SLOWNESS_HALF_LIFE_SECONDS
        )
        return max(MIN_SLOWNESS, 1 + (self.slowness - 1) * factor)

    def current_failure_ratio(self, now: float) -> float:
        """Returns `failure_ratio`, decayed towards 0 since the last update."""
        factor = _decay_factor(now - self.decayed_at, FAILURE_HALF_LIFE_SECONDS)
        return self.failure_ratio * factor

    def rank_in(self, fleet: pacing.Fleet) -> int:
        """Returns this VM's position among the VMs that may send."""
        if self.ranked_in is not fleet:
            self.ranked_in = fleet
            self.sender_rank = fleet.own_rank(self.region, self.name_hash)
        return self.sender_rank

    def begin(
        self, expected: float, now: float, is_risky: bool = False
    ) -> PendingRequest:
        """Records that a request is sent to the upstream.

        Args:
            expected: Expected time to the response, in seconds.
            now: Time in seconds.
            is_risky: Whether the request may crash the upstream.

        Returns:
            The pending request, to be passed to `end`.
        """
        self.pacer.take()
        self.is_untried = False
        request = PendingRequest(now, expected, is_risky)
        self.risky_in_flight += is_risky
        self.pending.append(request)
        self.in_flight += 1
        return request

    def end(self, request: PendingRequest) -> None:
        """Records that a request ended, with or without a response."""
        self.pending.remove(request)
        self.risky_in_flight -= request.is_risky
        self.in_flight -= 1

    def is_unreachable(self, now: float) -> bool:
        """Returns whether pending requests got no response for too long."""
        if not self.pending:
            return False
        oldest = self.pending[0]
        waited = now - max(oldest.sent_at, self.answered_at)
        return waited > max(
            UNREACHABLE_SECONDS, UNREACHABLE_RATIO * oldest.expected_seconds
        )


def _decay_factor(age: float, half_life: float) -> float:
    return float(0.5 ** (max(0.0, age) / half_life))
