"""Explanations of requests from the event logs of several processes."""

from pollenseam import cli
from pollenseam import explanation

ENTRY = [
    "ts=0 lt=7 vm=e1 event=settings-stale age_ms=6000",
    "ts=1 lt=1 vm=e1 event=started role=entry",
    "ts=2 lt=4 vm=e1 event=registry-in-force index=7",
    "ts=3 lt=9 vm=e1 event=registry-in-force index=8",
    "0.25 e1 ts=4 lt=10 vm=e1 event=try request=q1 upstream=i1 outcome=broken",
    "ts=5 lt=11 vm=e1 event=refused request=q1 settings_index=8",
    "ts=6 lt=12 vm=e1 event=registry-in-force index=9",
    "ts=6 lt=13 vm=e1 event=refused request=q2 settings_index=9",
    "ts=9 lt=2 vm=e1 event=started role=later-boot",
    "Traceback (most recent call last):",
]
CONTROL = [
    "ts=1 lt=3 vm=c1 event=patch outcome=accepted index=7",
    "ts=2 lt=8 vm=c1 event=patch outcome=accepted index=8",
    "ts=2 lt=8 vm=c1 event=patch outcome=refused",
    "ts=5 lt=11 vm=c1 event=patch outcome=accepted index=9",
    "ts=7 lt=14 vm=c1 event=upstreams-lost ids=i3,i1",
    "ts=7 lt=15 vm=c1 event=upstream id=i2 state=gone",
]


def test_an_explanation_has_the_settings_state_change_and_upstream_events():
    result = explanation.explain("q1", [CONTROL, ENTRY])
    assert [e.fields["event"] for e in result.request_events] == [
        "try",
        "refused",
    ]
    state = {e.fields["event"]: e.fields for e in result.settings_state}
    assert state["registry-in-force"]["index"] == "8"
    assert state["started"]["role"] == "entry"
    assert "settings-stale" not in state
    assert result.settings_change.fields["index"] == "8"
    assert [e.fields["event"] for e in result.upstream_events] == [
        "upstreams-lost"
    ]
    assert result.skipped_lines == 1


def test_a_relayed_request_is_explained_from_the_logs_of_both_vms():
    """Guards against the helper's settings taken for those that decided."""
    origin = [
        "ts=1 lt=1 vm=e1 event=registry-in-force index=8",
        "ts=2 lt=2 vm=e1 event=service-unreached service=s1",
        "ts=3 lt=3 vm=e1 event=relaying request=q1 helper=e2",
        "ts=4 lt=7 vm=e1 event=relayed request=q1 helper=e2 outcome=replied",
    ]
    helper = [
        "ts=1 lt=1 vm=e2 event=registry-in-force index=7",
        "ts=3 lt=5 vm=e2 event=served request=q1 upstream=i1",
    ]
    result = explanation.explain("q1", [helper, origin])
    assert [e.fields["event"] for e in result.request_events] == [
        "relaying",
        "served",
        "relayed",
    ]
    state = {e.fields["event"]: e.vm for e in result.settings_state}
    assert state == {"registry-in-force": "e1", "service-unreached": "e1"}


def test_a_request_without_logged_events_is_reported_as_missing():
    result = explanation.explain("q3", [ENTRY])
    assert result.request_events == []
    assert "no event of this request" in result.to_lines()[0]
    assert "1 lines are not events" in result.to_lines()[-1]


def test_the_explain_command_reads_log_files(tmp_path, capsys):
    names = []
    for name, lines in (("e1", ENTRY), ("c1", CONTROL)):
        (tmp_path / name).write_text("\n".join(lines))
        names.append(str(tmp_path / name))
    cli.main(["explain", "q1", *names])
    output = capsys.readouterr().out
    assert output.index("event=try") < output.index("event=upstreams-lost")
