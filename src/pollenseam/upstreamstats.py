"""One upstream as an entry VM has observed it: load, speed, faults, objects."""

import collections
import hashlib

from pollenseam import registry

MAX_WARM_OBJECTS = 48
REPORT_HALF_LIFE_SECONDS = 0.7
SLOWNESS_WEIGHT = 0.25
SLOWNESS_HALF_LIFE_SECONDS = 3.0
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_SECONDS = 3.0
SUSPECT_SECONDS = 1.0
MAX_SUSPECT_SECONDS = 8.0
FULL_AFTER_SHED_SECONDS = 0.1
# An upstream that has not answered anything for this long, and for this many
# times the expected time, is held to be silent.
UNREACHABLE_SECONDS = 0.8
UNREACHABLE_RATIO = 2.5


class PendingRequest:
    """A send that has no answer yet.

    Attributes:
        started: Time of the send.
        expected: Expected seconds to its answer.
    """

    __slots__ = ("sent_at", "expected_seconds")

    def __init__(self, sent_at: float, expected_seconds: float) -> None:
        self.sent_at = sent_at
        self.expected_seconds = expected_seconds


class UpstreamStats:
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
        cold_version: Version of the division that `cold_rate` is part of.
        known: Objects that it served for this VM lately, oldest first.
        seen_at: Time at which this VM first heard of it.
        answered_at: Time of its last answer.
        sends: Sends without an answer yet, oldest first.
        seed: Its part of the score that orders upstreams.
    """

    __slots__ = (
        "record",
        "region",
        "in_flight",
        "others_in_flight",
        "reported_at",
        "slowness",
        "failure_ratio",
        "decayed_at",
        "consecutive_failures",
        "suspect_until",
        "full_until",
        "cold_until",
        "cold_rate",
        "cold_tokens",
        "cold_filled_at",
        "cold_limit_version",
        "warm_objects",
        "first_seen_at",
        "answered_at",
        "pending",
        "name_hash",
    )

    def __init__(
        self, record: registry.Upstream, region: str, now: float
    ) -> None:
        self.record = record
        self.region = region
        self.in_flight = 0
        self.others_in_flight = 0.0
        self.reported_at = now
        self.slowness = 1.0
        self.failure_ratio = 0.0
        self.decayed_at = now
        self.consecutive_failures = 0
        self.suspect_until = now
        self.full_until = now
        self.cold_until = now
        self.cold_rate: float | None = None
        self.cold_tokens = 1.0
        self.cold_filled_at = now
        self.cold_limit_version = 0
        self.warm_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.first_seen_at = now
        self.answered_at = now
        self.pending: list[PendingRequest] = []
        self.name_hash = hash64(record.id)

    def load(self, now: float) -> float:
        """Returns the requests that it is expected to have now."""
        age = now - self.reported_at
        return self.in_flight + self.others_in_flight * _decay_factor(
            age, REPORT_HALF_LIFE_SECONDS
        )

    def record_load_report(
        self, running: int, waiting: int, now: float
    ) -> None:
        """Takes in its own report; what is not this VM's is the others'."""
        self.others_in_flight = max(0.0, running + waiting - self.in_flight)
        self.reported_at = now

    def record_success(
        self, object: str | None, seconds: float, expected: float, now: float
    ) -> None:
        """Notes an answer and how long it took."""
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

    def record_shed(self, now: float) -> None:
        """Notes that it was full, or said so."""
        self.answered_at = now
        self._decay(now)
        self.failure_ratio += (1 - self.failure_ratio) * FAILURE_WEIGHT
        self.full_until = now + FULL_AFTER_SHED_SECONDS

    def record_error(self, now: float) -> None:
        """Notes an answer that is a failure."""
        self.consecutive_failures = 0
        self.answered_at = now
        self._decay(now)
        self.failure_ratio += (1 - self.failure_ratio) * FAILURE_WEIGHT

    def record_unreachable(self, now: float) -> None:
        """Notes that it could not be reached, or did not answer."""
        failures = self.consecutive_failures
        self.record_error(now)
        self.consecutive_failures = failures + 1
        seconds = SUSPECT_SECONDS * 2 ** min(self.consecutive_failures - 1, 3)
        self.suspect_until = now + min(seconds, MAX_SUSPECT_SECONDS)

    def _decay(self, now: float) -> None:
        age = now - self.decayed_at
        fade = _decay_factor(age, SLOWNESS_HALF_LIFE_SECONDS)
        self.slowness = 1 + (self.slowness - 1) * fade
        self.failure_ratio *= _decay_factor(age, FAILURE_HALF_LIFE_SECONDS)
        self.decayed_at = now

    def current_slowness(self, now: float) -> float:
        """Returns its slowness, faded since it was last observed."""
        fade = _decay_factor(now - self.decayed_at, SLOWNESS_HALF_LIFE_SECONDS)
        return max(MIN_SLOWNESS, 1 + (self.slowness - 1) * fade)

    def current_failure_ratio(self, now: float) -> float:
        """Returns its share of failures, faded since it was observed."""
        fade = _decay_factor(now - self.decayed_at, FAILURE_HALF_LIFE_SECONDS)
        return self.failure_ratio * fade

    def admits(self, now: float) -> bool:
        """Tells whether it is warm, or this VM has a token for it."""
        if self.cold_until <= now or self.cold_rate is None:
            return True
        filled = (now - self.cold_filled_at) * self.cold_rate
        self.cold_tokens = min(1.0, self.cold_tokens + filled)
        self.cold_filled_at = now
        return self.cold_rate > 0 and self.cold_tokens >= 1.0

    def begin(self, expected: float, now: float) -> PendingRequest:
        """Notes a send; pass what it returns to `end`.

        Args:
            expected: Expected seconds to its answer.
            now: Time in seconds.
        """
        if self.cold_until > now and self.cold_rate is not None:
            self.cold_tokens -= 1.0
        send = PendingRequest(now, expected)
        self.pending.append(send)
        self.in_flight += 1
        return send

    def end(self, send: PendingRequest) -> None:
        """Notes that a send has come to its end."""
        self.pending.remove(send)
        self.in_flight -= 1

    def is_unreachable(self, now: float) -> bool:
        """Tells whether it has been without any answer for too long."""
        if not self.pending:
            return False
        oldest = self.pending[0]
        silence = now - max(oldest.sent_at, self.answered_at)
        return silence > max(
            UNREACHABLE_SECONDS, UNREACHABLE_RATIO * oldest.expected_seconds
        )


def hash64(name: str) -> int:
    """Returns 64 bits that stand for a name, the same at every VM."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _decay_factor(age: float, half_life: float) -> float:
    return float(0.5 ** (max(0.0, age) / half_life))
