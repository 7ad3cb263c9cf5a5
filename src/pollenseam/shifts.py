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


def shift_limit(shift: settings.Shift, elapsed_ms: int) -> leases.Limit:
    """Returns the share of its cap that a shift may use now.

    Rate and burst add up to at most the cap, so that no second sees more.

    Args:
        shift: The shift's settings.
        running_ms: Time since its start, in milliseconds.
    """
    if shift.state != "running":
        return leases.Limit(0.0, 0.0)
    ramp = 1.0
    if shift.ramp_ms > 0:
        ramp = min(1.0, max(0, elapsed_ms) / shift.ramp_ms)
    most = burst(shift.cap)
    return leases.Limit((shift.cap - most) * ramp, most)


def region_limit(accept_rate: float) -> leases.Limit:
    """Returns a region's headroom for other regions' traffic."""
    most = burst(accept_rate)
    return leases.Limit(max(0.0, accept_rate - most), most)


class ActiveShift:
    """One running shift at one VM of the region that traffic leaves.

    Attributes:
        life: Its life cycle.
        held_until: Time until which nothing moves.
    """

    __slots__ = ("lifecycle", "held_until")

    def __init__(self) -> None:
        self.lifecycle = lifecycles.shift()
        self.held_until = 0.0

    def update(self, is_target_healthy: bool, now: float) -> bool:
        """Takes in the target's health; returns whether traffic may move.

        Bad health, or no measurement, holds the shift for HOLD_SECONDS.
        """
        if self.lifecycle.state == lifecycles.ShiftState.IDLE:
            self.lifecycle.fire("begin")
        if not is_target_healthy:
            self.held_until = now + HOLD_SECONDS
            self.lifecycle.fire("hold")
        elif now >= self.held_until:
            self.lifecycle.fire("resume")
        return self.lifecycle.state != lifecycles.ShiftState.HELD
