"""Counts and log lines of what an entry VM answers to its callers."""

from collections.abc import Callable

from pollenseam import calls
from pollenseam import errors
from pollenseam import events
from pollenseam import metrics
from pollenseam import registryfollower
from pollenseam import stopping


class AnswerLog:
    """Counts and logs the answers of an entry VM.

    Attributes:
        log: Event log.
        metrics: Counters and latencies of the entry VM.
        now: Returns the time since boot in seconds.
        follower: Index and age of the settings, for the log lines.
        stop_deadline: When the VM stops, if it is leaving.
    """

    __slots__ = ("log", "metrics", "now", "follower", "stop_deadline")

    def __init__(
        self,
        log: events.EventLog,
        entry_metrics: metrics.EntryMetrics,
        now: Callable[[], float],
        follower: registryfollower.RegistryFollower,
        stop_deadline: stopping.StopDeadline,
    ) -> None:
        self.log = log
        self.metrics = entry_metrics
        self.now = now
        self.follower = follower
        self.stop_deadline = stop_deadline

    def record_reply(self, call: calls.Call, status: int) -> None:
        """Counts an upstream's reply that was passed on."""
        self.metrics.answers.add(call.route, str(status))
        self.metrics.workspaces.add(call.workspace, "answered")
        self.metrics.latencies.observe(call.route, self.now() - call.arrived_at)

    def record_refusal(self, call: calls.Call, refusal: errors.Refusal) -> None:
        """Counts and logs a call that was refused."""
        now = self.now()
        kind = refusal.kind.value
        self.metrics.answers.add(call.route, kind)
        self.metrics.workspaces.add(call.workspace, kind)
        self.metrics.refusal_latencies.observe(kind, now - call.arrived_at)
        self.log.emit_often(
            "refused",
            request=call.id,
            route=call.route or None,
            kind=kind,
            why=refusal.detail,
            executed=refusal.executed,
            workspace=call.workspace or None,
            held_seconds=now - call.arrived_at,
            left_seconds=call.deadline - now,
            settings_index=self.follower.registry.index,
            settings_age_ms=self.follower.freshness.age_ms(now),
        )

    def record_abandoned(self, call: calls.Call) -> None:
        """Counts and logs a call whose connection was lost before a reply."""
        now = self.now()
        self.metrics.answers.add(call.route, "abandoned")
        self.log.emit_often(
            "abandoned",
            request=call.id,
            route=call.route or None,
            held_seconds=now - call.arrived_at,
            left_seconds=call.deadline - now,
            leaving=self.stop_deadline.is_set,
            settings_index=self.follower.registry.index,
        )

    def record_unparsed(self, id: str, refusal: errors.Refusal) -> None:
        """Counts and logs a request that was refused while being received.

        Args:
            id: The caller's id of the request, or "".
            refusal: Why it was refused.
        """
        self.metrics.answers.add("", refusal.kind.value)
        self.log.emit_often(
            "refused",
            request=id,
            kind=refusal.kind.value,
            why=refusal.detail,
            executed=refusal.executed,
        )
