"""Replay of recorded traces against what must always hold."""

import functools
import heapq
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator

from pollenseam import buckets
from pollenseam import leases
from pollenseam import lifecycles
from pollenseam import traces

TOKEN_TOLERANCE = 1e-6
LEVEL_TOLERANCE = 1e-3
WITHDRAWAL_SECONDS = 5.0


class Violation:
    """A promise that a trace breaks, with the record that breaks it."""

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
    """How full the bucket of a whole resource would be.

    Attributes:
        rate: Per second.
        burst: Above the rate.
        level: Requests above the rate at `at`.
        at: Time of the last request.
    """

    __slots__ = ("rate", "burst", "level", "at")

    def __init__(self, rate: float, burst: float, at: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = 0.0
        self.at = at

    def add(self, at: float) -> float:
        """Counts one request; returns how far it is above the burst."""
        drained = (at - self.at) * self.rate
        self.level = max(0.0, self.level - drained) + 1
        self.at = at
        return self.level - self.burst


class Checker:
    """Feeds records of several VMs to the core and checks the outcomes.

    Attributes:
        broken: Promises that were broken, in order.
        counts: Records by kind.
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
        """Checks one record of one trace."""
        name = type(record).__name__.lower()
        self.counts[name] = self.counts.get(name, 0) + 1
        check(record, self, trace)

    def add_violation(
        self, invariant: str, trace: str, record: traces.Record, detail: str
    ) -> None:
        """Notes a broken promise."""
        self.violations.append(Violation(invariant, trace, record, detail))


@functools.singledispatch
def check(record: object, checker: Checker, trace: str) -> None:
    """Checks one record; kinds without a rule pass."""


@check.register
def _(record: traces.Started, checker: Checker, trace: str) -> None:
    # A start of its own: what the process before held is gone.
    checker.applied_indexes.pop(trace, None)
    for key in [k for k in checker.buckets if k[0] == trace]:
        del checker.buckets[key]


@check.register
def _(record: traces.Limits, checker: Checker, trace: str) -> None:
    level = checker.fleet_buckets.get(record.resource)
    if level is None:
        checker.fleet_buckets[record.resource] = LeakyBucket(
            record.rate, record.burst, record.at
        )
    else:
        # VMs hear of a new limit one after the other; the larger one holds
        # until all have.
        level.rate = max(level.rate, record.rate)
        level.burst = max(level.burst, record.burst)


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
            "no token was there",
        )
    level = checker.fleet_buckets.get(record.resource)
    if level is not None and level.add(record.at) > LEVEL_TOLERANCE:
        checker.add_violation(
            "over all VMs nothing is used above rate and burst",
            trace,
            record,
            f"{level.level:.2f} above the rate, burst {level.burst:g}",
        )


@check.register
def _(record: traces.Applied, checker: Checker, trace: str) -> None:
    before = checker.applied_indexes.get(trace, 0)
    if record.index < before:
        checker.add_violation(
            "accepted settings never revert",
            trace,
            record,
            f"index {before} was in force before",
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
    since = checker.withdrawn.get(record.key)
    if since is not None and record.at - since > WITHDRAWAL_SECONDS:
        checker.add_violation(
            "a withdrawn key stops within seconds",
            trace,
            record,
            f"withdrawn {record.at - since:.1f} s before",
        )


@check.register
def _(record: traces.Sent, checker: Checker, trace: str) -> None:
    serving = record.state == lifecycles.UpstreamState.SERVING
    if not serving or record.left_ms < 0:
        checker.add_violation(
            "an upstream that is leaving or silent gets no new work",
            trace,
            record,
            f"state {record.state}, {record.left_ms} ms left",
        )
    if record.running > record.slots:
        checker.add_violation(
            "a request goes to an upstream with room",
            trace,
            record,
            f"{record.running} running in {record.slots} slots",
        )
    if not record.claim:
        return
    attempt = checker.claim_attempts.setdefault(record.claim, record.attempt)
    if attempt != record.attempt:
        checker.add_violation(
            "what must not be repeated runs at most once",
            trace,
            record,
            f"attempt {attempt} was sent before",
        )


@check.register
def _(record: traces.Unsent, checker: Checker, trace: str) -> None:
    if checker.claim_attempts.get(record.claim) == record.attempt:
        del checker.claim_attempts[record.claim]


def check_traces(paths: Iterable[pathlib.Path]) -> Checker:
    """Checks traces of several VMs of one machine's clock, in time order.

    Raises:
        DamagedError: A line is no record.
        OSError: A file cannot be read.
    """
    checker = Checker()
    sources = [_read_named(path) for path in paths]
    for _, name, record in heapq.merge(*sources, key=lambda one: one[0]):
        checker.check_record(name, record)
    return checker


def _read_named(
    path: pathlib.Path,
) -> Iterator[tuple[float, str, traces.AnyRecord]]:
    for record in traces.read(path):
        yield record.at, path.name, record
