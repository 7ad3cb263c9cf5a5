"""Structured event log: one line of key=value pairs per event.

Each event has a logical time, which orders the events of all processes.
"""

import collections
import json
import sys
import time
from typing import Any

import loguru

from pollenseam import logwriter

MAX_VALUE_CHARACTERS = 1000
# Lines per event name written by `emit_often`. Further lines are dropped and
# their number is logged.
MAX_LINES_PER_SECOND = 50
MAX_LOGICAL_TIME = 2**62


class LogicalClock:
    """A Lamport clock (Lamport, 1978), which orders events of all processes.

    Attributes:
        time: Logical time of the last event.
    """

    __slots__ = ("time",)

    def __init__(self) -> None:
        self.time = 0

    def tick(self) -> int:
        """Returns the logical time of a new local event."""
        self.time += 1
        return self.time

    def observe(self, other: int) -> None:
        """Advances the clock to the logical time of a received message.

        A time that no clock can have reached by counting is ignored: the ones
        after it could not be encoded, and this VM would be silent.
        """
        if other <= MAX_LOGICAL_TIME:
            self.time = max(self.time, other)


class EventLog:
    """The event log of one process.

    Attributes:
        vm: Name of the VM.
        clock: Logical clock of the process.
        writer: Thread that writes the lines, or None if none is needed.
    """

    __slots__ = ("vm", "clock", "writer", "_logger", "_second", "_counts")

    def __init__(
        self,
        vm: str,
        clock: LogicalClock,
        logger: Any,
        writer: logwriter.Writer | None = None,
    ) -> None:
        self.vm = vm
        self.clock = clock
        self.writer = writer
        self._logger = logger
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def emit(self, event: str, **fields: object) -> None:
        """Writes one event.

        Args:
            event: Name of the event.
            **fields: Key=value pairs; those with value None are left out.
        """
        line = format_line(self.vm, self.clock.tick(), event, fields)
        self._logger.info(line)

    def emit_often(self, event: str, **fields: object) -> None:
        """Writes an event that may occur very often under load.

        At most MAX_LINES_PER_SECOND lines of the event are written in a
        second.

        Args:
            event: Name of the event.
            **fields: Key=value pairs; those with value None are left out.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._report_dropped_lines()
        self._counts[event] += 1
        if self._counts[event] <= MAX_LINES_PER_SECOND:
            self.emit(event, **fields)

    @property
    def dropped(self) -> int:
        """Number of lines that were not written, as nobody read the log."""
        return self.writer.dropped if self.writer is not None else 0

    def close(self) -> None:
        """Writes the lines that wait, for a bounded time, before an exit."""
        if self.writer is not None:
            self.writer.close()

    def _report_dropped_lines(self) -> None:
        for event, count in self._counts.items():
            if count > MAX_LINES_PER_SECOND:
                dropped = count - MAX_LINES_PER_SECOND
                self.emit("lines-dropped", of=event, count=dropped)
        self._counts.clear()


def format_line(
    vm: str, logical_time: int, event: str, fields: dict[str, object]
) -> str:
    """Returns the line of an event: key=value pairs, quoted where needed.

    Args:
        vm: Name of the VM.
        logical_time: Logical time of the event.
        event: Name of the event.
        fields: Further pairs; those with value None are left out, and
            underscores at the end of a key are removed.
    """
    head = {
        "ts": f"{time.time():.6f}",
        "lt": logical_time,
        "vm": vm,
        "event": event,
    }
    pairs = [
        f"{key.rstrip('_')}={_format_value(value)}"
        for key, value in {**head, **fields}.items()
        if value is not None
    ]
    return " ".join(pairs)


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)[:MAX_VALUE_CHARACTERS]
    plain = text and text.isprintable() and not set(' "=\\') & set(text)
    return text if plain else json.dumps(text)


def parse_line(line: str) -> dict[str, str]:
    """Returns the pairs of a line of the event log.

    Returns:
        Values by key; empty if `line` is not an event.
    """
    pairs: dict[str, str] = {}
    rest = line.strip()
    while rest:
        key, equals, rest = rest.partition("=")
        if not equals:
            return {}
        if rest.startswith('"'):
            try:
                value, end = json.JSONDecoder().raw_decode(rest)
            except ValueError:
                return {}
            rest = rest[end:]
        else:
            value, _, rest = rest.partition(" ")
        pairs[key.strip()] = str(value)
        rest = rest.lstrip()
    return pairs if "event" in pairs else {}


def open_log(vm: str, path: str | None = None, stream: Any = None) -> EventLog:
    """Opens the event log of this process.

    A thread writes to files and to streams that have a file descriptor.

    Args:
        vm: Name of the VM.
        path: File to append to, or None to write to `stream`.
        stream: Stream to write to if there is no path; stderr by default.

    Raises:
        OSError: The file cannot be opened.
    """
    clock = LogicalClock()
    logger = loguru.logger
    logger.remove()
    descriptor = _descriptor(path, stream or sys.stderr)
    if descriptor is None:
        logger.add(stream, format="{message}", level="INFO", catch=True)
        return EventLog(vm, clock, logger)

    def describe_dropped(count: int) -> str:
        fields = {"of": "log", "count": count}
        return format_line(vm, clock.time, "lines-dropped", fields)

    writer = logwriter.Writer(descriptor, describe_dropped)

    def write(message: object) -> None:
        # The message of the library also holds the record that it was made of.
        writer.add(str(message))

    logger.add(write, format="{message}", level="INFO", catch=True)
    return EventLog(vm, clock, logger, writer)


def _descriptor(path: str | None, stream: Any) -> int | None:
    """Returns where to write; None for a stream in memory."""
    if path:
        return logwriter.open_file(path)
    try:
        return int(stream.fileno())
    except (AttributeError, OSError, ValueError):
        return None
