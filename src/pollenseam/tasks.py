"""Background tasks of one process, which exits if one of them fails."""

import asyncio
import os
import traceback
from collections.abc import Coroutine
from typing import Any

from pollenseam import events

FAILED_EXIT_CODE = 70


class Group:
    """Background tasks that run until the process stops.

    If a task fails, the process exits with FAILED_EXIT_CODE.

    Attributes:
        log: Event log.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task that runs a coroutine."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        trace = traceback.format_exception(error)
        self.log.emit("task-failed", reason=repr(error), trace="".join(trace))
        # A process without one of its parts would answer wrongly. It exits
        # because only a restart leads to a state that is tested.
        os._exit(FAILED_EXIT_CODE)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()
