"""Expected processing times of requests, by route."""

DEFAULT_WORK_SECONDS = 0.5
WORK_EWMA_WEIGHT = 0.1


class WorkEstimates:
    """Smoothed processing times by route, for objects that are not cached.

    Attributes:
        seconds_by_route: Exponentially weighted moving average by route name.
    """

    __slots__ = ("seconds_by_route",)

    def __init__(self) -> None:
        self.seconds_by_route: dict[str, float] = {}

    def estimate(self, route: str) -> float:
        """Returns the expected processing time in seconds on a cache miss."""
        return self.seconds_by_route.get(route, DEFAULT_WORK_SECONDS)

    def record(self, route: str, seconds: float) -> None:
        """Updates the average of a route with a processing time in seconds."""
        work = self.seconds_by_route.setdefault(route, seconds)
        self.seconds_by_route[route] = (
            work + (seconds - work) * WORK_EWMA_WEIGHT
        )
