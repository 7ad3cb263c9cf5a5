"""Selects an upstream for each request; does no I/O.

Every VM ranks the upstreams of a service in the same order for the same
object (rendezvous hashing, Thaler and Ravishankar, 1998), so that most
requests for an object go to an upstream that has the object in its cache.
Among the ranked upstreams, a request goes to the one with the shortest
expected time to the response: network latency, queueing and processing.
Processing is shorter on an upstream that is warm for the object, that is,
has it in its cache.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from pollenseam import costs
from pollenseam import overflow
from pollenseam import pacing
from pollenseam import rankings
from pollenseam import registry
from pollenseam import requirements
from pollenseam import upstreamstatements
from pollenseam import upstreamstats
from pollenseam import workestimates

# Upstreams that are evaluated for a request in its preferred region, and again
# in the other regions. More are evaluated only if none of these has room.
CANDIDATE_COUNT = 12
# Age from which an upstream's slowness is no reason to refuse a request.
SLOWNESS_AGE_SECONDS = 1.0


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
        pace: Pace of the upstream that was expected; see `upstreamstats`.
        excess_wait_seconds: Expected wait beyond the acceptable wait.
    """

    __slots__ = (
        "upstream",
        "rank",
        "wait_seconds",
        "work_seconds",
        "pace",
        "excess_wait_seconds",
    )

    def __init__(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        wait_seconds: float,
        work_seconds: float,
        excess_wait_seconds: float = 0.0,
        pace: float = 1.0,
    ) -> None:
        self.excess_wait_seconds = excess_wait_seconds
        self.pace = pace
        self.upstream = upstream
        self.rank = rank
        self.wait_seconds = wait_seconds
        self.work_seconds = work_seconds

    @property
    def expected_seconds(self) -> float:
        """Expected time to the response."""
        return self.wait_seconds + self.work_seconds

    def least_work_seconds(self, now: float) -> float:
        """Returns the expected processing time without what may be outdated.

        An idle upstream that was slow, but has answered nothing lately, may be
        as fast as usual again: a request must not be refused for that.
        """
        upstream = self.upstream
        heard_seconds = now - upstream.decayed_at
        if upstream.load(now) >= 1 or heard_seconds < SLOWNESS_AGE_SECONDS:
            return self.work_seconds
        return self.work_seconds / max(1.0, upstream.current_slowness(now))


class Considered:
    """An upstream that was weighed for a request.

    Attributes:
        choice: The upstream with the expected times.
        excluded: Why it must not get the request now: "region", "tried",
            "leaving", "pause" or "rate"; "" if it may.
        penalty_seconds: What is added to the expected time.
        is_preferred: Whether it is in the object's preferred region.
    """

    __slots__ = ("choice", "excluded", "penalty_seconds", "is_preferred")

    def __init__(
        self,
        choice: Choice,
        excluded: str,
        penalty_seconds: float,
        is_preferred: bool,
    ) -> None:
        self.choice = choice
        self.excluded = excluded
        self.penalty_seconds = penalty_seconds
        self.is_preferred = is_preferred


class _Candidate:
    """A possible choice with a key to sort by.

    Choices without excess wait come first, then the lower cost.
    """

    __slots__ = ("choice", "sort_key")

    def __init__(self, choice: Choice, cost: float) -> None:
        self.choice = choice
        self.sort_key = (choice.excess_wait_seconds > 0, cost)


class Pool:
    """The upstreams of one service that an entry VM can send requests to.

    Attributes:
        upstreams: Upstreams by id.
        region: Region of this VM.
        failure_domain: Failure domain of this VM.
        cold_rate: Requests per second that a cold upstream accepts from all
            VMs together; 0 if there is no limit.
        fleet: Entry VMs that share the rates of upstreams.
        statements: What upstreams stated in their responses.
        work_estimates: Expected processing time by route.
        rankings: Rankings of the upstreams, by object.
        overflow_limit: Limits requests that leave their preferred region.
        demand_shares: Share of the service's requests by region; empty if
            unknown.
        kept_away: Times that a request was kept away from an upstream, by what
            the upstream stated: "leaving", "pause" or "rate".
    """

    __slots__ = (
        "upstreams",
        "region",
        "failure_domain",
        "cold_rate",
        "fleet",
        "statements",
        "work_estimates",
        "rankings",
        "overflow_limit",
        "demand_shares",
        "kept_away",
    )

    def __init__(
        self,
        name: str,
        region: str,
        failure_domain: str,
        work_estimates: workestimates.WorkEstimates,
        statements: upstreamstatements.Table | None = None,
    ) -> None:
        self.upstreams: dict[str, upstreamstats.UpstreamStats] = {}
        self.fleet = pacing.Fleet(name, pacing.Vms({name: region}), {})
        self.statements = statements or upstreamstatements.Table()
        self.region = region
        self.failure_domain = failure_domain
        self.cold_rate = 0.0
        self.work_estimates = work_estimates
        self.overflow_limit = overflow.OverflowLimit()
        self.demand_shares: Mapping[str, float] = {}
        self.kept_away: collections.Counter[str] = collections.Counter()
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
        self._set_fleet(self.fleet.vms, room_ratios)
        self.divide_demand(regions, self.demand_shares)
        if [*previous.values()] != [*self.upstreams.values()]:
            self.rankings.clear()

    def divide_demand(
        self, regions: Mapping[str, str], demand_shares: Mapping[str, float]
    ) -> None:
        """Sets which objects leave their region, by what each region asks for.

        Args:
            regions: Region of each failure domain.
            demand_shares: Share of the requests by region; empty if unknown.
        """
        self.demand_shares = demand_shares
        room = rankings.room_ratios(
            self.upstreams.values(), regions, demand_shares
        )
        self.rankings.divide(
            min(1.0, room.get(self.region, 1.0)),
            rankings.spare_weights(room, demand_shares),
        )

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

    def seconds_until_allowed(
        self,
        upstream: upstreamstats.UpstreamStats,
        required: requirements.Requirements,
        now: float,
    ) -> float | None:
        """Returns when this VM may send a request to an upstream.

        This is the one place that knows what an upstream stated: that it
        leaves, a pause, a rate, or that it is cold. This VM's part of a limited
        rate is computed here, when it is needed, because only a few of many
        upstreams limit it at a time.

        Returns:
            The time in seconds, 0 for now; None if never, as far as is known.
        """
        pause_seconds = 0.0
        if self.statements.records:
            record = upstream.record
            if self.statements.is_over(record.id, record.started_ms):
                return None
            stated = self.statements.find(record.id, record.started_ms)
            if stated is not None:
                pause_seconds = stated.paused_until - now
        pacer = upstream.pacer
        pacer.set_rate(self.own_rate(upstream, now), now)
        if pacer.rate is None:
            return max(0.0, pause_seconds)
        wait_seconds = pacer.wait_seconds(required.reserve_ratio, now)
        if wait_seconds is None:
            return None
        return max(0.0, pause_seconds, wait_seconds)

    def _keep_away(
        self, upstream: upstreamstats.UpstreamStats, now: float
    ) -> None:
        """Counts a request that must not be sent to an upstream now."""
        record = upstream.record
        stated = self.statements.find(record.id, record.started_ms)
        if stated is not None:
            stated.kept_away += 1
        self.kept_away[self.limit_of(upstream, now)] += 1

    def limit_of(
        self, upstream: upstreamstats.UpstreamStats, now: float
    ) -> str:
        """Returns what keeps requests away: "leaving", "pause" or "rate"."""
        record = upstream.record
        stated = self.statements.find(record.id, record.started_ms)
        if self.statements.is_over(record.id, record.started_ms):
            return "leaving"
        if stated is not None and stated.paused_until > now:
            return "pause"
        return "rate"

    def own_rate(
        self, upstream: upstreamstats.UpstreamStats, now: float
    ) -> float | None:
        """Returns this VM's part of the rate; None if it is not limited."""
        record = upstream.record
        stated = None
        if self.statements.records:
            stated = self.statements.in_force(record.id, record.started_ms)
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
        self, required: requirements.Requirements, now: float
    ) -> float | None:
        """Returns the time until an upstream may get a request.

        The result is None if none will, as far as this VM knows.
        """
        untried = [
            upstream
            for upstream in self.upstreams.values()
            if self._is_allowed(upstream, required)
        ]
        return self._first_wait(untried, required, now)

    def seconds_until_next(
        self, required: requirements.Requirements, now: float
    ) -> float | None:
        """Returns the time until a call that was turned away may come back.

        Counts the upstreams that it tried as well; see
        `seconds_until_admitted`.
        """
        allowed = [
            upstream
            for upstream in self.upstreams.values()
            if not required.regions or upstream.region in required.regions
        ]
        return self._first_wait(allowed, required, now)

    def _first_wait(
        self,
        candidates: Iterable[upstreamstats.UpstreamStats],
        required: requirements.Requirements,
        now: float,
    ) -> float | None:
        waits = [
            self.seconds_until_allowed(upstream, required, now)
            for upstream in candidates
        ]
        return min((wait for wait in waits if wait is not None), default=None)

    def choose(
        self, required: requirements.Requirements, now: float
    ) -> Choice | None:
        """Returns the best upstream for a request, or None if there is none.

        The best is the one with the shortest expected time to the response,
        plus penalties. Upstreams without excess wait come first, so that no
        request is refused while an upstream that is not warm has room.
        """
        ranking = self.rankings.find(required.object, self.upstreams.values())
        preferred = self._best_candidate(ranking.preferred, required, now)
        other = self._best_candidate(ranking.others, required, now)
        return self._choose_region(preferred, other, now)

    def record_load(
        self,
        upstream: upstreamstats.UpstreamStats,
        running: int,
        waiting: int,
        pace: float | None,
        now: float,
    ) -> None:
        """Records the load and pace that an upstream states in a response."""
        upstream.record_load_report(running, waiting, now)
        if pace is not None:
            upstream.record_pace(pace, now)

    def _best_candidate(
        self,
        ranked: list[tuple[int, upstreamstats.UpstreamStats]],
        required: requirements.Requirements,
        now: float,
    ) -> _Candidate | None:
        """Returns the best usable upstream of a list, or None.

        Stops once CANDIDATE_COUNT usable ones have been evaluated and the best
        of them has room.
        """
        best: _Candidate | None = None
        count = 0
        for rank, upstream in ranked:
            if not self._is_allowed(upstream, required):
                continue
            if self.seconds_until_allowed(upstream, required, now) != 0.0:
                self._keep_away(upstream, now)
                continue
            choice = self._evaluate(upstream, rank, required, now)
            penalty = costs.penalty_seconds(
                upstream, rank, required, self.region, now
            )
            expected = choice.expected_seconds
            if rank == 0 and upstream.is_untried:
                # Its objects are warm elsewhere, so by the time alone it would
                # get no request, and its speed would stay unknown.
                expected = 0.0
            candidate = _Candidate(choice, expected + penalty)
            if best is None or candidate.sort_key < best.sort_key:
                best = candidate
            count += 1
            if count >= CANDIDATE_COUNT and self._has_room(best, now):
                break
        return best

    def consider(
        self, required: requirements.Requirements, now: float
    ) -> Iterator["Considered"]:
        """Yields what speaks for and against each upstream, in their order.

        Meant for a snapshot of a pool, see `snapshots.copy_pool`.
        """
        ranking = self.rankings.find(required.object, self.upstreams.values())
        for rank, upstream in ranking.preferred + ranking.others:
            wait_seconds = self.seconds_until_allowed(upstream, required, now)
            excluded = ""
            if required.regions and upstream.region not in required.regions:
                excluded = "region"
            elif not self._is_allowed(upstream, required):
                excluded = "tried"
            elif wait_seconds != 0.0:
                excluded = self.limit_of(upstream, now)
            choice = self._evaluate(upstream, rank, required, now)
            penalty_seconds = costs.penalty_seconds(
                upstream, rank, required, self.region, now
            )
            yield Considered(
                choice,
                excluded,
                penalty_seconds,
                upstream.region == ranking.preferred[0][1].region,
            )

    def _is_allowed(
        self,
        upstream: upstreamstats.UpstreamStats,
        required: requirements.Requirements,
    ) -> bool:
        if upstream.record.id in required.tried:
            return False
        regions = required.regions
        return not regions or upstream.region in regions

    def _has_room(self, candidate: _Candidate, now: float) -> bool:
        choice = candidate.choice
        return choice.excess_wait_seconds <= 0 and not costs.is_suspect(
            choice.upstream, now
        )

    def _choose_region(
        self,
        preferred: _Candidate | None,
        other: _Candidate | None,
        now: float,
    ) -> Choice | None:
        """Chooses between the preferred region and the other regions.

        Few may leave their preferred region for lack of room, see
        `overflow`, so that they also return gradually. All may leave if
        the best upstream of the preferred region is suspect, or there is none.
        """
        if preferred is None or other is None:
            only = preferred or other
            return only.choice if only is not None else None
        if costs.is_suspect(preferred.choice.upstream, now):
            return min(preferred, other, key=lambda one: one.sort_key).choice
        is_wanted = other.sort_key < preferred.sort_key
        if self.overflow_limit.decide(is_wanted, now):
            return other.choice
        return preferred.choice

    def _evaluate(
        self,
        upstream: upstreamstats.UpstreamStats,
        rank: int,
        required: requirements.Requirements,
        now: float,
    ) -> Choice:
        estimate = self.work_estimates.estimate(required.route)
        work = costs.work_seconds(upstream, rank, required, estimate, now)
        slots = max(1, upstream.record.slots)
        queued = max(0.0, upstream.load(now) + 1 - slots)
        wait = queued / slots * work
        work += costs.travel_seconds(upstream, self.region, self.failure_domain)
        excess = costs.excess_wait_seconds(
            upstream, rank, required, wait, work, now
        )
        pace = upstream.current_pace(now)
        return Choice(upstream, rank, wait, work, excess, pace)
