"""Asks several VMs at once which of them have news."""

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from pollenseam import errors
from pollenseam import events
from pollenseam import sources
from pollenseam import tasks

Ask = Callable[[str], Awaitable[bool | None]]


class Search:
    """Finds out which VMs can be asked for news.

    Attributes:
        sources: What is known of the VMs.
        log: Event log.
        now: Returns the time in seconds.
    """

    def __init__(
        self, ask: Ask, log: events.EventLog, now: Callable[[], float]
    ) -> None:
        """Initializes the search.

        Args:
            ask: Asks the VM at an address and returns whether it has news, or
                None if its answer does not tell. Raises UnreachableError if
                the VM does not answer in time.
            log: Event log.
            now: Returns the time in seconds.
        """
        self.sources = sources.Sources()
        self.log = log
        self.now = now
        self._ask = ask
        self._tasks = tasks.Group(log)
        # VMs that have not answered yet, and whether one can be used or none
        # is left.
        self._asked: set[str] = set()
        self._is_done = asyncio.Event()

    def stop(self) -> None:
        """Gives up the questions in progress."""
        self._tasks.cancel()

    async def pause(self) -> None:
        """Waits until all VMs may be asked again."""
        await asyncio.sleep(max(0.0, self.sources.ask_at - self.now()))

    async def ask_all(self, addresses: Sequence[str]) -> None:
        """Asks VMs; returns once one can be used, or none is left to answer.

        One whose answer does not tell whether it has news can be used. A VM
        that has not answered an earlier question is not asked again.
        """
        self.sources.ask_at = self.now() + sources.ASK_INTERVAL_SECONDS
        self._is_done.clear()
        self._start(addresses)
        if self._asked:
            await self._is_done.wait()

    def ask_better(self, addresses: Sequence[str], source: str) -> None:
        """Asks in the background whether a better VM could replace `source`.

        Args:
            addresses: Addresses of the VMs, the best one first.
            source: Address of the VM in use.
        """
        self._start(self.sources.better(addresses, source, self.now()))

    def _start(self, addresses: Sequence[str]) -> None:
        for address in addresses:
            if address not in self._asked:
                self._asked.add(address)
                self._tasks.attempt(functools.partial(self._ask_one, address))

    async def _ask_one(self, address: str) -> None:
        can_be_used = False
        try:
            has_news = await self._ask(address)
            self.sources.record_answer(address, has_news, self.now())
            can_be_used = has_news is not False
        except errors.UnreachableError as error:
            self.log.emit_often("source-silent", source=address, why=str(error))
        finally:
            self._asked.discard(address)
            if not self._asked or can_be_used:
                self._is_done.set()
