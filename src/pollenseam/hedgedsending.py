"""Sends late calls to a second upstream, and returns the first valid reply."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from pollenseam import calls
from pollenseam import errors
from pollenseam import events
from pollenseam import hedging
from pollenseam import metrics
from pollenseam import options
from pollenseam import reachwatch
from pollenseam import steering

# Outcomes of a hedge: its reply was returned; the first attempt's reply was
# returned; neither got a valid reply; the caller left.
WON = "won"
LOST = "lost"
FAILED = "failed"
ABANDONED = "abandoned"

SendOnce = Callable[
    [calls.ActiveCall, steering.Choice], Awaitable[calls.Reply | None]
]


class Attempt:
    """One of two attempts that run beside each other.

    Attributes:
        active_call: The call, with the state of this attempt.
        choice: The upstream.
        is_warm: Whether it was warm for the object when the call was sent.
        started_at: Time in seconds at which the call was sent.
        task: Sends the call.
    """

    __slots__ = ("active_call", "choice", "is_warm", "started_at", "task")

    def __init__(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        started_at: float,
        send_once: SendOnce,
    ) -> None:
        self.active_call = active_call
        self.choice = choice
        self.is_warm = hedging.is_warm(choice, active_call.object)
        self.started_at = started_at
        self.task = asyncio.ensure_future(send_once(active_call, choice))

    @property
    def has_valid_reply(self) -> bool:
        """Whether the attempt has ended with a reply below 500."""
        if not self.task.done() or self.task.cancelled():
            return False
        if self.task.exception() is not None:
            return False
        reply = self.task.result()
        return reply is not None and reply.status < 500


class Refusal:
    """Why a late call is not hedged.

    Attributes:
        reason: The reason, see `hedging`.
        second: The best upstream beside the first, if one was looked for.
        first_left_seconds: How much longer the first attempt is expected to
            take, if that was looked at.
    """

    __slots__ = ("reason", "second", "first_left_seconds")

    def __init__(
        self,
        reason: str,
        second: steering.Choice | None = None,
        first_left_seconds: float | None = None,
    ) -> None:
        self.reason = reason
        self.second = second
        self.first_left_seconds = first_left_seconds


class HedgedSender:
    """Sends calls to one upstream, and to a second one if they are late.

    Attributes:
        options: Options of this VM.
        log: Event log.
        hedges: Counts late calls by route and outcome, or by the reason for
            which they were not hedged.
        extra_milliseconds: Counts, by route, how long attempts that lost kept
            their upstreams at work.
        now: Returns the time since boot in seconds.
        reach_watch: Follows which services this VM reaches.
        send_once: Sends a call to one upstream.
        claim: Takes a hedge from the retry budget of a call's service; returns
            whether that is allowed.
        evaluate_failure: Returns the reply of a call whose last attempt got a
            5xx status, or None if the call may be sent again.
        policy: Decides which calls are hedged.
    """

    def __init__(
        self,
        entry_options: options.Options,
        log: events.EventLog,
        hedges: metrics.Counter,
        extra_milliseconds: metrics.Counter,
        now: Callable[[], float],
        reach_watch: reachwatch.ReachWatch,
        send_once: SendOnce,
        claim: Callable[[calls.ActiveCall], bool],
        evaluate_failure: Callable[[calls.ActiveCall], calls.Reply | None],
    ) -> None:
        self.options = entry_options
        self.log = log
        self.hedges = hedges
        self.extra_milliseconds = extra_milliseconds
        self.now = now
        self.reach_watch = reach_watch
        self.send_once = send_once
        self.claim = claim
        self.evaluate_failure = evaluate_failure
        self.policy = hedging.Policy()

    def may_hedge(self, active_call: calls.ActiveCall) -> bool:
        """Returns whether a call is hedged when it is late."""
        if self.options.get(hedging.RATIO) <= 0 or active_call.is_risky:
            return False
        return active_call.may_run_twice()

    async def send(
        self, active_call: calls.ActiveCall, choice: steering.Choice
    ) -> calls.Reply | None:
        """Sends a call to an upstream, and to a second one if it is late.

        Returns:
            The reply, or None if the call may be sent again. If neither has a
            valid reply, the state of the call is the one after two attempts.

        Raises:
            RefusedError: No reply came before the deadline.
        """
        route = active_call.named_route.name
        if not active_call.tried:
            ratio = self.options.get(hedging.RATIO)
            self.policy.allowance.earn(route, ratio)
        first = Attempt(active_call, choice, self.now(), self.send_once)
        attempts = [first]
        try:
            delay = self.policy.delay_seconds(route, first.is_warm, choice)
            if delay is not None:
                await asyncio.wait({first.task}, timeout=delay)
                second = self._start_second(first)
                if second is not None:
                    attempts.append(second)
                    return await self._race(first, second)
            reply = await first.task
            self._record_answer(first)
            return reply
        finally:
            await self._end(attempts)

    def _start_second(self, first: Attempt) -> Attempt | None:
        """Sends a late call to a second upstream, unless that is refused."""
        if first.task.done():
            return None
        choice = self._choose_second(first)
        if isinstance(choice, Refusal):
            self._record_refusal(first, choice)
            return None
        active_call = first.active_call
        twin = _twin(active_call)
        # The second attempt counts as executed until it is known that it was
        # not, so that nothing else sends the call too often.
        active_call.executions += 1
        return Attempt(twin, choice, self.now(), self.send_once)

    def _record_refusal(self, first: Attempt, refusal: Refusal) -> None:
        active_call = first.active_call
        route = active_call.named_route.name
        upstream = first.choice.upstream
        now = self.now()
        second = refusal.second
        self.hedges.add(route, refusal.reason)
        self.log.emit_often(
            "hedge-refused",
            request=active_call.call.id,
            route=route,
            service=active_call.service,
            upstream=upstream.record.id,
            reason=refusal.reason,
            waited_seconds=now - first.started_at,
            left_seconds=refusal.first_left_seconds,
            second=second and second.upstream.record.id,
            expected_wait=second and second.wait_seconds,
            expected_work=second and second.work_seconds,
            region_load=hedging.region_load(
                active_call.pool, upstream.region, now
            ),
            saved=self.policy.allowance.saved.get(route),
        )

    def _choose_second(self, first: Attempt) -> steering.Choice | Refusal:
        """Returns the second upstream, or why the call is not hedged."""
        active_call = first.active_call
        route = active_call.named_route.name
        now = self.now()
        # The first attempt may have learned something since it was sent.
        if active_call.is_risky or not active_call.may_run_twice():
            return Refusal(hedging.NOT_REPEATABLE)
        if not self.policy.allowance.can_spend(route):
            return Refusal(hedging.ROUTE_BUDGET)
        if self.reach_watch.reach(active_call.service).is_unreached:
            return Refusal(hedging.UNREACHED)
        pool = active_call.pool
        load = hedging.region_load(pool, first.choice.upstream.region, now)
        if load > hedging.MAX_LOAD_RATIO:
            return Refusal(hedging.BUSY)
        required = hedging.second_requirements(
            first.choice, active_call.requirements()
        )
        choice = pool.choose(required, now)
        first_left_seconds = self.policy.left_seconds(
            route, first.is_warm, now - first.started_at
        )
        reason = hedging.why_not(
            choice, first_left_seconds, active_call.deadline - now, now
        )
        if reason or choice is None:
            return Refusal(reason, choice, first_left_seconds)
        if not self.claim(active_call):
            return Refusal(hedging.RETRY_BUDGET, choice, first_left_seconds)
        self.policy.allowance.spend(route)
        return choice

    async def _race(
        self, first: Attempt, second: Attempt
    ) -> calls.Reply | None:
        """Returns the first valid reply of two attempts.

        Raises:
            RefusedError: Neither has a reply, and no time is left.
        """
        outcome = ABANDONED
        try:
            await asyncio.wait(
                {first.task, second.task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not first.has_valid_reply and not second.has_valid_reply:
                await asyncio.wait({first.task, second.task})
            for attempt, loser, result in (
                (first, second, LOST),
                (second, first, WON),
            ):
                if attempt.has_valid_reply:
                    outcome = result
                    self._record_answer(attempt)
                    self._record_loser(loser)
                    return await attempt.task
            outcome = FAILED
            _merge(first, second)
            return self.evaluate_failure(first.active_call)
        finally:
            self._record_hedge(first, second, outcome)

    async def _end(self, attempts: list[Attempt]) -> None:
        """Ends attempts; their connections are closed."""
        running = [a.task for a in attempts if not a.task.done()]
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running)
        for attempt in attempts:
            task = attempt.task
            error = None if task.cancelled() else task.exception()
            if error and not isinstance(error, errors.RefusedError):
                self.log.emit_often(
                    "attempt-failed",
                    request=attempt.active_call.call.id,
                    upstream=attempt.choice.upstream.record.id,
                    why=repr(error),
                )

    def _record_answer(self, attempt: Attempt) -> None:
        """Records how long an attempt took that has a valid reply."""
        if attempt.has_valid_reply:
            self.policy.record_answer(
                attempt.active_call.named_route.name,
                attempt.is_warm,
                self.now() - attempt.started_at,
            )

    def _record_loser(self, loser: Attempt) -> None:
        """Records that an upstream had not answered when another one had.

        What it took so far stands for the answer that is no longer awaited.
        Otherwise only the quick answers of slow upstreams would be known.
        """
        if loser.task.done():
            return
        now = self.now()
        seconds = now - loser.started_at
        expected_seconds = loser.choice.expected_seconds
        if seconds <= expected_seconds:
            return
        upstream = loser.choice.upstream
        if upstream.is_unreachable(now):
            upstream.record_unreachable(now)
        upstream.record_late(seconds, expected_seconds, now)
        route = loser.active_call.named_route.name
        self.policy.record_answer(route, loser.is_warm, seconds)

    def _record_hedge(
        self, first: Attempt, second: Attempt, outcome: str
    ) -> None:
        active_call = first.active_call
        route = active_call.named_route.name
        now = self.now()
        loser = first if outcome == WON else second
        extra_seconds = now - loser.started_at
        self.hedges.add(route, outcome)
        self.extra_milliseconds.add(route, amount=int(extra_seconds * 1000))
        self.log.emit_often(
            "hedged",
            request=active_call.call.id,
            route=route,
            service=active_call.service,
            outcome=outcome,
            first=first.choice.upstream.record.id,
            second=second.choice.upstream.record.id,
            rank=second.choice.rank,
            delay=second.started_at - first.started_at,
            seconds=now - first.started_at,
            expected=second.choice.expected_seconds,
            load=second.choice.upstream.load(now),
            loser_seconds=extra_seconds,
        )


def _twin(active_call: calls.ActiveCall) -> calls.ActiveCall:
    """Returns a call for the second attempt, which is made only once."""
    twin = calls.ActiveCall(
        active_call.call,
        active_call.named_route,
        active_call.service,
        active_call.pool,
        active_call.deadline,
        active_call.regions,
        active_call.priority,
    )
    twin.tried = active_call.tried
    twin.received_by = active_call.received_by
    twin.max_runs = 1
    return twin


def _merge(first: Attempt, second: Attempt) -> None:
    """Records two failed attempts in a call, as if made one after the other.

    Raises:
        RefusedError: There is no reply, and no time is left.
    """
    active_call, twin = first.active_call, second.active_call
    active_call.deliveries += twin.deliveries
    active_call.executions += twin.executions - 1
    active_call.connect_failures += twin.connect_failures
    active_call.is_risky |= twin.is_risky
    active_call.reply = twin.reply or active_call.reply
    if twin.executions or active_call.refusal is None:
        active_call.refusal = twin.refusal or active_call.refusal
    for attempt in (first, second):
        error = attempt.task.exception()
        if error is None:
            continue
        if not isinstance(error, errors.RefusedError):
            raise error
        if active_call.reply is None:
            raise error
