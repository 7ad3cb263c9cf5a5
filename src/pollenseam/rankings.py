"""The order in which the upstreams of a service are tried for an object.

Every VM of a region ranks the upstreams in the same order for the same object
(rendezvous hashing, Thaler and Ravishankar, 1998).
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping

from pollenseam import hashing
from pollenseam import upstreamstats

MAX_CACHED_RANKINGS = 4096
HOME_HASH = hashing.hash64("home")
# Requests that concern no object are spread over this many rankings.
RANKINGS_WITHOUT_OBJECT = 64


class Ranking:
    """The upstreams of a service, ranked for one object.

    Attributes:
        preferred: Pairs of rank and upstream, for the upstreams in the region
            of the first-ranked one (the preferred region of the object).
        others: Pairs of rank and upstream, for all other upstreams.
    """

    __slots__ = ("preferred", "others")

    def __init__(self, ranked: list[upstreamstats.UpstreamStats]) -> None:
        preferred_region = ranked[0].region if ranked else ""
        pairs = list(enumerate(ranked))
        self.preferred = [p for p in pairs if p[1].region == preferred_region]
        self.others = [p for p in pairs if p[1].region != preferred_region]


class Rankings:
    """The rankings of one service's upstreams, as a VM of a region sees them.

    Attributes:
        region: Region of the VM.
        home_ratio: Fraction (0 to 1) of the objects requested in the region
            that the region's own upstreams have capacity for, assuming that
            every failure domain sends the same amount of requests.
    """

    __slots__ = ("region", "home_ratio", "_cached", "_next_ranking")

    def __init__(self, region: str) -> None:
        self.region = region
        self.home_ratio = 1.0
        self._cached: dict[str, Ranking] = {}
        self._next_ranking = 0

    def clear(self) -> None:
        """Drops all rankings, as the upstreams have changed."""
        self._cached.clear()

    def copy(self) -> "Rankings":
        """Returns rankings that go on alike, without any cached one."""
        copied = Rankings(self.region)
        copied.home_ratio = self.home_ratio
        copied._next_ranking = self._next_ranking
        return copied

    def find(
        self,
        object: str | None,
        upstreams: Collection[upstreamstats.UpstreamStats],
    ) -> Ranking:
        """Returns the ranking for an object, cached until `clear`.

        Requests without an object take the rankings of RANKINGS_WITHOUT_OBJECT
        made-up objects in turn.
        """
        if object is None:
            self._next_ranking += 1
            object = f"#{self._next_ranking % RANKINGS_WITHOUT_OBJECT}"
        ranking = self._cached.get(object)
        if ranking is None:
            ranking = Ranking(self._rank_upstreams(object, upstreams))
            if len(self._cached) > MAX_CACHED_RANKINGS:
                self._cached.clear()
            self._cached[object] = ranking
        return ranking

    def _rank_upstreams(
        self,
        object: str,
        upstreams: Collection[upstreamstats.UpstreamStats],
    ) -> list[upstreamstats.UpstreamStats]:
        object_hash = hashing.hash64(object)
        position = hashing.mix(object_hash, HOME_HASH) / hashing.MASK_64
        is_home = position < self.home_ratio
        scored = [
            (
                (upstream.region == self.region) == is_home,
                hashing.mix(object_hash, upstream.name_hash),
                upstream.record.id,
                upstream,
            )
            for upstream in upstreams
        ]
        scored.sort(key=lambda s: s[:3], reverse=True)
        return [s[3] for s in scored]


def room_ratios(
    upstreams: Collection[upstreamstats.UpstreamStats],
    regions: Mapping[str, str],
) -> dict[str, float]:
    """Returns each region's share of the slots by its share of the demand.

    Every failure domain is assumed to send the same amount of requests.

    Args:
        upstreams: Upstreams of the service.
        regions: Region of each failure domain.
    """
    domains = collections.Counter(regions.values())
    slots: collections.Counter[str] = collections.Counter()
    for upstream in upstreams:
        slots[upstream.region] += upstream.record.slots
    total = slots.total()
    if not total:
        return {}
    return {
        region: slots[region] / total * domains.total() / count
        for region, count in domains.items()
    }
