"""What it costs, in seconds, to send a request to an upstream; does no I/O.

Expected times, and penalties that are added to them for the order of choice.
"""

from pollenseam import requirements
from pollenseam import upstreamstats

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


def is_suspect(upstream: upstreamstats.UpstreamStats, now: float) -> bool:
    """Returns whether an upstream has failed to connect or to respond."""
    return upstream.suspect_until > now or upstream.is_unreachable(now)


def travel_seconds(
    upstream: upstreamstats.UpstreamStats, region: str, failure_domain: str
) -> float:
    """Returns the network latency from a VM to an upstream.

    Args:
        upstream: The upstream.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
    """
    if upstream.region != region:
        return REGION_COST_SECONDS
    if upstream.record.failure_domain != failure_domain:
        return DOMAIN_COST_SECONDS
    return 0.0


def work_seconds(
    upstream: upstreamstats.UpstreamStats,
    rank: int,
    required: requirements.Requirements,
    estimate: float,
    now: float,
) -> float:
    """Returns the expected processing time at an upstream.

    Args:
        upstream: The upstream.
        rank: Position of the upstream in the ranking for the object.
        required: Requirements of the request.
        estimate: Usual processing time of the route, in seconds.
        now: Time in seconds.
    """
    work = estimate
    if required.object is not None:
        # Other VMs also send this object to the first-ranked upstream, so
        # it is likely to have the object cached.
        is_likely_warm = (
            rank == 0 and now - upstream.first_seen_at > WARM_UP_SECONDS
        )
        if is_likely_warm or required.object in upstream.warm_objects:
            work *= WARM_WORK_RATIO
    if upstream.cold_until > now:
        work *= COLD_WORK_RATIO
    return work * upstream.current_slowness(now) * upstream.current_pace(now)


def excess_wait_seconds(
    upstream: upstreamstats.UpstreamStats,
    rank: int,
    required: requirements.Requirements,
    wait: float,
    work: float,
    now: float,
) -> float:
    """Returns by how many seconds a wait exceeds the acceptable wait.

    A wait at the first-ranked or a warm upstream, or of a request without
    an object, is acceptable up to ACCEPTED_WAIT_SECONDS, and beyond that
    as long as the response is expected within the latency target. An
    upstream that is not warm takes several times as long, so it must have
    free slots.

    Args:
        upstream: The upstream.
        rank: Position of the upstream in the ranking for the object.
        required: Requirements of the request.
        wait: Expected wait for a slot, in seconds.
        work: Expected processing time, with network latency, in seconds.
        now: Time in seconds.
    """
    if (
        rank == 0
        or required.object is None
        or required.object in upstream.warm_objects
    ):
        accepted = max(ACCEPTED_WAIT_SECONDS, required.target_seconds - work)
        return max(0.0, wait - accepted)
    max_load = CACHE_MISS_LOAD_RATIO * upstream.record.slots
    return max(0.0, upstream.load(now) + 1 - max_load) * work


def penalty_seconds(
    upstream: upstreamstats.UpstreamStats,
    rank: int,
    required: requirements.Requirements,
    region: str,
    now: float,
) -> float:
    """Returns what is added to the expected time for the order of choice.

    Args:
        upstream: The upstream.
        rank: Position of the upstream in the ranking for the object.
        required: Requirements of the request.
        region: Region of the VM.
        now: Time in seconds.
    """
    cost = upstream.current_failure_ratio(now) * FAILURE_COST_SECONDS
    if is_suspect(upstream, now):
        cost += SUSPECT_COST_SECONDS
    if upstream.full_until > now:
        cost += SHED_COST_SECONDS
    if upstream.load(now) >= FULL_LOAD_RATIO * upstream.record.slots:
        cost += FULL_COST_SECONDS
    if upstream.cold_until > now:
        cost += COLD_COST_SECONDS
    if rank > 0 and required.object not in upstream.warm_objects:
        cost += CACHE_MISS_COST_SECONDS
    if rank > 0 and upstream.region != region:
        cost += OVERFLOW_COST_SECONDS
    if required.is_risky:
        cost += RISK_COST_SECONDS * upstream.load(now)
    if upstream.risky_in_flight:
        cost += RISK_COST_SECONDS
    return cost
