"""Background tasks of one process; none of them ends unseen."""

import asyncio
import os
import traceback
from collections.abc import Coroutine
from typing import Any

from pollenseam import events

FAILED_EXIT_CODE = 70


class Group:
    """Tasks that run until the process stops.

    Attributes:
        log: Event log.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine beside the others."""
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
        # A process with a part missing would answer wrongly; a fresh start
        # of the whole is the state that is tested.
        os._exit(FAILED_EXIT_CODE)

    def cancel(self) -> None:
        """Ends all tasks."""
        for task in list(self._tasks):
            task.cancel()
