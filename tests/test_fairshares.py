"""Fair shares between workspaces."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenseam import fairshares

AMOUNTS = st.floats(0.001, 1e6)
PAIRS = st.dictionaries(
    st.text(max_size=3), st.tuples(AMOUNTS, AMOUNTS), min_size=1, max_size=20
)


@given(PAIRS, AMOUNTS)
def test_all_room_is_used_and_no_more(pairs, room):
    demands = {key: demand for key, (demand, _) in pairs.items()}
    limits = {key: limit for key, (_, limit) in pairs.items()}
    parts = fairshares.divide(demands, limits, room)
    admitted = sum(demands[key] * part for key, part in parts.items())
    assert all(0 <= part <= 1 + 1e-9 for part in parts.values())
    expected = min(room, sum(demands.values()))
    assert admitted == pytest.approx(expected, rel=1e-6)


@given(PAIRS, AMOUNTS)
def test_who_stays_within_the_usual_gets_the_largest_part(pairs, room):
    demands = {key: demand for key, (demand, _) in pairs.items()}
    limits = {key: limit for key, (_, limit) in pairs.items()}
    parts = fairshares.divide(demands, limits, room)
    largest = max(parts.values())
    for key, (demand, limit) in pairs.items():
        if demand <= limit:
            assert parts[key] == pytest.approx(largest, rel=1e-6)


@given(PAIRS, AMOUNTS)
def test_more_demand_beyond_the_usual_takes_nothing_from_others(pairs, room):
    demands = {key: demand for key, (demand, _) in pairs.items()}
    limits = {key: limit for key, (_, limit) in pairs.items()}
    before = fairshares.divide(demands, limits, room)
    key = next(iter(demands))
    if demands[key] < limits[key]:
        return
    demands[key] *= 7
    after = fairshares.divide(demands, limits, room)
    for other, part in before.items():
        if demands[other] <= limits[other]:
            assert after[other] == pytest.approx(part, rel=1e-6)


def test_a_workspace_at_several_times_its_usual_pays_for_it():
    demands = {"a": 10.0, "b": 10.0, "hot": 70.0}
    parts = fairshares.divide(demands, dict.fromkeys(demands, 10.0), 45.0)
    assert parts["a"] == parts["b"] == 1.0
    assert parts["hot"] == pytest.approx(25 / 70)


def test_the_usual_demand_is_known_soon_and_bounded_in_size():
    usual = fairshares.UsualRates(0.0)
    for step in range(200):
        usual.record("a", 0.5, step / 10)
    assert usual.rate("a", 20.0) == pytest.approx(5.0, rel=0.05)
    for number in range(2 * fairshares.MAX_KEYS):
        usual.record(str(number), 1.0, 20.0)
    assert len(usual.amounts) == len(usual.updated_at) == fairshares.MAX_KEYS
