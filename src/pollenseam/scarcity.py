"""Division of a service's scarce room between ranks; does no I/O.

Demand and room are amounts of work: seconds of processing per second. The room
is not known in advance, as processing times change; it is learned from what
the upstreams took while they turned other requests away.
"""

import itertools
import math
from collections.abc import Sequence

# Ranks that are told apart; lower ones count as the last.
MAX_RANKS = 8
# Part of the admitted work that is turned away from which a service is short.
SHORT_RATIO = 0.03
# Requests turned away below which a service isn't short: a few are by chance.
MIN_TURNED_AWAY = 3
# Part of the room that is added per second once nothing is turned away, so
# that callers who return at the same time are let in by steps. It doubles each
# DOUBLING_SECONDS, as more room may have come back.
GROWTH_PER_SECOND = 0.05
DOUBLING_SECONDS = 1.0
# The same while the room is under NEAR_RATIO of what was taken lately.
MAX_GROWTH_PER_SECOND = 0.6
NEAR_RATIO = 0.8
# Time in which the most that was taken is forgotten.
MEMORY_SECONDS = 20.0
# The same for the room that a cut leaves; what one second shows is uneven.
RECENT_SECONDS = 1.5
# Time until requests that were turned away before a cut are counted no more.
SETTLE_SECONDS = 1.25
# Time without requests turned away after which a shortage has ended.
HOLD_SECONDS = 4.0
# Room beyond the demand in that time.
HOLD_RATIO = 1.05
# Part of what was taken before a shortage below which no estimate falls: if
# requests are still turned away then, to admit fewer of them doesn't help.
MIN_ROOM_RATIO = 0.4
# Retry-After of the highest rank begins here; each rank below is later.
FIRST_RETURN_SECONDS = 0.25
RANK_STEP_SECONDS = 0.4
MIN_RETURN_SPAN_SECONDS = 0.5
MAX_RETURN_SPAN_SECONDS = 4.0
# Part of a caller's time after which a return leaves too little of it.
MAX_RETURN_RATIO = 0.5


class Load:
    """What was asked of a service, and what became of it.

    Attributes:
        offered: Work offered per second, by rank.
        admitted: Work per second that was let through to upstreams.
        turned_away: Part of `admitted` for which no upstream had room.
        turned_away_count: Number of requests in `turned_away`.
        slots: Slots of the service's upstreams.
    """

    __slots__ = (
        "offered",
        "admitted",
        "turned_away",
        "turned_away_count",
        "slots",
    )

    def __init__(
        self,
        offered: Sequence[float],
        admitted: float,
        turned_away: float,
        turned_away_count: int,
        slots: int,
    ) -> None:
        self.offered = offered
        self.admitted = admitted
        self.turned_away = turned_away
        self.turned_away_count = turned_away_count
        self.slots = slots

    @property
    def taken(self) -> float:
        """Work per second that upstreams took."""
        return max(0.0, self.admitted - self.turned_away)

    @property
    def is_short(self) -> bool:
        """Whether the upstreams turned away more than happens by chance."""
        return (
            self.turned_away_count >= MIN_TURNED_AWAY
            and self.turned_away > SHORT_RATIO * self.admitted
        )


def total(loads: Sequence[Load]) -> Load:
    """Returns the loads of several VMs as one."""
    offered = itertools.zip_longest(
        *(load.offered for load in loads), fillvalue=0.0
    )
    return Load(
        [sum(column) for column in offered],
        sum(load.admitted for load in loads),
        sum(load.turned_away for load in loads),
        sum(load.turned_away_count for load in loads),
        max((load.slots for load in loads), default=0),
    )


class RoomEstimate:
    """Estimates the room of a service while it is short.

    Attributes:
        room: Work per second that can be served; None while there is enough.
        recent: Most work per second that was taken in about RECENT_SECONDS.
        most: Most work per second that was taken in about MEMORY_SECONDS.
        first: Most work per second that was taken before the shortage.
        slots: Slots of the service at the last update.
        updated_at: Time of the last update in seconds.
        short_at: Time in seconds at which requests were last turned away.
        settled_at: Time in seconds from which the room in force shows.
    """

    __slots__ = (
        "room",
        "recent",
        "most",
        "first",
        "slots",
        "updated_at",
        "short_at",
        "settled_at",
    )

    def __init__(self, now: float) -> None:
        self.room: float | None = None
        self.recent = 0.0
        self.most = 0.0
        self.first = 0.0
        self.slots = 0
        self.updated_at = now
        self.short_at = now
        self.settled_at = now

    def update(self, load: Load, now: float) -> None:
        """Follows the load of the last seconds."""
        elapsed_seconds = max(0.0, now - self.updated_at)
        self.updated_at = now
        if 0 < load.slots < self.slots:
            self.scale(load.slots / self.slots)
        self.slots = load.slots
        recent_factor = math.exp(-elapsed_seconds / RECENT_SECONDS)
        self.recent = max(load.taken, self.recent * recent_factor)
        memory_factor = math.exp(-elapsed_seconds / MEMORY_SECONDS)
        self.most = max(load.taken, self.most * memory_factor)
        if load.is_short:
            self.short_at = now
            if now >= self.settled_at:
                self.settled_at = now + SETTLE_SECONDS
                self._learn(load)
        elif self.room is not None:
            self._grow(self.room, sum(load.offered), elapsed_seconds)

    def scale(self, ratio: float) -> None:
        """Adapts to a change of the upstreams or VMs that are counted.

        Args:
            ratio: Number of them now, per number before.
        """
        self.recent *= ratio
        self.most *= ratio
        self.first *= ratio
        if self.room is not None:
            self.room *= ratio

    def _learn(self, load: Load) -> None:
        if self.room is None:
            # A VM that has just started knows no more than the demand.
            self.first = self.most or sum(load.offered)
        self.room = max(self.recent, MIN_ROOM_RATIO * self.first)

    def _grow(self, room: float, demand: float, elapsed_seconds: float) -> None:
        calm_seconds = self.updated_at - self.short_at
        if room >= demand and calm_seconds >= HOLD_SECONDS:
            self.room = None
            return
        growth = MAX_GROWTH_PER_SECOND
        if room > NEAR_RATIO * self.most:
            doublings = min(10.0, calm_seconds / DOUBLING_SECONDS)
            growth = min(growth, GROWTH_PER_SECOND * 2**doublings)
        room *= 1 + growth * elapsed_seconds
        self.room = min(room, max(self.room or 0.0, HOLD_RATIO * demand))


def divide(
    offered: Sequence[float], room: float, floor_ratio: float
) -> list[float]:
    """Returns the part (0 to 1) of each rank's demand that is admitted.

    Each rank gets `floor_ratio` of the part that all would get without ranks.
    What is left goes to the ranks in their order.

    Args:
        offered: Work offered per second, by rank.
        room: Work per second that can be served.
        floor_ratio: Part (0 to 1) that goes to all ranks alike.
    """
    demand = sum(offered)
    if room >= demand:
        return [1.0] * len(offered)
    floor = floor_ratio * room / demand
    left = room * (1 - floor_ratio)
    parts: list[float] = []
    for work in offered:
        rest = work * (1 - floor)
        extra = min(rest, left)
        left -= extra
        # No demand is seen of a rank: its next request follows the rank above.
        previous = parts[-1] if parts else 1.0
        part = floor + extra / work if work > 0 else previous
        parts.append(min(part, previous))
    return parts


def return_seconds(
    rank: int, room_ratio: float, left_seconds: float, position: float
) -> float:
    """Returns after how many seconds a refused caller should come back.

    Higher ranks come back earlier. The callers of a rank are spread over the
    time until there should be room for all.

    Args:
        rank: Rank of the request.
        room_ratio: Part (0 to 1) of the demand for which there is room.
        left_seconds: Time that the caller has left.
        position: Position of the caller in the span, at random from 0 to 1.
    """
    span = MAX_RETURN_SPAN_SECONDS * (1 - min(max(room_ratio, 0.0), 1.0))
    span = max(span, MIN_RETURN_SPAN_SECONDS)
    seconds = FIRST_RETURN_SECONDS + rank * RANK_STEP_SECONDS + position * span
    return min(seconds, max(0.0, MAX_RETURN_RATIO * left_seconds))
