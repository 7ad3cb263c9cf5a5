"""The data folder: torn tails, bit rot, crashes between writes."""

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
    book = journal.open_journal(folder, "v")
    return book, book.recover()


def write_sample_log(folder):
    book, _ = open_and_recover(folder)
    book.append(quorumlog.HardState(1, "v"), entries(1, 3))
    book.append(None, entries(4, 6))
    book.append(quorumlog.HardState(2, ""), entries(7, 9, 2))
    book.close()
    return sorted(folder.glob("*.log"))[-1]


def test_what_was_appended_is_recovered(tmp_path):
    write_sample_log(tmp_path)
    _, found = open_and_recover(tmp_path)
    assert (found.hard_state.term, found.hard_state.vote) == (2, "")
    assert [e.index for e in found.log.entries] == list(range(1, 10))


def test_a_later_append_cuts_what_it_overwrites(tmp_path):
    write_sample_log(tmp_path)
    book, _ = open_and_recover(tmp_path)
    book.append(None, entries(5, 5, 3))
    book.close()
    _, found = open_and_recover(tmp_path)
    assert [e.term for e in found.log.entries] == [1, 1, 1, 1, 3]


def test_every_torn_tail_is_cut_off_to_whole_records(tmp_path):
    segment = write_sample_log(tmp_path)
    whole = segment.read_bytes()
    sizes = set()
    for size in range(len(whole)):
        segment.write_bytes(whole[:size])
        book, found = open_and_recover(tmp_path)
        book.close()
        sizes.add(len(found.log.entries))
    assert sizes == {0, 3, 6}


def test_damage_in_the_middle_is_refused_with_a_way_out(tmp_path):
    segment = write_sample_log(tmp_path)
    whole = bytearray(segment.read_bytes())
    for place in range(0, len(whole) // 2, 7):
        rotten = bytearray(whole)
        rotten[place] ^= 0x10
        segment.write_bytes(rotten)
        with pytest.raises(errors.DamagedError, match="new replica"):
            open_and_recover(tmp_path)


def test_a_crash_between_snapshot_and_truncation_changes_nothing(tmp_path):
    segment = write_sample_log(tmp_path)
    before = segment.read_bytes()
    book, _ = open_and_recover(tmp_path)
    members = messages.Members({"v": "at-v"})
    head = journal.SnapshotHeader(6, 1, members)
    book.save_snapshot(head, b"state", entries(7, 9, 2))
    book.close()
    _, clean = open_and_recover(tmp_path)
    # As if the old segment had not been removed yet.
    segment.write_bytes(before)
    _, crashed = open_and_recover(tmp_path)
    for found in (clean, crashed):
        assert found.snapshot_data == b"state"
        assert found.log.base_index == 6
        assert [e.index for e in found.log.entries] == [7, 8, 9]
        assert found.hard_state.term == 2


def test_a_crash_while_a_snapshot_is_written_keeps_the_old_one(tmp_path):
    write_sample_log(tmp_path)
    (tmp_path / "snapshot.new").write_bytes(b"half")
    _, found = open_and_recover(tmp_path)
    assert found.snapshot_header is None
    assert len(found.log.entries) == 9


def test_a_damaged_snapshot_is_refused(tmp_path):
    write_sample_log(tmp_path)
    book, _ = open_and_recover(tmp_path)
    head = journal.SnapshotHeader(6, 1, messages.Members({"v": "at-v"}))
    book.save_snapshot(head, b"state" * 100, [])
    book.close()
    path = tmp_path / "snapshot"
    data = bytearray(path.read_bytes())
    data[-3] ^= 1
    path.write_bytes(data)
    with pytest.raises(errors.DamagedError):
        open_and_recover(tmp_path)


def test_a_log_without_its_identity_is_refused(tmp_path):
    write_sample_log(tmp_path)
    (tmp_path / "identity").unlink()
    with pytest.raises(errors.DamagedError):
        open_and_recover(tmp_path)


def test_a_new_folder_gets_a_new_replica_id_and_strict_modes(tmp_path):
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


def test_a_failed_sync_is_not_swallowed(tmp_path, monkeypatch):
    book, _ = open_and_recover(tmp_path)

    def full(_):
        raise OSError(errno.ENOSPC, "no space")

    monkeypatch.setattr(os, "fdatasync", full)
    with pytest.raises(OSError, match="no space"):
        book.append(quorumlog.HardState(1, "v"), entries(1, 1))
