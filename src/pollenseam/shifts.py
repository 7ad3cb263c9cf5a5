"""Planned shifts: what may move, and when a VM holds one."""

from pollenseam import leases
from pollenseam import lifecycles
from pollenseam import settings

BURST_RATIO = 0.2
MIN_BURST = 1.0
HOLD_SECONDS = 2.0


def burst(cap: float) -> float:
    """Returns the part of a cap that may be used at once."""
    return max(MIN_BURST, cap * BURST_RATIO)


def whole(shift: settings.Shift, running_ms: int) -> leases.Whole:
    """Returns the share of its cap that a shift may use now.

    Rate and burst add up to at most the cap, so that no second sees more.

    Args:
        shift: The shift's settings.
        running_ms: Time since its start, in milliseconds.
    """
    if shift.state != "running":
        return leases.Whole(0.0, 0.0)
    ramp = 1.0
    if shift.ramp_ms > 0:
        ramp = min(1.0, max(0, running_ms) / shift.ramp_ms)
    most = burst(shift.cap)
    return leases.Whole((shift.cap - most) * ramp, most)


def region(accept_rate: float) -> leases.Whole:
    """Returns a region's headroom for other regions' traffic."""
    most = burst(accept_rate)
    return leases.Whole(max(0.0, accept_rate - most), most)


class Run:
    """One running shift at one VM of the region that traffic leaves.

    Attributes:
        life: Its life cycle.
        held_until: Time until which nothing moves.
    """

    __slots__ = ("life", "held_until")

    def __init__(self) -> None:
        self.life = lifecycles.shift()
        self.held_until = 0.0

    def observe(self, is_target_healthy: bool, now: float) -> bool:
        """Takes in the target's health; returns whether traffic may move.

        Bad health, or no measurement, holds the shift for HOLD_SECONDS.
        """
        if self.life.state == lifecycles.ShiftState.IDLE:
            self.life.fire("begin")
        if not is_target_healthy:
            self.held_until = now + HOLD_SECONDS
            self.life.fire("hold")
        elif now >= self.held_until:
            self.life.fire("resume")
        return self.life.state != lifecycles.ShiftState.HELD
