"""Sends a call to one upstream and evaluates what comes back."""

import asyncio
import errno
import functools
from collections.abc import Callable

import aiohttp

from pollenseam import attempts
from pollenseam import calls
from pollenseam import connects
from pollenseam import costs
from pollenseam import crashwatch
from pollenseam import errors
from pollenseam import events
from pollenseam import links
from pollenseam import metrics
from pollenseam import payloads
from pollenseam import reachwatch
from pollenseam import registry
from pollenseam import replybuffers
from pollenseam import sessions
from pollenseam import statementwatch
from pollenseam import steering
from pollenseam import suspects
from pollenseam import targets
from pollenseam import upstreamstats
from pollenseam import vm
from pollenseam import waits

CONNECT_SECONDS = 0.3
KEEP_ALIVE_SECONDS = 8.0
# Retry-After of a call for which no connection was open in time.
MIN_RETRY_AFTER_SECONDS = 0.05
# Errors that a connection raises when the upstream ends.
BREAKS = (
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
    ConnectionError,
)
# Errors of a connection whose peer is out of reach.
NO_PATH_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class Sender:
    """Sends calls to upstreams, each attempt to one of them.

    Attributes:
        protocol: Writes and reads the headers of the upstreams' protocol.
        log: Event log.
        attempt_log: Counts and logs attempts.
        now: Returns the time since boot in seconds.
        reply_buffers: Bodies of replies that are being received.
        statement_watch: Records what upstreams state in responses.
        watchlist: Requests that may crash upstreams.
        crash_watch: Finds out which upstreams ended with requests of this VM.
        reach_watch: Follows which services this VM reaches.
        evaluate_failure: Returns the reply of a call whose last attempt got a
            5xx status, or None if the call may be sent again.
        claim_second_run: Takes a retry for a call that waits for a reply;
            returns whether the call may be sent once more.
        link: Network link of this VM.
        session: HTTP client session for all upstreams.
    """

    def __init__(
        self,
        protocol: calls.UpstreamProtocol,
        log: events.EventLog,
        attempt_counter: metrics.Counter,
        statement_watch: statementwatch.StatementWatch,
        watchlist: suspects.Watchlist,
        crash_watch: crashwatch.CrashWatch,
        reach_watch: reachwatch.ReachWatch,
        evaluate_failure: Callable[[calls.ActiveCall], calls.Reply | None],
        claim_second_run: Callable[[calls.ActiveCall], bool],
    ) -> None:
        self.protocol = protocol
        self.log = log
        self.now = vm.boot_seconds
        self.attempt_log = attempts.AttemptLog(log, attempt_counter, self.now)
        self.reply_buffers = replybuffers.ReplyBuffers()
        self.statement_watch = statement_watch
        self.watchlist = watchlist
        self.crash_watch = crash_watch
        self.reach_watch = reach_watch
        self.evaluate_failure = evaluate_failure
        self.claim_second_run = claim_second_run
        self.link = links.Link()
        self.session = sessions.open_session(
            CONNECT_SECONDS, KEEP_ALIVE_SECONDS, connects.trace_config()
        )

    async def close(self) -> None:
        """Closes all connections to upstreams."""
        self.crash_watch.close()
        await self.session.close()

    async def attempt(
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
                async with self.reach_watch.watching(
                    active_call, choice, self.claim_second_run
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
        except waits.AbandonedError:
            upstream.record_unreachable(self.now())
            self.attempt_log.record_unknown(
                active_call,
                upstream,
                "abandoned",
                started,
                "this VM lost its way to the upstreams",
            )
            return None
        except TimeoutError:
            if active_call.connection == connects.NONE:
                raise self._not_sent(active_call, upstream, started) from None
            self._record_timeout(upstream, response is not None)
            self.attempt_log.record_attempt(
                active_call, upstream, "no-answer-in-time", started, ""
            )
            raise errors.refuse(
                errors.Kind.DEADLINE, "no reply came in time", "unknown"
            ) from None
        except asyncio.CancelledError:
            outcome = "cancelled" if response is None else "cancelled-in-reply"
            self.attempt_log.record_attempt(
                active_call, upstream, outcome, started, ""
            )
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            upstream.record_unreachable(self.now())
            if isinstance(error, BREAKS):
                active_call.is_risky = True
                self._record_break(active_call, upstream.record)
            if getattr(error, "errno", None) in NO_PATH_ERRORS:
                self._record_connect_failed(active_call, upstream, error)
            self.attempt_log.record_unknown(
                active_call, upstream, "broken", started, repr(error)
            )
            return None

    def _not_sent(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        started: float,
    ) -> errors.RefusedError:
        """Returns the refusal of a call that got no connection in time."""
        active_call.received_by.discard(upstream.record.id)
        self.attempt_log.record_attempt(
            active_call, upstream, "no-connection-in-time", started, ""
        )
        if active_call.executions:
            return errors.refuse(
                errors.Kind.DEADLINE, "no reply came in time", "unknown"
            )
        # Callers may send again what they must not repeat otherwise.
        return errors.refuse(
            errors.Kind.NO_ROOM,
            "no connection to an upstream was open in time",
            "no",
            MIN_RETRY_AFTER_SECONDS,
        )

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
        active_call.connection = connects.NONE
        return await self.session.request(
            call.method,
            targets.url(upstream.record.address, call.target),
            headers=headers,
            data=payloads.create(call.body) or None,
            allow_redirects=False,
            timeout=self.connect_timeout(),
            trace_request_ctx=functools.partial(
                self._record_connection, active_call, upstream
            ),
        )

    def connect_timeout(self) -> aiohttp.ClientTimeout:
        """Returns the time limit of a connect, beside the call's deadline."""
        wait_seconds = self.link.wait_seconds(self.now())
        return aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_SECONDS + wait_seconds
        )

    def _record_connection(
        self,
        active_call: calls.ActiveCall,
        upstream: upstreamstats.UpstreamStats,
        kind: str,
    ) -> None:
        """Records the connection that a call gets to an upstream.

        Raises:
            PreventedError: This VM seems to reach no upstream, and another one
                may send the call.
        """
        if kind == connects.OPENING:
            reach = self.reach_watch.reach(active_call.service)
            if reach.is_unreached and not active_call.is_helpless:
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
            self.statement_watch.record_head(active_call.pool, upstream, head)
            self.link.receive(response.content_length or 0, self.now())
            body = await self.reply_buffers.read(response)
            is_complete = head.matches_request and not head.is_replaced
        finally:
            # A connection that may still carry response data must not be
            # reused: the data would be read as the next response. One to an
            # upstream that leaves is not needed any more.
            if is_complete and not head.is_leaving:
                response.release()
            else:
                response.close()
        self.reach_watch.record_reply(active_call.service, upstream.record.id)
        now = self.now()
        if head.running >= 0:
            active_call.pool.record_load(
                upstream, head.running, head.waiting, head.pace, now
            )
            # This request has ended at the upstream, but this VM still counts
            # it as in flight.
            upstream.others_in_flight = max(0.0, upstream.others_in_flight + 1)
        if head.is_replaced:
            upstream.record_unreachable(now)
            self.attempt_log.record_not_run(
                active_call, upstream, "replaced", started
            )
            return None
        if head.is_not_run:
            upstream.record_shed(now)
            active_call.found_no_room = True
            self.attempt_log.record_not_run(
                active_call, upstream, "shed", started
            )
            return None
        if not head.matches_request:
            upstream.record_error(now)
            self.attempt_log.record_unknown(
                active_call,
                upstream,
                "broken",
                started,
                "the reply does not match the request",
            )
            return None
        reply = calls.Reply(
            response.status, response.reason, response.headers, body
        )
        return self._evaluate_reply(active_call, choice, reply, started)

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
        return self.evaluate_failure(active_call)

    def _update_estimates(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        seconds: float,
    ) -> None:
        now = self.now()
        upstream = choice.upstream
        object_id = active_call.object
        # What the upstream's pace explains is no slowness that lasts.
        pace_ratio = max(1.0, upstream.current_pace(now) / choice.pace)
        expected_seconds = choice.expected_seconds * pace_ratio
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
