"""Streaming quantiles of answer times."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollenseam import answertimes

SECONDS = st.floats(min_value=0.001, max_value=60.0)


def distribution(values):
    times = answertimes.Distribution()
    for seconds in values:
        times.record(seconds)
    return times


def test_few_answers_say_nothing():
    times = distribution([0.1] * (answertimes.MIN_ANSWERS - 1))
    assert times.quantile(0.95) is None
    times.record(0.1)
    assert times.quantile(0.95) == pytest.approx(0.1, rel=0.11)


@given(
    st.lists(SECONDS, min_size=40, max_size=400), st.sampled_from([0.5, 0.95])
)
def test_a_quantile_is_at_most_a_tenth_above_the_exact_one(values, ratio):
    found = distribution(values).quantile(ratio)
    below = sum(value <= found * 1.0001 for value in values)
    assert below >= ratio * len(values) - 1e-6
    bound = found / answertimes.BUCKET_RATIO * 0.9999
    assert sum(value <= bound for value in values) < ratio * len(values) + 1e-6


@given(st.lists(SECONDS, min_size=1, max_size=100), SECONDS)
def test_what_is_left_is_never_negative(values, waited):
    assert distribution(values).left_seconds(waited) >= 0


def test_what_is_left_is_the_mean_of_the_longer_answers():
    times = distribution([0.1] * 97 + [0.7] * 3)
    assert times.left_seconds(0.2) == pytest.approx(0.5, abs=0.08)
    assert times.left_seconds(2.0) == 2.0


def test_recent_answers_weigh_more():
    generator = random.Random(1)
    times = distribution(generator.uniform(0.1, 0.2) for _ in range(4000))
    for _ in range(2000):
        times.record(generator.uniform(0.5, 0.6))
    assert times.quantile(0.5) > 0.45


def test_kinds_used_least_recently_are_forgotten(monkeypatch):
    monkeypatch.setattr(answertimes, "MAX_KINDS", 2)
    times = answertimes.AnswerTimes()
    first = times.find("a", True)
    times.find("b", True)
    assert times.find("a", True) is first
    times.find("c", True)
    assert set(times.kinds) == {("a", True), ("c", True)}


def test_warm_and_other_answers_are_apart():
    times = answertimes.AnswerTimes()
    assert times.find("a", True) is not times.find("a", False)
