"""The daemon with another choice of upstream, as a baseline.

POLLENSEAM_BENCH_POLICY is `own`, `round-robin` or `least-connections`.
"""

import itertools
import os

from pollenseam import daemon
from pollenseam import upstreams

_round_robin_counter = itertools.count()


def round_robin(
    self: upstreams.Pool, region: str, domain: str, now: float, tried: set[str]
) -> upstreams.Upstream | None:
    """Returns the next usable upstream, whatever it runs."""
    found = _usable(self, region, now, tried)
    return found[next(_round_robin_counter) % len(found)] if found else None


def least_connections(
    self: upstreams.Pool, region: str, domain: str, now: float, tried: set[str]
) -> upstreams.Upstream | None:
    """Returns the usable upstream with the fewest own requests."""
    found = _usable(self, region, now, tried)
    if not found:
        return None
    return min(found, key=lambda u: (u.in_flight, self.random.random()))


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
    """Runs the daemon with the chosen policy."""
    policy = POLICIES.get(os.environ.get("POLLENSEAM_BENCH_POLICY", "own"))
    if policy is not None:
        upstreams.Pool.choose = policy  # type: ignore[method-assign]
    daemon.main()


if __name__ == "__main__":
    main()
