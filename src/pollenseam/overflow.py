"""Limits how many requests leave their preferred region for lack of room."""

# Fraction of the requests in WINDOW_SECONDS that may leave.
MAX_RATIO = 0.08
WINDOW_SECONDS = 2.0


class OverflowLimit:
    """Limits overflow, so that requests move between regions gradually.

    Attributes:
        recent: Choices of the last WINDOW_SECONDS by time; True if the request
            left its preferred region.
    """

    __slots__ = ("recent",)

    def __init__(self) -> None:
        self.recent: dict[float, bool] = {}

    def decide(self, is_wanted: bool, now: float) -> bool:
        """Returns whether a request leaves its preferred region.

        Args:
            is_wanted: Whether another region would serve it sooner.
            now: Time in seconds.
        """
        oldest = now - WINDOW_SECONDS
        while self.recent and next(iter(self.recent)) < oldest:
            del self.recent[next(iter(self.recent))]
        max_count = MAX_RATIO * len(self.recent)
        overflows = is_wanted and sum(self.recent.values()) < max_count
        self.recent[now] = overflows
        return overflows
