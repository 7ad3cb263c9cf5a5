"""Messages of libraries and of the interpreter, as lines of the event log.

Written to stderr, as they are by default, they would hold up the process while
nobody reads it.
"""

import asyncio
import contextlib
import io
import logging
import sys
import traceback
from collections.abc import Coroutine
from typing import Any

from pollenseam import events
from pollenseam import heap

FAILED_EXIT_CODE = 1


class _Handler(logging.Handler):
    """Writes the records of the `logging` module to the event log.

    Attributes:
        log: Event log.
    """

    def __init__(self, log: events.EventLog) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record."""
        trace = None
        if record.exc_info:
            trace = "".join(traceback.format_exception(*record.exc_info))
        self.log.emit_often(
            "library-message",
            source=record.name,
            level=record.levelname,
            reason=record.getMessage(),
            trace=trace,
        )


class _Printed(io.TextIOBase):
    """Writes what libraries print to the event log, line by line.

    Attributes:
        log: Event log.
    """

    def __init__(self, log: events.EventLog) -> None:
        super().__init__()
        self.log = log
        self._line = ""

    def write(self, text: str) -> int:
        """Takes a part of a line, or several lines; never waits."""
        *lines, rest = (self._line + text).split("\n")
        self._line = rest[: events.MAX_VALUE_CHARACTERS]
        for line in lines:
            self._emit(line)
        return len(text)

    def close(self) -> None:
        """Writes what is left of a line."""
        if self._line:
            self._emit(self._line)
            self._line = ""
        super().close()

    def _emit(self, line: str) -> None:
        self.log.emit_often("library-message", source="stderr", reason=line)


def open_log(
    vm: str, path: str | None = None, stream: Any = None
) -> events.EventLog:
    """Opens the event log of a program, whose first thread it starts.

    Bounds the freed memory that the process keeps, which has to come first.

    Args:
        vm: Name of the VM.
        path: File to append to, or None to write to `stream`.
        stream: Stream to write to if there is no path; stderr by default.

    Raises:
        OSError: The file cannot be opened.
    """
    is_bounded = heap.bound_free_memory()
    log = events.open_log(vm, path, stream)
    if not is_bounded:
        log.emit("heap-unchanged")
    return log


def run(
    main: Coroutine[Any, Any, None],
    log: events.EventLog,
    expected: tuple[type[Exception], ...],
) -> None:
    """Runs a program, and writes what is left of its log at the end.

    Args:
        main: The program.
        log: Event log; also gets the messages of libraries.
        expected: Errors that the caller reports.

    Raises:
        SystemExit: The program failed by another error, which was logged.
    """
    logging.basicConfig(handlers=[_Handler(log)], force=True)
    logging.captureWarnings(True)
    printed = _Printed(log)
    try:
        with contextlib.closing(printed), contextlib.redirect_stderr(printed):
            asyncio.run(main)
    except expected:
        raise
    except Exception as error:
        trace = "".join(traceback.format_exception(error))
        log.emit("process-failed", reason=repr(error), trace=trace)
        sys.exit(FAILED_EXIT_CODE)
    finally:
        log.close()
