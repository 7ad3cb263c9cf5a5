"""What upstreams state in their responses: what they accept, and until when.

An upstream may state a rate, which is how many requests per second it accepts
from all VMs together, and repeats it in each response for as long as it is in
force. It may state that it leaves, which holds for all VMs until it starts
again. And it may ask the VM that it answers for a pause.
"""

import re
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from pollenseam import bounds
from pollenseam import revisions

# A stated rate above this is no limit in practice, and probably a mistake.
MAX_RATE = 1_000_000.0
# A VM reports a rate again after this time even if it has not changed.
REFRESH_SECONDS = 4.0
# Rate that stands for "states no limit".
NO_LIMIT = -1.0
# A longer pause is probably a mistake; it is ignored.
MAX_PAUSE_SECONDS = 3600.0
# Statements are kept for this long though the registry has no record of the
# upstream, or one of an earlier start, as the record may still be on its way.
RETAIN_SECONDS = 10.0

# Floating-point numbers are written with up to 17 significant digits.
_DECIMAL = re.compile(r"\d{1,12}(\.\d{1,24})?", re.ASCII)


class Statement(msgspec.Struct, array_like=True):
    """What one response of an upstream said, as sent between VMs.

    Attributes:
        upstream: Id of the upstream.
        started_ms: Start of the upstream in Unix milliseconds.
        rate: Requests per second from all VMs; NO_LIMIT if none was stated.
        age_ms: Time since the response was read, in milliseconds.
        is_leaving: Whether the upstream has said that it leaves.
    """

    upstream: str
    started_ms: int
    rate: float
    age_ms: int
    is_leaving: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether the numbers are possible.

        A response that was read in the future would hide all later ones.
        """
        has_rate = self.rate == NO_LIMIT or 0 <= self.rate <= MAX_RATE
        is_past = 0 <= self.age_ms <= bounds.MAX_INTEGER
        return has_rate and is_past and self.started_ms <= bounds.MAX_INTEGER


class Latest:
    """What the registry or directory knows of an upstream.

    Attributes:
        started_ms: Latest start in Unix milliseconds.
        has_ended: Whether that start has ended as announced.
    """

    __slots__ = ("started_ms", "has_ended")

    def __init__(self, started_ms: int, has_ended: bool) -> None:
        self.started_ms = started_ms
        self.has_ended = has_ended


class Record:
    """The latest known statements of one start of an upstream.

    Attributes:
        started_ms: Start of the upstream in Unix milliseconds.
        rate: Requests per second from all VMs; NO_LIMIT if none is stated.
        read_at: Time in seconds at which a response was last read.
        is_leaving: Whether the upstream has said that it leaves.
        paused_until: Time in seconds until which this VM sends nothing.
        kept_away: Times that a request was kept away since the upstream said
            that it leaves or asked for a pause.
        reported_rate: Rate that the other VMs know.
        reported_leaving: Whether they know that the upstream leaves.
        reported_at: Time in seconds at which they were last told.
        revision: Revision of the table at which the record last changed.
    """

    __slots__ = (
        "started_ms",
        "rate",
        "read_at",
        "is_leaving",
        "paused_until",
        "kept_away",
        "reported_rate",
        "reported_leaving",
        "reported_at",
        "revision",
    )

    def __init__(self, started_ms: int, read_at: float) -> None:
        self.started_ms = started_ms
        self.rate = NO_LIMIT
        self.read_at = read_at
        self.is_leaving = False
        self.paused_until = 0.0
        self.kept_away = 0
        self.reported_rate = NO_LIMIT
        self.reported_leaving = False
        self.reported_at = 0.0
        self.revision = 0

    @property
    def is_unreported(self) -> bool:
        """Whether the other VMs should be told."""
        if self.is_leaving and not self.reported_leaving:
            return True
        if self.rate != self.reported_rate:
            return True
        if self.rate == NO_LIMIT:
            return False
        return self.read_at - self.reported_at >= REFRESH_SECONDS

    @property
    def concerns_others(self) -> bool:
        """Whether the record has more than this VM's pause."""
        return (
            self.is_leaving
            or self.rate != NO_LIMIT
            or self.reported_rate != NO_LIMIT
        )


class Table:
    """The latest statements of all upstreams that have ever made any.

    Entry VMs and the leader each have one. Rates are merged by the time at
    which they were read: the latest counts. That an upstream leaves holds for
    all responses of the same start. Pauses stay with the VM that was asked.

    Attributes:
        records: Records by upstream id.
    """

    __slots__ = ("records",)

    def __init__(self) -> None:
        self.records: revisions.Records[str, Record] = revisions.Records()

    def find(self, upstream: str, started_ms: int) -> Record | None:
        """Returns the record of one start of an upstream, or None."""
        record = self.records.get(upstream)
        if record is None or record.started_ms != started_ms:
            return None
        return record

    def is_over(self, upstream: str, started_ms: int) -> bool:
        """Returns whether a start of an upstream takes no more requests.

        That is so if it has said that it leaves, and if a later start has said
        something, which the registry of this VM may not have yet.
        """
        record = self.records.get(upstream)
        if record is None or record.started_ms < started_ms:
            return False
        return record.started_ms > started_ms or record.is_leaving

    def in_force(self, upstream: str, started_ms: int) -> Record | None:
        """Returns the record of an upstream that states a limit, or None."""
        record = self.find(upstream, started_ms)
        return record if record and record.rate != NO_LIMIT else None

    def record(
        self, upstream: str, started_ms: int, rate: float, read_at: float
    ) -> bool:
        """Records a rate; returns whether the rate in force changed.

        An upstream that never stated anything gets no record.
        """
        if rate == NO_LIMIT and upstream not in self.records:
            return False
        record = self._record_of(upstream, started_ms, read_at)
        if record is None or read_at < record.read_at:
            return False
        has_changed = record.rate != rate
        record.rate = rate
        record.read_at = read_at
        self.records.touch(upstream, record)
        return has_changed

    def record_leaving(
        self, upstream: str, started_ms: int, read_at: float
    ) -> bool:
        """Records that an upstream leaves; returns whether that is new."""
        record = self._record_of(upstream, started_ms, read_at)
        if record is None or record.is_leaving:
            return False
        record.is_leaving = True
        record.kept_away = 0
        self.records.touch(upstream, record)
        return True

    def record_pause(
        self, upstream: str, started_ms: int, seconds: float, now: float
    ) -> bool:
        """Records that an upstream wants nothing from this VM for a while.

        The longest pause counts: responses to concurrent requests may be read
        in another order than the upstream wrote them.

        Returns:
            Whether the upstream is paused for longer than before.
        """
        record = self._record_of(upstream, started_ms, now)
        if record is None or now + seconds <= record.paused_until:
            return False
        if record.paused_until <= now:
            record.kept_away = 0
        record.paused_until = now + seconds
        return True

    def _record_of(
        self, upstream: str, started_ms: int, read_at: float
    ) -> Record | None:
        """Returns the record for a statement; None if it comes too late.

        The statements of an earlier start end with a later one.
        """
        record = self.records.get(upstream)
        if record is None or started_ms > record.started_ms:
            record = Record(started_ms, read_at)
            self.records.touch(upstream, record)
        return record if record.started_ms == started_ms else None

    def adopt(
        self, statements: Iterable[Statement], now: float
    ) -> list[Statement]:
        """Records statements that other VMs read, as known to all.

        Those that are not valid are ignored.

        Returns:
            The statements that changed what is in force.
        """
        changed: list[Statement] = []
        for statement in statements:
            if not statement.is_valid:
                continue
            read_at = now - statement.age_ms / 1000
            has_left = statement.is_leaving and self.record_leaving(
                statement.upstream, statement.started_ms, read_at
            )
            has_new_rate = self.record(
                statement.upstream,
                statement.started_ms,
                statement.rate,
                read_at,
            )
            if has_left or has_new_rate:
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
            if record.is_unreported or (is_full and record.concerns_others)
        ]

    def mark_reported(self, statements: Iterable[Statement]) -> None:
        """Records that the leader has received these statements."""
        for statement in statements:
            self._mark_reported(statement)

    def _mark_reported(self, statement: Statement) -> None:
        record = self.find(statement.upstream, statement.started_ms)
        if record is not None:
            record.reported_rate = statement.rate
            record.reported_leaving |= statement.is_leaving
            record.reported_at = record.read_at

    def changes_since(self, revision: int, now: float) -> list[Statement]:
        """Returns the statements that were recorded after a revision."""
        return [
            _to_message(upstream, record, now)
            for upstream, record in self.records.changed_since(revision)
        ]

    def retain(
        self, find_latest: Callable[[str], Latest | None], now: float
    ) -> list[tuple[str, Record]]:
        """Drops the records of upstreams that ended or started again.

        Args:
            find_latest: Returns what is known of an upstream, by its id.
            now: Time in seconds.

        Returns:
            The dropped records of upstreams that were leaving or paused.
        """
        dropped = [
            (upstream, record)
            for upstream, record in self.records.items()
            if _has_ended(record, find_latest(upstream), now)
        ]
        for upstream, _ in dropped:
            del self.records[upstream]
        return [
            (upstream, record)
            for upstream, record in dropped
            if record.is_leaving or record.paused_until > now
        ]

    def end_pauses(self, now: float) -> list[tuple[str, Record]]:
        """Ends the pauses whose time is over, and returns their records."""
        ended = [
            (upstream, record)
            for upstream, record in self.records.items()
            if 0.0 < record.paused_until <= now
        ]
        for _, record in ended:
            record.paused_until = 0.0
        return ended

    @property
    def count(self) -> int:
        """Number of upstreams that state a limit."""
        return sum(r.rate != NO_LIMIT for r in self.records.values())

    @property
    def leaving_count(self) -> int:
        """Number of upstreams that have said that they leave."""
        return sum(r.is_leaving for r in self.records.values())

    def paused_count(self, now: float) -> int:
        """Returns the number of upstreams that this VM sends nothing now."""
        return sum(r.paused_until > now for r in self.records.values())


def _has_ended(record: Record, latest: Latest | None, now: float) -> bool:
    if latest is None or latest.started_ms < record.started_ms:
        return now - record.read_at > RETAIN_SECONDS
    if latest.started_ms == record.started_ms:
        return latest.has_ended
    return True


def _to_message(upstream: str, record: Record, now: float) -> Statement:
    age_ms = max(0, int((now - record.read_at) * 1000))
    return Statement(
        upstream, record.started_ms, record.rate, age_ms, record.is_leaving
    )


def shown(rate: float) -> float | None:
    """Returns a rate as the event log shows it: None stands for no limit."""
    return None if rate == NO_LIMIT else rate


def parse_pause(text: str) -> float | None:
    """Returns the seconds of a pause, or None if the text cannot be meant.

    Valid are decimal numbers above 0 up to MAX_PAUSE_SECONDS, without sign and
    exponent.
    """
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    seconds = float(text)
    return seconds if 0 < seconds <= MAX_PAUSE_SECONDS else None


def parse(text: str) -> float | None:
    """Returns the rate that a response states, or None if it is invalid.

    Valid are decimal numbers from 0 to MAX_RATE, without sign and exponent.
    """
    if _DECIMAL.fullmatch(text.strip()) is None:
        return None
    rate = float(text)
    return rate if rate <= MAX_RATE else None
