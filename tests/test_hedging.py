"""Which late requests get a second upstream, and which don't."""

import pytest
import test_steering
from hypothesis import given
from hypothesis import strategies as st

from pollenseam import hedging

NOW = 20.0


def pool(**counts):
    return test_steering.pool_of(counts or {"a1": 3, "b1": 3})


def choose(pool, **more):
    return pool.choose(test_steering.required(**more), NOW)


def second_choice(pool, first):
    required = test_steering.required(tried={first.upstream.record.id})
    return pool.choose(hedging.second_requirements(first, required), NOW)


def why_not(second, first_left=5.0, left=10.0):
    return hedging.why_not(second, first_left, left, NOW)


def test_an_upstream_that_is_free_and_sooner_gets_the_hedge():
    upstreams = pool()
    first = choose(upstreams)
    second = second_choice(upstreams, first)
    assert second.upstream is not first.upstream
    assert why_not(second) == ""


def test_a_hedge_stays_in_the_region_of_the_first():
    upstreams = pool(a1=1, b1=4)
    first = choose(upstreams)
    for _ in range(5):
        second = second_choice(upstreams, first)
        assert second is None or second.upstream.region == first.upstream.region
    lonely = pool(a1=1)
    assert second_choice(lonely, choose(lonely)) is None
    assert why_not(None) == hedging.NO_UPSTREAM


def make_cold(upstream):
    upstream.cold_until = NOW + 1


def make_suspect(upstream):
    upstream.suspect_until = NOW + 1


def make_silent(upstream):
    upstream.begin(0.1, NOW - 5.0)


def make_failing(upstream):
    for _ in range(4):
        upstream.record_error(NOW)


def make_risky(upstream):
    upstream.begin(0.1, NOW, is_risky=True)


@pytest.mark.parametrize(
    "spoil", [make_cold, make_suspect, make_silent, make_failing, make_risky]
)
def test_an_upstream_that_is_not_sound_gets_no_hedge(spoil):
    upstreams = pool(a1=2)
    first = choose(upstreams)
    second = second_choice(upstreams, first)
    spoil(second.upstream)
    second = second_choice(upstreams, first)
    assert second is None or why_not(second) == hedging.UNSOUND


def test_an_upstream_without_a_free_slot_gets_no_hedge():
    upstreams = pool(a1=2)
    first = choose(upstreams)
    second = second_choice(upstreams, first)
    for _ in range(3):
        second.upstream.begin(0.1, NOW)
    assert why_not(second_choice(upstreams, first)) == hedging.BUSY


def test_an_upstream_that_just_shed_gets_no_hedge():
    upstreams = pool(a1=2)
    first = choose(upstreams)
    second_choice(upstreams, first).upstream.full_until = NOW + 0.1
    assert why_not(second_choice(upstreams, first)) == hedging.BUSY


def test_the_load_of_a_region_is_that_of_its_upstreams():
    upstreams = pool(a1=3, b1=3)
    for upstream in upstreams.upstreams.values():
        if upstream.region == "a":
            upstream.begin(0.1, NOW)
            upstream.begin(0.1, NOW)
    load = hedging.region_load(upstreams, "a", NOW)
    assert load == pytest.approx(2 / 3)
    assert load > hedging.MAX_LOAD_RATIO
    assert hedging.region_load(upstreams, "b", NOW) == 0.0
    assert hedging.region_load(upstreams, "c", NOW) == 0.0


def test_the_second_must_be_expected_sooner_and_in_time():
    upstreams = pool()
    second = second_choice(upstreams, choose(upstreams))
    seconds = second.expected_seconds
    assert why_not(second, first_left=seconds * 0.9) == hedging.NO_GAIN
    assert why_not(second, left=seconds * 0.9) == hedging.NO_GAIN
    assert why_not(second, seconds * 1.1, seconds * 1.1) == ""


def test_the_delay_is_what_all_but_few_answers_take():
    policy = hedging.Policy()
    first = choose(pool())
    assert policy.delay_seconds("r", True, first) is None
    for n in range(100):
        policy.record_answer("r", True, 2.0 if n < 2 else 1.0)
    delay = policy.delay_seconds("r", True, first)
    assert delay == pytest.approx(1.0, rel=0.11)
    assert policy.delay_seconds("r", False, first) is None


def test_the_delay_is_not_below_what_is_expected_here():
    policy = hedging.Policy()
    for _ in range(100):
        policy.record_answer("r", True, 0.01)
    first = choose(pool())
    assert policy.delay_seconds("r", True, first) == first.expected_seconds


@given(
    st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=500),
    st.floats(min_value=0.0, max_value=0.2),
)
def test_a_route_never_sends_more_hedges_than_its_ratio(events, ratio):
    allowance = hedging.Allowance()
    requests = {"a": 0, "b": 0}
    hedges = {"a": 0, "b": 0}
    for route, is_late in events:
        allowance.earn(route, ratio)
        requests[route] += 1
        if is_late and allowance.can_spend(route):
            allowance.spend(route)
            hedges[route] += 1
        assert hedges[route] <= ratio * requests[route] + 1e-6


def test_few_hedges_are_saved_up():
    allowance = hedging.Allowance()
    for _ in range(10_000):
        allowance.earn("a", 0.1)
    count = 0
    while allowance.can_spend("a"):
        allowance.spend("a")
        count += 1
    assert count <= hedging.MAX_SAVED_HEDGES


def test_routes_used_least_recently_are_forgotten(monkeypatch):
    monkeypatch.setattr(hedging, "MAX_ROUTES", 2)
    allowance = hedging.Allowance()
    for route in "abac":
        allowance.earn(route, 0.1)
    assert set(allowance.saved) == {"a", "c"}
