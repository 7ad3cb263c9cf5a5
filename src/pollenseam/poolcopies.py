"""Copies of pools, on which a choice can be tried without any effect."""

import collections
import copy

from pollenseam import steering
from pollenseam import upstreamstats


def copy_pool(pool: steering.Pool) -> steering.Pool:
    """Returns a copy that shares nothing with the pool which a choice changes.

    Pacers, counts, the limit on leaving a region and rankings are copied.
    """
    copied = copy.copy(pool)
    copied.upstreams = {
        id: _copy_upstream(upstream) for id, upstream in pool.upstreams.items()
    }
    copied.statements = copy.deepcopy(pool.statements)
    copied.overflow_limit = copy.deepcopy(pool.overflow_limit)
    copied.kept_away = collections.Counter()
    copied.rankings = pool.rankings.copy()
    return copied


def _copy_upstream(
    upstream: upstreamstats.UpstreamStats,
) -> upstreamstats.UpstreamStats:
    copied = copy.copy(upstream)
    copied.pacer = copy.copy(upstream.pacer)
    return copied
