"""Sends an entry VM's calls to upstreams, with retries within a budget.

A `calls.UpstreamProtocol` defines the headers of requests and replies.
"""

from pollenseam import calls
from pollenseam import crashwatch
from pollenseam import errors
from pollenseam import events
from pollenseam import hedgedsending
from pollenseam import hedging
from pollenseam import metrics
from pollenseam import options
from pollenseam import reachability
from pollenseam import relaying
from pollenseam import relaymessages
from pollenseam import relayoutcomes
from pollenseam import retries
from pollenseam import sending
from pollenseam import statementwatch
from pollenseam import steering
from pollenseam import suspects
from pollenseam import upstreambytes
from pollenseam import vm

MIN_RETRY_AFTER_SECONDS = 0.05
# Retry-After where another VM may serve at once.
ELSEWHERE_SECONDS = 0.05
# Failed connects after which another VM is asked to send the call.
MAX_OWN_CONNECT_FAILURES = 2
# Retry-After while no upstream is known to accept requests soon.
NO_UPSTREAM_SECONDS = 1.0
# A call is refused when less time is left than the expected wait and this part
# of the expected work, the least that the work is assumed to need.
MIN_WORK_RATIO = 0.6


class Dispatcher:
    """Sends calls to upstreams.

    Attributes:
        now: Returns the time since boot in seconds.
        vm_count: Number of entry VMs that share the retry budgets.
        retry_ratio: Retries per request, over all entry VMs.
        retry_slack: Retries per window beyond that, over all entry VMs.
        retry_window_seconds: Length of the retry budgets' window.
        retry_budgets: Retry budgets by service name.
        watchlist: Requests that may crash upstreams.
        sender: Sends calls to upstreams.
        reach_watch: Follows which services this VM reaches.
        relayer: Has calls sent by other VMs.
        hedged_sender: Sends late calls to a second upstream.
        upstream_bytes: Bodies in flight, by upstream.
    """

    def __init__(
        self,
        protocol: calls.UpstreamProtocol,
        log: events.EventLog,
        counters: metrics.EntryMetrics,
        retry_ratio: float,
        retry_slack: float,
        retry_window_seconds: float,
        statement_watch: statementwatch.StatementWatch,
        watchlist: suspects.Watchlist,
        crash_watch: crashwatch.CrashWatch,
        relayer: relaying.Relayer,
        entry_options: options.Options,
    ) -> None:
        self.now = vm.boot_seconds
        self.vm_count = 1
        self.retry_ratio = retry_ratio
        self.retry_slack = retry_slack
        self.retry_window_seconds = retry_window_seconds
        self.retry_budgets: dict[str, retries.Budget] = {}
        self.watchlist = watchlist
        self.reach_watch = relayer.reach_watch
        self.relayer = relayer
        self.upstream_bytes = upstreambytes.UpstreamBytes()
        self.sender = sending.Sender(
            protocol,
            log,
            counters.attempts,
            statement_watch,
            watchlist,
            crash_watch,
            self.reach_watch,
            self._evaluate_failure,
            self._claim_second_run,
        )
        self.hedged_sender = hedgedsending.HedgedSender(
            entry_options,
            log,
            counters.hedges,
            counters.hedge_milliseconds,
            self.now,
            self.reach_watch,
            self._send_once,
            self._claim_hedge,
            self._evaluate_failure,
        )

    async def close(self) -> None:
        """Closes all connections to upstreams."""
        await self.sender.close()

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
            if active_call.needs_helper or self.reach_watch.is_out_of_reach(
                active_call.service
            ):
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

    def preview(self, active_call: calls.ActiveCall) -> steering.Choice | None:
        """Returns where a new call would be sent now, on a copy of its pool.

        Returns:
            The upstream; None if another VM would send it.

        Raises:
            RefusedError: It would be refused.
        """
        return self._choose_way(active_call)

    def _needs_helper(self, active_call: calls.ActiveCall) -> bool:
        if active_call.is_helpless:
            return False
        return (
            active_call.needs_helper
            or active_call.connect_failures >= MAX_OWN_CONNECT_FAILURES
            or self.reach_watch.is_out_of_reach(active_call.service)
        )

    async def _relay(self, active_call: calls.ActiveCall) -> calls.Reply | None:
        """Has a call sent by another VM.

        Returns:
            The reply, or None if the call may be sent again.

        Raises:
            RefusedError: The call was refused, or no reply came before the
                deadline.
        """
        try:
            response = await self.relayer.send(
                active_call, self._claim_second_run
            )
        except relaying.NoHelpError as error:
            return self._go_on_alone(active_call, error)
        if response is not None:
            self._record_relayed(active_call, response)
        try:
            reply = relayoutcomes.apply(active_call, response)
        except errors.RefusedError:
            if active_call.reply is None:
                raise
            return active_call.reply
        return reply or self._evaluate_failure(active_call)

    def _record_relayed(
        self,
        active_call: calls.ActiveCall,
        response: relaymessages.RelayResponse,
    ) -> None:
        """Records what an upstream stated in a response to a helper."""
        upstream = active_call.pool.upstreams.get(response.upstream)
        if response.reply is None or upstream is None:
            return
        reply = relaymessages.to_reply(response.reply)
        head = self.sender.protocol.read_head(active_call.call, reply)
        self.sender.statement_watch.record_relayed(upstream, head)

    def _go_on_alone(
        self, active_call: calls.ActiveCall, error: relaying.NoHelpError
    ) -> calls.Reply | None:
        """Goes on with a call that no other VM can send."""
        if active_call.reply is not None:
            return active_call.reply
        active_call.is_helpless = True
        reach = self.reach_watch.reach(active_call.service)
        if not reach.is_unreached or self._has_way(active_call, reach):
            return None
        raise self._final_refusal(
            active_call,
            f"this VM reaches no upstream of the service; {error}",
            self._seconds_until_help(active_call, error),
        )

    def _seconds_until_help(
        self, active_call: calls.ActiveCall, error: relaying.NoHelpError
    ) -> float:
        """Returns when callers may come back, if no other VM sends a call."""
        if error.is_unreached:
            return NO_UPSTREAM_SECONDS
        helpers = self.relayer.helpers
        if not helpers.are_mostly_cut_off():
            return ELSEWHERE_SECONDS
        seconds = helpers.seconds_until_usable(active_call.service, self.now())
        return max(ELSEWHERE_SECONDS, seconds)

    def _has_way(
        self,
        active_call: calls.ActiveCall,
        reach: reachability.ServiceReach,
    ) -> bool:
        """Returns whether an upstream may be left that this VM reaches."""
        now = self.now()
        regions = active_call.regions
        return any(
            reach.may_accept(id) and upstream.suspect_until <= now
            for id, upstream in active_call.pool.upstreams.items()
            if id not in active_call.tried
            and (not regions or upstream.region in regions)
        )

    async def _send(
        self, active_call: calls.ActiveCall, choice: steering.Choice
    ) -> calls.Reply | None:
        """Sends a call to an upstream; to a second one if it may be hedged."""
        if self.hedged_sender.may_hedge(active_call):
            return await self.hedged_sender.send(active_call, choice)
        return await self._send_once(active_call, choice)

    async def _send_once(
        self, active_call: calls.ActiveCall, choice: steering.Choice
    ) -> calls.Reply | None:
        """Sends a call to one upstream; see `sending.Sender`."""
        upstream = choice.upstream
        id = upstream.record.id
        size = len(active_call.call.body)
        active_call.tried.add(id)
        if size and not self.upstream_bytes.begin(id, size):
            self._record_full(active_call, id)
            return None
        pending = upstream.begin(
            choice.expected_seconds, self.now(), active_call.is_risky
        )
        try:
            return await self.sender.attempt(active_call, choice)
        finally:
            upstream.end(pending)
            if size:
                self.upstream_bytes.end(id, size)

    def _record_full(
        self, active_call: calls.ActiveCall, upstream: str
    ) -> None:
        """Records that an upstream has no room for a call's body."""
        self.sender.log.emit_often(
            "upstream-full",
            request=active_call.call.id,
            upstream=upstream,
            body_bytes=len(active_call.call.body),
            in_flight_bytes=self.upstream_bytes.in_flight[upstream],
        )
        active_call.refusal = active_call.refusal or errors.Refusal(
            errors.Kind.NO_ROOM, "the upstream has no room for the body", "no"
        )

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
        min_work_seconds = choice.least_work_seconds(now) * MIN_WORK_RATIO
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
            if choice.wait_seconds > 0:
                active_call.found_no_room = True
            raise self._final_refusal(
                active_call, why, choice.excess_wait_seconds
            )
        self._spend_retry(active_call, now)
        return choice

    def _spend_retry(self, active_call: calls.ActiveCall, now: float) -> None:
        """Takes a retry from the budget if the call was sent before."""
        if active_call.has_retry:
            active_call.has_retry = False
            return
        if active_call.deliveries and not self._budget(
            active_call.service
        ).try_spend(self.vm_count, now):
            raise self._final_refusal(
                active_call, "the retry budget is exhausted", 0.5
            )

    def _claim_second_run(self, active_call: calls.ActiveCall) -> bool:
        """Takes a retry for a call that waits, if another VM may send it."""
        now = self.now()
        if not self.relayer.may_help(active_call, now):
            return False
        budget = self._budget(active_call.service)
        active_call.has_retry = budget.try_spend(self.vm_count, now)
        return active_call.has_retry

    def _claim_hedge(self, active_call: calls.ActiveCall) -> bool:
        """Takes a hedge from the retry budget, of which a part is left."""
        return self._budget(active_call.service).try_spend(
            self.vm_count, self.now(), hedging.RETRY_BUDGET_PART
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
        required = active_call.requirements()
        wait = pool.seconds_until_admitted(required, now)
        if wait is None:
            # Those that it tried may have asked for a pause.
            wait = pool.seconds_until_next(required, now) or NO_UPSTREAM_SECONDS
            which = "other upstream" if active_call.tried else "upstream"
            return self._final_refusal(
                active_call, f"no {which} is serving", wait
            )
        statements = pool.statements
        why = (
            "the upstreams accept no more requests now: "
            f"{statements.count} state a rate, "
            f"{statements.paused_count(now)} asked for a pause, "
            f"{statements.leaving_count} leave; this VM may send the next "
            f"request in {wait:.3g} s"
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
        budget = self._budget(active_call.service)
        if not budget.can_spend(self.vm_count, now):
            return False
        if self._needs_helper(active_call):
            return True
        choice = active_call.pool.choose(active_call.requirements(), now)
        return (
            choice is not None
            and now + choice.expected_seconds <= active_call.deadline
        )
