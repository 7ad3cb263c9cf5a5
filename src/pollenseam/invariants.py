"""Checks recorded traces of several VMs for violated invariants."""

import functools
import heapq
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator

from pollenseam import buckets
from pollenseam import leases
from pollenseam import lifecycles
from pollenseam import traces

# Tolerances for floating-point errors, in tokens.
TOKEN_TOLERANCE = 1e-6
LEVEL_TOLERANCE = 1e-3
# Longest time for which a VM may accept a key after any VM applied its
# withdrawal.
WITHDRAWAL_SECONDS = 5.0


class Violation:
    """An invariant that a trace violates.

    Attributes:
        invariant: Description of the invariant.
        trace: File name of the trace.
        record: The record that violates the invariant.
        detail: The values that were found.
    """

    __slots__ = ("invariant", "trace", "record", "detail")

    def __init__(
        self, invariant: str, trace: str, record: traces.Record, detail: str
    ) -> None:
        self.invariant = invariant
        self.trace = trace
        self.record = record
        self.detail = detail

    def __str__(self) -> str:
        return (
            f"{self.invariant}: {self.trace} at {self.record.at:.3f}: "
            f"{self.detail} ({self.record})"
        )


class LeakyBucket:
    """A leaky bucket that measures the use of one resource by all VMs.

    Attributes:
        rate: Requests that drain per second.
        burst: Capacity in requests.
        level: Requests in the bucket at `at`.
        at: Time of the last request in seconds.
    """

    __slots__ = ("rate", "burst", "level", "at")

    def __init__(self, rate: float, burst: float, at: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = 0.0
        self.at = at

    def add(self, at: float) -> float:
        """Adds one request.

        Args:
            at: Time of the request in seconds.

        Returns:
            Requests above the burst; 0 or less if the use is within the limit.
        """
        drained = (at - self.at) * self.rate
        self.level = max(0.0, self.level - drained) + 1
        self.at = at
        return self.level - self.burst


class Checker:
    """Checks the records of several VMs in time order.

    Traces are identified by file name, as each is written by one VM.

    Attributes:
        violations: Violations found, in order.
        counts: Number of records checked, by lower-case class name.
        buckets: Token buckets of VMs, replayed from their shares, by trace and
            resource.
        fleet_buckets: Use over all VMs, by resource.
        applied_indexes: Settings index that each trace has in force.
        withdrawn: Time in seconds at which the withdrawal of a key was first
            applied, by key id.
        claim_attempts: Attempt that may have run, by digest of the claim.
    """

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.counts: dict[str, int] = {}
        self.buckets: dict[tuple[str, str], buckets.Bucket] = {}
        self.fleet_buckets: dict[str, LeakyBucket] = {}
        self.applied_indexes: dict[str, int] = {}
        self.withdrawn: dict[str, float] = {}
        self.claim_attempts: dict[str, str] = {}

    def check_record(self, trace: str, record: traces.Record) -> None:
        """Counts a record and checks it.

        Args:
            trace: File name of the trace.
            record: The next record in time order.
        """
        kind = type(record).__name__.lower()
        self.counts[kind] = self.counts.get(kind, 0) + 1
        check(record, self, trace)

    def add_violation(
        self, invariant: str, trace: str, record: traces.Record, detail: str
    ) -> None:
        """Adds a violation to `violations`."""
        self.violations.append(Violation(invariant, trace, record, detail))


@functools.singledispatch
def check(record: object, checker: Checker, trace: str) -> None:
    """Checks one record; types without a check of their own pass."""


@check.register
def _(record: traces.Started, checker: Checker, trace: str) -> None:
    # A new process has neither the settings nor the shares of the previous one.
    checker.applied_indexes.pop(trace, None)
    for key in [k for k in checker.buckets if k[0] == trace]:
        del checker.buckets[key]


@check.register
def _(record: traces.Limits, checker: Checker, trace: str) -> None:
    fleet_bucket = checker.fleet_buckets.get(record.resource)
    if fleet_bucket is None:
        checker.fleet_buckets[record.resource] = LeakyBucket(
            record.rate, record.burst, record.at
        )
    else:
        # VMs apply a new limit one after the other, and until all have, the
        # larger one is allowed. The checker keeps the larger one.
        fleet_bucket.rate = max(fleet_bucket.rate, record.rate)
        fleet_bucket.burst = max(fleet_bucket.burst, record.burst)


@check.register
def _(record: traces.Renewed, checker: Checker, trace: str) -> None:
    key = (trace, record.resource)
    bucket = checker.buckets.get(key)
    if bucket is None:
        bucket = checker.buckets[key] = buckets.Bucket(record.at)
    share = leases.Share(record.rate, record.burst, record.tokens)
    bucket.renew(share, record.deadline, record.at)


@check.register
def _(record: traces.Taken, checker: Checker, trace: str) -> None:
    bucket = checker.buckets.get((trace, record.resource))
    if bucket is not None:
        bucket.available_at(1.0, record.at)
        bucket.tokens += TOKEN_TOLERANCE
    if bucket is None or not bucket.take(record.at):
        checker.add_violation(
            "a VM uses no more than its share",
            trace,
            record,
            "no token was available",
        )
    fleet_bucket = checker.fleet_buckets.get(record.resource)
    if (
        fleet_bucket is not None
        and fleet_bucket.add(record.at) > LEVEL_TOLERANCE
    ):
        checker.add_violation(
            "the use over all VMs stays within rate and burst",
            trace,
            record,
            f"{fleet_bucket.level:.2f} above the rate, "
            f"burst {fleet_bucket.burst:g}",
        )


@check.register
def _(record: traces.Applied, checker: Checker, trace: str) -> None:
    previous = checker.applied_indexes.get(trace, 0)
    if record.index < previous:
        checker.add_violation(
            "accepted settings never revert",
            trace,
            record,
            f"index {previous} was in force before",
        )
    checker.applied_indexes[trace] = record.index


@check.register
def _(record: traces.Withdrawn, checker: Checker, trace: str) -> None:
    checker.withdrawn.setdefault(record.key, record.at)


@check.register
def _(record: traces.Keyed, checker: Checker, trace: str) -> None:
    if not 0 <= record.age_ms <= record.bound_ms:
        checker.add_violation(
            "stale settings admit no key",
            trace,
            record,
            f"settings were {record.age_ms} ms old",
        )
    withdrawn_at = checker.withdrawn.get(record.key)
    if (
        withdrawn_at is not None
        and record.at - withdrawn_at > WITHDRAWAL_SECONDS
    ):
        checker.add_violation(
            "a withdrawn key stops within seconds",
            trace,
            record,
            f"withdrawn {record.at - withdrawn_at:.1f} s before",
        )


@check.register
def _(record: traces.Sent, checker: Checker, trace: str) -> None:
    is_serving = record.state == lifecycles.UpstreamState.SERVING
    if not is_serving or record.left_ms < 0:
        checker.add_violation(
            "an upstream that is leaving or expired gets no new requests",
            trace,
            record,
            f"state {record.state}, {record.left_ms} ms left",
        )
    if record.running > record.slots:
        checker.add_violation(
            "a request goes only to an upstream with a free slot",
            trace,
            record,
            f"{record.running} running in {record.slots} slots",
        )
    if not record.claim:
        return
    attempt = checker.claim_attempts.setdefault(record.claim, record.attempt)
    if attempt != record.attempt:
        checker.add_violation(
            "a request with an idempotency key runs at most once",
            trace,
            record,
            f"attempt {attempt} was sent before",
        )


@check.register
def _(record: traces.Unsent, checker: Checker, trace: str) -> None:
    if checker.claim_attempts.get(record.claim) == record.attempt:
        del checker.claim_attempts[record.claim]


def check_traces(paths: Iterable[pathlib.Path]) -> Checker:
    """Checks the traces of several VMs, in time order.

    The VMs must have run on one machine: their times are compared.

    Args:
        paths: Trace files, one per VM.

    Returns:
        The checker, with the violations and counts.

    Raises:
        DamagedError: A line is not a valid record.
        OSError: A file cannot be read.
    """
    checker = Checker()
    sources = [_read_named(path) for path in paths]
    for _, name, record in heapq.merge(*sources, key=lambda item: item[0]):
        checker.check_record(name, record)
    return checker


def _read_named(
    path: pathlib.Path,
) -> Iterator[tuple[float, str, traces.AnyRecord]]:
    for record in traces.read(path):
        yield record.at, path.name, record
