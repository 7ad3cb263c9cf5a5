"""Event lines: format, parser, causal order and filters."""

from hypothesis import given
from hypothesis import strategies as st

from pollenseam import events
from pollenseam import timeline

TEXT = st.text(max_size=20)


@given(TEXT, TEXT)
def test_a_formatted_line_parses_to_its_values(first, second):
    line = events.format_line("v", 3, "e", {"a": first, "b": second})
    assert "\n" not in line
    fields = events.parse_line(line)
    assert (fields["a"], fields["b"]) == (first, second)
    assert (fields["vm"], fields["lt"]) == ("v", "3")


@given(st.text(max_size=60))
def test_the_parser_accepts_any_line(text):
    events.parse_line(text)
    list(timeline.read([text]))


def test_causes_come_before_effects_when_clocks_disagree():
    sent = "ts=900.0 lt=5 vm=a event=sent"
    received = "ts=100.0 lt=6 vm=b event=received"
    merged = list(timeline.merge([[received], ["noise", sent]]))
    assert [event.fields["event"] for event in merged] == ["sent", "received"]


def test_events_are_filtered_by_field_and_by_any_value():
    line = "ts=1 lt=1 vm=a event=refused kind=over-rate"
    event = next(timeline.read([line]))
    assert timeline.matches(event, {"vm": "a", "any": "rate"})
    assert not timeline.matches(event, {"vm": "b"})
