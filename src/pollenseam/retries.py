"""Retry budget of a service, divided between the entry VMs."""

import collections

# Fraction of its budget that a VM spends. The rest is a margin, because the
# windows of the VMs begin and end at different moments.
SPENDABLE_RATIO = 0.7


class Budget:
    """Retry budget of one service on one VM, over a sliding window.

    Attributes:
        ratio: Retries allowed per request.
        slack: Additional retries allowed per window, over all VMs.
        window_seconds: Length of the window.
        request_counts: Requests by second, retries excluded.
        retry_counts: Retries by second.
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

    def try_spend(self, vms: int, now: float, part: float = 1.0) -> bool:
        """Takes one retry; returns False if this VM's budget is exhausted.

        Args:
            vms: Number of entry VMs that share the slack.
            now: Time in seconds.
            part: Part (0 to 1) of the budget that may be used; the rest is
                left to others.
        """
        if not self.can_spend(vms, now, part):
            return False
        self.retry_counts[int(now)] += 1
        return True

    def can_spend(self, vms: int, now: float, part: float = 1.0) -> bool:
        """Returns whether this VM's budget allows one more retry.

        Args:
            vms: Number of entry VMs that share the slack.
            now: Time in seconds.
            part: Part (0 to 1) of the budget that may be used.
        """
        self._drop_expired(now)
        earned = self.ratio * sum(self.request_counts.values())
        allowed = SPENDABLE_RATIO * (earned + self.slack / max(1, vms))
        return sum(self.retry_counts.values()) + 1 <= part * allowed

    def _drop_expired(self, now: float) -> None:
        oldest = now - self.window_seconds
        for counts in (self.request_counts, self.retry_counts):
            for second in [s for s in counts if s < oldest - 1]:
                del counts[second]
