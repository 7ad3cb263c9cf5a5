"""Applies the order of ranks to calls, with the counts and log lines of it."""

from collections.abc import Callable

from pollenseam import calls
from pollenseam import errors
from pollenseam import events
from pollenseam import metrics
from pollenseam import options
from pollenseam import rankorder
from pollenseam import routing


class RankWatch:
    """Refuses calls that would take the room of higher ranks.

    Attributes:
        order: Decides which calls are admitted.
        log: Event log.
        metrics: Counters of the entry VM.
        now: Returns the time in seconds.
    """

    __slots__ = ("order", "log", "metrics", "now", "_short_services")

    def __init__(
        self,
        option_values: options.Options,
        log: events.EventLog,
        entry_metrics: metrics.EntryMetrics,
        now: Callable[[], float],
    ) -> None:
        self.order = rankorder.RankOrder(option_values, now)
        self.log = log
        self.metrics = entry_metrics
        self.now = now
        self._short_services: set[str] = set()

    def adopt_table(self, table: routing.Table) -> None:
        """Follows which services have requests of different ranks."""
        self.order.set_services(ranked_services(table))

    def check(self, active_call: calls.ActiveCall) -> None:
        """Admits a call whose token was taken, or refuses it.

        Raises:
            RefusedError: The service is short of room, and the call's rank or
                workspace has to give way.
        """
        service = active_call.service
        if service not in self.order.ranked_services:
            return
        refusal = self.order.decide(
            service,
            active_call.priority,
            active_call.call.workspace,
            _expected_work(active_call),
            active_call.deadline - self.now(),
        )
        self._log_shortage(service)
        if refusal is not None:
            self._count(active_call, refusal.reason)
            self._log_refusal(active_call, refusal)
            raise errors.refuse(
                errors.Kind.NO_ROOM,
                f"the service is short of room: {refusal.admitted_ratio:.3g} "
                f"of such requests are admitted ({refusal.reason})",
                executed="no",
                retry_after=refusal.retry_after,
            )

    def record_refusal(
        self, active_call: calls.ActiveCall, refusal: errors.Refusal
    ) -> None:
        """Records the refusal of an admitted call; spreads when it returns."""
        if not active_call.found_no_room or refusal.kind != errors.Kind.NO_ROOM:
            return
        service = active_call.service
        if service not in self.order.ranked_services:
            return
        self.order.record_turned_away(service, _expected_work(active_call))
        self._count(active_call, "no-room")
        left_seconds = active_call.deadline - self.now()
        seconds = self.order.return_seconds(
            service, active_call.priority, left_seconds
        )
        if refusal.retry_after is not None:
            refusal.retry_after = max(refusal.retry_after, seconds)

    def update_gauges(self) -> None:
        """Sets the admitted part of each rank, for the exposition."""
        ratios = self.metrics.admitted_ratios.values
        ratios.clear()
        for service, order in self.order.orders.items():
            for rank, part in enumerate(order.rank_parts):
                ratios[service, str(rank)] = part

    def _count(self, active_call: calls.ActiveCall, reason: str) -> None:
        rank = rankorder.limited_rank(active_call.priority)
        self.metrics.refused_ranks.add(active_call.service, str(rank), reason)

    def _log_refusal(
        self, active_call: calls.ActiveCall, refusal: rankorder.Refusal
    ) -> None:
        order = self.order.orders[active_call.service]
        self.log.emit_often(
            "rank-refused",
            request=active_call.call.id,
            service=active_call.service,
            rank=active_call.priority,
            workspace=active_call.call.workspace or None,
            reason=refusal.reason,
            admitted=refusal.admitted_ratio,
            rank_admitted=refusal.rank_ratio,
            room_ratio=order.room_ratio,
            source=refusal.source,
            retry_after=refusal.retry_after,
        )

    def _log_shortage(self, service: str) -> None:
        """Logs that a shortage begins or ends."""
        order = self.order.orders.get(service)
        is_short = order is not None and order.is_short
        if is_short == (service in self._short_services):
            return
        if order is None or not is_short:
            self._short_services.discard(service)
            self.log.emit_often("service-has-room", service=service)
            return
        self._short_services.add(service)
        self.log.emit_often(
            "service-short",
            service=service,
            room_ratio=order.room_ratio,
            admitted=",".join(f"{part:.3g}" for part in order.rank_parts),
            source=order.source,
            age_ms=order.word.age_ms if order.word is not None else None,
        )


def ranked_services(table: routing.Table) -> set[str]:
    """Returns the services whose requests have different ranks.

    The priority of a workspace, if it has one, goes before that of a route.
    """
    own_ranks = {
        workspace.priority
        for workspace in table.workspaces.values()
        if workspace.priority is not None
    }
    has_plain = any(w.priority is None for w in table.workspaces.values())
    ranks: dict[str, set[int]] = {}
    for named_routes in table.hosts.values():
        for named in named_routes:
            route = named.route
            found = set() if route.is_open else set(own_ranks)
            if route.is_open or has_plain or not table.requires_key:
                found.add(route.priority)
            for split in route.splits:
                ranks.setdefault(split.service, set()).update(
                    map(rankorder.limited_rank, found)
                )
    return {service for service, found in ranks.items() if len(found) > 1}


def _expected_work(active_call: calls.ActiveCall) -> float:
    return active_call.pool.work_estimates.estimate(
        active_call.named_route.name
    )
