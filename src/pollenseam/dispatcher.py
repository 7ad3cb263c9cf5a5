"""Sends an entry VM's calls to upstreams, with retries within a budget.

A `calls.UpstreamProtocol` defines the headers of requests and replies.
"""

import asyncio

import aiohttp
import yarl

from pollenseam import calls
from pollenseam import costs
from pollenseam import crashwatch
from pollenseam import errors
from pollenseam import events
from pollenseam import metrics
from pollenseam import registry
from pollenseam import replybuffers
from pollenseam import retries
from pollenseam import sessions
from pollenseam import statedlimits
from pollenseam import steering
from pollenseam import suspects
from pollenseam import upstreamstats
from pollenseam import vm

CONNECT_SECONDS = 0.3
KEEP_ALIVE_SECONDS = 8.0
MIN_RETRY_AFTER_SECONDS = 0.05
# Retry-After while no upstream is known to accept requests soon.
NO_UPSTREAM_SECONDS = 1.0
# Errors that a connection raises when the upstream ends.
BREAKS = (
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
    ConnectionError,
)
# A call is refused when less time is left than the expected wait and this part
# of the expected work, the least that the work is assumed to need.
MIN_WORK_RATIO = 0.6


class Dispatcher:
    """Sends calls to upstreams.

    Attributes:
        protocol: Writes and reads the headers of the upstreams' protocol.
        log: Event log.
        attempts: Counts attempts by service and outcome.
        now: Returns the time since boot in seconds.
        vm_count: Number of entry VMs that share the retry budgets.
        retry_ratio: Retries per request, over all entry VMs.
        retry_slack: Retries per window beyond that, over all entry VMs.
        retry_window_seconds: Length of the retry budgets' window.
        retry_budgets: Retry budgets by service name.
        reply_buffers: Bodies of replies that are being received.
        stated_limits: Rates that upstreams state.
        watchlist: Requests that may crash upstreams.
        crash_watch: Finds out which upstreams ended with requests of this VM.
        session: HTTP client session for all upstreams.
    """

    def __init__(
        self,
        protocol: calls.UpstreamProtocol,
        log: events.EventLog,
        attempts: metrics.Counter,
        retry_ratio: float,
        retry_slack: float,
        retry_window_seconds: float,
        stated_limits: statedlimits.Table,
        watchlist: suspects.Watchlist,
        crash_watch: crashwatch.CrashWatch,
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
        self.reply_buffers = replybuffers.ReplyBuffers()
        self.stated_limits = stated_limits
        self.watchlist = watchlist
        self.crash_watch = crash_watch
        self.session = sessions.open_session(
            CONNECT_SECONDS, KEEP_ALIVE_SECONDS
        )

    async def close(self) -> None:
        """Closes all connections to upstreams."""
        self.crash_watch.close()
        await self.session.close()

    async def dispatch(self, active_call: calls.ActiveCall) -> calls.Reply:
        """Returns an upstream's complete reply to a call.

        If the call cannot be sent again after a reply with a 5xx status,
        returns that reply.

        Raises:
            RefusedError: No upstream sent a complete reply in time, none has
                room, or the call is blocked for crashing upstreams.
        """
        self._check_crashes(active_call)
        self._budget(active_call.service).record_request(self.now())
        while True:
            try:
                choice = self._choose(active_call)
            except errors.RefusedError:
                if active_call.reply is not None:
                    return active_call.reply
                raise
            upstream = choice.upstream
            active_call.tried.add(upstream.record.id)
            pending = upstream.begin(
                choice.expected_seconds, self.now(), active_call.is_risky
            )
            try:
                reply = await self._attempt(active_call, choice)
            finally:
                upstream.end(pending)
            if reply is not None:
                return reply

    def _check_crashes(self, active_call: calls.ActiveCall) -> None:
        """Refuses a blocked call, and sends a suspect one with care."""
        if self.watchlist.is_empty:
            return
        if self.watchlist.check(active_call.fingerprint, self.now()):
            active_call.is_risky = True
            active_call.max_runs = 1

    def _budget(self, service: str) -> retries.Budget:
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = retries.Budget(
                self.retry_ratio, self.retry_slack, self.retry_window_seconds
            )
        return budget

    def _choose(self, active_call: calls.ActiveCall) -> steering.Choice:
        now = self.now()
        if active_call.refusal is not None and not self._may_retry(
            active_call, now
        ):
            raise errors.RefusedError(active_call.refusal)
        choice = active_call.pool.choose(active_call.requirements(), now)
        if choice is None:
            raise self._no_upstream(active_call, now)
        left_seconds = active_call.deadline - now
        min_work_seconds = choice.work_seconds * MIN_WORK_RATIO
        if (
            choice.excess_wait_seconds > 0
            or choice.wait_seconds + min_work_seconds > left_seconds
        ):
            why = (
                f"no upstream has room: {choice.upstream.record.id} would "
                f"take {choice.expected_seconds:.3g} s at load "
                f"{choice.upstream.load(now):.3g}, "
                f"{left_seconds:.3g} s are left"
            )
            raise self._final_refusal(
                active_call, why, choice.excess_wait_seconds
            )
        if active_call.deliveries and not self._budget(
            active_call.service
        ).try_spend(self.vm_count, now):
            raise self._final_refusal(
                active_call, "the retry budget is exhausted", 0.5
            )
        return choice

    def _may_retry(self, active_call: calls.ActiveCall, now: float) -> bool:
        if not active_call.may_retry():
            return False
        if not active_call.is_risky:
            return True
        until = self.watchlist.blocked_until(active_call.fingerprint, now)
        return until is None

    def _no_upstream(
        self, active_call: calls.ActiveCall, now: float
    ) -> errors.RefusedError:
        """Returns the refusal of a call that no upstream may get now."""
        pool = active_call.pool
        wait = pool.seconds_until_admitted(active_call.requirements(), now)
        if wait is None:
            return self._final_refusal(
                active_call, "no upstream is serving", NO_UPSTREAM_SECONDS
            )
        why = (
            "the upstreams accept no more requests now: "
            f"{pool.stated_limits.count} state a rate, this VM may send the "
            f"next request in {wait:.3g} s"
        )
        return self._final_refusal(active_call, why, wait)

    def _final_refusal(
        self, active_call: calls.ActiveCall, why: str, retry_after: float
    ) -> errors.RefusedError:
        """Returns the refusal of a call for which no upstream is left.

        If an upstream may have executed the call, that attempt's refusal is
        returned. Otherwise the refusal says that the call was not executed.

        Args:
            active_call: The call.
            why: Reason, as text for the caller.
            retry_after: Seconds after which the caller may try again.
        """
        if active_call.refusal is not None and active_call.executions:
            return errors.RefusedError(active_call.refusal)
        return errors.refuse(
            errors.Kind.NO_ROOM,
            why,
            executed="no",
            retry_after=max(MIN_RETRY_AFTER_SECONDS, retry_after),
        )

    async def _attempt(
        self, active_call: calls.ActiveCall, choice: steering.Choice
    ) -> calls.Reply | None:
        """Sends a call to one upstream.

        Returns:
            The reply, or None if another upstream may be tried.

        Raises:
            RefusedError: No reply came before the deadline.
        """
        upstream = choice.upstream
        started = self.now()
        response = None
        try:
            async with asyncio.timeout_at(
                vm.loop_deadline(active_call.deadline)
            ):
                response = await self._send_request(active_call, upstream)
                return await self._read_reply(
                    active_call, choice, response, started
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            upstream.record_unreachable(self.now())
            active_call.connect_failures += 1
            self._record_attempt(
                active_call, upstream, "unreachable", started, repr(error)
            )
            active_call.refusal = active_call.refusal or errors.Refusal(
                errors.Kind.NO_ROOM, "the upstream is unreachable", "no"
            )
            return None
        except TimeoutError:
            self._record_timeout(upstream, response is not None)
            self._record_attempt(
                active_call, upstream, "no-answer-in-time", started, ""
            )
            raise errors.refuse(
                errors.Kind.DEADLINE, "no reply came in time", "unknown"
            ) from None
        except asyncio.CancelledError:
            outcome = "cancelled" if response is None else "cancelled-in-reply"
            self._record_attempt(active_call, upstream, outcome, started, "")
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            upstream.record_unreachable(self.now())
            if isinstance(error, BREAKS):
                active_call.is_risky = True
                self._record_break(active_call, upstream.record)
            self._record_broken(active_call, upstream, started, repr(error))
            return None

    def _record_break(
        self, active_call: calls.ActiveCall, record: registry.Upstream
    ) -> None:
        """Records that a connection broke while an upstream had the call."""
        start = crashwatch.UpstreamStart(
            record.id, record.started_ms, record.service, record.address
        )
        self.crash_watch.record_break(active_call.fingerprint, start)

    def _record_timeout(
        self, upstream: upstreamstats.UpstreamStats, has_head: bool
    ) -> None:
        now = self.now()
        if has_head:
            # The upstream is alive, but its reply does not end.
            upstream.record_error(now)
        elif upstream.is_unreachable(now):
            upstream.record_unreachable(now)

    def _record_broken(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
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
        self._record_attempt(active_call, upstream, "broken", started, why)

    async def _send_request(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
    ) -> aiohttp.ClientResponse:
        call = active_call.call
        left_seconds = active_call.deadline - self.now()
        headers = self.protocol.request_headers(
            call, upstream.record.id, left_seconds
        )
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
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        response: aiohttp.ClientResponse,
        started: float,
    ) -> calls.Reply | None:
        upstream = choice.upstream
        is_complete = False
        try:
            head = self.protocol.read_head(active_call.call, response)
            body = await self.reply_buffers.read(response)
            is_complete = head.matches_request and not head.is_replaced
        finally:
            # A connection that may still carry response data must not be
            # reused: the data would be read as the next response.
            if is_complete:
                response.release()
            else:
                response.close()
        now = self.now()
        if not head.is_replaced and (head.matches_request or head.is_not_run):
            self._record_stated_limit(
                active_call.pool, upstream, head.stated_limit
            )
        if head.running >= 0:
            upstream.record_load_report(head.running, head.waiting, now)
            # This request has ended at the upstream, but this VM still counts
            # it as in flight.
            upstream.others_in_flight = max(0.0, upstream.others_in_flight + 1)
        if head.is_replaced:
            upstream.record_unreachable(now)
            self._record_not_run(active_call, upstream, "replaced", started)
            return None
        if head.is_not_run:
            upstream.record_shed(now)
            self._record_not_run(active_call, upstream, "shed", started)
            return None
        if not head.matches_request:
            upstream.record_error(now)
            self._record_broken(
                active_call,
                upstream,
                started,
                "the reply does not match the request",
            )
            return None
        reply = calls.Reply(
            response.status, response.reason, response.headers, bytes(body)
        )
        return self._evaluate_reply(active_call, choice, reply, started)

    def _record_stated_limit(
        self,
        pool: steering.Pool,
        upstream: upstreamstats.UpstreamStats,
        text: str,
    ) -> None:
        """Records the rate that an upstream's response states, if any."""
        rate = statedlimits.parse(text) if text else statedlimits.NO_LIMIT
        record = upstream.record
        if rate is None:
            self.log.emit_often(
                "stated-limit-invalid", upstream=record.id, text=text
            )
            rate = statedlimits.NO_LIMIT
        if self.stated_limits.record(
            record.id, record.started_ms, rate, self.now()
        ):
            self.log.emit_often(
                "stated-limit",
                upstream=record.id,
                service=record.service,
                rate=statedlimits.shown(rate),
                own_rate=pool.own_rate(upstream, self.now()),
                age_ms=0,
                source="response",
            )

    def _record_not_run(
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
        self._record_attempt(active_call, upstream, outcome, started, "")

    def _evaluate_reply(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        reply: calls.Reply,
        started: float,
    ) -> calls.Reply | None:
        now = self.now()
        upstream = choice.upstream
        active_call.deliveries += 1
        active_call.executions += 1
        if not self.watchlist.is_empty:
            self.watchlist.record_success(active_call.fingerprint)
        if reply.status < 500:
            self._record_served(active_call, choice, reply.status, started)
            self._update_estimates(active_call, choice, now - started)
            return reply
        upstream.record_error(now)
        self._record_attempt(
            active_call, upstream, "failed", started, str(reply.status)
        )
        active_call.reply = reply
        may_retry = active_call.may_retry() and now < active_call.deadline
        if not may_retry or not self._can_retry(active_call, now):
            return reply
        active_call.refusal = errors.Refusal(
            errors.Kind.UPSTREAM_FAILED, "the upstream failed", "unknown"
        )
        return None

    def _can_retry(self, active_call: calls.ActiveCall, now: float) -> bool:
        """Returns whether time, upstreams and budget allow another attempt."""
        choice = active_call.pool.choose(active_call.requirements(), now)
        if (
            choice is None
            or now + choice.expected_seconds > active_call.deadline
        ):
            return False
        budget = self._budget(active_call.service)
        return budget.can_spend(self.vm_count, now)

    def _record_served(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        status: int,
        started: float,
    ) -> None:
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

    def _update_estimates(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        seconds: float,
    ) -> None:
        now = self.now()
        upstream = choice.upstream
        object_id = active_call.object
        expected_seconds = choice.expected_seconds
        if choice.wait_seconds == 0.0 and upstream.current_slowness(now) < 1.5:
            is_warm = (
                object_id is not None and object_id in upstream.warm_objects
            )
            ratio = costs.WARM_WORK_RATIO if is_warm else 1.0
            if is_warm or object_id is None:
                active_call.pool.work_estimates.record(
                    active_call.named_route.name, seconds / ratio
                )
        upstream.record_success(object_id, seconds, expected_seconds, now)

    def _record_attempt(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        outcome: str,
        started: float,
        why: str,
    ) -> None:
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
            why=why or None,
        )
