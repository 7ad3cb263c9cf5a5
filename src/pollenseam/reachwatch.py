"""Follows which services this VM reaches, with log lines and counts."""

from collections.abc import Callable
from collections.abc import Container

from pollenseam import events
from pollenseam import metrics
from pollenseam import reachability

Clock = Callable[[], float]


class ReachWatch:
    """The reach of each service, from the connects and replies of calls.

    Attributes:
        log: Event log.
        now: Returns the time in seconds.
        connects: Counts connects by service and outcome.
        services: Reach by name of the service.
    """

    def __init__(
        self, log: events.EventLog, now: Clock, connects: metrics.Counter
    ) -> None:
        self.log = log
        self.now = now
        self.connects = connects
        self.services: dict[str, reachability.ServiceReach] = {}

    def reach(self, service: str) -> reachability.ServiceReach:
        """Returns the reach of a service."""
        reach = self.services.get(service)
        if reach is None:
            reach = self.services[service] = reachability.ServiceReach()
        return reach

    def record_connect_failed(
        self, service: str, upstream: str, upstream_count: int, outcome: str
    ) -> None:
        """Records that a connection to an upstream could not be opened.

        Args:
            service: Name of the service.
            upstream: Id of the upstream.
            upstream_count: Number of upstreams of the service.
            outcome: How it failed, see `connects.failure_outcome`.
        """
        self.connects.add(service, outcome)
        reach = self.reach(service)
        now = self.now()
        if reach.record_connect_failed(upstream, upstream_count, now):
            self.log.emit_often(
                "service-unreached",
                service=service,
                failed=",".join(sorted(reach.failed)),
                upstreams=upstream_count,
                outcome=outcome,
                connected_seconds_ago=_age(reach.connected_at, now),
                replied_seconds_ago=_age(reach.replied_at, now),
            )

    def record_connected(
        self, service: str, upstream: str, upstream_count: int
    ) -> None:
        """Records that a connection to an upstream was opened."""
        self.connects.add(service, "connected")
        reach = self.reach(service)
        now = self.now()
        unreached_since = reach.unreached_since
        if reach.record_connected(upstream, upstream_count, now):
            self.log.emit_often(
                "service-reached",
                service=service,
                upstream=upstream,
                upstreams=upstream_count,
                seconds=_age(unreached_since, now),
                returns=len(reach.returns),
            )

    def record_reply(self, service: str) -> None:
        """Records that a reply of an upstream arrived."""
        self.reach(service).record_reply(self.now())

    def retain(self, service: str, upstreams: Container[str]) -> None:
        """Forgets all other upstreams of a service."""
        if service in self.services:
            self.services[service].retain(upstreams)

    def gauges(self) -> dict[str, float]:
        """Returns the number of unreached services and upstreams, by name."""
        reaches = self.services.values()
        return {
            "services_unreached": sum(r.is_unreached for r in reaches),
            "upstreams_unreached": sum(r.failing_count for r in reaches),
        }


def _age(time: float | None, now: float) -> float | None:
    return None if time is None else now - time
