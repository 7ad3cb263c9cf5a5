"""Carries an entry VM's requests to upstreams: tries, refusals, whole answers.

How a request and its answer look on the wire is for a `trips.Dialect` to say.
"""

import asyncio

import aiohttp
import yarl

from pollenseam import calls
from pollenseam import errors
from pollenseam import events
from pollenseam import metrics
from pollenseam import retries
from pollenseam import sessions
from pollenseam import steering
from pollenseam import upstreamstats
from pollenseam import vm

CONNECT_SECONDS = 0.3
KEEP_ALIVE_SECONDS = 8.0
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
MIN_RETRY_AFTER_SECONDS = 0.05
# Part of the expected work that is surely needed.
MIN_WORK_RATIO = 0.6


class Dispatcher:
    """Sends calls to upstreams.

    Attributes:
        dialect: How upstreams are spoken to.
        log: Event log.
        tries: Counts sends by service and outcome.
        budgets: Further sends by service.
        vms: Entry VMs that share the budgets.
    """

    def __init__(
        self,
        protocol: calls.UpstreamProtocol,
        log: events.EventLog,
        attempts: metrics.Counter,
        retry_ratio: float,
        retry_slack: float,
        retry_window_seconds: float,
    ) -> None:
        self.protocol = protocol
        self.log = log
        self.attempts = attempts
        self.now = vm.boot_seconds
        self.vm_count = 1
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_seconds = retry_window_seconds
        self.retry_budgets: dict[str, retries.Budget] = {}
        self.session = sessions.open_session(
            CONNECT_SECONDS, KEEP_ALIVE_SECONDS
        )

    async def close(self) -> None:
        """Closes all connections to upstreams."""
        await self.session.close()

    async def dispatch(self, trip: calls.ActiveCall) -> calls.Reply:
        """Returns an upstream's whole answer.

        Raises:
            RefusedError: No upstream answered it in time.
        """
        self._budget(trip.service).record_request(self.now())
        while True:
            try:
                choice = self._choose(trip)
            except errors.RefusedError:
                if trip.reply is not None:
                    return trip.reply
                raise
            upstream = choice.upstream
            trip.tried.add(upstream.record.id)
            send = upstream.begin(choice.expected_seconds, self.now())
            try:
                reply = await self._attempt(trip, choice)
            finally:
                upstream.end(send)
            if reply is not None:
                return reply

    def _budget(self, service: str) -> retries.Budget:
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = retries.Budget(
                self.retry_ratio, self.retry_slack, self.retry_window_seconds
            )
        return budget

    def _choose(self, trip: calls.ActiveCall) -> steering.Choice:
        now = self.now()
        if trip.refusal is not None and not trip.may_retry():
            raise errors.RefusedError(trip.refusal)
        choice = trip.pool.choose(trip.requirements(), now)
        if choice is None:
            raise self._final_refusal(trip, "no upstream serves", 1.0)
        left = trip.deadline - now
        work = choice.work_seconds * MIN_WORK_RATIO
        if choice.excess_wait_seconds > 0 or choice.wait_seconds + work > left:
            why = (
                f"no upstream has room: {choice.upstream.record.id} would "
                f"take {choice.expected_seconds:.3g} s, load "
                f"{choice.upstream.load(now):.3g}, {left:.3g} s are left"
            )
            raise self._final_refusal(trip, why, choice.excess_wait_seconds)
        if trip.deliveries and not self._budget(trip.service).try_spend(
            self.vm_count, now
        ):
            raise self._final_refusal(trip, "the retry budget is used up", 0.5)
        return choice

    def _final_refusal(
        self, trip: calls.ActiveCall, why: str, retry_after: float
    ) -> errors.RefusedError:
        """Returns the best that can be said of a trip that ends."""
        if trip.refusal is not None and trip.executions:
            return errors.RefusedError(trip.refusal)
        return errors.refuse(
            errors.Kind.NO_ROOM,
            why,
            executed="no",
            retry_after=max(MIN_RETRY_AFTER_SECONDS, retry_after),
        )

    async def _attempt(
        self, trip: calls.ActiveCall, choice: steering.Choice
    ) -> calls.Reply | None:
        """Sends a call once; None when another upstream may get it."""
        upstream = choice.upstream
        started = self.now()
        try:
            async with asyncio.timeout_at(vm.loop_deadline(trip.deadline)):
                answer = await self._send_request(trip, upstream)
                return await self._read_reply(trip, choice, answer, started)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            upstream.record_unreachable(self.now())
            trip.connect_failures += 1
            self._record_attempt(
                trip, upstream, "unreachable", started, repr(error)
            )
            trip.refusal = trip.refusal or errors.Refusal(
                errors.Kind.NO_ROOM, "the upstream is out of reach", "no"
            )
            return None
        except TimeoutError:
            self._record_timeout(choice)
            self._record_attempt(
                trip, upstream, "no-answer-in-time", started, ""
            )
            raise errors.refuse(
                errors.Kind.DEADLINE, "no answer came in time", "unknown"
            ) from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            upstream.record_unreachable(self.now())
            self._record_broken(trip, upstream, started, repr(error))
            return None

    def _record_timeout(self, choice: steering.Choice) -> None:
        if choice.upstream.is_unreachable(self.now()):
            choice.upstream.record_unreachable(self.now())

    def _record_broken(
        self,
        trip: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        started: float,
        why: str,
    ) -> None:
        """Notes a send that may have run and has no answer."""
        trip.deliveries += 1
        trip.executions += 1
        trip.refusal = errors.Refusal(
            errors.Kind.UPSTREAM_FAILED, "the upstream broke off", "unknown"
        )
        self._record_attempt(trip, upstream, "broken", started, why)

    async def _send_request(
        self, trip: calls.ActiveCall, upstream: upstreamstats.UpstreamStats
    ) -> aiohttp.ClientResponse:
        call = trip.call
        left = trip.deadline - self.now()
        headers = self.protocol.request_headers(call, upstream.record.id, left)
        address = upstream.record.address
        return await self.session.request(
            call.method,
            yarl.URL(f"http://{address}{call.target}", encoded=True),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        )

    async def _read_reply(
        self,
        trip: calls.ActiveCall,
        choice: steering.Choice,
        answer: aiohttp.ClientResponse,
        started: float,
    ) -> calls.Reply | None:
        upstream = choice.upstream
        is_whole = False
        try:
            head = self.protocol.read_head(trip.call, answer)
            body = await _read_body(answer)
            is_whole = head.matches_request or head.is_not_run
        finally:
            # A connection with an answer under way is never used again.
            if is_whole:
                answer.release()
            else:
                answer.close()
        now = self.now()
        if head.running >= 0:
            upstream.record_load_report(head.running, head.waiting, now)
            # This request has just ended, but still counts as in flight.
            upstream.others_in_flight = max(0.0, upstream.others_in_flight + 1)
        if head.is_replaced:
            upstream.record_unreachable(now)
            self._record_not_run(trip, upstream, "replaced", started)
            return None
        if head.is_not_run:
            upstream.record_shed(now)
            self._record_not_run(trip, upstream, "shed", started)
            return None
        if not head.matches_request:
            upstream.record_error(now)
            self._record_broken(trip, upstream, started, "a foreign answer")
            return None
        reply = calls.Reply(answer.status, answer.reason, answer.headers, body)
        return self._evaluate_reply(trip, choice, reply, started)

    def _record_not_run(
        self,
        trip: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        what: str,
        started: float,
    ) -> None:
        """Notes a send that the upstream declared as not run."""
        trip.deliveries += 1
        if not trip.executions:
            trip.refusal = errors.Refusal(
                errors.Kind.NO_ROOM, "the upstream has no room", "no"
            )
        self._record_attempt(trip, upstream, what, started, "")

    def _evaluate_reply(
        self,
        trip: calls.ActiveCall,
        choice: steering.Choice,
        reply: calls.Reply,
        started: float,
    ) -> calls.Reply | None:
        now = self.now()
        upstream = choice.upstream
        trip.deliveries += 1
        trip.executions += 1
        if reply.status < 500:
            self._record_served(trip, choice, reply.status, started)
            self._update_estimates(trip, choice, now - started)
            return reply
        upstream.record_error(now)
        self._record_attempt(
            trip, upstream, "failed", started, str(reply.status)
        )
        trip.reply = reply
        can_retry = trip.may_retry() and now < trip.deadline
        if not can_retry or not self._can_retry(trip, now):
            return reply
        trip.refusal = errors.Refusal(
            errors.Kind.UPSTREAM_FAILED, "the upstream failed", "unknown"
        )
        return None

    def _can_retry(self, trip: calls.ActiveCall, now: float) -> bool:
        """Tells whether another try has time and an upstream."""
        choice = trip.pool.choose(trip.requirements(), now)
        if choice is None or now + choice.expected_seconds > trip.deadline:
            return False
        budget = self._budget(trip.service)
        return budget.can_spend(self.vm_count, now)

    def _record_served(
        self,
        trip: calls.ActiveCall,
        choice: steering.Choice,
        status: int,
        started: float,
    ) -> None:
        upstream = choice.upstream
        object = trip.object
        self.attempts.add(trip.service, "served")
        self.log.emit_often(
            "served",
            request=trip.call.id,
            route=trip.entry.name,
            service=trip.service,
            upstream=upstream.record.id,
            status=status,
            rank=choice.rank,
            object=object,
            known=object in upstream.warm_objects,
            seconds=self.now() - started,
            expected_wait=choice.wait_seconds,
            expected_work=choice.work_seconds,
            load=upstream.load(self.now()),
            held_seconds=self.now() - trip.call.arrived_at,
            runs=trip.executions,
            arrivals=trip.deliveries,
        )

    def _update_estimates(
        self, trip: calls.ActiveCall, choice: steering.Choice, seconds: float
    ) -> None:
        now = self.now()
        upstream = choice.upstream
        object = trip.object
        expected = choice.expected_seconds
        if choice.wait_seconds == 0.0 and upstream.current_slowness(now) < 1.5:
            is_known = object is not None and object in upstream.warm_objects
            ratio = steering.WARM_WORK_RATIO if is_known else 1.0
            if is_known or object is None:
                trip.pool.work_estimates.record(
                    trip.entry.name, seconds / ratio
                )
        upstream.record_success(object, seconds, expected, now)

    def _record_attempt(
        self,
        trip: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        outcome: str,
        started: float,
        why: str,
    ) -> None:
        self.attempts.add(trip.service, outcome)
        self.log.emit_often(
            "try",
            request=trip.call.id,
            service=trip.service,
            upstream=upstream.record.id,
            outcome=outcome,
            seconds=self.now() - started,
            in_flight=upstream.in_flight,
            load=upstream.load(self.now()),
            runs=trip.executions,
            arrivals=trip.deliveries,
            why=why or None,
        )


async def _read_body(answer: aiohttp.ClientResponse) -> bytes:
    """Returns an answer's whole body.

    Raises:
        ValueError: It is larger than an answer may be.
    """
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ValueError(f"the answer is over {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)
