"""Tests of the data folder: torn records, bit rot, crashes between writes."""

import errno
import os

import pytest

from pollenseam import errors
from pollenseam import journal
from pollenseam import messages
from pollenseam import quorumlog


def entries(first, last, term=1):
    return [
        messages.Entry(i, term, command=b"%d" % i)
        for i in range(first, last + 1)
    ]


def open_and_recover(folder):
    storage = journal.open_journal(folder, "v")
    return storage, storage.recover()


def write_sample_log(folder):
    storage, _ = open_and_recover(folder)
    storage.append(quorumlog.HardState(1, "v"), entries(1, 3))
    storage.append(None, entries(4, 6))
    storage.append(quorumlog.HardState(2, ""), entries(7, 9, 2))
    storage.close()
    return sorted(folder.glob("*.log"))[-1]


def test_appended_entries_and_hard_state_are_recovered(tmp_path):
    write_sample_log(tmp_path)
    _, recovered = open_and_recover(tmp_path)
    assert (recovered.hard_state.term, recovered.hard_state.vote) == (2, "")
    assert [e.index for e in recovered.log.entries] == list(range(1, 10))


def test_an_append_at_an_earlier_index_truncates_the_log(tmp_path):
    write_sample_log(tmp_path)
    storage, _ = open_and_recover(tmp_path)
    storage.append(None, entries(5, 5, 3))
    storage.close()
    _, recovered = open_and_recover(tmp_path)
    assert [e.term for e in recovered.log.entries] == [1, 1, 1, 1, 3]


def test_a_log_cut_at_any_byte_keeps_its_complete_records(tmp_path):
    segment = write_sample_log(tmp_path)
    intact = segment.read_bytes()
    entry_counts = set()
    for size in range(len(intact)):
        segment.write_bytes(intact[:size])
        storage, recovered = open_and_recover(tmp_path)
        storage.close()
        entry_counts.add(len(recovered.log.entries))
    assert entry_counts == {0, 3, 6}


def test_damage_in_the_middle_is_an_error_that_tells_what_to_do(tmp_path):
    segment = write_sample_log(tmp_path)
    intact = bytearray(segment.read_bytes())
    for position in range(0, len(intact) // 2, 7):
        damaged = bytearray(intact)
        damaged[position] ^= 0x10
        segment.write_bytes(damaged)
        with pytest.raises(errors.DamagedError, match="new replica"):
            open_and_recover(tmp_path)


def test_a_crash_before_old_segments_are_removed_changes_nothing(tmp_path):
    segment = write_sample_log(tmp_path)
    old_segment = segment.read_bytes()
    storage, _ = open_and_recover(tmp_path)
    members = messages.Members({"v": "at-v"})
    header = journal.SnapshotHeader(6, 1, members)
    storage.save_snapshot(header, b"state", entries(7, 9, 2))
    storage.close()
    _, clean = open_and_recover(tmp_path)
    # State after a crash before the old segment was removed.
    segment.write_bytes(old_segment)
    _, crashed = open_and_recover(tmp_path)
    for recovered in (clean, crashed):
        assert recovered.snapshot_data == b"state"
        assert recovered.log.base_index == 6
        assert [e.index for e in recovered.log.entries] == [7, 8, 9]
        assert recovered.hard_state.term == 2


def test_a_crash_while_a_snapshot_is_written_keeps_the_old_one(tmp_path):
    write_sample_log(tmp_path)
    (tmp_path / "snapshot.new").write_bytes(b"half")
    _, recovered = open_and_recover(tmp_path)
    assert recovered.snapshot_header is None
    assert len(recovered.log.entries) == 9


def test_a_damaged_snapshot_is_refused(tmp_path):
    write_sample_log(tmp_path)
    storage, _ = open_and_recover(tmp_path)
    header = journal.SnapshotHeader(6, 1, messages.Members({"v": "at-v"}))
    storage.save_snapshot(header, b"state" * 100, [])
    storage.close()
    path = tmp_path / "snapshot"
    data = bytearray(path.read_bytes())
    data[-3] ^= 1
    path.write_bytes(data)
    with pytest.raises(errors.DamagedError):
        open_and_recover(tmp_path)


def test_a_log_without_an_identity_file_is_refused(tmp_path):
    write_sample_log(tmp_path)
    (tmp_path / "identity").unlink()
    with pytest.raises(errors.DamagedError):
        open_and_recover(tmp_path)


def test_a_new_folder_gets_a_new_replica_id_and_private_modes(tmp_path):
    first = journal.open_journal(tmp_path / "a", "v").identity.replica_id
    second = journal.open_journal(tmp_path / "b", "v").identity.replica_id
    assert first != second
    assert (
        journal.open_journal(tmp_path / "a", "v").identity.replica_id == first
    )
    write_sample_log(tmp_path / "a")
    assert (tmp_path / "a").stat().st_mode & 0o777 == 0o700
    for path in (tmp_path / "a").iterdir():
        assert path.stat().st_mode & 0o777 == 0o600


def test_a_failed_sync_raises_os_error(tmp_path, monkeypatch):
    storage, _ = open_and_recover(tmp_path)

    def raise_disk_full(_):
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(os, "fdatasync", raise_disk_full)
    with pytest.raises(OSError, match="no space"):
        storage.append(quorumlog.HardState(1, "v"), entries(1, 1))
