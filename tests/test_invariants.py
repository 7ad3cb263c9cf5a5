"""Replay: each broken promise is named; recorded traces break none."""

import pathlib

import pytest

from pollenseam import errors
from pollenseam import invariants
from pollenseam import traces

FOLDER = pathlib.Path(__file__).parent / "traces"
BROKEN = {
    "over-burst": "over all VMs nothing is used above rate and burst",
    "no-token": "a VM uses no more than its share",
    "reverted": "accepted settings never revert",
    "stale-key": "stale settings admit no key",
    "withdrawn-key": "a withdrawn key stops within seconds",
    "leaving-upstream": (
        "an upstream that is leaving or silent gets no new work"
    ),
    "full-upstream": "a request goes to an upstream with room",
    "doubled-run": "what must not be repeated runs at most once",
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_promise_is_named_with_its_record(name):
    checker = invariants.check_traces([FOLDER / f"{name}.trace"])
    assert [one.invariant for one in checker.violations] == [BROKEN[name]]
    assert "at " in str(checker.violations[0])


RECORDED = sorted(FOLDER.glob("recorded-*"))


@pytest.mark.parametrize("folder", RECORDED, ids=lambda path: path.name)
def test_a_recorded_fault_breaks_no_promise(folder):
    checker = invariants.check_traces(sorted(folder.glob("*.trace")))
    assert [str(one) for one in checker.violations] == []
    assert checker.counts["taken"] > 0


def test_there_are_recorded_faults():
    assert RECORDED


def test_records_come_back_as_they_were(tmp_path):
    path = tmp_path / "t"
    recorder = traces.open_recorder(str(path))
    record = traces.Sent(1.5, "u", "serving", 100, 1, 3, "c", "a")
    recorder.add(record)
    recorder.flush()
    assert list(traces.read(path)) == [record]


@pytest.mark.parametrize(
    "data",
    [b"{}\n", b"nonsense\n", b'{"type":"taken","at":"x"}\n', b"\xff\n"],
)
def test_a_line_that_is_no_record_is_named(tmp_path, data):
    path = tmp_path / "t"
    path.write_bytes(b'{"type":"taken","at":1,"resource":"w"}\n' + data)
    with pytest.raises(errors.DamagedError, match="t:2"):
        list(traces.read(path))
