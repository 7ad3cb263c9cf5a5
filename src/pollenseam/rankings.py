"""The order in which the upstreams of a service are tried for an object.

Every VM of a region ranks the upstreams in the same order for the same object
(rendezvous hashing, Thaler and Ravishankar, 1998).
"""

import collections
import math
from collections.abc import Collection
from collections.abc import Mapping

from pollenseam import hashing
from pollenseam import upstreamstats

MAX_CACHED_RANKINGS = 4096
HOME_HASH = hashing.hash64("home")
# Change of a weight that is worth new rankings.
MIN_CHANGE = 0.01
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
            every failure domain sends the same amount of requests unless it is
            known what they send.
        spare_weights: What the other regions have room for beyond their own
            objects, by region; empty if objects that leave the region are
            spread over all upstreams elsewhere.
    """

    __slots__ = (
        "region",
        "home_ratio",
        "spare_weights",
        "_cached",
        "_next_ranking",
    )

    def __init__(self, region: str) -> None:
        self.region = region
        self.home_ratio = 1.0
        self.spare_weights: dict[str, float] = {}
        self._cached: dict[str, Ranking] = {}
        self._next_ranking = 0

    def clear(self) -> None:
        """Drops all rankings, as the upstreams have changed."""
        self._cached.clear()

    def copy(self) -> "Rankings":
        """Returns rankings that go on alike, without any cached one."""
        copied = Rankings(self.region)
        copied.home_ratio = self.home_ratio
        copied.spare_weights = self.spare_weights
        copied._next_ranking = self._next_ranking
        return copied

    def divide(
        self, home_ratio: float, spare_weights: dict[str, float]
    ) -> None:
        """Sets which part of the objects leaves the region, and to where."""
        regions = self.spare_weights.keys() | spare_weights.keys()
        changes = [abs(home_ratio - self.home_ratio)]
        changes += [
            abs(spare_weights.get(r, 0.0) - self.spare_weights.get(r, 0.0))
            for r in regions
        ]
        if max(changes) >= MIN_CHANGE:
            self.home_ratio = home_ratio
            self.spare_weights = spare_weights
            self.clear()

    def _target_region(self, object_hash: int) -> str:
        """Returns the region for an object that leaves its own, or "".

        Regions get objects in proportion to their weights (weighted rendezvous
        hashing, Schindelhauer and Schomaker, 2005).
        """
        best = ""
        best_score = 0.0
        for region, weight in self.spare_weights.items():
            mixed = hashing.mix(object_hash, hashing.hash64(region))
            position = (mixed + 1) / (hashing.MASK_64 + 2)
            score = weight / -math.log(position)
            if score > best_score:
                best, best_score = region, score
        return best

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
        target = self.region if is_home else self._target_region(object_hash)
        scored = [
            (
                (upstream.region == self.region) == is_home,
                upstream.region == target,
                hashing.mix(object_hash, upstream.name_hash),
                upstream.record.id,
                upstream,
            )
            for upstream in upstreams
        ]
        scored.sort(key=lambda s: s[:4], reverse=True)
        return [s[4] for s in scored]


def room_ratios(
    upstreams: Collection[upstreamstats.UpstreamStats],
    regions: Mapping[str, str],
    demand_shares: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Returns each region's share of the slots by its share of the demand.

    Args:
        upstreams: Upstreams of the service.
        regions: Region of each failure domain.
        demand_shares: Each region's share of the requests for the service. By
            default, every failure domain sends the same amount.
    """
    domains = collections.Counter(regions.values())
    slots: collections.Counter[str] = collections.Counter()
    for upstream in upstreams:
        slots[upstream.region] += upstream.record.slots
    total = slots.total()
    if not total:
        return {}
    demand = {region: n / domains.total() for region, n in domains.items()}
    demand.update(demand_shares or {})
    return {
        region: slots[region] / total / share
        for region, share in demand.items()
        if share > 0
    }


def spare_weights(
    room: Mapping[str, float], demand_shares: Mapping[str, float]
) -> dict[str, float]:
    """Returns what regions have room for beyond what they ask for.

    Args:
        room: Share of the slots by share of the demand, by region.
        demand_shares: Share of the demand, by region.

    Returns:
        Shares of all slots, by region; only those above 0.
    """
    return {
        region: (ratio - 1) * demand_shares[region]
        for region, ratio in room.items()
        if ratio > 1 and region in demand_shares
    }
