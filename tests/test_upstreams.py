"""Load balancing: capacity, load reports, slow start, ejection, retries."""

import pytest

from pollenseam import members
from pollenseam import messages
from pollenseam import upstreams

NOW = 100.0


def known(name, domain="d1", state="serving", load=0.0, beat=1, region="r1"):
    record = messages.Upstream(
        "s", name, 1, beat, state, "a", region, domain, 3, 9, load, 9000
    )
    return members.KnownUpstream(record, NOW + 9, 0)


def pool_of(*records):
    pool = upstreams.Pool(1)
    pool.refresh(records, NOW)
    for upstream in pool.upstreams.values():
        upstream.slow_start_limit = 3.0
    return pool


def choose(pool, now=NOW, tried=()):
    found = pool.choose("r1", "d1", now, set(tried))
    return found.record.name if found else None


def test_the_least_utilized_upstream_of_the_own_domain_comes_first():
    pool = pool_of(known("a"), known("b"), known("c", domain="d2"))
    pool.upstreams["a"].in_flight = 1
    assert choose(pool) == "b"
    pool.upstreams["a"].in_flight = pool.upstreams["b"].in_flight = 3
    assert choose(pool) == "c"


@pytest.mark.parametrize("state", ["starting", "leaving", "gone"])
def test_only_serving_upstreams_get_work(state):
    assert choose(pool_of(known("a", state=state))) is None


def test_an_upstream_out_of_reach_is_left_out_while_others_are_not():
    """Guards against requests that run through all dead upstreams in turn."""
    pool = pool_of(known("a"), known("b", domain="d2"))
    pool.upstreams["a"].record_unreachable(NOW)
    assert choose(pool) == "b"
    pool.upstreams["b"].in_flight = 3
    assert choose(pool) is None
    assert choose(pool, NOW + 1.1) == "a"
    pool.upstreams["b"].record_unreachable(NOW)
    assert choose(pool) == "a"
    pool.upstreams["a"].record_unreachable(NOW)
    assert pool.upstreams["a"].unreachable_until == NOW + 2.0
    pool.upstreams["a"].record_reachable()
    assert choose(pool) == "a"


def test_a_record_past_its_deadline_is_not_used():
    pool = pool_of(known("a"))
    assert choose(pool, NOW + 8.9) == "a"
    assert choose(pool, NOW + 9.1) is None


def test_another_region_is_never_chosen():
    assert choose(pool_of(known("a", region="r2"))) is None


def test_the_reported_load_of_other_vms_fades():
    pool = pool_of(known("a", load=3.0), known("b"))
    assert choose(pool) == "b"
    pool.upstreams["b"].in_flight = 1
    later = NOW + upstreams.LOAD_REPORT_FADE_SECONDS
    assert choose(pool, later) == "a"


def test_a_wrong_report_of_no_load_attracts_no_more_than_the_slots():
    pool = pool_of(known("liar"), known("honest", load=1.0))
    for _ in range(4):
        name = choose(pool)
        pool.upstreams[name].in_flight += 1
    assert pool.upstreams["liar"].in_flight <= 3


def test_the_limit_of_a_new_upstream_rises_with_each_success():
    pool = upstreams.Pool(1)
    pool.refresh([known("a")], NOW)
    upstream = pool.upstreams["a"]
    assert upstream.concurrency_limit() == 1
    pool.record_success(upstream, 0.01, NOW)
    assert upstream.concurrency_limit() == 2
    for _ in range(9):
        pool.record_success(upstream, 0.01, NOW)
    assert upstream.concurrency_limit() == 3


def test_failures_in_a_row_eject_until_a_trial_request_succeeds():
    pool = pool_of(known("a"), known("b"), known("c"))
    failing = pool.upstreams["a"]
    for _ in range(3):
        pool.record_failure(failing, 0.0, NOW)
    assert not failing.is_usable(NOW + 1)
    retry_at = NOW + upstreams.EJECT_SECONDS
    assert failing.is_usable(retry_at) and failing.concurrency_limit() == 1
    pool.record_failure(failing, 0.0, retry_at)
    assert not failing.is_usable(retry_at + upstreams.EJECT_SECONDS)
    later = retry_at + 2 * upstreams.EJECT_SECONDS
    pool.record_success(failing, 0.01, later)
    assert failing.is_usable(later) and not failing.is_on_probation


def test_an_upstream_that_often_fails_is_ejected():
    pool = pool_of(known("a"), known("b"), known("c"))
    unreliable = pool.upstreams["a"]
    for turn in range(60):
        if turn % 3:
            pool.record_failure(unreliable, 0.0, NOW)
        else:
            pool.record_success(unreliable, 0.0, NOW)
        if not unreliable.is_usable(NOW):
            break
    assert not unreliable.is_usable(NOW)


def test_no_more_than_a_third_and_never_the_only_one_is_ejected():
    pool = pool_of(*[known(f"u{n}") for n in range(9)])
    for upstream in pool.upstreams.values():
        for _ in range(5):
            pool.record_failure(upstream, 0.0, NOW)
    usable = [u for u in pool.upstreams.values() if u.is_usable(NOW)]
    assert len(usable) == 6
    single = pool_of(known("a"))
    for _ in range(9):
        single.record_failure(single.upstreams["a"], 0.0, NOW)
    assert choose(single) == "a"


def test_a_new_incarnation_resets_the_statistics():
    pool = pool_of(known("a"), known("b"), known("c"))
    for _ in range(3):
        pool.record_failure(pool.upstreams["a"], 0.0, NOW)
    restarted = known("a")
    restarted.record.incarnation = 2
    pool.refresh([restarted, known("b"), known("c")], NOW)
    assert pool.upstreams["a"].is_usable(NOW)
    assert pool.upstreams["a"].concurrency_limit() == 1


def test_an_upstream_without_a_record_is_removed_after_its_last_request():
    pool = pool_of(known("a"))
    pool.upstreams["a"].in_flight = 1
    pool.refresh([], NOW)
    assert "a" in pool.upstreams
    pool.upstreams["a"].in_flight = 0
    pool.refresh([], NOW)
    assert not pool.upstreams


def test_the_retry_budget_is_exhausted_and_refilled_by_requests():
    budget = upstreams.RetryBudget()
    spent = sum(budget.try_spend() for _ in range(100))
    assert spent == 10
    for _ in range(100):
        budget.deposit(0.1)
    assert 9 <= sum(budget.try_spend() for _ in range(100)) <= 10


def test_one_that_was_out_of_reach_is_tried_while_all_others_pause():
    """Guards against callers held although an upstream may be chosen."""
    pool = pool_of(known("a"), known("b"))
    pool.upstreams["b"].record_unreachable(NOW)
    paused = pool.upstreams["a"].record
    pool.statements.record_pause(paused.path, paused.incarnation, 60.0, NOW)
    assert choose(pool) == "b"
