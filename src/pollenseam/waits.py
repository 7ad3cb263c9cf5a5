"""Calls that were sent to an upstream and wait for the head of its reply."""

import asyncio
from collections.abc import Callable

from pollenseam import calls
from pollenseam import connects
from pollenseam import steering

# A service is silent when no reply has arrived for this long, and calls have
# waited for this many times the expected time.
SILENT_SECONDS = 0.4
SILENT_RATIO = 1.5


class AbandonedError(Exception):
    """The call is to be sent in another way; it may have been executed."""


class Wait:
    """One attempt's wait for a reply.

    All times are in seconds.

    Attributes:
        active_call: The call.
        upstream: Id of the upstream.
        sent_at: Time at which the call was sent.
        patience_until: Time after which the upstream should have replied.
        limit: Ends the wait when it is rescheduled.
        claim: Takes the right to send the call once more; returns whether
            that is allowed.
        timer: Next check for silence, or None.
    """

    __slots__ = (
        "active_call",
        "upstream",
        "sent_at",
        "patience_until",
        "limit",
        "claim",
        "timer",
    )

    def __init__(
        self,
        active_call: calls.ActiveCall,
        choice: steering.Choice,
        sent_at: float,
        limit: asyncio.Timeout,
        claim: Callable[[calls.ActiveCall], bool],
    ) -> None:
        self.active_call = active_call
        self.upstream = choice.upstream.record.id
        self.sent_at = sent_at
        self.patience_until = sent_at + max(
            SILENT_SECONDS, SILENT_RATIO * choice.expected_seconds
        )
        self.limit = limit
        self.claim = claim
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_abandonable(self) -> bool:
        """Whether the call was sent, and may be sent once more."""
        if self.active_call.connection == connects.NONE or self.is_abandoned:
            return False
        return self.active_call.may_run_twice()

    @property
    def is_abandoned(self) -> bool:
        """Whether the wait is about to end."""
        return self.limit.when() is not None

    def silent_at(self, replied_at: float | None) -> float:
        """Returns the time at which the service counts as silent.

        Args:
            replied_at: Time of the service's last reply, or None.
        """
        return max(self.patience_until, (replied_at or 0.0) + SILENT_SECONDS)

    def abandon(self) -> bool:
        """Ends the wait if the call may be sent once more."""
        if not self.is_abandonable or not self.claim(self.active_call):
            return False
        self.limit.reschedule(asyncio.get_running_loop().time())
        return True

    def end(self) -> None:
        """Ends the checks for silence."""
        if self.timer is not None:
            self.timer.cancel()
