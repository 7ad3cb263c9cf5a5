"""Tests of the metrics of entry VMs and of their Prometheus text format."""

import re

from hypothesis import given
from hypothesis import strategies as st

from pollenseam import metrics

SAMPLE_LINE = re.compile(r'\w+(\{(\w+="(\\.|[^"\\\n])*",?)+\})? [0-9.e+-]+')


def sample_lines(text):
    return [line for line in text[:-1].split("\n") if not line.startswith("#")]


def test_answers_are_counted_by_route_and_outcome():
    entry_metrics = metrics.EntryMetrics()
    entry_metrics.answers.add("r1", "200")
    entry_metrics.answers.add("r1", "200")
    entry_metrics.answers.add("r1", "over-rate")
    text = entry_metrics.expose({"in_flight": 3})
    assert 'pollenseam_answers_total{route="r1",outcome="200"} 2' in text
    assert 'pollenseam_answers_total{route="r1",outcome="over-rate"} 1' in text
    assert "pollenseam_in_flight 3" in text


def test_an_observed_latency_is_exposed_as_a_quantile():
    entry_metrics = metrics.EntryMetrics()
    entry_metrics.latencies.observe("r1", 0.25)
    [line] = [
        line
        for line in entry_metrics.expose({}).splitlines()
        if 'quantile="0.5"' in line
    ]
    assert abs(float(line.split()[-1]) - 0.25) < 0.01


def test_label_values_beyond_the_limit_share_one_series():
    entry_metrics = metrics.EntryMetrics()
    for number in range(3 * metrics.MAX_SERIES):
        entry_metrics.workspaces.add(f"w{number}", "served")
        entry_metrics.latencies.observe(f"r{number}", 0.1)
    assert len(entry_metrics.workspaces.counts) <= metrics.MAX_SERIES + 1
    assert len(entry_metrics.latencies.histograms) <= metrics.MAX_SERIES + 1
    assert (
        sum(entry_metrics.workspaces.counts.values()) == 3 * metrics.MAX_SERIES
    )


@given(st.text(max_size=12), st.text(max_size=12))
def test_any_label_value_stays_on_its_line(route, outcome):
    entry_metrics = metrics.EntryMetrics()
    entry_metrics.answers.add(route, outcome)
    for line in sample_lines(entry_metrics.expose({})):
        assert SAMPLE_LINE.fullmatch(line), line
