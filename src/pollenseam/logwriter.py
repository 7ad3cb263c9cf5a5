"""Writes the lines of a log from a thread of its own.

A write waits while nobody reads the log, so no other thread takes part in one.
"""

import contextlib
import os
import stat
import threading
import time
from collections.abc import Callable

# What may wait to be written, including what is being written. Further lines
# are dropped.
MAX_LINES = 4096
MAX_CHARACTERS = 512 * 1024
# Time between two writes. Lines of this time share one wake-up and one write.
INTERVAL_SECONDS = 0.1
# Time that a stop gives to the lines that are not written yet.
CLOSE_SECONDS = 0.5


class Writer:
    """A bounded queue of lines, and the thread that writes them.

    Attributes:
        descriptor: File descriptor that the lines are written to.
        describe_dropped: Returns the line that reports a number of dropped
            lines; called from the thread.
        dropped: Lines that were not written, because the queue was full or a
            write failed.
    """

    __slots__ = (
        "descriptor",
        "describe_dropped",
        "dropped",
        "_lines",
        "_line_count",
        "_character_count",
        "_reported",
        "_reporting",
        "_is_writable",
        "_lock",
        "_wake",
        "_is_idle",
        "_closing",
        "_thread",
    )

    def __init__(
        self, descriptor: int, describe_dropped: Callable[[int], str]
    ) -> None:
        self.descriptor = descriptor
        self.describe_dropped = describe_dropped
        self.dropped = 0
        self._lines: list[str] = []
        # Lines and characters in the queue and in the write in progress.
        self._line_count = 0
        self._character_count = 0
        # Dropped lines that were reported by a line of the log, and those that
        # the write in progress reports.
        self._reported = 0
        self._reporting = 0
        self._is_writable = True
        # The garbage collector may log from within any allocation, so the lock
        # is reentrant, and the thread allocates no containers while it has it.
        self._lock = threading.RLock()
        # Held by the thread while it is idle; the next line releases it.
        self._wake = threading.Lock()
        self._wake.acquire()
        self._is_idle = False
        self._closing = threading.Event()
        # The process may end while the thread waits for a reader.
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def add(self, line: str) -> None:
        """Queues a line, which ends in a newline, or drops it; never waits."""
        with self._lock:
            if (
                self._line_count >= MAX_LINES
                or self._character_count + len(line) > MAX_CHARACTERS
            ):
                self.dropped += 1
                return
            self._lines.append(line)
            self._line_count += 1
            self._character_count += len(line)
            self._rouse()

    def close(self) -> None:
        """Writes the queue; waits for at most CLOSE_SECONDS."""
        self._closing.set()
        with self._lock:
            self._rouse()
        self._thread.join(CLOSE_SECONDS)

    def _rouse(self) -> None:
        """Wakes the thread if it is idle."""
        if self._is_idle:
            self._is_idle = False
            self._wake.release()

    def _run(self) -> None:
        while True:
            # Read first: lines that come before a close are still written.
            is_closing = self._closing.is_set()
            lines = self._take()
            if lines:
                self._write(lines)
                self._closing.wait(INTERVAL_SECONDS)
            elif is_closing:
                return
            elif self._is_idle:
                self._wake.acquire()

    def _take(self) -> list[str]:
        """Returns the lines to write now; without any, the thread is idle."""
        new_lines: list[str] = []
        with self._lock:
            lines = self._lines
            self._lines = new_lines
            self._reporting = self.dropped - self._reported
            if not lines and not self._is_writable:
                # A report alone is not tried again and again.
                self._reporting = 0
            has_work = lines or self._reporting or self._closing.is_set()
            self._is_idle = not has_work
        if self._reporting:
            lines.append(self.describe_dropped(self._reporting) + "\n")
        return lines

    def _write(self, lines: list[str]) -> None:
        text = "".join(lines)
        data = memoryview(text.encode(errors="backslashreplace"))
        try:
            while data:
                data = data[self._write_part(data) :]
            self._is_writable = True
        except OSError:
            # The log is the place to report this, so the lines are counted.
            self._is_writable = False
        with self._lock:
            if self._reporting:
                text = text[: -len(lines.pop())]
            self._line_count -= len(lines)
            self._character_count -= len(text)
            if self._is_writable:
                self._reported += self._reporting
            else:
                self.dropped += len(lines)
            self._reporting = 0

    def _write_part(self, data: memoryview) -> int:
        """Writes as much as fits; returns the number of bytes.

        Raises:
            OSError: The log cannot be written.
        """
        try:
            return os.write(self.descriptor, data)
        except BlockingIOError:
            # Another process made the stream non-blocking.
            time.sleep(INTERVAL_SECONDS)
            return 0


def open_file(path: str) -> int:
    """Returns a descriptor that appends to a file; creates it if missing.

    Raises:
        OSError: The file cannot be opened.
    """
    os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
    access = os.O_WRONLY
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISFIFO(os.stat(path).st_mode):
            # To open a pipe for writing only would wait for a reader.
            access = os.O_RDWR
    flags = access | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
    return os.open(path, flags, 0o644)
