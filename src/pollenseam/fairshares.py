"""Fair shares of scarce room between the workspaces of one rank.

A workspace that asks for several times its usual demand does not take the room
of others; those near their usual share alike, whatever their size.
"""

import math
from collections.abc import Mapping

# Time over which the usual demand of a workspace is averaged.
USUAL_SECONDS = 60.0
MAX_KEYS = 2048


class UsualRates:
    """Averages of the demands of workspaces.

    Attributes:
        amounts: Decayed amount of work by key.
        updated_at: Time in seconds to which an amount has decayed, by key.
        started_at: Time of the first record in seconds.
    """

    __slots__ = ("amounts", "updated_at", "started_at")

    def __init__(self, now: float) -> None:
        self.amounts: dict[str, float] = {}
        self.updated_at: dict[str, float] = {}
        self.started_at = now

    def record(self, key: str, work: float, now: float) -> None:
        """Records demand of a workspace, in seconds of work."""
        if key not in self.amounts and len(self.amounts) >= MAX_KEYS:
            oldest = next(iter(self.amounts))
            del self.amounts[oldest], self.updated_at[oldest]
        # Inserted again, so that the first key is the one unused for longest.
        amount = self._decayed(key, now)
        self.amounts.pop(key, None)
        self.amounts[key] = amount + work
        self.updated_at[key] = now

    def rate(self, key: str, now: float) -> float:
        """Returns the usual work per second of a workspace."""
        age = max(now - self.started_at, 1.0)
        seen_seconds = USUAL_SECONDS * (1 - math.exp(-age / USUAL_SECONDS))
        return self._decayed(key, now) / seen_seconds

    def _decayed(self, key: str, now: float) -> float:
        amount = self.amounts.get(key, 0.0)
        if not amount:
            return 0.0
        age = now - self.updated_at[key]
        return amount * math.exp(-age / USUAL_SECONDS)


def divide(
    demands: Mapping[str, float], limits: Mapping[str, float], room: float
) -> dict[str, float]:
    """Returns the part (0 to 1) of each demand that is admitted.

    Demand up to its limit goes before all demand beyond the limits.

    Args:
        demands: Work per second by workspace, above 0.
        limits: Work per second up to which each demand is usual.
        room: Work per second that is admitted of all together.
    """
    usual = {key: min(work, limits[key]) for key, work in demands.items()}
    usual_total = sum(usual.values())
    beyond_total = sum(demands.values()) - usual_total
    usual_part = min(1.0, room / usual_total) if usual_total > 0 else 1.0
    left = max(0.0, room - usual_total)
    beyond_part = min(1.0, left / beyond_total) if beyond_total > 0 else 1.0
    return {
        key: (usual[key] * usual_part + (work - usual[key]) * beyond_part)
        / work
        for key, work in demands.items()
    }
