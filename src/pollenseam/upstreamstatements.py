"""What upstreams state in their responses: how many requests they accept.

An upstream states how many requests per second it accepts from all VMs
together, and repeats it in each response for as long as it is in force.
"""

import re
from collections.abc import Container
from collections.abc import Iterable

import msgspec

from pollenseam import revisions

# A stated rate above this is no limit in practice, and probably a mistake.
MAX_RATE = 1_000_000.0
# A VM reports a rate again after this time even if it has not changed.
REFRESH_SECONDS = 4.0
# Rate that stands for "states no limit".
NO_LIMIT = -1.0

_DECIMAL = re.compile(r"\d{1,12}(\.\d{1,12})?", re.ASCII)


class Statement(msgspec.Struct, array_like=True):
    """What one response of an upstream said, as sent between VMs.

    Attributes:
        upstream: Id of the upstream.
        started_ms: Start of the upstream in Unix milliseconds.
        rate: Requests per second from all VMs; NO_LIMIT if none was stated.
        age_ms: Time since the response was read, in milliseconds.
    """

    upstream: str
    started_ms: int
    rate: float
    age_ms: int


class Record:
    """The latest known statement of one upstream.

    Attributes:
        started_ms: Start of the upstream in Unix milliseconds.
        rate: Requests per second from all VMs; NO_LIMIT if none is stated.
        read_at: Time in seconds at which the response was read.
        reported_rate: Rate that the other VMs know, or None.
        reported_at: Time in seconds at which they were last told.
        revision: Revision of the table at which the record last changed.
    """

    __slots__ = (
        "started_ms",
        "rate",
        "read_at",
        "reported_rate",
        "reported_at",
        "revision",
    )

    def __init__(self, started_ms: int, rate: float, read_at: float) -> None:
        self.started_ms = started_ms
        self.rate = rate
        self.read_at = read_at
        self.reported_rate: float | None = None
        self.reported_at = 0.0
        self.revision = 0

    @property
    def is_unreported(self) -> bool:
        """Whether the other VMs should be told of the rate."""
        if self.rate != self.reported_rate:
            return True
        return self.read_at - self.reported_at >= REFRESH_SECONDS


class Table:
    """The latest statements of all upstreams that have ever stated a limit.

    Entry VMs and the leader each have one. Statements are merged by the time
    at which they were read: the latest counts.

    Attributes:
        records: Records by upstream id.
    """

    __slots__ = ("records",)

    def __init__(self) -> None:
        self.records: revisions.Records[str, Record] = revisions.Records()

    def in_force(self, upstream: str, started_ms: int) -> Record | None:
        """Returns the record of an upstream that states a limit, or None."""
        record = self.records.get(upstream)
        if record is None or record.rate == NO_LIMIT:
            return None
        return record if record.started_ms == started_ms else None

    def record(
        self, upstream: str, started_ms: int, rate: float, read_at: float
    ) -> bool:
        """Records a statement; returns whether the rate in force changed.

        An upstream that never stated a limit gets no record.
        """
        old = self.records.get(upstream)
        if old is None and rate == NO_LIMIT:
            return False
        if old is not None and started_ms < old.started_ms:
            return False
        if old is None or started_ms > old.started_ms:
            old = Record(started_ms, NO_LIMIT, read_at)
        elif read_at < old.read_at:
            return False
        has_changed = old.rate != rate
        old.rate = rate
        old.read_at = read_at
        self.records.touch(upstream, old)
        return has_changed

    def adopt(
        self, statements: Iterable[Statement], now: float
    ) -> list[Statement]:
        """Records statements that other VMs read, as known to all.

        Returns:
            The statements that changed the rate in force.
        """
        changed: list[Statement] = []
        for statement in statements:
            read_at = now - statement.age_ms / 1000
            if self.record(
                statement.upstream,
                statement.started_ms,
                statement.rate,
                read_at,
            ):
                changed.append(statement)
            self._mark_reported(statement)
        return changed

    def unreported(self, is_full: bool, now: float) -> list[Statement]:
        """Returns the statements that other VMs do not know yet.

        An unchanged rate counts as unknown again after REFRESH_SECONDS, so
        that the other VMs know that it is still in force.

        Args:
            is_full: Whether to return all statements.
            now: Time in seconds.
        """
        return [
            _to_message(upstream, record, now)
            for upstream, record in self.records.items()
            if is_full or record.is_unreported
        ]

    def mark_reported(self, statements: Iterable[Statement]) -> None:
        """Records that the leader has received these statements."""
        for statement in statements:
            self._mark_reported(statement)

    def _mark_reported(self, statement: Statement) -> None:
        record = self.records.get(statement.upstream)
        if record is not None and record.started_ms == statement.started_ms:
            record.reported_rate = statement.rate
            record.reported_at = record.read_at

    def changes_since(self, revision: int, now: float) -> list[Statement]:
        """Returns the statements that were recorded after a revision."""
        return [
            _to_message(upstream, record, now)
            for upstream, record in self.records.changed_since(revision)
        ]

    def retain(self, upstreams: Container[str]) -> None:
        """Drops the records of all other upstreams."""
        for upstream in [u for u in self.records if u not in upstreams]:
            del self.records[upstream]

    @property
    def count(self) -> int:
        """Number of upstreams that state a limit."""
        return sum(r.rate != NO_LIMIT for r in self.records.values())


def _to_message(upstream: str, record: Record, now: float) -> Statement:
    age_ms = max(0, int((now - record.read_at) * 1000))
    return Statement(upstream, record.started_ms, record.rate, age_ms)


def shown(rate: float) -> float | None:
    """Returns a rate as the event log shows it: None stands for no limit."""
    return None if rate == NO_LIMIT else rate


def parse(text: str) -> float | None:
    """Returns the rate that a response states, or None if it is invalid.

    Valid are decimal numbers from 0 to MAX_RATE, without sign and exponent.
    """
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    rate = float(text)
    return rate if rate <= MAX_RATE else None
