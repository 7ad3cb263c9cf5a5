"""Calls that are sent to a second upstream: what becomes of either attempt."""

import asyncio
import random

import aiohttp
import hedges
import pytest
import virtualtime

from pollenseam import errors
from pollenseam import hedging
from pollenseam import sessions

LATE = 0.7


def in_turn(*answers):
    """Returns a plan that gives answers in the order of the requests."""
    left = list(answers)
    return lambda upstream: left.pop(0)


def one_call(monkeypatch, plan, check, seconds=30.0, ratio=0.1, **route):
    """Serves one call, and checks the world after it.

    Returns:
        The reply, the time it took, and what `check` returned.
    """

    async def run():
        async with hedges.world(
            monkeypatch, plan, ratio=ratio, **route
        ) as world:
            world.teach()
            started = world.vm.now()
            answered = await world.serve(seconds)
            taken = world.vm.now() - started
            await asyncio.sleep(0)
            world.assert_idle()
            check(world)
            return answered, taken

    return virtualtime.run(run())


def test_the_second_answers_first_and_the_first_is_cancelled(monkeypatch):
    plan = in_turn(hedges.Answer(LATE), hedges.Answer(0.1))

    def check(world):
        assert world.hedges == {"won": 1}
        [(first, _), (second, sent_at)] = world.session.sent
        assert first != second
        [(cancelled, cancelled_at)] = world.session.cancelled
        assert cancelled == first
        assert cancelled_at == pytest.approx(sent_at + 0.1)
        assert world.tries == {"served": 1, "cancelled": 1}
        assert world.vm.metrics.hedge_milliseconds.counts[("r1",)] >= 199
        late = world.pool().upstreams[first]
        assert late.current_slowness(world.vm.now()) > 1.0
        assert world.dispatcher._budget("s1").retry_counts.total() == 1

    reply, taken = one_call(monkeypatch, plan, check)
    assert reply.status == 200
    assert 0.2 <= taken < 0.25


def test_the_first_answers_first_and_the_second_is_cancelled(monkeypatch):
    plan = in_turn(hedges.Answer(0.2), hedges.Answer(0.3))

    def check(world):
        assert world.hedges == {"lost": 1}
        assert world.session.cancelled[0][0] == world.session.sent[1][0]
        extra = world.vm.metrics.hedge_milliseconds.counts[("r1",)]
        assert 80 <= extra <= 100

    reply, taken = one_call(monkeypatch, plan, check)
    assert reply.status == 200
    assert taken == pytest.approx(0.2)


def test_an_answer_in_time_needs_no_second(monkeypatch):
    def check(world):
        assert world.hedges == {}
        assert len(world.session.sent) == 1

    reply, _ = one_call(monkeypatch, in_turn(hedges.Answer(0.1)), check)
    assert reply.status == 200


FAILURES = {
    "500": hedges.Answer(0.15, 500),
    "broken": hedges.Answer(0.15, error=aiohttp.ServerDisconnectedError()),
    "not run": hedges.Answer(0.15, 503, is_not_run=True),
    "no connection": hedges.Answer(
        0.15, error=aiohttp.ConnectionTimeoutError()
    ),
    "status 000": hedges.Answer(0.15, error=sessions.InvalidStatusError()),
}


@pytest.mark.parametrize("failure", FAILURES)
def test_a_failure_of_the_first_leaves_the_second_running(monkeypatch, failure):
    plan = in_turn(FAILURES[failure], hedges.Answer(0.2))

    def check(world):
        assert world.hedges == {"won": 1}
        assert not world.session.cancelled

    reply, taken = one_call(monkeypatch, plan, check)
    assert reply.status == 200
    assert 0.3 <= taken < 0.35


@pytest.mark.parametrize("failure", FAILURES)
def test_a_failure_of_the_second_leaves_the_first_running(monkeypatch, failure):
    plan = in_turn(hedges.Answer(LATE), FAILURES[failure])

    def check(world):
        assert world.hedges == {"lost": 1}
        assert not world.session.cancelled

    reply, taken = one_call(monkeypatch, plan, check)
    assert reply.status == 200
    assert taken == pytest.approx(LATE)


def test_the_answer_of_an_upstream_is_returned_if_both_fail(monkeypatch):
    plan = in_turn(hedges.Answer(0.2, 500), hedges.Answer(0.2, 502))

    def check(world):
        assert world.hedges == {"failed": 1}
        # Two upstreams have run it, as many as may.
        assert len(world.session.sent) == 2

    reply, _ = one_call(monkeypatch, plan, check)
    assert reply.status == 502


@pytest.mark.parametrize("first", ["500", "broken"])
def test_after_two_failures_a_third_run_is_made_if_it_is_allowed(
    monkeypatch, first
):
    plan = in_turn(FAILURES[first], hedges.Answer(0.2, 500), hedges.Answer(0.1))

    def check(world):
        assert world.hedges == {"failed": 1}
        assert len({upstream for upstream, _ in world.session.sent}) == 3

    reply, _ = one_call(monkeypatch, plan, check, max_attempts=3)
    assert reply.status == 200


def test_two_broken_attempts_are_an_unknown_outcome(monkeypatch):
    plan = in_turn(FAILURES["broken"], FAILURES["broken"])

    def check(world):
        assert len(world.session.sent) == 2

    refusal, _ = one_call(monkeypatch, plan, check)
    assert refusal.kind == errors.Kind.UPSTREAM_FAILED
    assert refusal.executed == "unknown"


def test_two_attempts_that_did_not_run_leave_the_runs_for_others(monkeypatch):
    plan = in_turn(FAILURES["not run"], FAILURES["not run"], hedges.Answer(0.1))

    def check(world):
        assert len({upstream for upstream, _ in world.session.sent}) == 3

    reply, _ = one_call(monkeypatch, plan, check)
    assert reply.status == 200


def test_both_end_at_the_deadline(monkeypatch):
    plan = in_turn(hedges.Answer(9.0), hedges.Answer(9.0))

    def check(world):
        assert world.hedges == {"failed": 1}
        assert len(world.session.cancelled) == 2

    refusal, taken = one_call(monkeypatch, plan, check, seconds=2.0)
    assert refusal.kind == errors.Kind.DEADLINE
    assert taken == pytest.approx(2.0)


def test_a_caller_that_leaves_ends_both(monkeypatch):
    async def run():
        plan = in_turn(hedges.Answer(9.0), hedges.Answer(9.0))
        async with hedges.world(monkeypatch, plan) as world:
            world.teach()
            call = asyncio.create_task(world.serve())
            await asyncio.sleep(1.0)
            assert len(world.session.sent) == 2
            call.cancel()
            left_at = world.vm.now()
            with pytest.raises(asyncio.CancelledError):
                await call
            assert [at for _, at in world.session.cancelled] == [left_at] * 2
            assert world.hedges == {"abandoned": 1}
            world.assert_idle()

    virtualtime.run(run())


NEVER = {
    "max_attempts": {"max_attempts": 1},
    "not idempotent": {"is_idempotent": False},
    "off": {"ratio": 0.0},
}


@pytest.mark.parametrize("case", NEVER)
def test_a_late_call_is_never_hedged(monkeypatch, case):
    def check(world):
        assert world.hedges == {}
        assert len(world.session.sent) == 1

    plan = in_turn(hedges.Answer(LATE))
    reply, taken = one_call(monkeypatch, plan, check, **NEVER[case])
    assert reply.status == 200
    assert taken == pytest.approx(LATE)


def refusing(monkeypatch, prepare, reason):
    """Checks that one late call is not hedged, for a reason."""

    async def run():
        plan = in_turn(hedges.Answer(LATE), *[hedges.Answer(0.1)] * 9)
        async with hedges.world(monkeypatch, plan) as world:
            world.teach()
            prepare(world)
            assert (await world.serve()).status == 200
            assert world.hedges == ({reason: 1} if reason else {})
            assert len(world.session.sent) == 1

    virtualtime.run(run())


def test_the_budget_of_the_route_is_kept(monkeypatch):
    def prepare(world):
        world.policy.allowance.saved.clear()

    refusing(monkeypatch, prepare, "budget")


def test_a_part_of_the_retry_budget_is_left_to_retries(monkeypatch):
    def prepare(world):
        budget = world.dispatcher._budget("s1")
        now = world.vm.now()
        part = hedging.RETRY_BUDGET_PART
        while budget.can_spend(1, now, part):
            budget.try_spend(1, now, part)
        assert budget.can_spend(1, now)

    refusing(monkeypatch, prepare, "retry-budget")


def test_no_hedge_while_the_service_is_out_of_reach(monkeypatch):
    def prepare(world):
        world.dispatcher.reach_watch.reach("s1").unreached_since = 1.0
        world.dispatcher.reach_watch.reach("s1").heard_at["u1"] = 1e9

    refusing(monkeypatch, prepare, "unreached")


def test_a_request_that_may_crash_upstreams_is_not_hedged(monkeypatch):
    def prepare(world):
        monkeypatch.setattr(world.dispatcher, "_check_crashes", make_risky)

    def make_risky(active_call):
        active_call.is_risky = True

    refusing(monkeypatch, prepare, None)


# Load. A few of many answers take seven times as long as the others.

REQUESTS = 3000
SLOW_RATIO = 0.03
RATIO = 0.05
UPSTREAMS = 6
MEAN_SECONDS = 0.1 * (1 + 6 * SLOW_RATIO)


def play(monkeypatch, ratio, load, seed):
    """Serves requests that arrive at random times.

    Args:
        monkeypatch: Replaces the clock.
        ratio: Hedges per request.
        load: Work that arrives, relative to what the upstreams can do.
        seed: Seed of the arrivals and answer times.

    Returns:
        The times that the answers took, sorted, and the world.
    """
    arrivals = random.Random(seed)
    work = random.Random(seed + 1)
    rate = load * UPSTREAMS * hedges.SLOTS / MEAN_SECONDS

    def plan(upstream):
        is_slow = work.random() < SLOW_RATIO
        return hedges.Answer(work.uniform(0.08, 0.12) * (7 if is_slow else 1))

    async def run():
        taken = []

        async def call():
            started = world.vm.now()
            answered = await world.serve()
            if getattr(answered, "status", 0) == 200:
                taken.append(world.vm.now() - started)

        async with hedges.world(
            monkeypatch, plan, upstreams=UPSTREAMS, ratio=ratio
        ) as world:
            async with asyncio.TaskGroup() as group:
                for _ in range(REQUESTS):
                    group.create_task(call())
                    await asyncio.sleep(arrivals.expovariate(rate))
            world.assert_idle()
            return sorted(taken), world

    return virtualtime.run(run())


def quantile(values, ratio):
    return values[int(ratio * (len(values) - 1))]


@pytest.mark.parametrize("seed", range(3))
def test_where_few_answers_are_slow_hedges_cut_them(monkeypatch, seed):
    alone, without = play(monkeypatch, 0.0, 0.2, seed)
    hedged, with_hedges = play(monkeypatch, RATIO, 0.2, seed)
    assert len(hedged) == len(alone) == REQUESTS
    assert quantile(hedged, 0.99) < 0.6 * quantile(alone, 0.99)
    assert quantile(hedged, 0.5) < 1.05 * quantile(alone, 0.5)
    sent = len(with_hedges.session.sent) - REQUESTS
    assert 0 < sent <= RATIO * REQUESTS
    assert with_hedges.hedges["won"] > 0.5 * sent
    work = with_hedges.session.busy_seconds / without.session.busy_seconds
    assert work <= 1 + RATIO


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("load", [0.8, 1.2])
def test_loaded_upstreams_get_no_hedges(monkeypatch, seed, load):
    alone, without = play(monkeypatch, 0.0, load, seed)
    hedged, world = play(monkeypatch, RATIO, load, seed)
    outcomes = ("won", "lost", "failed", "abandoned")
    # At the beginning and the end the upstreams are free.
    assert sum(world.hedges.get(o, 0) for o in outcomes) <= 5, world.hedges
    assert world.hedges["no-room"] > 50
    work = world.session.busy_seconds / without.session.busy_seconds
    assert work <= 1.002
    assert len(hedged) >= len(alone) - 3
    assert quantile(hedged, 0.99) <= 1.02 * quantile(alone, 0.99)


def test_a_region_that_is_loaded_gets_no_hedge(monkeypatch):
    def prepare(world):
        for upstream in world.pool().upstreams.values():
            upstream.record_load_report(3, 0, world.vm.now())

    refusing(monkeypatch, prepare, "no-room")
