"""The deadline of a VM's planned stop."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from pollenseam import errors
from pollenseam import vm

# Retry-After of a VM that is about to stop; other VMs can serve at once.
RETRY_SECONDS = 0.05
# Time before the deadline at which requests that are still arriving are
# refused, so that the refusal reaches the caller.
REFUSAL_MARGIN_SECONDS = 0.15


class StopDeadline:
    """The time by which all calls of a VM must have ended.

    Attributes:
        deadline: Time in seconds; infinite unless the VM is stopping.
    """

    __slots__ = ("deadline", "_receiving")

    def __init__(self) -> None:
        self.deadline = float("inf")
        self._receiving: set[asyncio.Timeout] = set()

    @property
    def is_set(self) -> bool:
        """Whether the VM is stopping."""
        return self.deadline != float("inf")

    def set(self, deadline: float) -> None:
        """Sets the deadline at the beginning of a stop."""
        self.deadline = deadline
        for timeout in self._receiving:
            timeout.reschedule(self._receive_until())

    def check(self, deadline: float) -> None:
        """Refuses a call that may take longer than the VM has left.

        Args:
            deadline: Time in seconds by which the call ends at the latest.

        Raises:
            RefusedError: The call may end after the VM's deadline.
        """
        if deadline > self.deadline:
            raise _refusal("this VM stops before the request's time is over")

    @contextlib.asynccontextmanager
    async def receiving(self) -> AsyncIterator[None]:
        """Limits the receipt of a request to the time that the VM has left.

        Raises:
            RefusedError: The VM stops before the request has arrived.
        """
        timeout = asyncio.timeout_at(self._receive_until())
        try:
            async with timeout:
                self._receiving.add(timeout)
                yield
        except TimeoutError:
            if not timeout.expired():
                raise
            raise _refusal(
                "this VM stops before the request has arrived"
            ) from None
        finally:
            self._receiving.discard(timeout)

    def _receive_until(self) -> float | None:
        """Returns the limit in the event loop's time, or None."""
        if not self.is_set:
            return None
        return vm.loop_deadline(self.deadline - REFUSAL_MARGIN_SECONDS)


def _refusal(why: str) -> errors.RefusedError:
    return errors.refuse(errors.Kind.STOPPING, why, retry_after=RETRY_SECONDS)
