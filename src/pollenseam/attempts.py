"""Counts and log lines of attempts to send calls to upstreams."""

from collections.abc import Callable

from pollenseam import calls
from pollenseam import errors
from pollenseam import events
from pollenseam import metrics
from pollenseam import steering
from pollenseam import upstreamstats


class AttemptLog:
    """Counts and logs the attempts of an entry VM.

    Attributes:
        log: Event log.
        attempts: Counts attempts by service and outcome.
        now: Returns the time since boot in seconds.
    """

    __slots__ = ("log", "attempts", "now")

    def __init__(
        self,
        log: events.EventLog,
        attempts: metrics.Counter,
        now: Callable[[], float],
    ) -> None:
        self.log = log
        self.attempts = attempts
        self.now = now

    def record_served(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        status: int,
        started: float,
    ) -> None:
        """Counts and logs an attempt that got a reply below 500."""
        upstream = choice.upstream
        object_id = active_call.object
        self.attempts.add(active_call.service, "served")
        self.log.emit_often(
            "served",
            request=active_call.call.id,
            route=active_call.named_route.name,
            service=active_call.service,
            upstream=upstream.record.id,
            status=status,
            rank=choice.rank,
            object=object_id,
            known=object_id in upstream.warm_objects,
            seconds=self.now() - started,
            expected_wait=choice.wait_seconds,
            expected_work=choice.work_seconds,
            load=upstream.load(self.now()),
            held_seconds=self.now() - active_call.call.arrived_at,
            runs=active_call.executions,
            arrivals=active_call.deliveries,
        )

    def record_attempt(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        outcome: str,
        started: float,
        why: str,
    ) -> None:
        """Counts and logs an attempt that got no such reply."""
        self.attempts.add(active_call.service, outcome)
        self.log.emit_often(
            "try",
            request=active_call.call.id,
            service=active_call.service,
            upstream=upstream.record.id,
            outcome=outcome,
            seconds=self.now() - started,
            in_flight=upstream.in_flight,
            load=upstream.load(self.now()),
            runs=active_call.executions,
            arrivals=active_call.deliveries,
            fingerprint=(
                active_call.fingerprint.hex() if outcome == "broken" else None
            ),
            connection=active_call.connection,
            why=why or None,
        )

    def record_unknown(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        outcome: str,
        started: float,
        why: str,
    ) -> None:
        """Records an attempt that may have run but got no valid reply."""
        active_call.deliveries += 1
        active_call.executions += 1
        active_call.refusal = errors.Refusal(
            errors.Kind.UPSTREAM_FAILED,
            "the upstream broke the connection",
            "unknown",
        )
        self.record_attempt(active_call, upstream, outcome, started, why)

    def record_not_run(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        outcome: str,
        started: float,
    ) -> None:
        """Records an attempt that the upstream declared as not executed."""
        active_call.deliveries += 1
        if not active_call.executions:
            active_call.refusal = errors.Refusal(
                errors.Kind.NO_ROOM, "the upstream has no room", "no"
            )
        self.record_attempt(active_call, upstream, outcome, started, "")
