"""Follows which services this VM reaches, with log lines and counts.

While a service is not reached, a connection to one or two of its upstreams is
opened again and again. Nothing is sent on it.
"""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Container

from pollenseam import connects
from pollenseam import events
from pollenseam import metrics
from pollenseam import reachability
from pollenseam import tasks

CONNECT_SECONDS = 0.3
PROBE_SECONDS = 0.5
# Upstreams to which a connection is opened at a time.
PROBE_COUNT = 2

Clock = Callable[[], float]


class ReachWatch:
    """The reach of each service, from the connects and replies of calls.

    Attributes:
        log: Event log.
        now: Returns the time in seconds.
        connects: Counts connects by service and outcome.
        addresses: Returns the addresses of a service's upstreams, by id.
        services: Reach by name of the service.
    """

    def __init__(
        self,
        log: events.EventLog,
        now: Clock,
        connect_counter: metrics.Counter,
        addresses: Callable[[str], dict[str, str]],
    ) -> None:
        self.log = log
        self.now = now
        self.connects = connect_counter
        self.addresses = addresses
        self.services: dict[str, reachability.ServiceReach] = {}
        self._tasks = tasks.Group(log)

    def close(self) -> None:
        """Ends all attempts to connect."""
        self._tasks.cancel()

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
            self._tasks.spawn(self._probe(service, reach))

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

    @property
    def is_cut_off(self) -> bool:
        """Whether other VMs reach a service that this one does not."""
        now = self.now()
        return any(r.is_cut_off(now) for r in self.services.values())

    async def _probe(
        self, service: str, reach: reachability.ServiceReach
    ) -> None:
        """Opens connections until the service is reached or has no upstream.

        Upstreams to which no connect has failed come first.
        """
        while reach.is_unreached:
            addresses = self.addresses(service)
            if not addresses:
                del self.services[service]
                return
            ids = random.sample(list(addresses), len(addresses))
            ids.sort(
                key=lambda id: (id in reach.failed, id in reach.reconnected)
            )
            await asyncio.gather(
                *(
                    self._connect(service, id, addresses[id], len(addresses))
                    for id in ids[:PROBE_COUNT]
                )
            )
            await asyncio.sleep(PROBE_SECONDS)

    async def _connect(
        self, service: str, upstream: str, address: str, upstream_count: int
    ) -> None:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError) as error:
            self.record_connect_failed(
                service,
                upstream,
                upstream_count,
                connects.failure_outcome(error),
            )
            return
        writer.close()
        self.record_connected(service, upstream, upstream_count)

    def gauges(self) -> dict[str, float]:
        """Returns the values of gauges, by name."""
        reaches = self.services.values()
        return {
            "services_unreached": sum(r.is_unreached for r in reaches),
            "upstreams_unreached": sum(r.failing_count for r in reaches),
            "is_cut_off": self.is_cut_off,
        }


def _age(time: float | None, now: float) -> float | None:
    return None if time is None else now - time
