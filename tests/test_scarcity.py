"""Division of scarce room between ranks, and the estimate of the room."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenseam import scarcity

AMOUNTS = st.floats(0, 1e6, allow_subnormal=False)
DEMANDS = st.lists(AMOUNTS, min_size=1, max_size=scarcity.MAX_RANKS)
RATIOS = st.floats(0, 1)


def admitted(offered, room, floor):
    parts = scarcity.divide(offered, room, floor)
    return sum(w * p for w, p in zip(offered, parts, strict=True))


@given(DEMANDS, AMOUNTS, RATIOS)
def test_no_more_than_the_room_is_admitted(offered, room, floor):
    assert admitted(offered, room, floor) <= room * (1 + 1e-9) + 1e-9


@given(DEMANDS, AMOUNTS, RATIOS)
def test_no_rank_gets_more_of_its_demand_than_a_higher_one(
    offered, room, floor
):
    parts = scarcity.divide(offered, room, floor)
    assert parts == sorted(parts, reverse=True)
    assert all(0 <= part <= 1 + 1e-9 for part in parts)


@given(DEMANDS, AMOUNTS, RATIOS)
def test_each_rank_keeps_its_floor(offered, room, floor):
    all_alike = min(1.0, room / sum(offered)) if sum(offered) else 1.0
    parts = scarcity.divide(offered, room, floor)
    for work, part in zip(offered, parts, strict=True):
        assert work == 0 or part >= floor * all_alike * (1 - 1e-9)


@given(DEMANDS, AMOUNTS, AMOUNTS, RATIOS)
def test_more_room_admits_no_less_of_any_rank(offered, room, more, floor):
    less = scarcity.divide(offered, room, floor)
    greater = scarcity.divide(offered, room + more, floor)
    for before, after in zip(less, greater, strict=True):
        assert after >= before - 1e-9


@given(DEMANDS, RATIOS)
def test_all_is_admitted_where_there_is_room(offered, floor):
    parts = scarcity.divide(offered, sum(offered), floor)
    assert parts == [1.0] * len(offered)


@given(
    st.integers(0, scarcity.MAX_RANKS - 1),
    RATIOS,
    st.floats(0, 600),
    RATIOS,
)
def test_a_return_leaves_time_for_the_request(rank, room, left, position):
    seconds = scarcity.return_seconds(rank, room, left, position)
    assert 0 <= seconds <= scarcity.MAX_RETURN_RATIO * left
    if rank:
        higher = scarcity.return_seconds(rank - 1, room, left, position)
        assert higher <= seconds


def load(offered, admitted, turned_away, count, slots=10):
    return scarcity.Load(offered, admitted, turned_away, count, slots)


def test_room_is_scarce_only_if_requests_are_turned_away():
    estimate = scarcity.RoomEstimate(0.0)
    estimate.update(load([10.0, 10.0], 20.0, 0.0, 0), 1.0)
    assert estimate.room is None
    by_chance = 0.9 * scarcity.SHORT_RATIO * 20.0
    estimate.update(load([10.0, 10.0], 20.0, by_chance, 5), 2.0)
    assert estimate.room is None
    few = scarcity.MIN_TURNED_AWAY - 1
    estimate.update(load([10.0, 10.0], 20.0, 8.0, few), 3.0)
    assert estimate.room is None


def test_the_room_is_what_upstreams_took_and_grows_by_steps_afterwards():
    estimate = scarcity.RoomEstimate(0.0)
    estimate.update(load([10.0, 10.0], 20.0, 8.0, 9), 0.0)
    assert estimate.room == pytest.approx(12.0, rel=0.05)
    before = estimate.room
    estimate.update(load([10.0, 10.0], 12.0, 0.0, 0), 1.0)
    assert before < estimate.room <= before * 1.2
    for second in range(2, 20):
        estimate.update(load([10.0, 10.0], 12.0, 0.0, 0), second)
    assert estimate.room is None


def test_the_room_falls_with_the_slots_before_requests_are_turned_away():
    estimate = scarcity.RoomEstimate(0.0)
    estimate.update(load([20.0], 20.0, 8.0, 9, slots=10), 0.0)
    before = estimate.room
    estimate.update(load([20.0], 12.0, 0.0, 0, slots=5), 0.0)
    assert estimate.room == pytest.approx(before / 2)


def test_refusing_more_ends_where_it_does_not_help():
    """Guards against a service that refuses all, as a part of it is broken."""
    estimate = scarcity.RoomEstimate(0.0)
    admitted = 20.0
    for step in range(400):
        now = step / 4
        estimate.update(load([20.0], admitted, 0.2 * admitted, 9), now)
        admitted = min(20.0, estimate.room)
    assert admitted >= scarcity.MIN_ROOM_RATIO * 16.0
