"""Counts and latencies, bounded, as text that a scraper can read."""

import re

from hypothesis import given
from hypothesis import strategies as st

from pollenseam import metrics

SAMPLE_LINE = re.compile(r'\w+(\{(\w+="(\\.|[^"\\\n])*",?)+\})? [0-9.e+-]+')


def sample_lines(text):
    return [line for line in text[:-1].split("\n") if not line.startswith("#")]


def test_answers_are_counted_by_route_and_outcome():
    counted = metrics.EntryMetrics()
    counted.answers.add("r1", "200")
    counted.answers.add("r1", "200")
    counted.answers.add("r1", "over-rate")
    text = counted.expose({"in_flight": 3})
    assert 'pollenseam_answers_total{route="r1",outcome="200"} 2' in text
    assert 'pollenseam_answers_total{route="r1",outcome="over-rate"} 1' in text
    assert "pollenseam_in_flight 3" in text


def test_a_latency_is_found_again_among_the_quantiles():
    counted = metrics.EntryMetrics()
    counted.latencies.observe("r1", 0.25)
    [line] = [
        line
        for line in counted.expose({}).splitlines()
        if 'quantile="0.5"' in line
    ]
    assert abs(float(line.split()[-1]) - 0.25) < 0.01


def test_many_label_values_share_one_series():
    counted = metrics.EntryMetrics()
    for number in range(3 * metrics.MAX_SERIES):
        counted.workspaces.add(f"w{number}", "served")
        counted.latencies.observe(f"r{number}", 0.1)
    assert len(counted.workspaces.counts) <= metrics.MAX_SERIES + 1
    assert len(counted.latencies.histograms) <= metrics.MAX_SERIES + 1
    assert sum(counted.workspaces.counts.values()) == 3 * metrics.MAX_SERIES


@given(st.text(max_size=12), st.text(max_size=12))
def test_any_label_value_stays_on_its_line(route, outcome):
    counted = metrics.EntryMetrics()
    counted.answers.add(route, outcome)
    for line in sample_lines(counted.expose({})):
        assert SAMPLE_LINE.fullmatch(line), line
