"""Planned shifts of traffic: their limits, and when a VM pauses one."""

from pollenseam import leases
from pollenseam import lifecycles
from pollenseam import settings

BURST_RATIO = 0.2
MIN_BURST = 1.0
HOLD_SECONDS = 2.0


def burst(cap: float) -> float:
    """Returns the burst of a limit: the part of a cap usable at once.

    Args:
        cap: Requests per second.
    """
    return max(MIN_BURST, cap * BURST_RATIO)


def shift_limit(shift: settings.Shift, elapsed_ms: int) -> leases.Limit:
    """Returns the rate and burst that a shift may use now.

    The rate rises linearly during the shift's ramp. Rate and burst add up to
    at most the cap, so that no second has more requests than the cap.

    Args:
        shift: Settings of the shift.
        elapsed_ms: Time since the start of the shift, in milliseconds.
    """
    if shift.state != "running":
        return leases.Limit(0.0, 0.0)
    ramp = 1.0
    if shift.ramp_ms > 0:
        ramp = min(1.0, max(0, elapsed_ms) / shift.ramp_ms)
    max_burst = burst(shift.cap)
    return leases.Limit((shift.cap - max_burst) * ramp, max_burst)


def region_limit(accept_rate: float) -> leases.Limit:
    """Returns the limit on traffic that a region accepts from other regions.

    Args:
        accept_rate: Requests per second that the region accepts.
    """
    max_burst = burst(accept_rate)
    return leases.Limit(max(0.0, accept_rate - max_burst), max_burst)


class ActiveShift:
    """A running shift on one VM of the region that traffic leaves.

    Attributes:
        lifecycle: State machine of the shift.
        held_until: Time in seconds until which no traffic moves.
    """

    __slots__ = ("lifecycle", "held_until")

    def __init__(self) -> None:
        self.lifecycle = lifecycles.shift()
        self.held_until = 0.0

    def update(self, is_target_healthy: bool, now: float) -> bool:
        """Updates the target's health; returns whether traffic may move.

        An unhealthy target pauses the shift for HOLD_SECONDS.

        Args:
            is_target_healthy: Whether the target region is known to be
                healthy; False also if there is no measurement.
            now: Time in seconds.
        """
        if self.lifecycle.state == lifecycles.ShiftState.IDLE:
            self.lifecycle.fire("begin")
        if not is_target_healthy:
            self.held_until = now + HOLD_SECONDS
            self.lifecycle.fire("hold")
        elif now >= self.held_until:
            self.lifecycle.fire("resume")
        return self.lifecycle.state != lifecycles.ShiftState.HELD
