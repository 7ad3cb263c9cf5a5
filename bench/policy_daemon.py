"""The daemon with another load-balancing policy, as a baseline.

POLLENSEAM_BENCH_POLICY is `round-robin`, `least-connections` or `own`. With
`own`, the default, and with any other value the daemon keeps its own policy.
"""

import itertools
import os

from pollenseam import daemon
from pollenseam import upstreams

_round_robin_counter = itertools.count()


def round_robin(
    self: upstreams.Pool, region: str, domain: str, now: float, tried: set[str]
) -> upstreams.Upstream | None:
    """Returns the usable upstreams of a region in turn.

    Replaces upstreams.Pool.choose and has its arguments, but ignores
    utilization and failure domains.
    """
    usable = _usable(self, region, now, tried)
    return usable[next(_round_robin_counter) % len(usable)] if usable else None


def least_connections(
    self: upstreams.Pool, region: str, domain: str, now: float, tried: set[str]
) -> upstreams.Upstream | None:
    """Returns the usable upstream with the fewest requests in flight.

    Replaces upstreams.Pool.choose and has its arguments, but ignores failure
    domains. Only requests of this VM count; ties are broken at random.
    """
    usable = _usable(self, region, now, tried)
    if not usable:
        return None
    return min(usable, key=lambda u: (u.in_flight, self.random.random()))


def _usable(
    pool: upstreams.Pool, region: str, now: float, tried: set[str]
) -> list[upstreams.Upstream]:
    return [
        upstream
        for name, upstream in sorted(pool.upstreams.items())
        if upstream.record.region == region
        and name not in tried
        and upstream.is_usable(now)
        and now >= upstream.full_until
    ]


POLICIES = {
    "round-robin": round_robin,
    "least-connections": least_connections,
}


def main() -> None:
    """Runs the daemon with the policy of POLLENSEAM_BENCH_POLICY."""
    policy = POLICIES.get(os.environ.get("POLLENSEAM_BENCH_POLICY", "own"))
    if policy is not None:
        upstreams.Pool.choose = policy  # type: ignore[method-assign]
    daemon.main()


if __name__ == "__main__":
    main()
