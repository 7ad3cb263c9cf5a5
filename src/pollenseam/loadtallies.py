"""Counts what was asked of one service in the last seconds."""

import collections

from pollenseam import scarcity

WINDOW_SECONDS = 2.0
# What became of requests is counted in a shorter time, as it changes at once
# with the room; each workspace has few requests in that time.
OUTCOME_SECONDS = 1.0
STEP_SECONDS = 0.25
STEPS = int(WINDOW_SECONDS / STEP_SECONDS)
OUTCOME_STEPS = int(OUTCOME_SECONDS / STEP_SECONDS)


class Step:
    """Counts of STEP_SECONDS.

    Attributes:
        number: Number of the step since boot.
        offered: Work by rank and workspace, in seconds.
        admitted: Work that was let through to upstreams, in seconds.
        turned_away: Part of it for which no upstream had room.
        turned_away_count: Number of such requests.
    """

    __slots__ = (
        "number",
        "offered",
        "admitted",
        "turned_away",
        "turned_away_count",
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.offered: dict[tuple[int, str], float] = {}
        self.admitted = 0.0
        self.turned_away = 0.0
        self.turned_away_count = 0


class Tally:
    """Counts of the last WINDOW_SECONDS.

    Attributes:
        steps: Steps that had requests, oldest first.
    """

    __slots__ = ("steps",)

    def __init__(self) -> None:
        self.steps: collections.deque[Step] = collections.deque()

    def record_offered(
        self, rank: int, workspace: str, work: float, now: float
    ) -> None:
        """Records a request before it is admitted or refused."""
        offered = self._step(now).offered
        key = (rank, workspace)
        offered[key] = offered.get(key, 0.0) + work

    def record_admitted(self, work: float, now: float) -> None:
        """Records a request that is let through to upstreams."""
        self._step(now).admitted += work

    def record_turned_away(self, work: float, now: float) -> None:
        """Records that no upstream had room for an admitted request."""
        step = self._step(now)
        step.turned_away += work
        step.turned_away_count += 1

    def demands(self, now: float) -> dict[tuple[int, str], float]:
        """Returns the work offered per second, by rank and workspace."""
        self._drop_expired(now)
        demands: dict[tuple[int, str], float] = {}
        for step in self.steps:
            for key, work in step.offered.items():
                demands[key] = demands.get(key, 0.0) + work / WINDOW_SECONDS
        return demands

    def load(
        self, demands: dict[tuple[int, str], float], slots: int, now: float
    ) -> scarcity.Load:
        """Returns the sums of the window.

        Args:
            demands: Work offered per second, see `demands`.
            slots: Slots of the service's upstreams.
            now: Time in seconds.
        """
        last_rank = max((rank for rank, _ in demands), default=-1)
        offered = [0.0] * (last_rank + 1)
        for (rank, _), work in demands.items():
            offered[rank] += work
        oldest = int(now / STEP_SECONDS) - OUTCOME_STEPS
        steps = [step for step in self.steps if step.number > oldest]
        return scarcity.Load(
            offered,
            sum(step.admitted for step in steps) / OUTCOME_SECONDS,
            sum(step.turned_away for step in steps) / OUTCOME_SECONDS,
            sum(step.turned_away_count for step in steps),
            slots,
        )

    def _step(self, now: float) -> Step:
        number = int(now / STEP_SECONDS)
        if not self.steps or self.steps[-1].number != number:
            self.steps.append(Step(number))
            self._drop_expired(now)
        return self.steps[-1]

    def _drop_expired(self, now: float) -> None:
        oldest = int(now / STEP_SECONDS) - STEPS
        while self.steps and self.steps[0].number <= oldest:
            self.steps.popleft()
