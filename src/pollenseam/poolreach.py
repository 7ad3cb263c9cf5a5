"""Follows which services a daemon reaches; marks upstreams out of reach."""

from collections.abc import Callable

from pollenseam import events
from pollenseam import metrics
from pollenseam import reachwatch
from pollenseam import upstreams


class PoolReach(reachwatch.ReachWatch):
    """The reach of each service, by its path.

    Only connects to upstreams in this VM's region are recorded.

    Attributes:
        pool: Returns the pool of a service's upstreams.
    """

    def __init__(
        self,
        log: events.EventLog,
        now: reachwatch.Clock,
        connect_counter: metrics.Counter,
        addresses: Callable[[str], dict[str, str]],
        pool: Callable[[str], upstreams.Pool],
    ) -> None:
        super().__init__(log, now, connect_counter, addresses)
        self.pool = pool

    def record_connect_failed(
        self, service: str, upstream: str, upstream_count: int, outcome: str
    ) -> None:
        """Records that a connection to an upstream could not be opened."""
        known = self.pool(service).upstreams.get(upstream)
        if known is not None:
            known.record_unreachable(self.now())
        super().record_connect_failed(
            service, upstream, upstream_count, outcome
        )

    def record_connected(
        self, service: str, upstream: str, upstream_count: int
    ) -> None:
        """Records that a connection to an upstream was opened."""
        known = self.pool(service).upstreams.get(upstream)
        if known is not None:
            known.record_reachable()
        super().record_connected(service, upstream, upstream_count)

    def unreached(self) -> list[str]:
        """Returns the paths of the services that this VM does not reach."""
        reaches = self.services.items()
        return sorted(path for path, reach in reaches if reach.is_unreached)

    def cut_off(self) -> list[str]:
        """Returns the paths of the services that only other VMs reach."""
        now = self.now()
        reaches = self.services.items()
        return sorted(path for path, reach in reaches if reach.is_cut_off(now))
