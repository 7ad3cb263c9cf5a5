"""The data folder of a replica: identity, log segments and snapshots.

Every record is framed by its length and CRC-32. An incomplete record at the
end of the log is cut off. Damage before the end is an error, because synced
records may be lost.
"""

import pathlib
import re
import secrets
import zlib

import msgspec

from pollenseam import errors
from pollenseam import files
from pollenseam import messages
from pollenseam import quorumlog

FRAME_BYTES = 8
MAX_RECORD_BYTES = 64 * 1024 * 1024
SEGMENT_BYTES = 16 * 1024 * 1024
IDENTITY_FILE = "identity"
SNAPSHOT_FILE = "snapshot"
SEGMENT_SUFFIX = ".log"
# Random bytes at the end of a replica id, written in hexadecimal digits.
REPLICA_SUFFIX_BYTES = 4

_REPLICA_ID = re.compile(rf".+\.[0-9a-f]{{{2 * REPLICA_SUFFIX_BYTES}}}")


class Identity(msgspec.Struct, array_like=True):
    """The replica that a data folder belongs to.

    Attributes:
        replica_id: The VM's name and a random part, chosen when the identity
            file is created.
        members: Initial configuration of the quorum; None until the replica
            has received or created it.
    """

    replica_id: str
    members: messages.Members | None = None


class LogRecord(msgspec.Struct, array_like=True):
    """One record of a log segment.

    Attributes:
        term: Current term when the record was written.
        vote: Vote in that term, or "".
        entries: Entries appended with the record, perhaps none.
    """

    term: int
    vote: str
    entries: list[messages.Entry]


class SnapshotHeader(msgspec.Struct, array_like=True):
    """Header of a snapshot file, written before the data.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        term: Term of that entry.
        members: Configuration in force at that index.
    """

    index: int
    term: int
    members: messages.Members


class Recovered:
    """Contents of a data folder.

    Attributes:
        hard_state: Term and vote.
        log: Entries after the snapshot.
        snapshot_header: Header of the snapshot, or None without one.
        snapshot_data: The state machine's snapshot, or b"" without one.
    """

    __slots__ = ("hard_state", "log", "snapshot_header", "snapshot_data")

    def __init__(
        self,
        hard_state: quorumlog.HardState,
        log: quorumlog.Log,
        snapshot_header: SnapshotHeader | None,
        snapshot_data: bytes,
    ) -> None:
        self.hard_state = hard_state
        self.log = log
        self.snapshot_header = snapshot_header
        self.snapshot_data = snapshot_data


_encode = msgspec.msgpack.Encoder().encode
_decode_identity = msgspec.msgpack.Decoder(Identity).decode
_decode_log_record = msgspec.msgpack.Decoder(LogRecord).decode
_decode_header = msgspec.msgpack.Decoder(SnapshotHeader).decode


class Journal:
    """Reads, appends to and compacts the log in one data folder.

    All methods block, and raise OSError when the disk fails. After such an
    error the journal must not be used again: it is unknown which part of the
    failed write the kernel keeps.

    Attributes:
        folder: The data folder.
        identity: The replica that the folder belongs to.
    """

    __slots__ = (
        "folder",
        "identity",
        "_segment_file",
        "_segment_size",
        "_segment_number",
        "_hard_state",
    )

    def __init__(self, folder: pathlib.Path, identity: Identity) -> None:
        self.folder = folder
        self.identity = identity
        self._segment_file: int | None = None
        self._segment_size = 0
        self._segment_number = 0
        self._hard_state = quorumlog.HardState()

    def recover(self) -> Recovered:
        """Reads the snapshot and the log, and opens the last segment.

        An incomplete record at the end of the last segment is cut off.

        Raises:
            DamagedError: The snapshot or a record before the end of the log
                is damaged, or an entry is missing.
        """
        header, data = self.read_snapshot()
        log = (
            quorumlog.Log(header.index, header.term)
            if header
            else quorumlog.Log()
        )
        numbers = self._segment_numbers()
        for number in numbers:
            is_last = number == numbers[-1]
            for record in self._read_segment(number, is_last):
                self._hard_state = quorumlog.HardState(record.term, record.vote)
                _replay(log, record.entries)
        self._segment_number = numbers[-1] if numbers else 0
        if numbers:
            self._open_segment()
        hard_state = quorumlog.HardState(
            self._hard_state.term, self._hard_state.vote
        )
        return Recovered(hard_state, log, header, data)

    def save_identity(self, identity: Identity) -> None:
        """Writes and syncs the identity file."""
        self.identity = identity
        files.replace(self.folder / IDENTITY_FILE, _frame(_encode(identity)))

    def append(
        self,
        hard_state: quorumlog.HardState | None,
        entries: list[messages.Entry],
    ) -> None:
        """Appends and syncs one record.

        Args:
            hard_state: Term and vote; None when unchanged.
            entries: Entries of the record. The first one may have the index
                of an earlier entry, which it replaces with all that follow.
        """
        if hard_state is not None:
            self._hard_state = hard_state
        if self._segment_file is None or self._segment_size > SEGMENT_BYTES:
            self._start_segment()
        assert self._segment_file is not None
        record = LogRecord(
            self._hard_state.term, self._hard_state.vote, entries
        )
        data = _frame(_encode(record))
        files.write(self._segment_file, data)
        files.sync_data(self._segment_file)
        self._segment_size += len(data)

    def save_snapshot(
        self, header: SnapshotHeader, data: bytes, entries: list[messages.Entry]
    ) -> None:
        """Syncs a snapshot, then starts a segment with the entries after it.

        The old segments are removed last: a crash at any point leaves the old
        segments, the new one, or both, and each leads to the same state.

        Args:
            header: Position and configuration of the snapshot.
            data: The state machine's snapshot.
            entries: Synced entries after the snapshot.
        """
        path = self.folder / SNAPSHOT_FILE
        files.replace(path, _frame(_encode(header)) + _frame(data))
        old_numbers = self._segment_numbers()
        self._start_segment()
        self.append(None, entries)
        for number in old_numbers:
            files.remove(self._segment_path(number))
        files.sync(self.folder)

    def make_durable(self) -> None:
        """Writes all segments again and syncs them; removes leftovers.

        To be called before what `recover` returned is used: data that was
        read may be only in the kernel's page cache and not on the disk.
        Leftovers are files that were not written in full; they take room that
        the log needs.
        """
        for path in self.folder.glob(f"*{files.NEW_SUFFIX}"):
            files.remove(path)
        for number in self._segment_numbers():
            files.rewrite(self._segment_path(number))
        files.sync(self.folder)

    def close(self) -> None:
        """Closes the open segment."""
        if self._segment_file is not None:
            files.close(self._segment_file)
            self._segment_file = None

    def _segment_path(self, number: int) -> pathlib.Path:
        return self.folder / f"{number:012d}{SEGMENT_SUFFIX}"

    def _segment_numbers(self) -> list[int]:
        names = self.folder.glob(f"*{SEGMENT_SUFFIX}")
        return sorted(int(path.stem) for path in names)

    def _start_segment(self) -> None:
        self.close()
        self._segment_number += 1
        self._open_segment()
        files.sync(self.folder)

    def _open_segment(self) -> None:
        path = self._segment_path(self._segment_number)
        self._segment_file = files.open_to_append(path)
        self._segment_size = files.size(self._segment_file)

    def _read_segment(self, number: int, is_last: bool) -> list[LogRecord]:
        path = self._segment_path(number)
        data = files.read(path)
        records: list[LogRecord] = []
        offset = 0
        while offset < len(data):
            record = _unframe(data, offset)
            if record is None:
                if not is_last or not _is_torn_tail(data, offset):
                    raise errors.DamagedError(_describe_damage(path, offset))
                files.truncate(path, offset)
                break
            records.append(_decode_record(path, offset, record))
            offset += FRAME_BYTES + len(record)
        return records

    def read_snapshot(self) -> tuple[SnapshotHeader | None, bytes]:
        """Returns the snapshot's header and data; (None, b"") if none.

        Raises:
            DamagedError: The snapshot file is damaged.
        """
        path = self.folder / SNAPSHOT_FILE
        if not path.exists():
            return None, b""
        data = files.read(path)
        first = _unframe(data, 0)
        if first is None:
            raise errors.DamagedError(_describe_damage(path, 0))
        second = _unframe(data, FRAME_BYTES + len(first))
        if second is None:
            raise errors.DamagedError(
                _describe_damage(path, FRAME_BYTES + len(first))
            )
        try:
            return _decode_header(first), second
        except msgspec.ValidationError as error:
            raise errors.DamagedError(f"{path}: {error}") from error


def _describe_damage(path: pathlib.Path, offset: int) -> str:
    return (
        f"{path}: record at byte {offset} is damaged; move the data folder "
        "away and add this VM as a new replica"
    )


def _decode_record(path: pathlib.Path, offset: int, record: bytes) -> LogRecord:
    try:
        return _decode_log_record(record)
    except msgspec.DecodeError as error:
        raise errors.DamagedError(_describe_damage(path, offset)) from error


def _replay(log: quorumlog.Log, entries: list[messages.Entry]) -> None:
    for entry in entries:
        if entry.index <= log.base_index:
            continue
        if entry.index <= log.last_index:
            log.truncate(entry.index)
        if entry.index != log.last_index + 1:
            raise errors.DamagedError(
                f"log entry {log.last_index + 1} is missing from the segments"
            )
        log.entries.append(entry)


def _frame(record: bytes) -> bytes:
    size = len(record).to_bytes(4, "big")
    checksum = zlib.crc32(record, zlib.crc32(size)).to_bytes(4, "big")
    return size + checksum + record


def _unframe(data: bytes, offset: int) -> bytes | None:
    header = data[offset : offset + FRAME_BYTES]
    if len(header) < FRAME_BYTES:
        return None
    size = int.from_bytes(header[:4], "big")
    start = offset + FRAME_BYTES
    if size > MAX_RECORD_BYTES or start + size > len(data):
        return None
    record = data[start : start + size]
    checksum = zlib.crc32(record, zlib.crc32(header[:4]))
    if checksum != int.from_bytes(header[4:], "big"):
        return None
    return record


def _is_torn_tail(data: bytes, offset: int) -> bool:
    """Returns whether no intact record follows the bad one at `offset`.

    The bad record is then the last one, as after a crash during its write.
    Otherwise a record was damaged after it had been synced.
    """
    for position in range(offset + 1, len(data) - FRAME_BYTES):
        record = _unframe(data, position)
        if record is not None and _is_record(record):
            return False
    return True


def _is_record(record: bytes) -> bool:
    try:
        _decode_log_record(record)
    except msgspec.DecodeError:
        return False
    return True


def read_identity(folder: pathlib.Path) -> Identity | None:
    """Returns the identity in a data folder, or None when the folder is new.

    Raises:
        DamagedError: The identity file is damaged, or it is missing although
            there is a log.
    """
    path = folder / IDENTITY_FILE
    if not path.exists():
        if any(folder.glob(f"*{SEGMENT_SUFFIX}")):
            raise errors.DamagedError(
                f"identity file {path} is missing, but the folder has a log"
            )
        return None
    record = _unframe(files.read(path), 0)
    if record is None:
        raise errors.DamagedError(_describe_damage(path, 0))
    return _decode_identity(record)


def is_replica_id(text: str) -> bool:
    """Returns whether a text is a replica id, not the name of a VM.

    Each data folder gets its own; an id is not used again.
    """
    return _REPLICA_ID.fullmatch(text) is not None


def open_journal(folder: pathlib.Path, vm: str) -> Journal:
    """Opens a data folder; creates the folder and an identity if needed.

    Args:
        folder: The data folder.
        vm: Name of the VM, which begins a new replica id.

    Raises:
        DamagedError: The identity is damaged, or missing beside a log.
        OSError: The folder cannot be created or written.
    """
    files.create_folder(folder)
    identity = read_identity(folder)
    if identity is None:
        identity = Identity(f"{vm}.{secrets.token_hex(REPLICA_SUFFIX_BYTES)}")
        journal = Journal(folder, identity)
        journal.save_identity(identity)
        return journal
    return Journal(folder, identity)
