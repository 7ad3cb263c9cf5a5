"""The age of the settings on a VM, without synchronised clocks."""

# Ages are lengthened by this ratio, in case the local clock is slow.
CLOCK_DRIFT_RATIO = 0.001


class Freshness:
    """An upper bound on the age of the settings on this VM.

    Every response to a fetch contains the age of the sender's settings at that
    time. The receiver adds the time since it sent the request, so the transit
    time can only make settings look older. VMs that fetch from each other
    cannot make settings look younger: ages start at the leader, and every hop
    adds to them.

    Attributes:
        as_of: Latest local monotonic time, in seconds, at which the settings
            were certainly current; None before the first response.
    """

    __slots__ = ("as_of",)

    def __init__(self) -> None:
        self.as_of: float | None = None

    def record_age(self, sent_at: float, age_ms: int) -> None:
        """Records the age of settings that were received.

        Must only be called after these settings have been applied.

        Args:
            sent_at: Local monotonic time, in seconds, at which the request for
                the settings was sent.
            age_ms: Age of the settings when they were sent, in milliseconds;
                negative if the sender does not know the age.
        """
        if age_ms < 0:
            return
        as_of = sent_at - age_ms / 1000
        if self.as_of is None or as_of > self.as_of:
            self.as_of = as_of

    def age(self, now: float) -> float:
        """Returns the age in seconds at the local time `now`.

        The age is infinite before the first response.
        """
        if self.as_of is None:
            return float("inf")
        return max(0.0, now - self.as_of) * (1 + CLOCK_DRIFT_RATIO)

    def time_at_age(self, age_s: float) -> float:
        """Returns the local time at which the age reaches `age_s` seconds.

        This is minus infinity before the first response.
        """
        if self.as_of is None:
            return float("-inf")
        return self.as_of + age_s / (1 + CLOCK_DRIFT_RATIO)

    def age_ms(self, now: float) -> int:
        """Returns the age in ms, rounded up; -1 before the first response."""
        if self.as_of is None:
            return -1
        return int(self.age(now) * 1000) + 1
