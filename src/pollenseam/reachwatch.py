"""Follows which services this VM reaches, with log lines and counts.

Connections are opened, on which nothing is sent: once in a while when a service
is silent or a connect failed, and again and again while it is not reached.
Idempotent calls that wait for an upstream are then abandoned once a connection
to it times out. A connect that is refused or reset shows that the upstream's
side answers, so that the connections that are open still carry a reply or end.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Container

from pollenseam import calls
from pollenseam import connects
from pollenseam import events
from pollenseam import links
from pollenseam import metrics
from pollenseam import reachability
from pollenseam import steering
from pollenseam import tasks
from pollenseam import waits

CONNECT_SECONDS = 0.3
PROBE_SECONDS = 0.5
# Upstreams to which a connection is opened at a time.
PROBE_COUNT = 2
# Further ones at a time, for which calls wait that may be abandoned.
MAX_WAITED_COUNT = 16
# Rounds of connections for one suspicion, and the time between two suspicions
# for the same reason.
LOOK_ROUNDS = 2
SILENCE_LOOK_SECONDS = 2.0
FAILURE_LOOK_SECONDS = 1.0

Clock = Callable[[], float]


class ReachWatch:
    """The reach of each service, from the connects and replies of calls.

    Attributes:
        log: Event log.
        now: Returns the time in seconds.
        connects: Counts connects by service and outcome.
        addresses: Returns the addresses of a service's upstreams, by id.
        link: Network link of this VM.
        services: Reach by name of the service.
        waiting: Calls that wait for a reply, by name of the service.
        looks_again_at: Time from which a suspicion is followed, by name of the
            service and reason.
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
        self.link = links.Link()
        self.services: dict[str, reachability.ServiceReach] = {}
        self.waiting: dict[str, set[waits.Wait]] = {}
        self.looks_again_at: dict[tuple[str, str], float] = {}
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
            self._tasks.retry(lambda: self._probe(service, reach, now))
        elif not reach.has_replied_since(now - CONNECT_SECONDS):
            self._suspect(service, reach, "failure", FAILURE_LOOK_SECONDS)

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

    def record_reply(self, service: str, upstream: str) -> None:
        """Records that a reply of an upstream arrived."""
        self.reach(service).record_reply(upstream, self.now())

    def retain(self, service: str, upstreams: Container[str]) -> None:
        """Forgets all other upstreams of a service."""
        if service in self.services:
            self.services[service].retain(upstreams)

    @property
    def is_cut_off(self) -> bool:
        """Whether other VMs reach a service that this one does not."""
        now = self.now()
        return any(r.is_cut_off(now) for r in self.services.values())

    def is_out_of_reach(self, service: str) -> bool:
        """Returns whether this VM seems to have no way to any upstream."""
        reach = self.services.get(service)
        if reach is None or not reach.is_unreached:
            return False
        return not reach.has_live_connections(self.now())

    # Suspicion.

    @contextlib.asynccontextmanager
    async def watching(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        claim: Callable[[calls.ActiveCall], bool],
    ) -> AsyncIterator[None]:
        """Watches a call that is being sent, while the context is entered.

        Args:
            active_call: The call.
            choice: The upstream that receives the call.
            claim: Takes the right to send the call once more; returns whether
                that is allowed.

        Raises:
            AbandonedError: This VM lost its way to the upstream.
        """
        waiting = self.waiting.setdefault(active_call.service, set())
        try:
            async with asyncio.timeout(None) as limit:
                wait = waits.Wait(active_call, choice, self.now(), limit, claim)
                waiting.add(wait)
                self._check_silence(wait)
                try:
                    yield
                finally:
                    waiting.remove(wait)
                    wait.end()
        except TimeoutError:
            if limit.expired():
                raise waits.AbandonedError from None
            raise

    def _check_silence(self, wait: waits.Wait) -> None:
        """Suspects a silent service now, and checks again later."""
        service = wait.active_call.service
        reach = self.reach(service)
        now = self.now()
        silent_at = wait.silent_at(reach.replied_at)
        if now >= silent_at:
            self._suspect(service, reach, "silence", SILENCE_LOOK_SECONDS)
            silent_at = now + SILENCE_LOOK_SECONDS
        wait.timer = asyncio.get_running_loop().call_later(
            silent_at - now, self._check_silence, wait
        )

    def _suspect(
        self,
        service: str,
        reach: reachability.ServiceReach,
        reason: str,
        pause_seconds: float,
    ) -> None:
        """Finds out whether a service is reached, unless just done."""
        now = self.now()
        again_at = self.looks_again_at.get((service, reason), 0.0)
        if reach.is_unreached or now < again_at:
            return
        self.looks_again_at[service, reason] = now + pause_seconds
        self._tasks.attempt(lambda: self._look(service, reach))

    async def _look(
        self, service: str, reach: reachability.ServiceReach
    ) -> None:
        """Opens connections until one succeeds or the reach is lost."""
        for _ in range(LOOK_ROUNDS):
            await self._open_connections(service, reach, 0)
            if reach.is_unreached or not reach.failed:
                return

    async def _probe(
        self, service: str, reach: reachability.ServiceReach, lost_at: float
    ) -> None:
        """Opens connections until the service is reached or has no upstream.

        Ends also when the service was reached and is lost once more, which has
        a probe of its own.
        """
        while reach.unreached_since == lost_at:
            started_at = self.now()
            silent = await self._open_connections(
                service, reach, MAX_WAITED_COUNT
            )
            if silent is None:
                self.services.pop(service, None)
                return
            if reach.is_unreached:
                self._abandon(service, reach, silent, started_at)
            await asyncio.sleep(PROBE_SECONDS)

    def _abandon(
        self,
        service: str,
        reach: reachability.ServiceReach,
        silent: set[str],
        started_at: float,
    ) -> None:
        """Abandons calls that wait for upstreams this VM does not reach.

        Args:
            service: Name of the service.
            reach: Reach of the service.
            silent: Upstreams to which connects just timed out.
            started_at: Time at which these connects began.
        """
        if reach.has_live_connections(self.now()):
            return
        abandoned = [
            wait
            for wait in list(self.waiting.get(service, ()))
            if wait.upstream in silent
            and wait.sent_at < started_at
            and wait.abandon()
        ]
        if abandoned:
            self.log.emit_often(
                "calls-abandoned",
                service=service,
                count=len(abandoned),
                waiting=len(self.waiting[service]),
                upstreams=",".join(sorted({w.upstream for w in abandoned})),
                waited_seconds=self.now() - min(w.sent_at for w in abandoned),
            )

    # Connections.

    async def _open_connections(
        self,
        service: str,
        reach: reachability.ServiceReach,
        waited_count: int,
    ) -> set[str] | None:
        """Opens connections to some upstreams, and closes them.

        Args:
            service: Name of the service.
            reach: Reach of the service.
            waited_count: Number of upstreams for which calls wait.

        Returns:
            The upstreams to which it timed out; None if there are no upstreams.
        """
        addresses = self.addresses(service)
        if not addresses:
            return None
        ids = self._targets(service, reach, list(addresses), waited_count)
        outcomes = await asyncio.gather(
            *(
                self._connect(service, id, addresses[id], len(addresses))
                for id in ids
            )
        )
        return {
            id
            for id, outcome in zip(ids, outcomes, strict=True)
            if outcome == "timed-out"
        }

    def _targets(
        self,
        service: str,
        reach: reachability.ServiceReach,
        ids: list[str],
        waited_count: int,
    ) -> list[str]:
        """Returns the upstreams to which connections are opened.

        Those that were heard last come first, because upstreams that are out of
        reach for all VMs must not look like a cut of this one; among those that
        failed, the first that did. Those that just accepted come last.
        """
        random.shuffle(ids)
        ids.sort(
            key=lambda id: (
                id in reach.reconnected,
                reach.failed.get(id, 0.0),
                -reach.heard_at.get(id, 0.0),
            )
        )
        targets = ids[:PROBE_COUNT]
        waited_for = {
            wait.upstream
            for wait in self.waiting.get(service, ())
            if wait.is_abandonable
        }
        waited = [id for id in ids[PROBE_COUNT:] if id in waited_for]
        return targets + waited[:waited_count]

    async def _connect(
        self, service: str, upstream: str, address: str, upstream_count: int
    ) -> str:
        """Opens a connection and closes it; returns the outcome."""
        host, _, port = address.rpartition(":")
        try:
            wait_seconds = self.link.wait_seconds(self.now())
            async with asyncio.timeout(CONNECT_SECONDS + wait_seconds):
                _, writer = await asyncio.open_connection(host, int(port))
        except Exception as error:
            # The record of an upstream may have an address that is none, which
            # raises other errors than a connection does.
            outcome = connects.failure_outcome(error)
            if outcome == "failed":
                self.log.emit_often(
                    "probe-failed",
                    service=service,
                    upstream=upstream,
                    why=repr(error),
                )
            self.record_connect_failed(
                service, upstream, upstream_count, outcome
            )
            return outcome
        writer.close()
        self.record_connected(service, upstream, upstream_count)
        return "connected"

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
