"""The time line of events over all processes, in causal order."""

import heapq
from collections.abc import Iterable
from collections.abc import Iterator

from pollenseam import events


class Event:
    """One event line.

    Attributes:
        logical: Lamport time.
        ts: Wall-clock time that the process wrote, in seconds.
        vm: Name of the VM.
        fields: All pairs of the line.
        line: The line itself.
    """

    __slots__ = ("logical_time", "ts", "vm", "fields", "line")

    def __init__(self, fields: dict[str, str], line: str) -> None:
        self.logical_time = int(fields.get("lt", "0"))
        self.ts = float(fields.get("ts", "0"))
        self.vm = fields.get("vm", "")
        self.fields = fields
        self.line = line

    def sort_key(self) -> tuple[int, float, str]:
        """Returns the place in the time line."""
        return (self.logical_time, self.ts, self.vm)


class SkippedLines:
    """Counts lines that are no events.

    Attributes:
        count: How many there were.
    """

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


def read(
    lines: Iterable[str], skipped: SkippedLines | None = None
) -> Iterator[Event]:
    """Yields the events among lines, without what a collector put before.

    Args:
        lines: Lines of a log.
        unread: Counts the lines that are no events.
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
    led to another one always has the smaller logical time, whatever the
    processes' clocks say.
    """
    ordered = [
        sorted(read(one, skipped), key=Event.sort_key) for one in sources
    ]
    return heapq.merge(*ordered, key=Event.sort_key)


def matches(event: Event, filters: dict[str, str]) -> bool:
    """Tells whether an event has all given values.

    A filter `any` matches a value in any field.
    """
    for name, value in filters.items():
        if name == "any":
            if not any(value in field for field in event.fields.values()):
                return False
        elif event.fields.get(name) != value:
            return False
    return True
