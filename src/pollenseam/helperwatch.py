"""Finds out whether a helper that holds calls is silent as a whole."""

import asyncio
from collections.abc import Callable

from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import links
from pollenseam import peers
from pollenseam import relaymessages

# Time within which a helper answers a check, and for which an answer of any
# kind shows that it runs.
CHECK_SECONDS = 0.4
# Patience with a route of which no time is known, and least patience.
FIRST_PATIENCE_SECONDS = 0.8
MIN_PATIENCE_SECONDS = 0.4
# As in the retransmission timer of TCP (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class Durations:
    """How long the calls of one route take through helpers, in seconds.

    Attributes:
        mean: Smoothed time to the reply.
        deviation: Smoothed mean deviation from it.
    """

    __slots__ = ("mean", "deviation")

    def __init__(self, seconds: float) -> None:
        self.mean = seconds
        self.deviation = seconds / 2

    def record(self, seconds: float) -> None:
        """Records the time to one reply."""
        error = seconds - self.mean
        self.deviation += (abs(error) - self.deviation) * DEVIATION_WEIGHT
        self.mean += error * MEAN_WEIGHT


class HelperWatch:
    """What is known of the helpers' answers.

    Attributes:
        peers: Client for calls to helpers.
        now: Returns the time since boot in seconds.
        on_silent: Called with each helper that gave no sign of life.
        heard_at: Time of the last answer, by helper's name.
        durations: Times to replies through helpers, by name of the route.
        checks: Checks in progress, by helper's name.
        link: Network link of this VM.
    """

    def __init__(
        self,
        peer_client: peers.Client,
        now: Callable[[], float],
        on_silent: Callable[[controlmessages.EntryVm], None],
    ) -> None:
        self.peers = peer_client
        self.now = now
        self.on_silent = on_silent
        self.heard_at: dict[str, float] = {}
        self.durations: dict[str, Durations] = {}
        self.checks: dict[str, asyncio.Task[bool]] = {}
        self.link = links.Link()

    def patience_seconds(self, route: str) -> float:
        """Returns the time within which replies usually come."""
        durations = self.durations.get(route)
        if durations is None:
            return FIRST_PATIENCE_SECONDS
        seconds = durations.mean + DEVIATIONS * durations.deviation
        return max(MIN_PATIENCE_SECONDS, seconds)

    def record_heard(self, helper: str) -> None:
        """Records that a helper answered."""
        self.heard_at[helper] = self.now()

    def record_reply(self, route: str, seconds: float) -> None:
        """Records the time to a reply through a helper."""
        durations = self.durations.get(route)
        if durations is None:
            self.durations[route] = Durations(seconds)
        else:
            durations.record(seconds)

    async def is_silent(self, helper: controlmessages.EntryVm) -> bool:
        """Returns whether a helper answers nothing, which takes a moment."""
        heard_at = self.heard_at.get(helper.name)
        if heard_at is not None and self.now() - heard_at <= CHECK_SECONDS:
            return False
        check = self.checks.get(helper.name)
        if check is None:
            check = asyncio.create_task(self._check(helper))
            self.checks[helper.name] = check
            check.add_done_callback(lambda _: self.checks.pop(helper.name))
        return await asyncio.shield(check)

    async def _check(self, helper: controlmessages.EntryVm) -> bool:
        """Asks a helper for a sign of life; returns whether there was none.

        A helper that refuses, as one that stops does, is not silent: the calls
        that it has go on.
        """
        try:
            await self.peers.call(
                helper.relay_address,
                relaymessages.CHECK,
                peers.Empty(),
                CHECK_SECONDS + self.link.wait_seconds(self.now()),
            )
        except errors.UnreachableError as error:
            if error.outcome == "deadline_exceeded":
                self.on_silent(helper)
                return True
        self.record_heard(helper.name)
        return False
