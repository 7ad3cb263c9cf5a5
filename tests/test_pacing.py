"""Division of an upstream's limited rate between entry VMs."""

import collections

import pytest
import test_steering

from pollenseam import hashing
from pollenseam import pacing
from pollenseam import requirements
from pollenseam import upstreamstatements

VMS = {f"v{n}": "abc"[n % 3] for n in range(11)}
MANY_VMS = {f"v{n}": "abc"[n % 3] for n in range(86)}


def make_pools(vms, counts, rates):
    """Returns the pools of all VMs, all of which know the stated rates."""
    pools = []
    sharing_vms = pacing.Vms(vms)
    for name, region in vms.items():
        pool = test_steering.pool_of(counts, region, name)
        pool.statements = upstreamstatements.Table()
        for upstream, rate in rates.items():
            pool.statements.record(upstream, 1, rate, 0.0)
        pool.set_cold_limit(0.0, sharing_vms)
        pools.append(pool)
    return pools


def send_all(pools, seconds, interval=0.02, priority_reserve=0.0):
    """Lets all VMs send whatever is admitted; returns times by upstream."""
    sent = collections.defaultdict(list)
    for step in range(int(seconds / interval)):
        now = step * interval
        for pool in pools:
            wanted = requirements.Requirements(
                "r1", "7", (), (), reserve_ratio=priority_reserve
            )
            choice = pool.choose(wanted, now)
            if choice is not None:
                pending = choice.upstream.begin(0.1, now)
                choice.upstream.end(pending)
                sent[choice.upstream.record.id].append(now)
    return sent


def most_within(times, seconds):
    return max(sum(t <= other < t + seconds for other in times) for t in times)


@pytest.mark.parametrize("vms", [VMS, MANY_VMS], ids=["11", "86"])
@pytest.mark.parametrize("rate", [0.0, 0.1, 1.2, 4.7, 30.0])
def test_all_vms_together_keep_to_the_rate_that_an_upstream_states(vms, rate):
    """Guards against a multiple of the stated rate when every VM has work."""
    pools = make_pools(vms, {"a1": 1}, {"a1-0": rate})
    sent = send_all(pools, 10.0)["a1-0"]
    assert most_within(sent, 4.0) <= 1.5 * rate * 4.0 + 5.0
    assert len(sent) >= 0.9 * rate * 10.0


def test_what_a_limit_takes_from_an_upstream_goes_to_others():
    pools = make_pools(VMS, {"a1": 2}, {"a1-0": 1.0})
    sent = send_all(pools, 4.0)
    assert sum(len(times) for times in sent.values()) == 11 * 200


def test_a_cold_upstream_that_states_a_rate_gets_the_lower_of_both():
    pools = make_pools(VMS, {"a1": 1}, {"a1-0": 1.0})
    for pool in pools:
        pool.upstreams["a1-0"].cold_until = 60.0
        pool.cold_rate = 3.0
    assert len(send_all(pools, 10.0)["a1-0"]) <= 1.0 * 10 + 5


def test_a_region_with_few_upstreams_may_send_to_those_of_other_regions():
    """Guards against a region without room of its own when all state rates."""
    counts = {"a1": 2, "b1": 8, "c1": 8}
    rates = {
        f"{d}-{n}": 1.0 for d, count in counts.items() for n in range(count)
    }
    pools = make_pools(VMS, counts, rates)
    shares = collections.Counter()
    for pool in pools:
        for upstream in pool.upstreams.values():
            shares[pool.region] += pool.own_rate(upstream, 0.0)
    assert sum(shares.values()) == pytest.approx(18.0)
    assert min(shares.values()) >= 3.0


def test_one_more_vm_at_a_time_asks_an_upstream_that_has_been_silent():
    """Guards against an upstream starved for good by a limit that has ended.

    Its senders may have no requests for it, so nobody would learn of the end.
    """
    pools = make_pools(MANY_VMS, {"a1": 1}, {"a1-0": 2.0})

    def count_senders(now):
        rates = [p.own_rate(p.upstreams["a1-0"], now) for p in pools]
        return sum(rate > 0 for rate in rates)

    assert count_senders(0.0) == pacing.MAX_SENDERS
    silent = pacing.PROBE_AFTER_SECONDS + 0.5
    counts = [count_senders(silent + n) for n in range(4)]
    assert counts == [pacing.MAX_SENDERS + 1 + n for n in range(4)]


def test_low_priorities_leave_saved_tokens_to_higher_ones():
    pacer = pacing.Pacer(0.0)
    pacer.set_rate(2.0, 0.0)
    assert pacer.admits(0.0, 0.0)
    assert not pacer.admits(0.9, 0.0)
    assert pacer.wait_seconds(0.9, 0.0) == pytest.approx(0.45)
    assert pacer.admits(0.9, 0.46)


def test_the_order_of_a_vm_outside_the_directory_is_last():
    fleet = pacing.Fleet("new", pacing.Vms(VMS), {})
    assert fleet.own_rank("a", hashing.hash64("i1")) == len(VMS)


def test_the_vms_are_hashed_once_for_all_services(monkeypatch):
    """Guards against work on each change that grows with VMs times services.

    The slots of a region change with each upstream that comes or goes.
    """
    vms = pacing.Vms(MANY_VMS)
    pools = [test_steering.pool_of({"a1": 2, "b1": 2}) for _ in range(3)]
    hashed = []
    compute = hashing.hash64
    monkeypatch.setattr(
        hashing, "hash64", lambda name: hashed.append(name) or compute(name)
    )
    for pool in pools:
        pool.set_cold_limit(3.0, vms)
        records = [u.record for u in pool.upstreams.values()]
        pool.update(records[1:], test_steering.REGIONS, 1.0)
    assert set(hashed) <= {"v0"}


def test_all_that_an_upstream_states_holds_together():
    """Guards against a pause, a rate or a cold start that hides another."""
    [pool] = make_pools({"v1": "a"}, {"a1": 2}, {"a1-0": 2.0})
    wanted = requirements.Requirements("r1", "7", (), ())
    upstream = pool.upstreams["a1-0"]
    stated = pool.statements

    def wait(now):
        return pool.seconds_until_allowed(upstream, wanted, now)

    assert wait(0.0) == 0.0
    upstream.pacer.take()
    assert wait(0.0) == pytest.approx(0.5)
    stated.record_pause("a1-0", 1, 0.2, 0.0)
    assert wait(0.0) == pytest.approx(0.5)
    stated.record_pause("a1-0", 1, 3.0, 0.0)
    stated.record_pause("a1-0", 1, 1.0, 0.5)
    assert wait(1.0) == pytest.approx(2.0)
    assert wait(3.0) == 0.0
    pool.set_cold_limit(0.5, pool.fleet.vms)
    upstream.cold_until = 20.0
    assert pool.own_rate(upstream, 3.0) == 0.5
    stated.record_leaving("a1-0", 1, 4.0)
    assert wait(4.0) is None
    assert pool.seconds_until_admitted(wanted, 4.0) == 0.0


def test_pauses_leave_what_is_left_to_the_higher_priority():
    """Guards against low priorities that crowd out high ones in an overload.

    All but one of the upstreams asked for a pause.
    """
    [pool] = make_pools({"v1": "a"}, {"a1": 6}, {})
    for number in range(1, 6):
        pool.statements.record_pause(f"a1-{number}", 1, 60.0, 0.0)
    left = pool.upstreams["a1-0"]
    accepted = {}
    for target_seconds in (2.0, 0.6):
        wanted = requirements.Requirements(
            "r1", None, (), (), target_seconds=target_seconds
        )
        left.in_flight = 0
        while pool.choose(wanted, 1.0).excess_wait_seconds <= 0:
            left.in_flight += 1
        accepted[target_seconds] = left.in_flight
    assert accepted[2.0] > accepted[0.6] >= 3
