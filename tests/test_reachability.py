"""Whether this VM reaches the upstreams of a service."""

import hypothesis
from hypothesis import strategies

from pollenseam import reachability

UPSTREAMS = ["u1", "u2", "u3", "u4", "u5", "u6"]
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["failed", "connected", "reply", "help"]),
        strategies.sampled_from(UPSTREAMS),
        strategies.floats(0.0, 5.0),
    ),
    max_size=60,
)


def play(reach, events, now=100.0):
    """Feeds events of (kind, upstream, pause); returns the time after them."""
    count = len(UPSTREAMS)
    for kind, upstream, pause in events:
        now += pause
        if kind == "failed":
            reach.record_connect_failed(upstream, count, now)
        elif kind == "connected":
            reach.record_connected(upstream, count, now)
        elif kind == "reply":
            reach.record_reply(upstream, now)
        else:
            reach.record_help(now)
    return now


@hypothesis.given(EVENTS)
def test_a_service_is_unreached_only_after_failures_at_two_upstreams(events):
    reach = reachability.ServiceReach()
    now = 100.0
    failed = {}
    for event in events:
        was_unreached = reach.is_unreached
        now = play(reach, [event], now=now)
        kind, upstream, _ = event
        if kind == "connected" and not reach.is_unreached:
            failed = {}
        elif kind == "failed":
            failed[upstream] = now
        if reach.is_unreached and not was_unreached:
            recent = [
                u
                for u, at in failed.items()
                if at >= now - reachability.EVIDENCE_SECONDS
            ]
            assert len(recent) >= reachability.UNREACHED_COUNT


@hypothesis.given(EVENTS)
def test_a_service_is_reached_once_enough_upstreams_accept(events):
    reach = reachability.ServiceReach()
    now = play(reach, events)
    play(reach, [("connected", u, 0.1) for u in UPSTREAMS[:4]], now=now)
    assert not reach.is_unreached
    assert reach.failed == {}


@hypothesis.given(EVENTS)
def test_a_vm_is_cut_off_only_if_another_vm_reached_the_service(events):
    """Guards against VMs that all leave the directory for a dead service."""
    reach = reachability.ServiceReach()
    without_help = [event for event in events if event[0] != "help"]
    assert not reach.is_cut_off(play(reach, without_help))


def test_the_only_upstream_of_a_service_is_enough():
    reach = reachability.ServiceReach()
    assert reach.record_connect_failed("u1", 1, 0.0)
    assert reach.record_connected("u1", 1, 1.0)


def test_replies_on_kept_connections_call_for_more_evidence():
    """Guards against a VM that gives up a service for a few dead upstreams."""
    reach = reachability.ServiceReach()
    now = play(reach, [("failed", "u1", 0.0), ("reply", "", 0.1)])
    now = play(reach, [("failed", u, 0.1) for u in ("u2", "u3")], now=now)
    assert not reach.is_unreached
    play(reach, [("failed", "u4", 0.1)], now=now)
    assert reach.is_unreached


def test_each_return_within_some_seconds_takes_one_more_upstream():
    """Guards against a VM whose way comes and goes, with each call."""
    reach = reachability.ServiceReach()
    now = 0.0
    needed = []
    for _ in range(5):
        now = play(reach, [("failed", u, 0.1) for u in ("u1", "u2")], now=now)
        count = 0
        while reach.is_unreached:
            now = play(reach, [("connected", UPSTREAMS[count], 0.1)], now=now)
            count += 1
        needed.append(count)
    assert needed == [1, 2, 3, 4, 4]
    now += reachability.FLAP_SECONDS
    now = play(reach, [("failed", u, 0.1) for u in ("u1", "u2")], now=now)
    assert reach.record_connected("u1", len(UPSTREAMS), now)


def test_kept_connections_are_trusted_while_replies_go_on_arriving():
    reach = reachability.ServiceReach()
    now = play(reach, [("reply", "", 0.0), ("failed", "u1", 0.1)])
    now = play(reach, [("failed", "u2", 0.1)], now=now)
    assert not reach.has_live_connections(now)
    now = play(reach, [("reply", "", 0.1)], now=now)
    assert reach.has_live_connections(now + reachability.LIVE_SECONDS)
    assert not reach.has_live_connections(now + reachability.LIVE_SECONDS + 0.1)


def test_a_vm_counts_as_cut_off_a_little_longer_than_it_is():
    reach = reachability.ServiceReach()
    now = play(reach, [("failed", u, 0.0) for u in ("u1", "u2")])
    assert not reach.is_cut_off(now)
    now = play(reach, [("help", "", 1.0)], now=now)
    assert reach.is_cut_off(now)
    now = play(reach, [("connected", "u1", 0.0)], now=now)
    assert reach.is_cut_off(now)
    assert not reach.is_cut_off(now + reachability.HOLD_SECONDS)


def test_connects_after_the_return_do_not_keep_a_vm_cut_off():
    """Guards against a VM that stays out as long as it opens connections."""
    reach = reachability.ServiceReach()
    now = play(reach, [("failed", u, 0.0) for u in ("u1", "u2")])
    now = play(reach, [("help", "", 1.0), ("connected", "u1", 0.0)], now=now)
    until = now + reachability.HOLD_SECONDS
    while now < until:
        assert reach.is_cut_off(now)
        now = play(reach, [("connected", "u1", 0.25)], now=now)
    assert not reach.is_cut_off(now)


def test_a_way_that_comes_and_goes_keeps_a_vm_cut_off_longer():
    """Guards against a directory that names a VM in turns, each second."""
    reach = reachability.ServiceReach()
    now = 0.0
    holds = []
    for _ in range(5):
        now = play(reach, [("failed", u, 0.1) for u in UPSTREAMS], now=now)
        now = play(reach, [("help", "", 0.5)], now=now)
        now = play(reach, [("connected", u, 0.0) for u in UPSTREAMS], now=now)
        holds.append(reach.cut_off_until - now)
        now += 0.1
    assert holds == [1.0, 2.0, 4.0, 8.0, 8.0]
