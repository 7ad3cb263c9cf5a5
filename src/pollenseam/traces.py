"""Traces: records of a VM's decisions, with the values they are based on.

A trace file has one JSON object per line. `pollenseam replay` checks traces
for violated invariants.
"""

import pathlib
from collections.abc import Iterator
from typing import IO

import msgspec

from pollenseam import errors

FLUSH_RECORDS = 200
MAX_LINE_BYTES = 64 * 1024


class Record(msgspec.Struct, tag=True, forbid_unknown_fields=True):
    """Base class of all records.

    Attributes:
        at: Time at which the VM made the record, in seconds of CLOCK_BOOTTIME.
    """

    at: float


class Started(Record, tag="started"):
    """The VM started to record."""

    vm: str
    region: str


class Limits(Record, tag="limits"):
    """A new limit of a resource, over all VMs.

    Attributes:
        resource: Path of a workspace or a shift.
        rate: Requests per second.
        burst: Requests above the rate.
    """

    resource: str
    rate: float
    burst: float


class Applied(Record, tag="applied"):
    """The VM applied the settings of an index."""

    index: int


class Renewed(Record, tag="renewed"):
    """The VM applied a leased share of a resource.

    Attributes:
        resource: Path of a workspace or a shift.
        rate: Tokens per second.
        burst: Tokens that may be used at once, above the rate.
        tokens: Tokens that came with the share.
        deadline: VM's time in seconds after which the share is void.
    """

    resource: str
    rate: float
    burst: float
    tokens: float
    deadline: float


class Taken(Record, tag="taken"):
    """The VM took a token to admit a request, or to move it by a shift.

    Attributes:
        resource: Resource that the token belongs to.
    """

    resource: str


class Keyed(Record, tag="keyed"):
    """The VM admitted a request with a key.

    Attributes:
        key: Id of the key.
        workspace: Path of the workspace.
        age_ms: Age in ms of the settings that the key was checked against.
        bound_ms: The largest age in ms at which a key may be accepted.
    """

    key: str
    workspace: str
    age_ms: int
    bound_ms: int


class Withdrawn(Record, tag="withdrawn"):
    """The VM applied settings without a key that it had before.

    Attributes:
        key: Id of the key.
    """

    key: str


class Sent(Record, tag="sent"):
    """The VM is about to send a request to an upstream.

    Attributes:
        upstream: Name of the upstream.
        state: State of the upstream in this VM's directory.
        left_ms: Time in ms until the upstream's record expires.
        running: Requests of this VM on the upstream, including this one.
        slots: Requests that the upstream runs at the same time.
        claim: Digest of workspace and idempotency key, or "".
        attempt: Id of the attempt that has the claim, or "".
    """

    upstream: str
    state: str
    left_ms: int
    running: int
    slots: int
    claim: str = ""
    attempt: str = ""


class Unsent(Record, tag="unsent"):
    """The request last sent for a claim has certainly not run.

    Attributes:
        claim: Digest of workspace and idempotency key.
        attempt: Id of the attempt that had the claim.
    """

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
    """Appends records to a file, one JSON object per line.

    Records are buffered, and written FLUSH_RECORDS at a time.

    Attributes:
        is_on: Whether records are written. Callers check it before they build
            a record.
    """

    __slots__ = ("is_on", "_file", "_buffer")

    def __init__(self, file: IO[bytes] | None) -> None:
        self.is_on = file is not None
        self._file = file
        self._buffer: list[bytes] = []

    def add(self, record: Record) -> None:
        """Adds a record to the buffer and flushes a full buffer."""
        self._buffer.append(_encode(record))
        if len(self._buffer) >= FLUSH_RECORDS:
            self.flush()

    def flush(self) -> None:
        """Writes the buffered records to the file."""
        if self._file is None or not self._buffer:
            return
        self._file.write(b"\n".join(self._buffer) + b"\n")
        self._file.flush()
        self._buffer.clear()


def read(path: pathlib.Path) -> Iterator[AnyRecord]:
    """Yields the records of a trace.

    Raises:
        DamagedError: A line is not a valid record; the message has its number.
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
    """Returns a recorder.

    Args:
        path: File to append to; None for a recorder that is off.

    Raises:
        OSError: The file cannot be opened.
    """
    return Recorder(open(path, "ab") if path else None)
