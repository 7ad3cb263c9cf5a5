"""Life cycles of VMs, upstreams and shifts, as state machines."""

import enum

import transitions


class VmState(enum.StrEnum):
    """States of a VM, in the order in which they follow each other."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class UpstreamState(enum.StrEnum):
    """States of an upstream, in the order in which they follow each other."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class ShiftState(enum.StrEnum):
    """States of a shift on one VM."""

    IDLE = "idle"
    RAMPING = "ramping"
    FULL = "full"
    HELD = "held"


# Position of each state in the life cycle of an upstream.
UPSTREAM_STATE_RANKS = {state: rank for rank, state in enumerate(UpstreamState)}

VM_TRANSITIONS: list[dict[str, object]] = [
    {"trigger": "serve", "source": "starting", "dest": "serving"},
    {"trigger": "leave", "source": ["starting", "serving"], "dest": "leaving"},
    {"trigger": "finish", "source": "leaving", "dest": "gone"},
]

SHIFT_TRANSITIONS: list[dict[str, object]] = [
    {"trigger": "begin", "source": "idle", "dest": "ramping"},
    {"trigger": "fill", "source": "ramping", "dest": "full"},
    {"trigger": "hold", "source": ["ramping", "full"], "dest": "held"},
    {"trigger": "resume", "source": "held", "dest": "ramping"},
    {"trigger": "end", "source": "*", "dest": "idle"},
]


class LifeCycle:
    """A state machine that changes its state when a trigger is fired.

    Attributes:
        state: Name of the current state.
        machine: Defines the states and the transitions between them.
    """

    state: str

    def __init__(
        self,
        states: type[enum.StrEnum],
        transition_table: list[dict[str, object]],
    ) -> None:
        self.machine = transitions.Machine(
            self,
            states=[state.value for state in states],
            transitions=transition_table,
            initial=next(iter(states)).value,
            auto_transitions=False,
        )

    def fire(self, trigger: str) -> bool:
        """Fires a trigger if the current state allows it.

        Returns:
            Whether the trigger was fired.
        """
        if not self.allows(trigger):
            return False
        self.trigger(trigger)  # type: ignore[attr-defined]
        return True

    def allows(self, trigger: str) -> bool:
        """Returns whether the current state allows a trigger."""
        return trigger in self.machine.get_triggers(self.state)


def vm() -> LifeCycle:
    """Returns the life cycle of a VM, in state "starting"."""
    return LifeCycle(VmState, VM_TRANSITIONS)


def shift() -> LifeCycle:
    """Returns the life cycle of a shift, in state "idle"."""
    return LifeCycle(ShiftState, SHIFT_TRANSITIONS)
