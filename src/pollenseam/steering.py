"""Which upstream a request goes to, without input or output.

Every VM orders the upstreams of a service in the same way for the same
object (rendezvous hashing, Thaler and Ravishankar, 1998), so that an object
is mostly served where it is known. From that order a request takes the
upstream with the earliest expected answer: travel, wait and work, which is
shorter where the object is known.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping

from pollenseam import registry
from pollenseam import upstreamstats

# Work on an object that an upstream knows, as a part of the work on others.
WARM_WORK_RATIO = 0.35
# A send to an upstream that does not know the object makes it learn it, at
# the cost of others that wait there.
CACHE_MISS_COST_SECONDS = 0.8
DEFAULT_WORK_SECONDS = 0.5
WORK_EWMA_WEIGHT = 0.1
FAILURE_COST_SECONDS = 2.0
REGION_COST_SECONDS = 0.1
DOMAIN_COST_SECONDS = 0.002
# An overflow into another region costs this much more than a planned one:
# requests move between regions slowly.
OVERFLOW_COST_SECONDS = 0.35
# It has just shed a request.
SHED_COST_SECONDS = 0.3
COLD_COST_SECONDS = 1.0
# Only where nothing else serves.
SUSPECT_COST_SECONDS = 100.0
# After its start an upstream is taught what it will know.
WARM_UP_SECONDS = 8.0
# Work on a cold upstream, over that on a warm one.
COLD_WORK_RATIO = 2.0
# Part of the sends of a short while that may leave their region for room.
OVERFLOW_RATIO = 0.08
OVERFLOW_WINDOW_SECONDS = 2.0
# A wait that is always worth it.
ACCEPTED_WAIT_SECONDS = 0.2
# Load up to which an upstream takes objects that it does not know.
CACHE_MISS_LOAD_RATIO = 0.67
# Upstreams queue a few more than they have slots for, and shed the rest.
FULL_LOAD_RATIO = 3.5
FULL_COST_SECONDS = 2.0
# VMs that send to a cold upstream: each may send one at the same moment.
MAX_COLD_SENDERS = 3
MAX_CACHED_RANKINGS = 4096
# Upstreams of a region that a request weighs, once one of them has room.
CANDIDATE_COUNT = 12
MASK_64 = 2**64 - 1
HOME_HASH = upstreamstats.hash64("home")
# Requests that concern nothing spread over this many orders.
RANKINGS_WITHOUT_OBJECT = 64


class Choice:
    """The upstream that a request should go to.

    Its wait may be longer than the request has patience for; then it should
    be refused, and may come back when that has passed.

    Attributes:
        upstream: It.
        rank: Its place in the order for the object.
        wait_seconds: Expected wait for a slot.
        work_seconds: Expected time at a slot, with travel.
        excess_seconds: Expected wait beyond what is worth waiting.
    """

    __slots__ = (
        "upstream",
        "rank",
        "wait_seconds",
        "work_seconds",
        "excess_wait_seconds",
    )

    def __init__(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        wait_seconds: float,
        work_seconds: float,
        excess_wait_seconds: float = 0.0,
    ) -> None:
        self.excess_wait_seconds = excess_wait_seconds
        self.upstream = upstream
        self.rank = rank
        self.wait_seconds = wait_seconds
        self.work_seconds = work_seconds

    @property
    def expected_seconds(self) -> float:
        """Expected time to the answer."""
        return self.wait_seconds + self.work_seconds


class _Ranking:
    """A service's upstreams in the order for one object, with their ranks.

    Attributes:
        planned: Those of the region that the object belongs to.
        others: All others.
    """

    __slots__ = ("preferred", "others")

    def __init__(self, ranked: list[upstreamstats.UpstreamStats]) -> None:
        first = ranked[0].region if ranked else ""
        pairs = list(enumerate(ranked))
        self.preferred = [p for p in pairs if p[1].region == first]
        self.others = [p for p in pairs if p[1].region != first]


class _Candidate:
    """A choice and what it costs; one without excess goes first."""

    __slots__ = ("choice", "sort_key")

    def __init__(self, choice: Choice, cost: float) -> None:
        self.choice = choice
        self.sort_key = (choice.excess_wait_seconds > 0, cost)


class WorkEstimates:
    """Times to answer by route, smoothed: without known objects."""

    __slots__ = ("seconds_by_route",)

    def __init__(self) -> None:
        self.seconds_by_route: dict[str, float] = {}

    def estimate(self, route: str) -> float:
        """Returns the expected work on an object that is not known."""
        return self.seconds_by_route.get(route, DEFAULT_WORK_SECONDS)

    def record(self, route: str, seconds: float) -> None:
        """Takes in the work that an answer implies."""
        work = self.seconds_by_route.setdefault(route, seconds)
        self.seconds_by_route[route] = (
            work + (seconds - work) * WORK_EWMA_WEIGHT
        )


class Requirements:
    """What a request needs of an upstream.

    Attributes:
        route: Name of its route.
        object: What it concerns, or None.
        regions: Regions that may serve it; all when empty.
        tried: Ids of upstreams that must not get it again.
        patience: Seconds within which an answer should be expected.
    """

    __slots__ = ("route", "object", "regions", "tried", "target_seconds")

    def __init__(
        self,
        route: str,
        object: str | None,
        regions: Container[str],
        tried: Container[str],
        target_seconds: float = 1.0,
    ) -> None:
        self.target_seconds = target_seconds
        self.route = route
        self.object = object
        self.regions = regions
        self.tried = tried


class Pool:
    """The upstreams of one service as one entry VM uses them.

    Attributes:
        upstreams: By id.
        region: Region of the VM.
        domain: Failure domain of the VM.
        home_share: Part of this region's objects that its own upstreams
            have room for, when all regions ask for the same.
        cold_rate: Requests per second that a cold one tolerates from all
            VMs; 0 when there is no limit.
        vms: Entry VMs, with their regions.
        name: Name of this VM.
        statistics: Expected work by route.
        sends: Choices of the last OVERFLOW_WINDOW_SECONDS by time; True for
            those that left their region for room.
    """

    __slots__ = (
        "upstreams",
        "region",
        "failure_domain",
        "home_ratio",
        "cold_rate",
        "vms",
        "name",
        "work_estimates",
        "recent_choices",
        "_rankings",
        "_next_ranking",
        "_cold_limit_version",
    )

    def __init__(
        self,
        name: str,
        region: str,
        failure_domain: str,
        work_estimates: WorkEstimates,
    ) -> None:
        self.upstreams: dict[str, upstreamstats.UpstreamStats] = {}
        self.name = name
        self.vms: dict[str, str] = {name: region}
        self.region = region
        self.failure_domain = failure_domain
        self.home_ratio = 1.0
        self.cold_rate = 0.0
        self.work_estimates = work_estimates
        self.recent_choices: dict[float, bool] = {}
        self._rankings: dict[str, _Ranking] = {}
        self._next_ranking = 0
        self._cold_limit_version = 0

    def update(
        self,
        records: Iterable[registry.Upstream],
        regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Uses exactly these records, keeping what is known of them.

        Args:
            records: Upstreams that may get requests.
            regions: Region of each failure domain.
            now: Time in seconds.
        """
        before = self.upstreams
        self.upstreams = {}
        for record in records:
            known = before.get(record.id)
            if known is None or known.record.born_ms != record.born_ms:
                region = regions.get(record.failure_domain, "")
                known = upstreamstats.UpstreamStats(record, region, now)
                known.cold_until = now + record.cold_ms / 1000
            elif known.record is not record and record.cold_ms > 0:
                if known.record.noted_ms != record.noted_ms:
                    known.cold_until = now + record.cold_ms / 1000
            known.record = record
            self.upstreams[record.id] = known
        self.home_ratio = self._compute_home_ratio(regions)
        if [*before.values()] != [*self.upstreams.values()]:
            self._rankings.clear()

    def set_cold_limit(self, rate: float, vms: dict[str, str]) -> None:
        """Divides what cold upstreams tolerate between a few VMs each.

        A few, because each may send one at once; the nearest, in an order
        that all VMs know.

        Args:
            rate: Requests per second that each tolerates; 0 for no limit.
            vms: Region of each entry VM.
        """
        self.cold_rate = rate
        self.vms = vms
        self._cold_limit_version += 1

    def _admits(
        self, upstream: upstreamstats.UpstreamStats, now: float
    ) -> bool:
        """Tells whether an upstream is warm, or this VM may send it one.

        The division is worked out where it is needed: of many upstreams, few
        are cold.
        """
        if upstream.cold_until > now:
            if upstream.cold_limit_version != self._cold_limit_version:
                upstream.cold_limit_version = self._cold_limit_version
                upstream.cold_rate = self._own_cold_rate(upstream)
        return upstream.admits(now)

    def _own_cold_rate(
        self, upstream: upstreamstats.UpstreamStats
    ) -> float | None:
        if self.cold_rate <= 0:
            return None
        order = sorted(
            self.vms,
            key=lambda name: (
                self.vms[name] != upstream.region,
                _score(upstreamstats.hash64(name), upstream.name_hash),
            ),
        )
        senders = order[:MAX_COLD_SENDERS]
        if self.name not in senders:
            return 0.0
        return self.cold_rate / len(senders)

    def _compute_home_ratio(self, regions: Mapping[str, str]) -> float:
        domains = list(regions.values())
        slots = sum(u.record.slots for u in self.upstreams.values())
        own = sum(
            u.record.slots
            for u in self.upstreams.values()
            if u.region == self.region
        )
        asking = domains.count(self.region) / max(1, len(domains))
        if slots == 0 or asking == 0:
            return 1.0
        return min(1.0, own / slots / asking)

    def choose(self, ask: Requirements, now: float) -> Choice | None:
        """Returns the upstream with the earliest expected answer, if any.

        One without excess goes first: where an upstream that does not know
        the object has room, nobody is refused.
        """
        order = self._ranking(ask.object)
        planned = self._best_candidate(order.preferred, ask, now)
        other = self._best_candidate(order.others, ask, now)
        return self._choose_region(planned, other, now)

    def _best_candidate(
        self,
        ranked: list[tuple[int, upstreamstats.UpstreamStats]],
        ask: Requirements,
        now: float,
    ) -> _Candidate | None:
        """Returns the best of a list, or of its first ones if one has room."""
        best: _Candidate | None = None
        count = 0
        for rank, upstream in ranked:
            if upstream.record.id in ask.tried:
                continue
            if ask.regions and upstream.region not in ask.regions:
                continue
            if not self._admits(upstream, now):
                continue
            choice = self._evaluate(upstream, rank, ask, now)
            penalty = self._penalty(upstream, rank, ask, now)
            weighed = _Candidate(choice, choice.expected_seconds + penalty)
            if best is None or weighed.sort_key < best.sort_key:
                best = weighed
            count += 1
            if count >= CANDIDATE_COUNT and self._has_room(best, now):
                break
        return best

    def _has_room(self, weighed: _Candidate, now: float) -> bool:
        choice = weighed.choice
        return choice.excess_wait_seconds <= 0 and not self._is_suspect(
            choice.upstream, now
        )

    def _choose_region(
        self,
        planned: _Candidate | None,
        other: _Candidate | None,
        now: float,
    ) -> Choice | None:
        """Chooses between the best of the planned region and of the others.

        Requests leave their region for room in small part only, so that they
        come back in small part as well; if nothing else serves, all may.
        """
        if planned is None or other is None:
            found = planned or other
            return found.choice if found is not None else None
        self._drop_old_choices(now)
        if self._is_suspect(planned.choice.upstream, now):
            return min(planned, other, key=lambda one: one.sort_key).choice
        most = OVERFLOW_RATIO * len(self.recent_choices)
        leaves = (
            other.sort_key < planned.sort_key
            and sum(self.recent_choices.values()) < most
        )
        self.recent_choices[now] = leaves
        return other.choice if leaves else planned.choice

    def _drop_old_choices(self, now: float) -> None:
        oldest = now - OVERFLOW_WINDOW_SECONDS
        while self.recent_choices and next(iter(self.recent_choices)) < oldest:
            del self.recent_choices[next(iter(self.recent_choices))]

    def _is_suspect(
        self, upstream: upstreamstats.UpstreamStats, now: float
    ) -> bool:
        return upstream.suspect_until > now or upstream.is_unreachable(now)

    def _evaluate(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        ask: Requirements,
        now: float,
    ) -> Choice:
        work = self.expected_work(upstream, ask, now, rank)
        slots = max(1, upstream.record.slots)
        ahead = max(0.0, upstream.load(now) + 1 - slots)
        wait = ahead / slots * work
        travel = 0.0
        if upstream.region != self.region:
            travel = REGION_COST_SECONDS
        elif upstream.record.failure_domain != self.failure_domain:
            travel = DOMAIN_COST_SECONDS
        excess = self._excess_wait(
            upstream, rank, ask, now, wait, work + travel
        )
        return Choice(upstream, rank, wait, work + travel, excess)

    def _excess_wait(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        ask: Requirements,
        now: float,
        wait: float,
        work: float,
    ) -> float:
        """Returns how much longer a wait is than it is worth.

        Waiting behind others is worth it while the answer is expected within
        the patience. An upstream that does not know the object works on it
        several times as long: it should have slots to spare.
        """
        if (
            rank == 0
            or ask.object is None
            or ask.object in upstream.warm_objects
        ):
            return max(
                0.0,
                wait - max(ACCEPTED_WAIT_SECONDS, ask.target_seconds - work),
            )
        spare = CACHE_MISS_LOAD_RATIO * upstream.record.slots
        return max(0.0, upstream.load(now) + 1 - spare) * work

    def expected_work(
        self,
        upstream: upstreamstats.UpstreamStats,
        ask: Requirements,
        now: float,
        rank: int = 1,
    ) -> float:
        """Returns the expected work of a request at an upstream."""
        work = self.work_estimates.estimate(ask.route)
        if ask.object is not None:
            # The first in the order is where other VMs send the object too.
            is_taught = (
                rank == 0 and now - upstream.first_seen_at > WARM_UP_SECONDS
            )
            if is_taught or ask.object in upstream.warm_objects:
                work *= WARM_WORK_RATIO
        if upstream.cold_until > now:
            work *= COLD_WORK_RATIO
        return work * upstream.current_slowness(now)

    def _penalty(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        ask: Requirements,
        now: float,
    ) -> float:
        cost = upstream.current_failure_ratio(now) * FAILURE_COST_SECONDS
        if self._is_suspect(upstream, now):
            cost += SUSPECT_COST_SECONDS
        if upstream.full_until > now:
            cost += SHED_COST_SECONDS
        if upstream.load(now) >= FULL_LOAD_RATIO * upstream.record.slots:
            cost += FULL_COST_SECONDS
        if upstream.cold_until > now:
            cost += COLD_COST_SECONDS
        if rank > 0 and ask.object not in upstream.warm_objects:
            cost += CACHE_MISS_COST_SECONDS
        if rank > 0 and upstream.region != self.region:
            cost += OVERFLOW_COST_SECONDS
        return cost

    def _ranking(self, object: str | None) -> _Ranking:
        """Returns the upstreams in the order for an object."""
        if object is None:
            self._next_ranking += 1
            object = f"#{self._next_ranking % RANKINGS_WITHOUT_OBJECT}"
        order = self._rankings.get(object)
        if order is None:
            order = _Ranking(self._rank_upstreams(object))
            if len(self._rankings) > MAX_CACHED_RANKINGS:
                self._rankings.clear()
            self._rankings[object] = order
        return order

    def _rank_upstreams(self, object: str) -> list[upstreamstats.UpstreamStats]:
        key = upstreamstats.hash64(object)
        is_home = _score(key, HOME_HASH) / MASK_64 < self.home_ratio
        scored = [
            (
                (upstream.region == self.region) == is_home,
                _score(key, upstream.name_hash),
                upstream.record.id,
                upstream,
            )
            for upstream in self.upstreams.values()
        ]
        scored.sort(key=lambda s: s[:3], reverse=True)
        return [s[3] for s in scored]


def _score(key: int, seed: int) -> int:
    """Mixes two seeds to 64 bits (the finalizer of splitmix64)."""
    mixed = (key ^ seed) & MASK_64
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & MASK_64
    return mixed ^ (mixed >> 31)
