"""Requests of a workspace far over its rate."""

from pollenseam import buckets
from pollenseam import leases
from pollenseam import overrates

WAIT_SECONDS = 0.25


def account(rate=8.0, demand=48.0, waiting=10, is_scarce=True):
    opened = buckets.Account(0.0)
    opened.bucket.renew(leases.Share(rate, rate), 10.0, 0.0)
    opened.demand.rate = demand
    opened.waiting = waiting
    opened.updated_at = 0.0
    opened.update_valid_until = 10.0
    opened.overdraft_until = 0.0 if is_scarce else 10.0
    return opened


def hopeless(opened, now=0.1):
    return overrates.is_hopeless(opened, WAIT_SECONDS, now)


def test_a_workspace_at_six_times_its_share_does_not_queue_for_tokens():
    """Guards against callers held for a refusal that is certain."""
    assert hopeless(account())
    assert not hopeless(account(waiting=3))


def test_a_share_that_serves_those_who_wait_lets_them_wait():
    assert not hopeless(account(rate=100.0))


def test_without_recent_word_of_the_lender_requests_wait_as_before():
    late = 0.1 + buckets.LENDER_TIMEOUT_SECONDS
    assert not hopeless(account(), late)
    assert overrates.spread_seconds(account(), 1.0, late) == 0.0


def test_with_tokens_in_the_pool_requests_wait_as_before():
    assert not hopeless(account(is_scarce=False))
    opened = account(is_scarce=False)
    assert overrates.spread_seconds(opened, 1.0, 0.1) == 0.0


def test_callers_of_such_a_workspace_come_back_spread_in_time():
    seconds = [
        overrates.spread_seconds(account(), position / 10, 0.1)
        for position in range(11)
    ]
    assert seconds[0] == 0.0 and seconds == sorted(seconds)
    assert seconds[-1] == overrates.MAX_SPAN_SECONDS


def test_callers_of_a_workspace_near_its_rate_come_back_as_before():
    near = account(demand=12.0)
    assert overrates.spread_seconds(near, 1.0, 0.1) == 0.0


def test_a_workspace_without_a_share_is_far_over_it():
    none = account(rate=0.0)
    assert overrates.spread_seconds(none, 1.0, 0.1) > 1.0
