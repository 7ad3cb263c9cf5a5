"""Decides which requests of an entry VM a service short of room gets.

Does no I/O. The order is: rank of the request, then fair shares between the
workspaces of a rank. While there is enough room, every request is admitted.
"""

import random
from collections.abc import Callable
from collections.abc import Iterable

from pollenseam import fairshares
from pollenseam import loadtallies
from pollenseam import options
from pollenseam import scarcity
from pollenseam import scarcitymessages

STRENGTH = options.Option(
    "rank_order_strength",
    0.0,
    0.0,
    1.0,
    "part",
    "how far requests of low rank give way where room is scarce; 0 is off",
)
FLOOR = options.Option(
    "rank_order_floor",
    0.25,
    0.0,
    1.0,
    "part",
    "part of scarce room that goes to all ranks alike",
)
# Word of the leader that is older is not followed.
WORD_SECONDS = 2.0
REFRESH_SECONDS = 0.25
# Demand of a workspace, relative to its usual, up to which nobody goes before
# it: callers also move between VMs.
USUAL_RATIO = 2.0
# Time without a shortage after which a VM knows what is usual.
MIN_CALM_SECONDS = 5.0
MAX_SERVICES = 64


class Refusal:
    """Why a request is not admitted.

    Attributes:
        reason: "rank" if its rank gives way to higher ones, "fair-share" if
            its workspace asks for more than its share.
        admitted_ratio: Part (0 to 1) of such requests that is admitted.
        rank_ratio: Part (0 to 1) of its rank's demand that is admitted.
        retry_after: Seconds after which the caller should come back.
        source: Where the room was estimated: "leader" or "own".
    """

    __slots__ = (
        "reason",
        "admitted_ratio",
        "rank_ratio",
        "retry_after",
        "source",
    )

    def __init__(
        self,
        reason: str,
        admitted_ratio: float,
        rank_ratio: float,
        retry_after: float,
        source: str,
    ) -> None:
        self.reason = reason
        self.admitted_ratio = admitted_ratio
        self.rank_ratio = rank_ratio
        self.retry_after = retry_after
        self.source = source


class ServiceOrder:
    """The order of one service's requests at this VM.

    Attributes:
        tally: What was asked of the service in the last seconds.
        usual: Usual demands of the workspaces, without shortages.
        calm_seconds: Time without a shortage so far; the clock of `usual`.
        estimate: Room of the service as this VM alone estimates it.
        word: Demand and room as the leader stated them, or None.
        word_deadline: Time in seconds after which `word` is not followed.
        slots: Slots of the service's upstreams.
        rank_parts: Part (0 to 1) of each rank's demand that is admitted; empty
            while there is enough room.
        parts: The same by rank and workspace.
        room_ratio: Part (0 to 1) of the demand for which there is room.
        source: Where the room was estimated: "leader" or "own".
        credits: Requests admitted too few by rank; refuses evenly.
        refresh_at: Time in seconds of the next refresh.
    """

    __slots__ = (
        "tally",
        "usual",
        "calm_seconds",
        "estimate",
        "word",
        "word_deadline",
        "slots",
        "rank_parts",
        "parts",
        "room_ratio",
        "source",
        "credits",
        "refresh_at",
    )

    def __init__(self, now: float) -> None:
        self.tally = loadtallies.Tally()
        self.usual = fairshares.UsualRates(0.0)
        self.calm_seconds = 0.0
        self.estimate = scarcity.RoomEstimate(now)
        self.word: scarcitymessages.ServiceRoom | None = None
        self.word_deadline = now
        self.slots = 0
        self.rank_parts: list[float] = []
        self.parts: dict[tuple[int, str], float] = {}
        self.room_ratio = 1.0
        self.source = "own"
        self.credits: dict[int, float] = {}
        self.refresh_at = now

    @property
    def is_short(self) -> bool:
        """Whether some requests are not admitted."""
        return bool(self.rank_parts)

    def is_told(self, now: float) -> bool:
        """Returns whether there is recent word of the leader."""
        return self.word is not None and now < self.word_deadline

    def refresh(self, strength: float, floor: float, now: float) -> None:
        """Divides the room again, at most once in REFRESH_SECONDS."""
        if now < self.refresh_at:
            return
        if not self.is_short:
            self.calm_seconds += now - self.refresh_at + REFRESH_SECONDS
        self.refresh_at = now + REFRESH_SECONDS
        demands = self.tally.demands(now)
        load = self.tally.load(demands, self.slots, now)
        self.estimate.update(load, now)
        offered, room = self._room(load, now)
        demand = sum(offered)
        if room is None or room >= demand or strength <= 0:
            self.rank_parts = []
            self.parts = {}
            self.room_ratio = 1.0
            return
        self.room_ratio = room / demand
        self.rank_parts = [
            1 - strength * (1 - part)
            for part in scarcity.divide(offered, room, floor)
        ]
        self.parts = self._divide_ranks(demands)

    def _room(
        self, load: scarcity.Load, now: float
    ) -> tuple[list[float], float | None]:
        """Returns demand by rank and room, as the leader knows or this VM."""
        word = self.word if self.is_told(now) else None
        if word is not None and word.room != scarcitymessages.UNKNOWN_ROOM:
            self.source = "leader"
            units = scarcitymessages.UNITS_PER_SECOND
            offered = [work / units for work in word.offered]
            return offered, word.room / units
        self.source = "own"
        return list(load.offered), self.estimate.room

    def _divide_ranks(
        self, demands: dict[tuple[int, str], float]
    ) -> dict[tuple[int, str], float]:
        by_rank: dict[int, dict[str, float]] = {}
        for (rank, workspace), work in demands.items():
            by_rank.setdefault(rank, {})[workspace] = work
        parts: dict[tuple[int, str], float] = {}
        for rank, by_workspace in by_rank.items():
            rank_part = self.rank_part(rank)
            if rank_part >= 1.0:
                continue
            room = rank_part * sum(by_workspace.values())
            limits = self._limits(rank, by_workspace)
            shares = fairshares.divide(by_workspace, limits, room)
            for workspace, part in shares.items():
                parts[rank, workspace] = part
        return parts

    def _limits(self, rank: int, demands: dict[str, float]) -> dict[str, float]:
        """Returns the work per second up to which demands are usual."""
        if self.calm_seconds < MIN_CALM_SECONDS:
            return demands
        # The least demand is that of a single request, which comes by chance.
        by_chance = min(demands.values())
        return {
            workspace: by_chance
            + USUAL_RATIO
            * self.usual.rate(_usual_key(rank, workspace), self.calm_seconds)
            for workspace in demands
        }

    def rank_part(self, rank: int) -> float:
        """Returns the part (0 to 1) of a rank's demand that is admitted."""
        if not self.rank_parts:
            return 1.0
        return self.rank_parts[min(rank, len(self.rank_parts) - 1)]

    def is_admitted(self, rank: int, part: float) -> bool:
        """Returns whether the next request of a rank is admitted.

        Args:
            rank: Rank of the request.
            part: Part (0 to 1) of such requests that is admitted.
        """
        credit = self.credits.get(rank)
        if credit is None:
            # At random, so that VMs don't refuse at the same moments.
            credit = random.random()
        credit += part
        is_admitted = credit >= 1.0
        self.credits[rank] = credit - 1.0 if is_admitted else credit
        return is_admitted


class RankOrder:
    """The orders of all services at this VM.

    Attributes:
        option_values: Options in force.
        now: Returns the time in seconds.
        ranked_services: Services whose requests have different ranks; only
            these have an order.
        slots: Slots of the upstreams by service.
        orders: Orders by service.
        refused_count: Messages of the leader that were dropped as impossible.
    """

    __slots__ = (
        "option_values",
        "now",
        "ranked_services",
        "slots",
        "orders",
        "refused_count",
    )

    def __init__(
        self, option_values: options.Options, now: Callable[[], float]
    ) -> None:
        self.option_values = option_values
        self.now = now
        self.ranked_services: frozenset[str] = frozenset()
        self.slots: dict[str, int] = {}
        self.orders: dict[str, ServiceOrder] = {}
        self.refused_count = 0

    def set_services(self, ranked_services: Iterable[str]) -> None:
        """Sets the services whose requests have different ranks."""
        self.ranked_services = frozenset(ranked_services)
        for service in self.orders.keys() - self.ranked_services:
            del self.orders[service]

    def find(self, service: str) -> ServiceOrder | None:
        """Returns a service's order, or None if none applies to it."""
        if service not in self.ranked_services or not self.is_on:
            return None
        order = self.orders.get(service)
        if order is None:
            order = self.orders[service] = ServiceOrder(self.now())
        return order

    @property
    def is_on(self) -> bool:
        """Whether the operator wants an order where room is scarce."""
        return self.option_values.get(STRENGTH) > 0

    def decide(
        self,
        service: str,
        rank: int,
        workspace: str,
        work: float,
        left_seconds: float,
    ) -> Refusal | None:
        """Returns why a request is refused, or None if it is admitted.

        Args:
            service: Service of the request.
            rank: Rank of the request; 0 is the highest.
            workspace: Workspace of the request, or "".
            work: Expected processing time in seconds.
            left_seconds: Time that the caller has left.
        """
        order = self.find(service)
        if order is None:
            return None
        now = self.now()
        rank = limited_rank(rank)
        order.slots = self.slots.get(service, 0)
        order.tally.record_offered(rank, workspace, work, now)
        self._refresh(order, now)
        if not order.is_short:
            key = _usual_key(rank, workspace)
            order.usual.record(key, work, order.calm_seconds)
        rank_part = order.rank_part(rank)
        if rank_part < 1.0:
            part = order.parts.get((rank, workspace), rank_part)
            if not order.is_admitted(rank, part):
                return self._refuse(order, rank, part, left_seconds)
        order.tally.record_admitted(work, now)
        return None

    def record_turned_away(self, service: str, work: float) -> None:
        """Records that no upstream had room for an admitted request."""
        order = self.orders.get(service)
        if order is not None:
            order.tally.record_turned_away(work, self.now())

    def return_seconds(
        self, service: str, rank: int, left_seconds: float
    ) -> float:
        """Returns when a caller turned away may return; 0 if room is enough."""
        order = self.orders.get(service)
        if order is None or not order.is_short:
            return 0.0
        return scarcity.return_seconds(
            limited_rank(rank), order.room_ratio, left_seconds, random.random()
        )

    def build_report(self) -> tuple[scarcitymessages.ServiceLoad, ...]:
        """Returns the loads of services that are, or may be, short."""
        now = self.now()
        messages: list[scarcitymessages.ServiceLoad] = []
        for service, order in self.orders.items():
            demands = order.tally.demands(now)
            load = order.tally.load(demands, order.slots, now)
            is_wanted = load.turned_away_count > 0 or order.is_told(now)
            if is_wanted and load.offered:
                messages.append(scarcitymessages.to_message(service, load))
        return tuple(messages[:MAX_SERVICES])

    def adopt(
        self, messages: Iterable[scarcitymessages.ServiceRoom], sent_at: float
    ) -> None:
        """Adopts the leader's answer to a report.

        Args:
            messages: Rooms of the services that are short.
            sent_at: Time in seconds at which the report was sent.
        """
        rooms: dict[str, scarcitymessages.ServiceRoom] = {}
        for message in messages:
            if scarcitymessages.is_valid_room(message):
                rooms[message.service] = message
            else:
                self.refused_count += 1
        for service in self.ranked_services:
            order = self.find(service)
            if order is not None:
                word = rooms.get(service)
                age_seconds = word.age_ms / 1000 if word is not None else 0.0
                order.word = word
                order.word_deadline = sent_at + WORD_SECONDS - age_seconds

    def _refresh(self, order: ServiceOrder, now: float) -> None:
        order.refresh(
            self.option_values.get(STRENGTH), self.option_values.get(FLOOR), now
        )

    def _refuse(
        self, order: ServiceOrder, rank: int, part: float, left_seconds: float
    ) -> Refusal:
        rank_part = order.rank_part(rank)
        reason = "fair-share" if part < rank_part else "rank"
        seconds = scarcity.return_seconds(
            rank, order.room_ratio, left_seconds, random.random()
        )
        return Refusal(reason, part, rank_part, seconds, order.source)


def limited_rank(rank: int) -> int:
    """Returns the rank as which a priority counts."""
    return min(max(rank, 0), scarcity.MAX_RANKS - 1)


def _usual_key(rank: int, workspace: str) -> str:
    return f"{rank}/{workspace}"
