"""From a request's id to its cause, over the logs of several processes."""

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


def test_a_request_is_told_with_what_decided_it():
    story = explanation.explain("q1", [CONTROL, ENTRY])
    assert [e.fields["event"] for e in story.request_events] == [
        "try",
        "refused",
    ]
    beliefs = {e.fields["event"]: e.fields for e in story.settings_state}
    assert beliefs["registry-in-force"]["index"] == "8"
    assert beliefs["started"]["role"] == "entry"
    assert "settings-stale" not in beliefs
    assert story.settings_change.fields["index"] == "8"
    assert [e.fields["event"] for e in story.upstream_events] == [
        "upstreams-lost"
    ]
    assert story.skipped_lines == 1


def test_a_request_that_no_log_names_is_said_to_be_missing():
    story = explanation.explain("q3", [ENTRY])
    assert story.request_events == []
    assert "no event of this request" in story.to_lines()[0]
    assert "1 lines are no events" in story.to_lines()[-1]


def test_the_tool_reads_files(tmp_path, capsys):
    names = []
    for name, lines in (("e1", ENTRY), ("c1", CONTROL)):
        (tmp_path / name).write_text("\n".join(lines))
        names.append(str(tmp_path / name))
    cli.main(["explain", "q1", *names])
    said = capsys.readouterr().out
    assert said.index("event=try") < said.index("event=upstreams-lost")
