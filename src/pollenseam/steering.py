"""Selects an upstream for each request; does no I/O.

Every VM ranks the upstreams of a service in the same order for the same
object (rendezvous hashing, Thaler and Ravishankar, 1998), so that most
requests for an object go to an upstream that has the object in its cache.
Among the ranked upstreams, a request goes to the one with the shortest
expected time to the response: network latency, queueing and processing.
Processing is shorter on an upstream that is warm for the object, that is,
has it in its cache.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping

from pollenseam import pacing
from pollenseam import rankings
from pollenseam import registry
from pollenseam import statedlimits
from pollenseam import upstreamstats
from pollenseam import workestimates

# Processing time on an upstream that is warm for the object, relative to the
# processing time on one that is not.
WARM_WORK_RATIO = 0.35
# Penalty for an upstream that is not warm for the object: loading the object
# into its cache delays other requests that wait there.
CACHE_MISS_COST_SECONDS = 0.8
FAILURE_COST_SECONDS = 2.0
REGION_COST_SECONDS = 0.1
DOMAIN_COST_SECONDS = 0.002
# Extra penalty for overflow: for an upstream in another region, unless it ranks
# first for the object. Keeps requests from moving between regions quickly.
OVERFLOW_COST_SECONDS = 0.35
# Penalty for an upstream that has just shed a request.
SHED_COST_SECONDS = 0.3
COLD_COST_SECONDS = 1.0
# Penalty per request that a crash of the upstream would take with it.
RISK_COST_SECONDS = 0.5
# Large enough that a suspect upstream is chosen only if no other serves.
SUSPECT_COST_SECONDS = 100.0
# For this long after an upstream was first seen, its cache is still filling:
# the objects that rank it first are not yet assumed to be cached.
WARM_UP_SECONDS = 8.0
# Processing time on a cold upstream (just started), relative to one that has
# been running for a while.
COLD_WORK_RATIO = 2.0
# Fraction of the requests in OVERFLOW_WINDOW_SECONDS that may leave their
# preferred region for lack of room.
OVERFLOW_RATIO = 0.08
OVERFLOW_WINDOW_SECONDS = 2.0
# A wait up to this long is accepted whatever the request's latency target.
ACCEPTED_WAIT_SECONDS = 0.2
# Load, relative to its slots, up to which an upstream is given requests for
# objects that are not in its cache.
CACHE_MISS_LOAD_RATIO = 0.67
# Load, relative to its slots, from which an upstream gets FULL_COST_SECONDS.
# Upstreams queue a few more requests than they have slots for, and shed the
# rest.
FULL_LOAD_RATIO = 3.5
FULL_COST_SECONDS = 2.0
# Upstreams that are evaluated for a request in its preferred region, and again
# in the other regions. More are evaluated only if none of these has room.
CANDIDATE_COUNT = 12


class Choice:
    """The upstream selected for a request, with the expected times.

    If `excess_wait_seconds` is positive, the expected wait is longer than is
    acceptable: the request should be refused, and may be retried after that
    time.

    Attributes:
        upstream: The selected upstream.
        rank: Position of the upstream in the ranking for the object; 0 is the
            first.
        wait_seconds: Expected wait for a slot.
        work_seconds: Expected processing time, including network latency.
        excess_wait_seconds: Expected wait beyond the acceptable wait.
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
        """Expected time to the response."""
        return self.wait_seconds + self.work_seconds


class _Candidate:
    """A possible choice with a key to sort by.

    Choices without excess wait come first, then the lower cost.
    """

    __slots__ = ("choice", "sort_key")

    def __init__(self, choice: Choice, cost: float) -> None:
        self.choice = choice
        self.sort_key = (choice.excess_wait_seconds > 0, cost)


class Requirements:
    """What a request requires of the upstream that will serve it.

    Attributes:
        route: Name of the request's route.
        object: Object that the request concerns, or None.
        regions: Regions that may serve the request; all if empty.
        tried: Ids of upstreams that must not get the request again.
        target_seconds: Time within which a response should be expected.
        is_risky: Whether the request may crash the upstream that runs it.
        reserve_ratio: Part (0 to 1) of an upstream's limited rate, of what has
            been saved up, that is left to requests of higher priorities.
    """

    __slots__ = (
        "route",
        "object",
        "regions",
        "tried",
        "target_seconds",
        "reserve_ratio",
        "is_risky",
    )

    def __init__(
        self,
        route: str,
        object: str | None,
        regions: Container[str],
        tried: Container[str],
        target_seconds: float = 1.0,
        reserve_ratio: float = 0.0,
        is_risky: bool = False,
    ) -> None:
        self.target_seconds = target_seconds
        self.reserve_ratio = reserve_ratio
        self.is_risky = is_risky
        self.route = route
        self.object = object
        self.regions = regions
        self.tried = tried


class Pool:
    """The upstreams of one service that an entry VM can send requests to.

    Attributes:
        upstreams: Upstreams by id.
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        cold_rate: Requests per second that a cold upstream accepts from all
            VMs together; 0 if there is no limit.
        fleet: Entry VMs that share the rates of upstreams.
        stated_limits: Rates that upstreams state.
        work_estimates: Expected processing time by route.
        rankings: Rankings of the upstreams, by object.
        recent_choices: Choices of the last OVERFLOW_WINDOW_SECONDS by time;
            True if the request left its preferred region.
    """

    __slots__ = (
        "upstreams",
        "region",
        "failure_domain",
        "cold_rate",
        "fleet",
        "stated_limits",
        "work_estimates",
        "rankings",
        "recent_choices",
    )

    def __init__(
        self,
        name: str,
        region: str,
        failure_domain: str,
        work_estimates: workestimates.WorkEstimates,
        stated_limits: statedlimits.Table | None = None,
    ) -> None:
        self.upstreams: dict[str, upstreamstats.UpstreamStats] = {}
        self.fleet = pacing.Fleet(name, pacing.Vms({name: region}), {})
        self.stated_limits = stated_limits or statedlimits.Table()
        self.region = region
        self.failure_domain = failure_domain
        self.cold_rate = 0.0
        self.work_estimates = work_estimates
        self.recent_choices: dict[float, bool] = {}
        self.rankings = rankings.Rankings(region)

    def update(
        self,
        records: Iterable[registry.Upstream],
        regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Replaces the set of upstreams, keeping statistics of those that stay.

        An upstream with a new start time (`started_ms`) gets fresh statistics.

        Args:
            records: Upstreams that may get requests.
            regions: Region of each failure domain.
            now: Time in seconds.
        """
        previous = self.upstreams
        self.upstreams = {}
        for record in records:
            stats = previous.get(record.id)
            if stats is None or stats.record.started_ms != record.started_ms:
                region = regions.get(record.failure_domain, "")
                stats = upstreamstats.UpstreamStats(record, region, now)
                stats.cold_until = now + record.cold_ms / 1000
            elif stats.record is not record and record.cold_ms > 0:
                if stats.record.recorded_ms != record.recorded_ms:
                    stats.cold_until = now + record.cold_ms / 1000
            stats.record = record
            self.upstreams[record.id] = stats
        room_ratios = rankings.room_ratios(self.upstreams.values(), regions)
        self.rankings.home_ratio = min(1.0, room_ratios.get(self.region, 1.0))
        self._set_fleet(self.fleet.vms, room_ratios)
        if [*previous.values()] != [*self.upstreams.values()]:
            self.rankings.clear()

    def set_cold_limit(self, rate: float, vms: pacing.Vms) -> None:
        """Sets the rate that cold upstreams accept and the VMs of the fleet.

        Args:
            rate: Requests per second that each cold upstream accepts from all
                VMs together; 0 for no limit.
            vms: The entry VMs.
        """
        self.cold_rate = rate
        self._set_fleet(vms, self.fleet.room_ratios)

    def _set_fleet(
        self, vms: pacing.Vms, room_ratios: dict[str, float]
    ) -> None:
        fleet = self.fleet
        if vms is not fleet.vms or room_ratios != fleet.room_ratios:
            self.fleet = pacing.Fleet(fleet.name, vms, room_ratios)

    def _admits(
        self,
        upstream: upstreamstats.UpstreamStats,
        requirements: Requirements,
        now: float,
    ) -> bool:
        """Returns whether this VM may send a request to an upstream now.

        This VM's part of a limited rate is computed here, when it is needed,
        because only a few of many upstreams limit it at a time.
        """
        upstream.pacer.set_rate(self._own_rate(upstream, now), now)
        return upstream.pacer.admits(requirements.reserve_ratio, now)

    def _own_rate(
        self, upstream: upstreamstats.UpstreamStats, now: float
    ) -> float | None:
        """Returns this VM's part of the rate; None if it is not limited."""
        record = upstream.record
        stated = self.stated_limits.in_force(record.id, record.started_ms)
        is_cold = upstream.cold_until > now and self.cold_rate > 0
        if stated is None and not is_cold:
            return None
        accepted_rate = self.cold_rate
        silent_seconds = 0.0
        if stated is not None:
            silent_seconds = now - stated.read_at
            accepted_rate = stated.rate
            if is_cold:
                accepted_rate = min(accepted_rate, self.cold_rate)
        rank = upstream.rank_in(self.fleet)
        return self.fleet.own_rate(rank, accepted_rate, silent_seconds)

    def seconds_until_admitted(
        self, requirements: Requirements, now: float
    ) -> float | None:
        """Returns the time until an upstream may get a request.

        The result is None if none will, as far as this VM knows.
        """
        waits = [
            upstream.pacer.wait_seconds(requirements.reserve_ratio, now)
            for upstream in self.upstreams.values()
            if self._is_allowed(upstream, requirements)
        ]
        return min((wait for wait in waits if wait is not None), default=None)

    def choose(self, requirements: Requirements, now: float) -> Choice | None:
        """Returns the best upstream for a request, or None if there is none.

        The best is the one with the shortest expected time to the response,
        plus penalties. Upstreams without excess wait come first, so that no
        request is refused while an upstream that is not warm has room.
        """
        ranking = self.rankings.find(
            requirements.object, self.upstreams.values()
        )
        preferred = self._best_candidate(ranking.preferred, requirements, now)
        other = self._best_candidate(ranking.others, requirements, now)
        return self._choose_region(preferred, other, now)

    def _best_candidate(
        self,
        ranked: list[tuple[int, upstreamstats.UpstreamStats]],
        requirements: Requirements,
        now: float,
    ) -> _Candidate | None:
        """Returns the best usable upstream of a list, or None.

        Stops once CANDIDATE_COUNT usable ones have been evaluated and the best
        of them has room.
        """
        best: _Candidate | None = None
        count = 0
        for rank, upstream in ranked:
            if not self._is_allowed(upstream, requirements):
                continue
            if not self._admits(upstream, requirements, now):
                continue
            choice = self._evaluate(upstream, rank, requirements, now)
            penalty = self._penalty(upstream, rank, requirements, now)
            candidate = _Candidate(choice, choice.expected_seconds + penalty)
            if best is None or candidate.sort_key < best.sort_key:
                best = candidate
            count += 1
            if count >= CANDIDATE_COUNT and self._has_room(best, now):
                break
        return best

    def _is_allowed(
        self,
        upstream: upstreamstats.UpstreamStats,
        requirements: Requirements,
    ) -> bool:
        if upstream.record.id in requirements.tried:
            return False
        regions = requirements.regions
        return not regions or upstream.region in regions

    def _has_room(self, candidate: _Candidate, now: float) -> bool:
        choice = candidate.choice
        return choice.excess_wait_seconds <= 0 and not self._is_suspect(
            choice.upstream, now
        )

    def _choose_region(
        self,
        preferred: _Candidate | None,
        other: _Candidate | None,
        now: float,
    ) -> Choice | None:
        """Chooses between the preferred region and the other regions.

        Only OVERFLOW_RATIO of recent requests may leave their preferred region
        for lack of room, so that they also return gradually. All may leave if
        the best upstream of the preferred region is suspect, or there is none.
        """
        if preferred is None or other is None:
            only = preferred or other
            return only.choice if only is not None else None
        self._drop_old_choices(now)
        if self._is_suspect(preferred.choice.upstream, now):
            return min(preferred, other, key=lambda one: one.sort_key).choice
        max_overflows = OVERFLOW_RATIO * len(self.recent_choices)
        overflows = (
            other.sort_key < preferred.sort_key
            and sum(self.recent_choices.values()) < max_overflows
        )
        self.recent_choices[now] = overflows
        return other.choice if overflows else preferred.choice

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
        requirements: Requirements,
        now: float,
    ) -> Choice:
        work = self.expected_work(upstream, requirements, now, rank)
        slots = max(1, upstream.record.slots)
        queued = max(0.0, upstream.load(now) + 1 - slots)
        wait = queued / slots * work
        travel = 0.0
        if upstream.region != self.region:
            travel = REGION_COST_SECONDS
        elif upstream.record.failure_domain != self.failure_domain:
            travel = DOMAIN_COST_SECONDS
        excess = self._excess_wait(
            upstream, rank, requirements, now, wait, work + travel
        )
        return Choice(upstream, rank, wait, work + travel, excess)

    def _excess_wait(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        requirements: Requirements,
        now: float,
        wait: float,
        work: float,
    ) -> float:
        """Returns by how many seconds a wait exceeds the acceptable wait.

        A wait at the first-ranked or a warm upstream, or of a request without
        an object, is acceptable up to ACCEPTED_WAIT_SECONDS, and beyond that
        as long as the response is expected within the latency target. An
        upstream that is not warm takes several times as long, so it must have
        free slots.
        """
        if (
            rank == 0
            or requirements.object is None
            or requirements.object in upstream.warm_objects
        ):
            return max(
                0.0,
                wait
                - max(
                    ACCEPTED_WAIT_SECONDS, requirements.target_seconds - work
                ),
            )
        max_load = CACHE_MISS_LOAD_RATIO * upstream.record.slots
        return max(0.0, upstream.load(now) + 1 - max_load) * work

    def expected_work(
        self,
        upstream: upstreamstats.UpstreamStats,
        requirements: Requirements,
        now: float,
        rank: int = 1,
    ) -> float:
        """Returns the expected processing time in seconds at an upstream."""
        work = self.work_estimates.estimate(requirements.route)
        if requirements.object is not None:
            # Other VMs also send this object to the first-ranked upstream, so
            # it is likely to have the object cached.
            is_likely_warm = (
                rank == 0 and now - upstream.first_seen_at > WARM_UP_SECONDS
            )
            if is_likely_warm or requirements.object in upstream.warm_objects:
                work *= WARM_WORK_RATIO
        if upstream.cold_until > now:
            work *= COLD_WORK_RATIO
        return work * upstream.current_slowness(now)

    def _penalty(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        requirements: Requirements,
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
        if rank > 0 and requirements.object not in upstream.warm_objects:
            cost += CACHE_MISS_COST_SECONDS
        if rank > 0 and upstream.region != self.region:
            cost += OVERFLOW_COST_SECONDS
        if requirements.is_risky:
            cost += RISK_COST_SECONDS * upstream.load(now)
        if upstream.risky_in_flight:
            cost += RISK_COST_SECONDS
        return cost
