"""How many sends beyond a request's first all VMs together may make."""

import collections

# What a VM spends of its part; the others count at other moments.
USED_RATIO = 0.7


class Budget:
    """One service's budget at one VM, over a sliding window.

    Attributes:
        ratio: Further sends per request.
        slack: Further sends per window over all VMs.
        window_seconds: Length of the window.
        requests: Requests by second.
        repeats: Further sends by second.
    """

    __slots__ = ("ratio", "slack", "window_seconds", "requests", "repeats")

    def __init__(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.requests: collections.Counter[int] = collections.Counter()
        self.repeats: collections.Counter[int] = collections.Counter()

    def note(self, now: float) -> None:
        """Counts a request that is sent for the first time."""
        self.requests[int(now)] += 1

    def spend(self, vms: int, now: float) -> bool:
        """Takes one further send; False when this VM's part is used up.

        Args:
            vms: Entry VMs that share the slack.
            now: Time in seconds.
        """
        if not self.has(vms, now):
            return False
        self.repeats[int(now)] += 1
        return True

    def has(self, vms: int, now: float) -> bool:
        """Tells whether this VM's part is not used up."""
        self._forget(now)
        earned = self.ratio * sum(self.requests.values())
        allowed = USED_RATIO * (earned + self.slack / max(1, vms))
        return sum(self.repeats.values()) + 1 <= allowed

    def _forget(self, now: float) -> None:
        oldest = now - self.window_seconds
        for counts in (self.requests, self.repeats):
            for second in [s for s in counts if s < oldest - 1]:
                del counts[second]
