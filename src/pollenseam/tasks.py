"""Background tasks of one process.

What one message or upstream brought about must not end the work for all others.
So tasks are made of steps: one that fails is logged, and the task goes on. Only
a failure of a part whose state would then be in doubt ends the process.
"""

import asyncio
import os
import traceback
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from pollenseam import events

FAILED_EXIT_CODE = 70
# Pause after a step that failed.
RETRY_SECONDS = 0.5

Step = Callable[[], Awaitable[None]]


class Group:
    """Background tasks that run until the process stops.

    Attributes:
        log: Event log.
        failures: Steps that failed.
    """

    def __init__(self, log: events.EventLog) -> None:
        self.log = log
        self.failures = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Starts a task that runs a coroutine.

        If it fails, the process exits with FAILED_EXIT_CODE.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def repeat(self, step: Step) -> None:
        """Starts a task that takes a step again and again."""
        self.spawn(self._repeat(step))

    def retry(self, step: Step) -> None:
        """Starts a task that takes a step until it does not fail."""
        self.spawn(self._retry(step))

    def attempt(self, step: Step) -> None:
        """Starts a task that takes a step once."""
        self.spawn(self._attempt(step))

    async def _repeat(self, step: Step) -> None:
        while True:
            await self._retry(step)

    async def _retry(self, step: Step) -> None:
        while not await self._is_taken(step):
            await asyncio.sleep(RETRY_SECONDS)

    async def _attempt(self, step: Step) -> None:
        await self._is_taken(step)

    async def _is_taken(self, step: Step) -> bool:
        """Takes a step; returns whether it did not fail."""
        try:
            await step()
        except Exception as error:
            self.failures += 1
            self.log.emit_often("step-failed", **_described(error))
            return False
        return True

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        self.log.emit("task-failed", **_described(error))
        # A process without one of its parts would answer wrongly. It exits
        # because only a restart leads to a state that is tested.
        self.log.close()
        os._exit(FAILED_EXIT_CODE)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in list(self._tasks):
            task.cancel()


def _described(error: BaseException) -> dict[str, str]:
    """Returns the fields of a log line about an unexpected error."""
    trace = "".join(traceback.format_exception(error))
    return {"reason": repr(error), "trace": trace}
