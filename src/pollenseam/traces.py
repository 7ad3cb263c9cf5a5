"""Recorded traces: what was decided, when, and what it was decided from."""

import pathlib
from collections.abc import Iterator
from typing import IO

import msgspec

from pollenseam import errors

FLUSH_RECORDS = 200
MAX_LINE_BYTES = 64 * 1024


class Record(msgspec.Struct, tag=True, forbid_unknown_fields=True):
    """Base of every record.

    Attributes:
        at: VM's time in seconds (CLOCK_BOOTTIME).
    """

    at: float


class Started(Record, tag="started"):
    """The VM began to record."""

    vm: str
    region: str


class Limits(Record, tag="limits"):
    """What a resource may use over the whole fleet from now on."""

    resource: str
    rate: float
    burst: float


class Applied(Record, tag="applied"):
    """Settings of an index came into force."""

    index: int


class Renewed(Record, tag="renewed"):
    """A share was taken in."""

    resource: str
    rate: float
    burst: float
    tokens: float
    deadline: float


class Taken(Record, tag="taken"):
    """A token was taken, so a request was let in or moved."""

    resource: str


class Keyed(Record, tag="keyed"):
    """A keyed request was let in.

    Attributes:
        age_ms: Age of the settings that the key was checked against.
        bound_ms: Age from which it must be refused.
    """

    key: str
    workspace: str
    age_ms: int
    bound_ms: int


class Withdrawn(Record, tag="withdrawn"):
    """A key is no longer in the settings in force."""

    key: str


class Sent(Record, tag="sent"):
    """A request is about to be sent to an upstream.

    Attributes:
        state: State of the upstream as this VM knows it.
        left_ms: What is left of its record's time to live.
        running: Requests of this VM on it, this one included.
        claim: Digest of workspace and idempotency key, or "".
        attempt: The attempt that holds the claim, or "".
    """

    upstream: str
    state: str
    left_ms: int
    running: int
    slots: int
    claim: str = ""
    attempt: str = ""


class Unsent(Record, tag="unsent"):
    """The last send of a claim certainly did not run."""

    claim: str
    attempt: str


AnyRecord = (
    Started
    | Limits
    | Applied
    | Renewed
    | Taken
    | Keyed
    | Withdrawn
    | Sent
    | Unsent
)

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(AnyRecord).decode


class Recorder:
    """Appends records to a file, a JSON object a line.

    Attributes:
        is_on: Whether anything is recorded; check it before building one.
    """

    __slots__ = ("is_on", "_file", "_buffer")

    def __init__(self, file: IO[bytes] | None) -> None:
        self.is_on = file is not None
        self._file = file
        self._buffer: list[bytes] = []

    def add(self, record: Record) -> None:
        """Records one decision."""
        self._buffer.append(_encode(record))
        if len(self._buffer) >= FLUSH_RECORDS:
            self.flush()

    def flush(self) -> None:
        """Hands what waits to the file."""
        if self._file is None or not self._buffer:
            return
        self._file.write(b"\n".join(self._buffer) + b"\n")
        self._file.flush()
        self._buffer.clear()


def read(path: pathlib.Path) -> Iterator[AnyRecord]:
    """Yields the records of a trace.

    Raises:
        DamagedError: A line is no record; it is named.
    """
    with path.open("rb") as file:
        number = 0
        while line := file.readline(MAX_LINE_BYTES):
            number += 1
            try:
                yield _decode(line)
            except msgspec.DecodeError as error:
                raise errors.DamagedError(
                    f"{path}:{number}: {error}"
                ) from error


def open_recorder(path: str | None) -> Recorder:
    """Returns a recorder to a file, or one that is off."""
    return Recorder(open(path, "ab") if path else None)
