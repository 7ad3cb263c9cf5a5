"""Carries an entry VM's requests to upstreams: tries, refusals, whole answers.

How a request and its answer look on the wire is for a `trips.Dialect` to say.
"""

import asyncio

import aiohttp
import yarl

from pollenseam import errors
from pollenseam import events
from pollenseam import metrics
from pollenseam import observed
from pollenseam import retries
from pollenseam import sessions
from pollenseam import steering
from pollenseam import trips
from pollenseam import vm

CONNECT_SECONDS = 0.3
KEEP_ALIVE_SECONDS = 8.0
MAX_ANSWER_BYTES = 32 * 1024 * 1024
MIN_RETRY_AFTER_SECONDS = 0.05
# Part of the expected work that is surely needed.
CERTAIN_WORK_RATIO = 0.6


class Carrier:
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
        dialect: trips.Dialect,
        log: events.EventLog,
        tries: metrics.Counter,
        retry_ratio: float,
        retry_slack: float,
        retry_window_seconds: float,
    ) -> None:
        self.dialect = dialect
        self.log = log
        self.tries = tries
        self.now = vm.boot_seconds
        self.vms = 1
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_seconds = retry_window_seconds
        self.budgets: dict[str, retries.Budget] = {}
        self.session = sessions.open_session(
            CONNECT_SECONDS, KEEP_ALIVE_SECONDS
        )

    async def close(self) -> None:
        """Closes all connections to upstreams."""
        await self.session.close()

    async def carry(self, trip: trips.Trip) -> trips.Reply:
        """Returns an upstream's whole answer.

        Raises:
            RefusedError: No upstream answered it in time.
        """
        self._budget(trip.service).note(self.now())
        while True:
            try:
                choice = self._choose(trip)
            except errors.RefusedError:
                if trip.reply is not None:
                    return trip.reply
                raise
            upstream = choice.upstream
            trip.tried.add(upstream.record.id)
            send = upstream.begin(choice.seconds, self.now())
            try:
                reply = await self._try(trip, choice)
            finally:
                upstream.end(send)
            if reply is not None:
                return reply

    def _budget(self, service: str) -> retries.Budget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = retries.Budget(
                self.retry_ratio, self.retry_slack, self.retry_window_seconds
            )
        return budget

    def _choose(self, trip: trips.Trip) -> steering.Choice:
        now = self.now()
        if trip.refusal is not None and not trip.may_run():
            raise errors.RefusedError(trip.refusal)
        choice = trip.pool.choose(trip.ask(), now)
        if choice is None:
            raise self._give_up(trip, "no upstream serves", 1.0)
        left = trip.deadline - now
        work = choice.work_seconds * CERTAIN_WORK_RATIO
        if choice.excess_seconds > 0 or choice.wait_seconds + work > left:
            why = (
                f"no upstream has room: {choice.upstream.record.id} would "
                f"take {choice.seconds:.3g} s, load "
                f"{choice.upstream.load(now):.3g}, {left:.3g} s are left"
            )
            raise self._give_up(trip, why, choice.excess_seconds)
        if trip.arrivals and not self._budget(trip.service).spend(
            self.vms, now
        ):
            raise self._give_up(trip, "the retry budget is used up", 0.5)
        return choice

    def _give_up(
        self, trip: trips.Trip, why: str, retry_after: float
    ) -> errors.RefusedError:
        """Returns the best that can be said of a trip that ends."""
        if trip.refusal is not None and trip.runs:
            return errors.RefusedError(trip.refusal)
        return errors.refuse(
            errors.Kind.NO_ROOM,
            why,
            executed="no",
            retry_after=max(MIN_RETRY_AFTER_SECONDS, retry_after),
        )

    async def _try(
        self, trip: trips.Trip, choice: steering.Choice
    ) -> trips.Reply | None:
        """Sends a call once; None when another upstream may get it."""
        upstream = choice.upstream
        started = self.now()
        try:
            async with asyncio.timeout_at(vm.loop_deadline(trip.deadline)):
                answer = await self._open(trip, upstream)
                return await self._take(trip, choice, answer, started)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            upstream.fail(self.now())
            trip.connect_failures += 1
            self._note(trip, upstream, "unreachable", started, repr(error))
            trip.refusal = trip.refusal or errors.Refusal(
                errors.Kind.NO_ROOM, "the upstream is out of reach", "no"
            )
            return None
        except TimeoutError:
            self._judge_silence(choice)
            self._note(trip, upstream, "no-answer-in-time", started, "")
            raise errors.refuse(
                errors.Kind.DEADLINE, "no answer came in time", "unknown"
            ) from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            upstream.fail(self.now())
            self._break(trip, upstream, started, repr(error))
            return None

    def _judge_silence(self, choice: steering.Choice) -> None:
        if choice.upstream.is_silent(self.now()):
            choice.upstream.fail(self.now())

    def _break(
        self,
        trip: trips.Trip,
        upstream: observed.Upstream,
        started: float,
        why: str,
    ) -> None:
        """Notes a send that may have run and has no answer."""
        trip.arrivals += 1
        trip.runs += 1
        trip.refusal = errors.Refusal(
            errors.Kind.UPSTREAM_FAILED, "the upstream broke off", "unknown"
        )
        self._note(trip, upstream, "broken", started, why)

    async def _open(
        self, trip: trips.Trip, upstream: observed.Upstream
    ) -> aiohttp.ClientResponse:
        call = trip.call
        left = trip.deadline - self.now()
        headers = self.dialect.request_headers(call, upstream.record.id, left)
        address = upstream.record.address
        return await self.session.request(
            call.method,
            yarl.URL(f"http://{address}{call.target}", encoded=True),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        )

    async def _take(
        self,
        trip: trips.Trip,
        choice: steering.Choice,
        answer: aiohttp.ClientResponse,
        started: float,
    ) -> trips.Reply | None:
        upstream = choice.upstream
        is_whole = False
        try:
            head = self.dialect.read_head(trip.call, answer)
            body = await _read(answer)
            is_whole = head.is_own or head.is_not_run
        finally:
            # A connection with an answer under way is never used again.
            if is_whole:
                answer.release()
            else:
                answer.close()
        now = self.now()
        if head.running >= 0:
            upstream.report(head.running, head.waiting, now)
            # This request has just ended, but still counts as in flight.
            upstream.others = max(0.0, upstream.others + 1)
        if head.is_other:
            upstream.fail(now)
            self._pass_by(trip, upstream, "replaced", started)
            return None
        if head.is_not_run:
            upstream.shed(now)
            self._pass_by(trip, upstream, "shed", started)
            return None
        if not head.is_own:
            upstream.err(now)
            self._break(trip, upstream, started, "a foreign answer")
            return None
        reply = trips.Reply(answer.status, answer.reason, answer.headers, body)
        return self._judge(trip, choice, reply, started)

    def _pass_by(
        self,
        trip: trips.Trip,
        upstream: observed.Upstream,
        what: str,
        started: float,
    ) -> None:
        """Notes a send that the upstream declared as not run."""
        trip.arrivals += 1
        if not trip.runs:
            trip.refusal = errors.Refusal(
                errors.Kind.NO_ROOM, "the upstream has no room", "no"
            )
        self._note(trip, upstream, what, started, "")

    def _judge(
        self,
        trip: trips.Trip,
        choice: steering.Choice,
        reply: trips.Reply,
        started: float,
    ) -> trips.Reply | None:
        now = self.now()
        upstream = choice.upstream
        trip.arrivals += 1
        trip.runs += 1
        if reply.status < 500:
            self._note_served(trip, choice, reply.status, started)
            self._learn(trip, choice, now - started)
            return reply
        upstream.err(now)
        self._note(trip, upstream, "failed", started, str(reply.status))
        trip.reply = reply
        can_retry = trip.may_run() and now < trip.deadline
        if not can_retry or not self._is_worth(trip, now):
            return reply
        trip.refusal = errors.Refusal(
            errors.Kind.UPSTREAM_FAILED, "the upstream failed", "unknown"
        )
        return None

    def _is_worth(self, trip: trips.Trip, now: float) -> bool:
        """Tells whether another try has time and an upstream."""
        choice = trip.pool.choose(trip.ask(), now)
        if choice is None or now + choice.seconds > trip.deadline:
            return False
        budget = self._budget(trip.service)
        return budget.has(self.vms, now)

    def _note_served(
        self,
        trip: trips.Trip,
        choice: steering.Choice,
        status: int,
        started: float,
    ) -> None:
        upstream = choice.upstream
        object = trip.object
        self.tries.add(trip.service, "served")
        self.log.emit_often(
            "served",
            request=trip.call.id,
            route=trip.entry.name,
            service=trip.service,
            upstream=upstream.record.id,
            status=status,
            rank=choice.rank,
            object=object,
            known=object in upstream.known,
            seconds=self.now() - started,
            expected_wait=choice.wait_seconds,
            expected_work=choice.work_seconds,
            load=upstream.load(self.now()),
            held_seconds=self.now() - trip.call.arrived_at,
            runs=trip.runs,
            arrivals=trip.arrivals,
        )

    def _learn(
        self, trip: trips.Trip, choice: steering.Choice, seconds: float
    ) -> None:
        now = self.now()
        upstream = choice.upstream
        object = trip.object
        expected = choice.seconds
        if choice.wait_seconds == 0.0 and upstream.judged_slowness(now) < 1.5:
            is_known = object is not None and object in upstream.known
            ratio = steering.KNOWN_WORK_RATIO if is_known else 1.0
            if is_known or object is None:
                trip.pool.statistics.note(trip.entry.name, seconds / ratio)
        upstream.succeed(object, seconds, expected, now)

    def _note(
        self,
        trip: trips.Trip,
        upstream: observed.Upstream,
        outcome: str,
        started: float,
        why: str,
    ) -> None:
        self.tries.add(trip.service, outcome)
        self.log.emit_often(
            "try",
            request=trip.call.id,
            service=trip.service,
            upstream=upstream.record.id,
            outcome=outcome,
            seconds=self.now() - started,
            in_flight=upstream.in_flight,
            load=upstream.load(self.now()),
            runs=trip.runs,
            arrivals=trip.arrivals,
            why=why or None,
        )


async def _read(answer: aiohttp.ClientResponse) -> bytes:
    """Returns an answer's whole body.

    Raises:
        ValueError: It is larger than an answer may be.
    """
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise ValueError(f"the answer is over {MAX_ANSWER_BYTES} bytes")
    return bytes(body)
