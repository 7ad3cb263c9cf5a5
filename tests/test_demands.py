"""What each region asks for: told to the leader, and back to all VMs."""

import collections

import hypothesis
import msgspec
import pytest
import test_steering
from hypothesis import strategies

from pollenseam import demands
from pollenseam import observations

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}


def play(board, rates, start, seconds, step=0.5):
    """Reports the rates of regions as those of one VM each."""
    now = start
    while now < start + seconds:
        for region, rate in rates.items():
            board.record(f"v-{region}", region, [demands.Rate("s", rate)], now)
        board.changes_since(0, now)
        now += step
    [stated] = board.changes_since(0, now)
    return dict(zip(stated.regions, stated.shares, strict=True))


def test_shares_follow_the_demand_slowly():
    """Guards against requests that change their region all at once."""
    board = demands.Board()
    assert play(board, {"a": 10, "b": 10}, 0.0, 5.0)["a"] == pytest.approx(0.5)
    soon = play(board, {"a": 30, "b": 10}, 5.0, 1.0)["a"]
    later = play(board, {"a": 30, "b": 10}, 6.0, 15.0)["a"]
    assert 0.5 < soon < 0.6
    assert later == pytest.approx(0.75, abs=demands.MIN_CHANGE)


def test_a_region_whose_vms_are_gone_asks_for_nothing():
    board = demands.Board()
    play(board, {"a": 10, "b": 10}, 0.0, 5.0)
    assert play(board, {"b": 10}, 5.0, 30.0)["a"] < 2 * demands.MIN_CHANGE


@hypothesis.given(
    strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from("abc"),
            strategies.floats(0.0, 1e4),
            min_size=1,
        ),
        min_size=1,
        max_size=8,
    )
)
def test_stated_shares_are_shares(steps):
    board = demands.Board()
    for number, rates in enumerate(steps):
        for region, rate in rates.items():
            board.record(region, region, [demands.Rate("s", rate)], number)
        for stated in board.changes_since(0, number + 0.9):
            assert stated.is_valid


def test_an_unchanged_demand_is_stated_again_only_now_and_then():
    board = demands.Board()
    play(board, {"a": 10, "b": 10}, 0.0, 20.0)
    assert board.revision <= 20.0 / demands.REFRESH_SECONDS + 2


@pytest.mark.parametrize(
    "rate",
    [
        demands.Rate("", 1.0),
        demands.Rate("x" * 1000, 1.0),
        demands.Rate("s", -1.0),
        demands.Rate("s", float("nan")),
        demands.Rate("s", float("inf")),
    ],
)
def test_an_odd_rate_is_dropped_and_counted(rate):
    board = demands.Board()
    board.record("v", "a", [rate], 0.0)
    assert not board.services
    assert board.refused_count == 1


@pytest.mark.parametrize(
    "shares",
    [
        demands.Shares("s", ("a",), ()),
        demands.Shares("s", (), ()),
        demands.Shares("s", ("a", "b"), (0.9, 0.9)),
        demands.Shares("s", ("a", "b"), (float("nan"), 0.5)),
        demands.Shares("s", ("a", "b"), (-0.5, 1.5)),
    ],
)
def test_odd_shares_are_dropped_and_counted(shares):
    view = demands.View()
    view.adopt([shares], 0.0)
    assert not view.by_service
    assert view.refused_count == 1


def test_shares_of_a_leader_that_is_away_are_forgotten():
    view = demands.View()
    view.adopt([demands.Shares("s", ("a", "b"), (0.4, 0.6))], 0.0)
    view.adopt([], demands.SHARE_SECONDS / 2)
    assert view.by_service["s"] == {"a": 0.4, "b": 0.6}
    view.has_changed = False
    view.adopt([], demands.SHARE_SECONDS)
    assert not view.by_service
    assert view.has_changed


def test_a_meter_counts_the_last_whole_seconds():
    meter = demands.Meter()
    for n in range(100):
        meter.record("s", n / 10)
    assert meter.rates(10.0) == [demands.Rate("s", 10.0)]
    assert meter.rates(13.0) == []


def test_builds_without_demand_are_understood():
    report = observations.Report(rates=(demands.Rate("s", 1.0),))
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
    old = msgspec.msgpack.encode(fields[:6])
    assert msgspec.msgpack.decode(old, type=observations.Report).rates == ()
    longer = msgspec.msgpack.encode([*fields, "of a later build"])
    assert msgspec.msgpack.decode(longer, type=observations.Report) == report


def loads_by_upstream(counts, asked, divides):
    """Returns the requests that each upstream gets, by what regions ask for.

    Args:
        counts: Upstreams by failure domain.
        asked: Objects that each region's requests concern.
        divides: Whether the VMs know the demand.
    """
    total = sum(asked.values())
    shares = {region: n / total for region, n in asked.items()}
    loads = collections.Counter()
    for region, objects in asked.items():
        pool = test_steering.pool_of(counts, region=region)
        pool.update([u.record for u in pool.upstreams.values()], ZONES, -60.0)
        pool.divide_demand(ZONES, shares if divides else {})
        for n in range(objects):
            ranking = pool.rankings.find(
                f"{region}/{n}", pool.upstreams.values()
            )
            loads[ranking.preferred[0][1].record.id] += 1
    return loads, pool


@pytest.mark.parametrize(
    ("counts", "asked"),
    [
        # One region has a tenth of the upstreams and half of the requests.
        ({"a1": 5, "b1": 20, "c1": 23}, {"a": 2400, "b": 1400, "c": 1000}),
        # One lost half of its upstreams, and one has few.
        ({"a1": 5, "b1": 10, "c1": 23}, {"a": 1600, "b": 1600, "c": 1600}),
    ],
)
def test_uneven_demand_reaches_all_upstreams_alike(counts, asked):
    """Guards against regions that are full while others have room.

    Regions are in different phases of their day, and one has few upstreams.
    """
    domains = {id[0]: id for id in counts}
    known, _ = loads_by_upstream(counts, asked, divides=True)
    usual, _ = loads_by_upstream(counts, asked, divides=False)
    fair = sum(asked.values()) / sum(counts.values())

    def worst_region(loads):
        return max(
            sum(n for id, n in loads.items() if id.startswith(domain))
            / (counts[domain] * fair)
            for domain in domains.values()
        )

    # Upstreams at 0.85 of their room bear that much more.
    assert worst_region(known) <= 1.15
    assert worst_region(usual) > 1.25
