"""Whether this VM reaches the upstreams of a service; does no I/O.

The evidence is that of the calls themselves: connections that were opened or
could not be opened, and replies. It concerns this VM's way to all upstreams of
a service, not the state of one upstream (`upstreamstats`), and cannot tell a
partition of this VM from a service that is down for all VMs.
"""

import collections
from collections.abc import Container

# Failed connects to this many upstreams, or to all if there are fewer, without
# a successful one between them, mean that the service is not reached.
UNREACHED_COUNT = 2
# As many, while replies go on arriving on kept connections. Then it is more
# likely that some of the upstreams are out of reach for all VMs.
LIVE_UNREACHED_COUNT = 4
# A failed connect is no evidence beside one that fails much later.
EVIDENCE_SECONDS = 8.0
# Kept connections are trusted for this time after a reply.
LIVE_SECONDS = 1.0
# Each return within this time raises the number of upstreams that must accept a
# connection before the next return.
FLAP_SECONDS = 10.0
MAX_RETURN_COUNT = 4
# A VM calls itself cut off from a service after this time, and for this long
# after it reached the service again, doubled by each return of the last
# FLAP_SECONDS up to the maximum.
CUT_OFF_SECONDS = 0.5
HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 8.0


class ServiceReach:
    """Whether this VM reaches the upstreams of one service.

    All times are in seconds.

    Attributes:
        failed: Time of the last failed connect, by upstream, since the last
            successful connect to any upstream of the service.
        reconnected: Upstreams whose last connect succeeded while the service
            was unreached.
        returns: Times at which the service was reached again.
        latest: Whether the last connect succeeded, by upstream.
        failing_since: Time of the first of the `failed` connects, or None.
        unreached_since: Time since which the service is unreached, or None.
        connected_at: Time of the last successful connect, or None.
        replied_at: Time of the last reply, or None.
        heard_at: Time of the last reply or successful connect, by upstream.
        helped_at: Time at which another VM last reached the service for this
            one, or None.
        cut_off_until: Time until which this VM counts as cut off although it
            reaches the service again.
    """

    __slots__ = (
        "failed",
        "reconnected",
        "returns",
        "latest",
        "failing_since",
        "unreached_since",
        "connected_at",
        "replied_at",
        "heard_at",
        "helped_at",
        "cut_off_until",
    )

    def __init__(self) -> None:
        self.failed: dict[str, float] = {}
        self.reconnected: set[str] = set()
        self.returns: collections.deque[float] = collections.deque()
        self.latest: dict[str, bool] = {}
        self.failing_since: float | None = None
        self.unreached_since: float | None = None
        self.connected_at: float | None = None
        self.replied_at: float | None = None
        self.heard_at: dict[str, float] = {}
        self.helped_at: float | None = None
        self.cut_off_until = 0.0

    @property
    def is_unreached(self) -> bool:
        """Whether no upstream of the service seems to be within reach."""
        return self.unreached_since is not None

    @property
    def failing_count(self) -> int:
        """Number of upstreams to which the last connect failed."""
        return sum(not succeeded for succeeded in self.latest.values())

    def may_accept(self, upstream: str) -> bool:
        """Returns whether the last connect to an upstream did not fail."""
        return self.latest.get(upstream, True)

    def record_connect_failed(
        self, upstream: str, upstream_count: int, now: float
    ) -> bool:
        """Records a failed connect; returns whether the reach was lost by it.

        Args:
            upstream: Id of the upstream.
            upstream_count: Number of upstreams of the service.
            now: Time in seconds.
        """
        self.latest[upstream] = False
        self.reconnected.discard(upstream)
        self._drop_old(now)
        self.failed[upstream] = now
        if self.failing_since is None:
            self.failing_since = now
        required = UNREACHED_COUNT
        if self.has_live_connections(now):
            required = LIVE_UNREACHED_COUNT
        is_lost = len(self.failed) >= min(required, upstream_count)
        if self.is_unreached or not is_lost:
            return False
        self.unreached_since = now
        return True

    def _drop_old(self, now: float) -> None:
        """Drops failures that are no evidence any more."""
        if self.is_unreached:
            return
        oldest = now - EVIDENCE_SECONDS
        self.failed = {u: at for u, at in self.failed.items() if at >= oldest}
        self.failing_since = min(self.failed.values(), default=None)

    def record_connected(
        self, upstream: str, upstream_count: int, now: float
    ) -> bool:
        """Records a successful connect; returns whether it restored the reach.

        Args:
            upstream: Id of the upstream.
            upstream_count: Number of upstreams of the service.
            now: Time in seconds.
        """
        self.latest[upstream] = True
        self.heard_at[upstream] = now
        self.connected_at = now
        if self.is_unreached:
            self.reconnected.add(upstream)
            # Those that accept no connection now may have ended.
            open_count = upstream_count - self.failing_count
            required = min(self._return_count(now), max(1, open_count))
            if len(self.reconnected) < required:
                return False
            self.returns.append(now)
            if self.is_cut_off(now):
                self.cut_off_until = now + self._hold_seconds()
        restored = self.is_unreached
        self.unreached_since = None
        self.failing_since = None
        self.failed.clear()
        self.reconnected.clear()
        return restored

    def _return_count(self, now: float) -> int:
        """Returns the number of upstreams that must accept a connection."""
        while self.returns and self.returns[0] < now - FLAP_SECONDS:
            self.returns.popleft()
        return min(1 + len(self.returns), MAX_RETURN_COUNT)

    def _hold_seconds(self) -> float:
        """Returns how long this VM counts as cut off after a return."""
        seconds = HOLD_SECONDS * 2.0 ** (len(self.returns) - 1)
        return min(seconds, MAX_HOLD_SECONDS)

    def record_reply(self, upstream: str, now: float) -> None:
        """Records that a reply of an upstream arrived."""
        self.replied_at = now
        self.heard_at[upstream] = now

    def has_replied_since(self, time: float) -> bool:
        """Returns whether a reply has arrived since a time in seconds."""
        return self.replied_at is not None and self.replied_at >= time

    def record_help(self, now: float) -> None:
        """Records that another VM reached the service for this one."""
        self.helped_at = now

    def is_cut_off(self, now: float) -> bool:
        """Returns whether other VMs reach the service and this one does not.

        A service that no VM reaches is down, and no reason to send callers
        elsewhere.
        """
        if now < self.cut_off_until:
            return True
        if self.unreached_since is None:
            return False
        is_helped = (
            self.helped_at is not None
            and self.helped_at >= self.unreached_since
        )
        return is_helped and now - self.unreached_since >= CUT_OFF_SECONDS

    def has_live_connections(self, now: float) -> bool:
        """Returns whether kept connections seem to work.

        They do while replies go on arriving after connects began to fail.
        """
        if self.replied_at is None or self.failing_since is None:
            return False
        is_later = self.replied_at > self.failing_since
        return is_later and now - self.replied_at <= LIVE_SECONDS

    def retain(self, upstreams: Container[str]) -> None:
        """Forgets all other upstreams."""
        self.latest = {u: s for u, s in self.latest.items() if u in upstreams}
        self.reconnected = {u for u in self.reconnected if u in upstreams}
        self.heard_at = {
            u: t for u, t in self.heard_at.items() if u in upstreams
        }
