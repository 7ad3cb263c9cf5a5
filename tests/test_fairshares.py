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
    weights = {key: weight for key, (_, weight) in pairs.items()}
    parts = fairshares.divide(demands, weights, room)
    admitted = sum(demands[key] * part for key, part in parts.items())
    assert all(0 <= part <= 1 + 1e-9 for part in parts.values())
    expected = min(room, sum(demands.values()))
    assert admitted == pytest.approx(expected, rel=1e-6)


@given(PAIRS, AMOUNTS)
def test_nobody_gets_less_for_its_weight_than_one_that_is_refused(pairs, room):
    demands = {key: demand for key, (demand, _) in pairs.items()}
    weights = {key: weight for key, (_, weight) in pairs.items()}
    parts = fairshares.divide(demands, weights, room)
    levels = {
        key: demands[key] * part / weights[key] for key, part in parts.items()
    }
    refused = [key for key, part in parts.items() if part < 1 - 1e-6]
    for key in refused:
        assert levels[key] >= max(levels.values()) * (1 - 1e-6)


def test_a_workspace_at_several_times_its_usual_pays_for_it():
    demands = {"a": 10.0, "b": 10.0, "hot": 70.0}
    parts = fairshares.divide(demands, dict.fromkeys(demands, 10.0), 45.0)
    assert parts["a"] == parts["b"] == pytest.approx(1.0)
    assert parts["hot"] == pytest.approx(25 / 70)


def test_the_usual_demand_is_known_soon_and_bounded_in_size():
    usual = fairshares.UsualRates(0.0)
    for step in range(200):
        usual.record("a", 0.5, step / 10)
    assert usual.rate("a", 20.0) == pytest.approx(5.0, rel=0.05)
    for number in range(2 * fairshares.MAX_KEYS):
        usual.record(str(number), 1.0, 20.0)
    assert len(usual.amounts) == len(usual.updated_at) == fairshares.MAX_KEYS
