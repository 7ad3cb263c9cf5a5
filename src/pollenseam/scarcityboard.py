"""What the leader knows of services that are short of room; does no I/O.

VMs of one region compete for the same upstreams, as those of their own region
come first for most requests. So the loads of each region are summed apart.

VMs report only while a service may be short. The first report makes the leader
ask the others, and it estimates the room once they had time to answer.
"""

from collections.abc import Iterable

from pollenseam import scarcity
from pollenseam import scarcitymessages

# A VM reports with each renewal; one that misses several counts no more.
REPORT_SECONDS = 2.0
# The room changes at most this often, whatever the number of VMs.
UPDATE_SECONDS = 0.25
# Two renewals: one that asks a VM to report, and its report.
ASK_SECONDS = 1.0
MAX_GROUPS = 1024


class Group:
    """The VMs of a region that send requests to one service.

    Attributes:
        loads: Loads by VM.
        deadlines: Times in seconds after which a load counts no more, by VM.
        estimate: Estimated room of the service for these VMs.
        load: Sum of the loads at the last update.
        count: Number of VMs in that sum.
        ready_at: Time in seconds from which all VMs should have reported.
        update_at: Time in seconds of the next update.
    """

    __slots__ = (
        "loads",
        "deadlines",
        "estimate",
        "load",
        "count",
        "ready_at",
        "update_at",
    )

    def __init__(self, now: float) -> None:
        self.loads: dict[str, scarcity.Load] = {}
        self.deadlines: dict[str, float] = {}
        self.estimate = scarcity.RoomEstimate(now)
        self.load = scarcity.total([])
        self.count = 0
        self.ready_at = now + ASK_SECONDS
        self.update_at = now

    @property
    def is_over(self) -> bool:
        """Whether nothing is left to tell: there is room for all."""
        is_calm = self.load.turned_away_count == 0
        return not self.loads or (is_calm and self.estimate.room is None)

    def record(self, vm: str, load: scarcity.Load, now: float) -> None:
        """Replaces the load of a VM."""
        self.loads[vm] = load
        self.deadlines[vm] = now + REPORT_SECONDS

    def expire(self, now: float) -> None:
        """Drops the loads of VMs that no longer report."""
        ended = [vm for vm, at in self.deadlines.items() if at <= now]
        for vm in ended:
            del self.loads[vm], self.deadlines[vm]

    def update(self, now: float) -> None:
        """Sums the loads, at most once in UPDATE_SECONDS."""
        if now < self.update_at:
            return
        self.update_at = now + UPDATE_SECONDS
        self.expire(now)
        self.load = scarcity.total(list(self.loads.values()))
        if self.count:
            self.estimate.scale(len(self.loads) / self.count)
        self.count = len(self.loads)
        self.estimate.update(self.load, now)


class Board:
    """Loads and rooms by region and service.

    Attributes:
        groups: Groups by region, then by service.
        refused_count: Messages that were dropped as impossible.
    """

    __slots__ = ("groups", "refused_count")

    def __init__(self) -> None:
        self.groups: dict[str, dict[str, Group]] = {}
        self.refused_count = 0

    def record(
        self,
        vm: str,
        region: str,
        messages: Iterable[scarcitymessages.ServiceLoad],
        now: float,
    ) -> None:
        """Adopts the loads that an entry VM reports."""
        groups = self.groups.get(region, {})
        for message in messages:
            is_known = message.service in groups
            if not scarcitymessages.is_valid_load(message) or (
                not is_known and self._count() >= MAX_GROUPS
            ):
                self.refused_count += 1
                continue
            groups = self.groups.setdefault(region, {})
            if not is_known:
                groups[message.service] = Group(now)
            load = scarcitymessages.to_load(message)
            groups[message.service].record(vm, load, now)

    def rooms(
        self, region: str, now: float
    ) -> list[scarcitymessages.ServiceRoom]:
        """Returns the rooms of a region's services that may be short."""
        groups = self.groups.get(region)
        if not groups:
            return []
        rooms: list[scarcitymessages.ServiceRoom] = []
        for service, group in list(groups.items()):
            group.update(now)
            if group.is_over:
                del groups[service]
            else:
                rooms.append(_to_message(service, group, now))
        return rooms

    def _count(self) -> int:
        return sum(len(groups) for groups in self.groups.values())


def _to_message(
    service: str, group: Group, now: float
) -> scarcitymessages.ServiceRoom:
    units = scarcitymessages.UNITS_PER_SECOND
    offered = tuple(round(work * units) for work in group.load.offered)
    room = sum(offered)
    if now < group.ready_at:
        room = scarcitymessages.UNKNOWN_ROOM
    elif group.estimate.room is not None:
        room = round(group.estimate.room * units)
    age_ms = int((now - group.estimate.updated_at) * 1000)
    return scarcitymessages.ServiceRoom(service, offered, room, age_ms)
