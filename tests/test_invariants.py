"""Invariant checks of traces: hand-written violations and recorded faults."""

import pathlib

import pytest

from pollenseam import errors
from pollenseam import invariants
from pollenseam import traces

FOLDER = pathlib.Path(__file__).parent / "traces"
VIOLATED = {
    "over-burst": "the use over all VMs stays within rate and burst",
    "no-token": "a VM uses no more than its share",
    "reverted": "accepted settings never revert",
    "stale-key": "stale settings admit no key",
    "withdrawn-key": "a withdrawn key stops within seconds",
    "leaving-upstream": (
        "an upstream that is leaving or expired gets no new requests"
    ),
    "full-upstream": "a request goes only to an upstream with a free slot",
    "doubled-run": "a request with an idempotency key runs at most once",
}


@pytest.mark.parametrize("name", VIOLATED)
def test_a_violation_is_reported_with_its_invariant_and_record(name):
    checker = invariants.check_traces([FOLDER / f"{name}.trace"])
    assert [v.invariant for v in checker.violations] == [VIOLATED[name]]
    assert "at " in str(checker.violations[0])


RECORDED_FAULTS = sorted(FOLDER.glob("recorded-*"))


@pytest.mark.parametrize("folder", RECORDED_FAULTS, ids=lambda path: path.name)
def test_the_traces_of_a_recorded_fault_violate_no_invariant(folder):
    checker = invariants.check_traces(sorted(folder.glob("*.trace")))
    assert [str(violation) for violation in checker.violations] == []
    assert checker.counts["taken"] > 0


def test_traces_of_recorded_faults_exist():
    assert RECORDED_FAULTS


def test_a_recorded_record_is_read_back_unchanged(tmp_path):
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
def test_an_invalid_line_is_reported_by_its_number(tmp_path, data):
    path = tmp_path / "t"
    path.write_bytes(b'{"type":"taken","at":1,"resource":"w"}\n' + data)
    with pytest.raises(errors.DamagedError, match="t:2"):
        list(traces.read(path))
