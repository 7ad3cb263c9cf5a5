"""An event loop whose time jumps to the next timer; for tests without I/O."""

import asyncio
import heapq


class Loop(asyncio.SelectorEventLoop):
    """Runs timers in their order, without waiting for them."""

    def __init__(self):
        super().__init__()
        self.seconds = 1000.0

    def time(self):
        return self.seconds

    def _run_once(self):
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._ready and self._scheduled:
            self.seconds = max(self.seconds, self._scheduled[0]._when)
        super()._run_once()


def run(coroutine):
    """Returns what a coroutine returns that is run in virtual time."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(coroutine)
