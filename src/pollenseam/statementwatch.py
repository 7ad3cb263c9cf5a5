"""Records and logs what upstreams state in their responses."""

from collections.abc import Callable

from pollenseam import calls
from pollenseam import events
from pollenseam import metrics
from pollenseam import steering
from pollenseam import upstreamstatements
from pollenseam import upstreamstats


class Speaker:
    """The upstream that a statement concerns, as this VM knows it.

    Attributes:
        id: Id of the upstream.
        started_ms: Its start in Unix milliseconds.
        service: Its service.
        in_flight: Requests of this VM that are running on it.
    """

    __slots__ = ("id", "started_ms", "service", "in_flight")

    def __init__(
        self, id: str, started_ms: int, service: str, in_flight: int
    ) -> None:
        self.id = id
        self.started_ms = started_ms
        self.service = service
        self.in_flight = in_flight


class StatementWatch:
    """Follows the statements of the upstreams of one VM.

    Attributes:
        table: The latest statements.
        log: Event log.
        now: Returns the time since boot in seconds.
        counter: Counts statements by kind and outcome.
    """

    __slots__ = ("table", "log", "now", "counter")

    def __init__(
        self,
        table: upstreamstatements.Table,
        log: events.EventLog,
        now: Callable[[], float],
        counter: metrics.Counter,
    ) -> None:
        self.table = table
        self.log = log
        self.now = now
        self.counter = counter

    def record_head(
        self,
        pool: steering.Pool,
        upstream: upstreamstats.UpstreamStats,
        head: calls.ReplyHead,
    ) -> None:
        """Records what the head of a response states."""
        if head.is_replaced:
            return
        speaker = _speaker(upstream)
        if head.is_leaving:
            self.record_leaving(speaker)
        if head.pause:
            self.record_pause(speaker, head.pause)
        if head.matches_request or head.is_not_run:
            self._record_rate(pool, upstream, head.stated_limit)

    def record_relayed(
        self, upstream: upstreamstats.UpstreamStats, head: calls.ReplyHead
    ) -> None:
        """Records the head of a response that another VM received.

        Its pause is that VM's, and the rate is read there.
        """
        if head.is_leaving:
            self.record_leaving(_speaker(upstream))

    def record_leaving(self, speaker: Speaker) -> None:
        """Records a response which says that the upstream leaves."""
        if self.table.record_leaving(
            speaker.id, speaker.started_ms, self.now()
        ):
            self.counter.add("leaving", "heard")
            self.log_leaving(speaker, 0, "response")

    def log_leaving(self, speaker: Speaker, age_ms: int, source: str) -> None:
        """Logs that an upstream has said that it leaves.

        Args:
            speaker: The upstream.
            age_ms: Time since the response was read, in milliseconds.
            source: "response" or "other-vm".
        """
        self.log.emit_often(
            "stated-leaving",
            upstream=speaker.id,
            service=speaker.service,
            in_flight=speaker.in_flight,
            age_ms=age_ms,
            source=source,
        )

    def record_pause(self, speaker: Speaker, text: str) -> None:
        """Records a response that asks for a pause.

        Args:
            speaker: The upstream.
            text: Seconds, as the response states them.
        """
        now = self.now()
        seconds = upstreamstatements.parse_pause(text)
        if seconds is None:
            self.counter.add("pause", "invalid")
            self.log.emit_often("pause-invalid", upstream=speaker.id, text=text)
            return
        known = self.table.find(speaker.id, speaker.started_ms)
        left_seconds = max(0.0, known.paused_until - now) if known else 0.0
        if not self.table.record_pause(
            speaker.id, speaker.started_ms, seconds, now
        ):
            self.counter.add("pause", "shorter")
            return
        self.counter.add("pause", "replaced" if left_seconds else "heard")
        self.log.emit_often(
            "stated-pause",
            upstream=speaker.id,
            service=speaker.service,
            seconds=seconds,
            replaced_seconds=left_seconds or None,
            in_flight=speaker.in_flight,
        )

    def _record_rate(
        self,
        pool: steering.Pool,
        upstream: upstreamstats.UpstreamStats,
        text: str,
    ) -> None:
        """Records the rate that a response states; "" if it states none."""
        no_limit = upstreamstatements.NO_LIMIT
        rate = upstreamstatements.parse(text) if text else no_limit
        record = upstream.record
        if rate is None:
            self.counter.add("rate", "invalid")
            self.log.emit_often(
                "stated-limit-invalid", upstream=record.id, text=text
            )
            rate = no_limit
        if self.table.record(record.id, record.started_ms, rate, self.now()):
            self.counter.add("rate", "heard")
            self._log_rate(pool, upstream, rate, 0, "response")

    def _log_rate(
        self,
        pool: steering.Pool,
        upstream: upstreamstats.UpstreamStats,
        rate: float,
        age_ms: int,
        source: str,
    ) -> None:
        self.log.emit_often(
            "stated-limit",
            upstream=upstream.record.id,
            service=upstream.record.service,
            rate=upstreamstatements.shown(rate),
            own_rate=pool.own_rate(upstream, self.now()),
            age_ms=age_ms,
            source=source,
        )

    def log_received(
        self,
        statement: upstreamstatements.Statement,
        pool: steering.Pool,
        upstream: upstreamstats.UpstreamStats,
    ) -> None:
        """Logs a statement that another VM read and that changed something."""
        if statement.is_leaving:
            self.counter.add("leaving", "received")
            speaker = _speaker(upstream)
            self.log_leaving(speaker, statement.age_ms, "other-vm")
            return
        self.counter.add("rate", "received")
        self._log_rate(
            pool, upstream, statement.rate, statement.age_ms, "other-vm"
        )

    def retain(
        self,
        find_latest: Callable[[str], upstreamstatements.Latest | None],
    ) -> None:
        """Drops statements of upstreams that ended or started again.

        Args:
            find_latest: Returns what is known of an upstream, by its id.
        """
        now = self.now()
        for upstream, record in self.table.retain(find_latest, now):
            self.log.emit_often(
                "statement-cleared",
                upstream=upstream,
                leaving=record.is_leaving,
                paused_seconds=max(0.0, record.paused_until - now),
                kept_away=record.kept_away,
            )

    def end_pauses(self) -> None:
        """Logs the pauses whose time is over."""
        for upstream, record in self.table.end_pauses(self.now()):
            self.log.emit_often(
                "pause-ended", upstream=upstream, kept_away=record.kept_away
            )


def _speaker(upstream: upstreamstats.UpstreamStats) -> Speaker:
    record = upstream.record
    return Speaker(
        record.id, record.started_ms, record.service, upstream.in_flight
    )
