"""What VMs tell each other about services that are short of room.

Amounts of work are whole numbers of 1/UNITS_PER_SECOND seconds of work per
second, which take few bytes.
"""

import msgspec

from pollenseam import bounds
from pollenseam import scarcity

UNITS_PER_SECOND = 100
# Services that one report may name.
MAX_SERVICES = 64
MAX_AMOUNT = 10**12
# Room that the sender does not know yet.
UNKNOWN_ROOM = -1


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True):
    """What an entry VM saw of a service that is short of room.

    Attributes:
        service: Name of the service.
        offered: Work offered per second, by rank.
        admitted: Work per second that was let through to upstreams.
        turned_away: Part of it for which no upstream had room.
        turned_away_count: Number of such requests in the last seconds.
        slots: Slots of the service's upstreams.
    """

    service: str
    offered: tuple[int, ...]
    admitted: int
    turned_away: int
    turned_away_count: int
    slots: int


class ServiceRoom(msgspec.Struct, array_like=True, frozen=True):
    """Demand and room of a service, of all VMs that compete for it.

    Attributes:
        service: Name of the service.
        offered: Work offered per second, by rank.
        room: Work per second that can be served; UNKNOWN_ROOM asks the receiver
            to report its load.
        age_ms: Time since the sender computed it, in milliseconds.
    """

    service: str
    offered: tuple[int, ...]
    room: int
    age_ms: int = 0


def to_message(service: str, load: scarcity.Load) -> ServiceLoad:
    """Returns a load as a message."""
    return ServiceLoad(
        service,
        tuple(round(work * UNITS_PER_SECOND) for work in load.offered),
        round(load.admitted * UNITS_PER_SECOND),
        round(load.turned_away * UNITS_PER_SECOND),
        load.turned_away_count,
        load.slots,
    )


def to_load(message: ServiceLoad) -> scarcity.Load:
    """Returns the load that a message states."""
    return scarcity.Load(
        [work / UNITS_PER_SECOND for work in message.offered],
        message.admitted / UNITS_PER_SECOND,
        message.turned_away / UNITS_PER_SECOND,
        message.turned_away_count,
        message.slots,
    )


def is_valid_load(message: ServiceLoad) -> bool:
    """Returns whether the amounts of a load are possible.

    The load of one VM counts for all others.
    """
    amounts = (
        *message.offered,
        message.admitted,
        message.turned_away,
        message.turned_away_count,
        message.slots,
    )
    return (
        _is_valid_name(message.service)
        and 0 < len(message.offered) <= scarcity.MAX_RANKS
        and all(0 <= amount <= MAX_AMOUNT for amount in amounts)
        and message.turned_away <= message.admitted
    )


def is_valid_room(message: ServiceRoom) -> bool:
    """Returns whether the amounts of a room are possible."""
    amounts = (*message.offered, message.age_ms)
    return (
        _is_valid_name(message.service)
        and UNKNOWN_ROOM <= message.room <= MAX_AMOUNT
        and 0 < len(message.offered) <= scarcity.MAX_RANKS
        and all(0 <= amount <= MAX_AMOUNT for amount in amounts)
    )


def _is_valid_name(name: str) -> bool:
    return 0 < len(name) <= bounds.MAX_TEXT_CHARACTERS
