"""How old a VM's settings are, without synchronised clocks."""

CLOCK_DRIFT_RATIO = 0.001


class Freshness:
    """The latest local time at which the settings were surely current.

    Every answer to a fetch carries the age that the sender gave its settings
    when it answered. The receiver counts from the time it sent the request,
    so transit only makes settings look older. Relays that feed each other
    cannot make settings look younger: only the leader starts an age, and
    every hop adds to it.

    Attributes:
        as_of: Local monotonic time in seconds, or None before the first
            answer.
    """

    __slots__ = ("as_of",)

    def __init__(self) -> None:
        self.as_of: float | None = None

    def record_age(self, sent_at: float, age_ms: int) -> None:
        """Takes in an answer to a request sent at `sent_at`.

        Call it once the answer's settings are in force. A negative age
        means that the sender does not know.
        """
        if age_ms < 0:
            return
        as_of = sent_at - age_ms / 1000
        if self.as_of is None or as_of > self.as_of:
            self.as_of = as_of

    def age(self, now: float) -> float:
        """Returns the age in seconds; infinite before the first answer."""
        if self.as_of is None:
            return float("inf")
        return max(0.0, now - self.as_of) * (1 + CLOCK_DRIFT_RATIO)

    def time_at_age(self, age_s: float) -> float:
        """Returns the time at which the age reaches `bound` seconds."""
        if self.as_of is None:
            return float("-inf")
        return self.as_of + age_s / (1 + CLOCK_DRIFT_RATIO)

    def age_ms(self, now: float) -> int:
        """Returns the age in milliseconds, rounded up; -1 when not known."""
        if self.as_of is None:
            return -1
        return int(self.age(now) * 1000) + 1
