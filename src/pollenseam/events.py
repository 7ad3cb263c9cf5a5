"""Structured events: one key=value line each, ordered by a logical time."""

import collections
import json
import sys
import time
from typing import Any

import loguru

MAX_VALUE_CHARACTERS = 1000
# Lines of one event; more of them say how many were left out.
MAX_LINES_PER_SECOND = 50


class LogicalClock:
    """A Lamport clock (Lamport, 1978): orders events over all processes.

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
        """Moves on past the time that came with a message."""
        self.time = max(self.time, other)


class EventLog:
    """Writes events of one process.

    Attributes:
        vm: Name of the VM.
        clock: The process's logical clock.
    """

    __slots__ = ("vm", "clock", "_logger", "_second", "_counts")

    def __init__(self, vm: str, clock: LogicalClock, logger: Any) -> None:
        self.vm = vm
        self.clock = clock
        self._logger = logger
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()

    def emit(self, event: str, **fields: object) -> None:
        """Writes one event; fields whose value is None are left out."""
        line = format_line(self.vm, self.clock.tick(), event, fields)
        self._logger.info(line)

    def emit_often(self, event: str, **fields: object) -> None:
        """Writes an event that load may repeat, up to a bound a second."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._report_dropped_lines()
        self._counts[event] += 1
        if self._counts[event] <= MAX_LINES_PER_SECOND:
            self.emit(event, **fields)

    def _report_dropped_lines(self) -> None:
        for event, count in self._counts.items():
            if count > MAX_LINES_PER_SECOND:
                dropped = count - MAX_LINES_PER_SECOND
                self.emit("lines-dropped", of=event, count=dropped)
        self._counts.clear()


def format_line(
    vm: str, logical_time: int, event: str, fields: dict[str, object]
) -> str:
    """Returns an event as key=value pairs, quoted where needed."""
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
    """Returns the pairs of an event line; {} when it is none."""
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
    """Returns the log of this process, on a stream or appended to a file.

    Args:
        vm: Name of the VM.
        path: File to append to, if any.
        stream: Stream to write to otherwise; stderr by default.
    """
    logger = loguru.logger
    logger.remove()
    sink: Any = path or stream or sys.stderr
    logger.add(sink, format="{message}", level="INFO", catch=True)
    return EventLog(vm, LogicalClock(), logger)
