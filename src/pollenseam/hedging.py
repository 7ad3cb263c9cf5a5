"""When a late request is sent to a second upstream; does no I/O.

A hedge (Dean and Barroso, "The Tail at Scale", 2013) is a second attempt that
runs beside the first one. The first valid answer counts.
"""

import collections

from pollenseam import answertimes
from pollenseam import costs
from pollenseam import options
from pollenseam import requirements
from pollenseam import steering

RATIO = options.Option(
    "hedge_ratio",
    0.0,
    0.0,
    0.2,
    "hedges per request of a route",
    "how many requests that may be repeated are sent to a second upstream "
    "when they are late; 0 for none",
)
# A request is late when it takes longer than this part of its kind.
LATE_QUANTILE = 0.95
# Hedges that a route may save up while none of its requests is late.
MAX_SAVED_HEDGES = 5.0
# Part of the retry budget that hedges may use; the rest is for retries.
RETRY_BUDGET_PART = 0.5
# Load of a region's upstreams, relative to their slots, from which none of its
# requests is hedged.
MAX_LOAD_RATIO = 0.6
MAX_FAILURE_RATIO = 0.2
# Routes that are remembered. Those used least recently are forgotten.
MAX_ROUTES = 2048

# Why a late request is not hedged.
NOT_REPEATABLE = "not-repeatable"
UNREACHED = "unreached"
ROUTE_BUDGET = "budget"
RETRY_BUDGET = "retry-budget"
BUSY = "no-room"
NO_UPSTREAM = "no-upstream"
UNSOUND = "unsound"
NO_GAIN = "no-gain"


class Allowance:
    """Hedges that each route may send, earned by its requests.

    Attributes:
        saved: Hedges that may be sent now, by route, least recently used first.
    """

    __slots__ = ("saved",)

    def __init__(self) -> None:
        self.saved: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def earn(self, route: str, ratio: float) -> None:
        """Counts one request of a route.

        Args:
            route: Name of the route.
            ratio: Hedges per request.
        """
        saved = self.saved.get(route, 0.0) + ratio
        self.saved[route] = min(MAX_SAVED_HEDGES, saved)
        self.saved.move_to_end(route)
        if len(self.saved) > MAX_ROUTES:
            self.saved.popitem(last=False)

    def can_spend(self, route: str) -> bool:
        """Returns whether a route may send one more hedge."""
        return self.saved.get(route, 0.0) >= 1.0

    def spend(self, route: str) -> None:
        """Takes one hedge from what a route saved up."""
        self.saved[route] -= 1.0


class Policy:
    """Decides which requests are hedged.

    Attributes:
        times: Answer times by route.
        allowance: Hedges that each route may send.
    """

    __slots__ = ("times", "allowance")

    def __init__(self) -> None:
        self.times = answertimes.AnswerTimes()
        self.allowance = Allowance()

    def record_answer(self, route: str, is_warm: bool, seconds: float) -> None:
        """Records how long an answer took, or an attempt that lost."""
        self.times.find(route, is_warm).record(seconds)

    def delay_seconds(
        self, route: str, is_warm: bool, choice: steering.Choice
    ) -> float | None:
        """Returns the time after which a request is late.

        Args:
            route: Name of the route.
            is_warm: Whether the upstream is warm for the object.
            choice: The upstream that gets the request first.

        Returns:
            The time in seconds; None if too few answers are known.
        """
        usual = self.times.find(route, is_warm).quantile(LATE_QUANTILE)
        if usual is None:
            return None
        return max(usual, choice.expected_seconds)

    def left_seconds(
        self, route: str, is_warm: bool, waited_seconds: float
    ) -> float:
        """Returns how much longer a late request is expected to take."""
        return self.times.find(route, is_warm).left_seconds(waited_seconds)


def is_warm(choice: steering.Choice, object: str | None) -> bool:
    """Returns whether the chosen upstream is known to be warm."""
    return object is None or object in choice.upstream.warm_objects


def second_requirements(
    first: steering.Choice, required: requirements.Requirements
) -> requirements.Requirements:
    """Returns what the second upstream must meet.

    It is in the region of the first: a hedge moves no work between regions.
    """
    return requirements.Requirements(
        required.route,
        required.object,
        frozenset([first.upstream.region]),
        required.tried,
        required.target_seconds,
        required.reserve_ratio,
        required.is_risky,
    )


def region_load(pool: steering.Pool, region: str, now: float) -> float:
    """Returns the load of a region's upstreams, relative to their slots."""
    load = slots = 0.0
    for upstream in pool.upstreams.values():
        if upstream.region == region:
            load += upstream.load(now)
            slots += max(1, upstream.record.slots)
    return load / max(1.0, slots)


def why_not(
    second: steering.Choice | None,
    first_left_seconds: float,
    left_seconds: float,
    now: float,
) -> str:
    """Returns why a late request is not sent to a second upstream.

    Args:
        second: The best upstream beside the first, or None.
        first_left_seconds: How much longer the first is expected to take.
        left_seconds: Time until the caller must have an answer.
        now: Time in seconds.

    Returns:
        The reason, or "" if it is sent.
    """
    if second is None:
        return NO_UPSTREAM
    upstream = second.upstream
    if (
        costs.is_suspect(upstream, now)
        or upstream.cold_until > now
        or upstream.current_failure_ratio(now) > MAX_FAILURE_RATIO
        or upstream.risky_in_flight
    ):
        return UNSOUND
    if (
        second.excess_wait_seconds > 0
        or second.wait_seconds > 0
        or upstream.full_until > now
    ):
        return BUSY
    if second.expected_seconds >= min(first_left_seconds, left_seconds):
        return NO_GAIN
    return ""
