"""How many sends beyond a request's first all VMs together may make."""

import collections

# What a VM spends of its part; the others count at other moments.
SPENDABLE_RATIO = 0.7


class Budget:
    """One service's budget at one VM, over a sliding window.

    Attributes:
        ratio: Further sends per request.
        slack: Further sends per window over all VMs.
        window_seconds: Length of the window.
        requests: Requests by second.
        repeats: Further sends by second.
    """

    __slots__ = (
        "ratio",
        "slack",
        "window_seconds",
        "request_counts",
        "retry_counts",
    )

    def __init__(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.request_counts: collections.Counter[int] = collections.Counter()
        self.retry_counts: collections.Counter[int] = collections.Counter()

    def record_request(self, now: float) -> None:
        """Counts a request that is sent for the first time."""
        self.request_counts[int(now)] += 1

    def try_spend(self, vms: int, now: float) -> bool:
        """Takes one further send; False when this VM's part is used up.

        Args:
            vms: Entry VMs that share the slack.
            now: Time in seconds.
        """
        if not self.can_spend(vms, now):
            return False
        self.retry_counts[int(now)] += 1
        return True

    def can_spend(self, vms: int, now: float) -> bool:
        """Tells whether this VM's part is not used up."""
        self._drop_expired(now)
        earned = self.ratio * sum(self.request_counts.values())
        allowed = SPENDABLE_RATIO * (earned + self.slack / max(1, vms))
        return sum(self.retry_counts.values()) + 1 <= allowed

    def _drop_expired(self, now: float) -> None:
        oldest = now - self.window_seconds
        for counts in (self.request_counts, self.retry_counts):
            for second in [s for s in counts if s < oldest - 1]:
                del counts[second]
