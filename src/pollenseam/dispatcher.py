"""Sends an entry VM's calls to upstreams, with retries within a budget.

A `calls.UpstreamProtocol` defines the headers of requests and replies.
"""

import asyncio
import errno
import functools

import aiohttp
import yarl

from pollenseam import attempts
from pollenseam import calls
from pollenseam import connects
from pollenseam import crashwatch
from pollenseam import errors
from pollenseam import events
from pollenseam import metrics
from pollenseam import registry
from pollenseam import relaying
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
# Retry-After where another VM may serve at once.
ELSEWHERE_SECONDS = 0.05
# Failed connects after which another VM is asked to send the call.
MAX_OWN_CONNECT_FAILURES = 2
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
# Errors of a connection whose peer is out of reach.
NO_PATH_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class Dispatcher:
    """Sends calls to upstreams.

    Attributes:
        protocol: Writes and reads the headers of the upstreams' protocol.
        log: Event log.
        attempt_log: Counts and logs attempts.
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
        reach_watch: Follows which services this VM reaches.
        relayer: Has calls sent by other VMs.
        session: HTTP client session for all upstreams.
    """

    def __init__(
        self,
        protocol: calls.UpstreamProtocol,
        log: events.EventLog,
        attempt_counter: metrics.Counter,
        retry_ratio: float,
        retry_slack: float,
        retry_window_seconds: float,
        stated_limits: statedlimits.Table,
        watchlist: suspects.Watchlist,
        crash_watch: crashwatch.CrashWatch,
        relayer: relaying.Relayer,
    ) -> None:
        self.protocol = protocol
        self.log = log
        self.now = vm.boot_seconds
        self.attempt_log = attempts.AttemptLog(log, attempt_counter, self.now)
        self.vm_count = 1
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_seconds = retry_window_seconds
        self.retry_budgets: dict[str, retries.Budget] = {}
        self.reply_buffers = replybuffers.ReplyBuffers()
        self.stated_limits = stated_limits
        self.watchlist = watchlist
        self.crash_watch = crash_watch
        self.reach_watch = relayer.reach_watch
        self.relayer = relayer
        self.session = sessions.open_session(
            CONNECT_SECONDS, KEEP_ALIVE_SECONDS, connects.trace_config()
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
                choice = self._choose_way(active_call)
            except errors.RefusedError:
                if active_call.reply is not None:
                    return active_call.reply
                raise
            if choice is None:
                reply = await self._relay(active_call)
            else:
                reply = await self._send(active_call, choice)
            if reply is not None:
                return reply

    async def deliver(
        self, active_call: calls.ActiveCall
    ) -> calls.Reply | None:
        """Sends a call of another VM until one upstream has received it.

        Returns:
            The reply, or None if the upstream gave no valid one.

        Raises:
            RefusedError: No upstream has received the call, or none replied in
                time.
        """
        self._check_crashes(active_call)
        while not active_call.deliveries:
            if active_call.needs_helper or self._is_out_of_reach(active_call):
                active_call.needs_helper = True
                raise errors.refuse(
                    errors.Kind.NO_ROOM, "this VM reaches no upstream"
                )
            choice = self._choose(active_call)
            reply = await self._send(active_call, choice)
            if reply is not None:
                return reply
        return None

    def _choose_way(
        self, active_call: calls.ActiveCall
    ) -> steering.Choice | None:
        """Returns the upstream for a call; None if another VM is to send it.

        Raises:
            RefusedError: The call must not be sent again, or no upstream has
                room.
        """
        if not self._needs_helper(active_call):
            return self._choose(active_call)
        now = self.now()
        if active_call.refusal is not None and not self._may_run_again(
            active_call, now
        ):
            raise errors.RefusedError(active_call.refusal)
        self._spend_retry(active_call, now)
        return None

    def _needs_helper(self, active_call: calls.ActiveCall) -> bool:
        if active_call.is_helpless:
            return False
        return (
            active_call.needs_helper
            or active_call.connect_failures >= MAX_OWN_CONNECT_FAILURES
            or self._is_out_of_reach(active_call)
        )

    def _is_out_of_reach(self, active_call: calls.ActiveCall) -> bool:
        """Returns whether this VM seems to have no way to any upstream."""
        reach = self.reach_watch.services.get(active_call.service)
        if reach is None or not reach.is_unreached:
            return False
        return not reach.has_live_connections(self.now())

    async def _relay(self, active_call: calls.ActiveCall) -> calls.Reply | None:
        """Has a call sent by another VM.

        Returns:
            The reply, or None if the call may be sent again.

        Raises:
            RefusedError: The call was refused, or no reply came before the
                deadline.
        """
        try:
            response = await self.relayer.send(active_call)
        except relaying.NoHelpError as error:
            return self._go_on_alone(active_call, error)
        return relaying.apply(active_call, response) or self._evaluate_failure(
            active_call
        )

    def _go_on_alone(
        self, active_call: calls.ActiveCall, error: relaying.NoHelpError
    ) -> calls.Reply | None:
        """Goes on with a call that no other VM can send."""
        if active_call.reply is not None:
            return active_call.reply
        active_call.is_helpless = True
        reach = self.reach_watch.reach(active_call.service)
        if not reach.is_unreached:
            return None
        raise self._final_refusal(
            active_call,
            f"this VM reaches no upstream of the service; {error}",
            NO_UPSTREAM_SECONDS if error.is_unreached else ELSEWHERE_SECONDS,
        )

    async def _send(
        self, active_call: calls.ActiveCall, choice: steering.Choice
    ) -> calls.Reply | None:
        """Sends a call to one upstream; see `_attempt`."""
        upstream = choice.upstream
        active_call.tried.add(upstream.record.id)
        pending = upstream.begin(
            choice.expected_seconds, self.now(), active_call.is_risky
        )
        try:
            return await self._attempt(active_call, choice)
        finally:
            upstream.end(pending)

    def _check_crashes(self, active_call: calls.ActiveCall) -> None:
        """Refuses a blocked call, and sends a suspect one with care."""
        watchlist = self.watchlist
        if watchlist.is_empty:
            return
        now = self.now()
        fingerprint = active_call.fingerprint
        until = watchlist.blocked_until(fingerprint, now)
        if until is not None:
            raise errors.refuse(
                errors.Kind.CRASHES_UPSTREAMS,
                f"each upstream that ran request {fingerprint.hex()} crashed",
                retry_after=until - now,
            )
        if watchlist.crash_count(fingerprint):
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
        self._spend_retry(active_call, now)
        return choice

    def _spend_retry(self, active_call: calls.ActiveCall, now: float) -> None:
        """Takes a retry from the budget if the call was sent before."""
        if active_call.deliveries and not self._budget(
            active_call.service
        ).try_spend(self.vm_count, now):
            raise self._final_refusal(
                active_call, "the retry budget is exhausted", 0.5
            )

    def _may_retry(self, active_call: calls.ActiveCall, now: float) -> bool:
        return active_call.may_retry() and self._may_run_again(active_call, now)

    def _may_run_again(self, active_call: calls.ActiveCall, now: float) -> bool:
        if not active_call.may_run_again():
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
        active_call.received_by.add(upstream.record.id)
        try:
            async with asyncio.timeout_at(
                vm.loop_deadline(active_call.deadline)
            ):
                response = await self._send_request(active_call, upstream)
                return await self._read_reply(
                    active_call, choice, response, started
                )
        except connects.PreventedError:
            active_call.received_by.discard(upstream.record.id)
            active_call.needs_helper = True
            return None
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            active_call.received_by.discard(upstream.record.id)
            upstream.record_unreachable(self.now())
            active_call.connect_failures += 1
            self._record_connect_failed(active_call, upstream, error)
            self.attempt_log.record_attempt(
                active_call, upstream, "unreachable", started, repr(error)
            )
            active_call.refusal = active_call.refusal or errors.Refusal(
                errors.Kind.NO_ROOM, "the upstream is unreachable", "no"
            )
            return None
        except TimeoutError:
            self._record_timeout(upstream, response is not None)
            self.attempt_log.record_attempt(
                active_call, upstream, "no-answer-in-time", started, ""
            )
            raise errors.refuse(
                errors.Kind.DEADLINE, "no reply came in time", "unknown"
            ) from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            upstream.record_unreachable(self.now())
            if isinstance(error, BREAKS):
                active_call.is_risky = True
                self._record_break(active_call, upstream.record)
            if getattr(error, "errno", None) in NO_PATH_ERRORS:
                self._record_connect_failed(active_call, upstream, error)
            self._record_broken(active_call, upstream, started, repr(error))
            return None

    def _record_connect_failed(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        error: Exception,
    ) -> None:
        """Records that this VM has no connection to an upstream."""
        self.reach_watch.record_connect_failed(
            active_call.service,
            upstream.record.id,
            len(active_call.pool.upstreams),
            connects.failure_outcome(error),
        )

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
        self.attempt_log.record_attempt(
            active_call, upstream, "broken", started, why
        )

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
        active_call.connection = connects.NONE
        return await self.session.request(
            call.method,
            yarl.URL(f"http://{address}{call.target}", encoded=True),
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
            trace_request_ctx=functools.partial(
                self._record_connection, active_call, upstream
            ),
        )

    def _record_connection(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        kind: str,
    ) -> None:
        """Records the connection that a call gets to an upstream.

        Raises:
            PreventedError: This VM reaches no upstream, so that a connection
                would only cost time.
        """
        if kind == connects.OPENING:
            if self.reach_watch.reach(active_call.service).is_unreached:
                raise connects.PreventedError
            return
        active_call.connection = kind
        if kind == connects.NEW:
            self.reach_watch.record_connected(
                active_call.service,
                upstream.record.id,
                len(active_call.pool.upstreams),
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
        self.reach_watch.record_reply(active_call.service)
        now = self.now()
        if not head.is_replaced and (head.matches_request or head.is_not_run):
            self._record_stated_limit(upstream, head.stated_limit)
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
        self, upstream: upstreamstats.UpstreamStats, text: str
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
                rate=None if rate == statedlimits.NO_LIMIT else rate,
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
        self.attempt_log.record_attempt(
            active_call, upstream, outcome, started, ""
        )

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
            self.attempt_log.record_served(
                active_call, choice, reply.status, started
            )
            self._update_estimates(active_call, choice, now - started)
            return reply
        upstream.record_error(now)
        self.attempt_log.record_attempt(
            active_call, upstream, "failed", started, str(reply.status)
        )
        active_call.reply = reply
        return self._evaluate_failure(active_call)

    def _evaluate_failure(
        self, active_call: calls.ActiveCall
    ) -> calls.Reply | None:
        """Returns the last reply unless the call may be sent again."""
        reply = active_call.reply
        if reply is None:
            return None
        now = self.now()
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
            ratio = steering.WARM_WORK_RATIO if is_warm else 1.0
            if is_warm or object_id is None:
                active_call.pool.work_estimates.record(
                    active_call.named_route.name, seconds / ratio
                )
        upstream.record_success(object_id, seconds, expected_seconds, now)
