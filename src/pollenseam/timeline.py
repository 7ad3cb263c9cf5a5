"""Merges the event logs of several processes into one causal order."""

import heapq
from collections.abc import Iterable
from collections.abc import Iterator

from pollenseam import events


class Event:
    """One event of a log.

    Attributes:
        logical_time: Lamport time of the event.
        ts: Wall-clock time of the process, in seconds.
        vm: Name of the VM.
        fields: All key=value pairs of the line.
        line: Text of the line.
    """

    __slots__ = ("logical_time", "ts", "vm", "fields", "line")

    def __init__(self, fields: dict[str, str], line: str) -> None:
        self.logical_time = int(fields.get("lt", "0"))
        self.ts = float(fields.get("ts", "0"))
        self.vm = fields.get("vm", "")
        self.fields = fields
        self.line = line

    def sort_key(self) -> tuple[int, float, str]:
        """Returns the key that sorts events, the logical time first."""
        return (self.logical_time, self.ts, self.vm)


class SkippedLines:
    """Counts log lines that are not events.

    Attributes:
        count: Number of lines.
    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


def read(
    lines: Iterable[str], skipped: SkippedLines | None = None
) -> Iterator[Event]:
    """Yields the events of a log.

    Text before "ts=", which a log collector may have added, is ignored.

    Args:
        lines: Lines of the log.
        skipped: Counts the lines that are not events; blank lines are not
            counted.
    """
    for line in lines:
        text = line[max(0, line.find("ts=")) :].strip()
        fields = events.parse_line(text)
        try:
            if fields:
                yield Event(fields, text)
                continue
        except ValueError:
            pass
        if skipped is not None and text:
            skipped.count += 1


def merge(
    sources: Iterable[Iterable[str]], skipped: SkippedLines | None = None
) -> Iterator[Event]:
    """Yields the events of several processes, causes before effects.

    Every message between processes carries a logical time, so an event that
    caused another one has the smaller logical time, even if the wall clocks of
    the processes differ.

    Args:
        sources: Lines of the log of each process.
        skipped: Counts the lines that are not events.
    """
    ordered = [
        sorted(read(lines, skipped), key=Event.sort_key) for lines in sources
    ]
    return heapq.merge(*ordered, key=Event.sort_key)


def matches(event: Event, filters: dict[str, str]) -> bool:
    """Returns whether an event matches all filters.

    Args:
        event: The event.
        filters: Required value by field name. The value of the filter "any"
            may be a part of the value of any field.
    """
    for name, value in filters.items():
        if name == "any":
            if not any(value in field for field in event.fields.values()):
                return False
        elif event.fields.get(name) != value:
            return False
    return True
