"""How the requests for a service are spread over the regions; does no I/O.

Each entry VM tells the leader how many requests it gets for each service, and
the leader tells all VMs each region's share. A region that asks for more than
its part of the room sends some of its objects elsewhere, to regions that ask
for less, before queues form. A share moves slowly, so that few requests change
their region at a time.
"""

import collections
import math
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from pollenseam import options

SHARING_VMS = options.Option(
    "demand_sharing_vms",
    40.0,
    2.0,
    100_000.0,
    "entry VMs",
    "size of the fleet from which on entry VMs tell each other what each "
    "region asks for",
)
WINDOW_SECONDS = 2.0
# A VM reports with each renewal; one that misses several counts no more.
REPORT_SECONDS = 3.0
# Time until a step of the demand has reached two thirds of its share.
SMOOTHING_SECONDS = 3.0
# Change of a share that is worth a message, and a new ranking of all objects.
MIN_CHANGE = 0.02
# Time after which a share that is not stated again is forgotten.
SHARE_SECONDS = 10.0
REFRESH_SECONDS = 4.0
MAX_RATE = 1e6
MAX_GROUPS = 1024
MAX_NAME_CHARACTERS = 200


class Rate(msgspec.Struct, array_like=True, frozen=True):
    """Requests for a service that an entry VM gets.

    Attributes:
        service: Name of the service.
        rate: Requests per second.
    """

    service: str
    rate: float

    @property
    def is_valid(self) -> bool:
        """Whether the values are possible."""
        is_named = 0 < len(self.service) <= MAX_NAME_CHARACTERS
        return is_named and 0.0 <= self.rate <= MAX_RATE


class Shares(msgspec.Struct, array_like=True, frozen=True):
    """The regions' shares of the requests for a service.

    Attributes:
        service: Name of the service.
        regions: Names of the regions.
        shares: Share of each of them; they add up to 1.
    """

    service: str
    regions: tuple[str, ...]
    shares: tuple[float, ...]

    @property
    def is_valid(self) -> bool:
        """Whether the values are possible."""
        return (
            len(self.regions) == len(self.shares) > 0
            and all(0.0 <= share <= 1.0 for share in self.shares)
            and abs(sum(self.shares) - 1.0) < 0.1
        )


class Meter:
    """Counts the requests of one VM.

    Attributes:
        counts: Requests by service, by second.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[int, collections.Counter[str]] = {}

    def record(self, service: str, now: float) -> None:
        """Counts a request."""
        second = int(now)
        if second not in self.counts:
            self.counts[second] = collections.Counter()
            for old in [s for s in self.counts if s < second - WINDOW_SECONDS]:
                del self.counts[old]
        self.counts[second][service] += 1

    def rates(self, now: float) -> list[Rate]:
        """Returns the requests per second of the last whole seconds."""
        totals: collections.Counter[str] = collections.Counter()
        for second, counts in self.counts.items():
            if int(now) - WINDOW_SECONDS <= second < int(now):
                totals.update(counts)
        return [
            Rate(service, round(count / WINDOW_SECONDS, 1))
            for service, count in sorted(totals.items())
        ]


class _Group:
    """The VMs of one region that get requests for a service.

    Attributes:
        rates: Requests per second by VM.
        deadlines: Times in seconds after which a rate counts no more, by VM.
    """

    __slots__ = ("rates", "deadlines")

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        self.deadlines: dict[str, float] = {}

    def total(self, now: float) -> float:
        for vm in [vm for vm, at in self.deadlines.items() if at <= now]:
            del self.rates[vm], self.deadlines[vm]
        return sum(self.rates.values())


class _Service:
    """What is known of one service.

    Attributes:
        groups: VMs by region.
        smoothed: Smoothed share by region.
        updated_at: Time in seconds of the last update.
        stated: What was stated last, or None.
        stated_at: Time in seconds at which it was stated.
        revision: Number of statements so far, of all services.
    """

    __slots__ = (
        "groups",
        "smoothed",
        "updated_at",
        "stated",
        "stated_at",
        "revision",
    )

    def __init__(self, now: float) -> None:
        self.groups: dict[str, _Group] = {}
        self.smoothed: dict[str, float] = {}
        self.updated_at = now
        self.stated: Shares | None = None
        self.stated_at = now
        self.revision = 0

    def smooth(self, now: float) -> None:
        """Moves the shares towards what the VMs report."""
        totals = {r: group.total(now) for r, group in self.groups.items()}
        demand = sum(totals.values())
        weight = 1 - math.exp(-(now - self.updated_at) / SMOOTHING_SECONDS)
        self.updated_at = now
        if demand <= 0:
            return
        for region, total in totals.items():
            share = self.smoothed.get(region, total / demand)
            share += (total / demand - share) * weight
            self.smoothed[region] = share

    def differs(self, now: float) -> bool:
        """Returns whether the shares should be stated again."""
        if self.stated is None or now - self.stated_at >= REFRESH_SECONDS:
            return bool(self.smoothed)
        known = dict(zip(self.stated.regions, self.stated.shares, strict=True))
        return any(
            abs(share - known.get(region, 0.0)) >= MIN_CHANGE
            for region, share in self.smoothed.items()
        )


class Board:
    """What the leader knows of the demand in all regions.

    Attributes:
        services: Demand by service.
        revision: Number of statements so far.
        refused_count: Messages that were dropped as impossible.
    """

    __slots__ = ("services", "revision", "refused_count")

    def __init__(self) -> None:
        self.services: dict[str, _Service] = {}
        self.revision = 0
        self.refused_count = 0

    def record(
        self, vm: str, region: str, rates: Iterable[Rate], now: float
    ) -> None:
        """Adopts what an entry VM reports."""
        for rate in rates:
            known = self.services.get(rate.service)
            if not rate.is_valid or (
                known is None and len(self.services) >= MAX_GROUPS
            ):
                self.refused_count += 1
                continue
            if known is None:
                known = self.services[rate.service] = _Service(now)
            group = known.groups.setdefault(region, _Group())
            group.rates[vm] = rate.rate
            group.deadlines[vm] = now + REPORT_SECONDS

    def changes_since(self, revision: int, now: float) -> list[Shares]:
        """Returns the shares that were stated after a revision."""
        for service, demand in self.services.items():
            if now - demand.updated_at >= WINDOW_SECONDS / 4:
                demand.smooth(now)
                if demand.differs(now):
                    self._state(service, demand, now)
        return [
            demand.stated
            for demand in self.services.values()
            if demand.stated is not None and demand.revision > revision
        ]

    def _state(self, service: str, demand: _Service, now: float) -> None:
        total = sum(demand.smoothed.values()) or 1.0
        regions = tuple(sorted(demand.smoothed))
        shares = tuple(round(demand.smoothed[r] / total, 3) for r in regions)
        self.revision += 1
        demand.revision = self.revision
        demand.stated = Shares(service, regions, shares)
        demand.stated_at = now


class View:
    """The shares that one entry VM knows.

    Attributes:
        by_service: Shares by region, by service.
        deadlines: Times in seconds after which they are forgotten, by service.
        has_changed: Whether a share has changed since this was set to False.
        refused_count: Messages that were dropped as impossible.
    """

    __slots__ = ("by_service", "deadlines", "has_changed", "refused_count")

    def __init__(self) -> None:
        self.by_service: dict[str, Mapping[str, float]] = {}
        self.deadlines: dict[str, float] = {}
        self.has_changed = False
        self.refused_count = 0

    def adopt(self, statements: Iterable[Shares], now: float) -> None:
        """Adopts what the leader states."""
        self._expire(now)
        for statement in statements:
            if not statement.is_valid:
                self.refused_count += 1
                continue
            shares = dict(zip(statement.regions, statement.shares, strict=True))
            if self.by_service.get(statement.service) != shares:
                self.has_changed = True
            self.by_service[statement.service] = shares
            self.deadlines[statement.service] = now + SHARE_SECONDS

    def _expire(self, now: float) -> None:
        ended = [s for s, at in self.deadlines.items() if at <= now]
        for service in ended:
            del self.by_service[service], self.deadlines[service]
            self.has_changed = True
