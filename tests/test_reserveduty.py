"""A reserve is lent once in a window, whoever keeps it and whoever dies."""

import asyncio
import bisect
import math
import random

import pytest
import simulation
import test_borrowing
import test_rates_at_takeover

from pollenseam import reserveduty
from pollenseam import reserves
from pollenseam import vm

WINDOW = 5.0
QUIET = (
    reserveduty.NOTICE_SECONDS + reserveduty.HANDOVER_SECONDS + WINDOW + 0.01
)
FIRST, SECOND, OTHER = (f"127.0.0.1:{n + 1}" for n in range(3))
KEEPERS = [FIRST, SECOND]


def settled(address, leader, now=100.0):
    """Returns the duty of a VM that has seen one leader for long."""
    duty = reserveduty.Duty(address, WINDOW)
    duty.observe(leader, True, test_borrowing.controls(3), now - QUIET)
    steps = int(QUIET * 10)
    for step in range(steps + 1):
        observe(duty, leader, now - (steps - step) / 10)
    return duty


def observe(duty, leader, now, is_recent=True, count=3):
    duty.observe(leader, is_recent, test_borrowing.controls(count), now)


def test_only_the_first_keeper_lends_while_another_vm_leads():
    assert settled(FIRST, OTHER).may_lend(KEEPERS, 100.0)
    assert not settled(SECOND, OTHER).may_lend(KEEPERS, 100.0)
    assert not settled(OTHER, OTHER).may_lend(KEEPERS, 100.0)


def test_the_second_lends_in_place_of_a_leader_and_no_longer_than_a_handover():
    duty = settled(SECOND, FIRST)
    assert duty.may_lend(KEEPERS, 100.0)
    observe(duty, "", 102.0)
    assert duty.may_lend(KEEPERS, 102.0)
    observe(duty, OTHER, 100.1 + reserveduty.HANDOVER_SECONDS)
    assert not duty.may_lend(KEEPERS, 100.1 + reserveduty.HANDOVER_SECONDS)


def test_the_second_does_not_lend_for_a_leader_that_may_have_lent():
    """Guards against two leaders that are lost one right after the other."""
    duty = settled(SECOND, OTHER)
    for step in range(70):
        observe(duty, FIRST, 100.0 + step / 10)
        assert not duty.may_lend(KEEPERS, 100.0 + step / 10)


def test_a_leader_stops_to_lend_and_stays_quiet_after_it_has_led():
    duty = settled(FIRST, OTHER)
    observe(duty, FIRST, 101.0)
    assert duty.may_lend(KEEPERS, 101.0)
    observe(duty, FIRST, 103.0)
    assert duty.may_lend(KEEPERS, 103.0)
    observe(duty, FIRST, 103.6)
    assert not duty.may_lend(KEEPERS, 103.6)
    observe(duty, OTHER, 104.0)
    assert not duty.may_lend(KEEPERS, 113.5)
    assert duty.may_lend(KEEPERS, 103.6 + QUIET)


@pytest.mark.parametrize("count", [2, 4])
def test_a_keeper_is_quiet_after_a_start_and_a_change_of_the_control_vms(
    count,
):
    duty = reserveduty.Duty(FIRST, WINDOW)
    assert not duty.may_lend(KEEPERS, 0.0)
    observe(duty, OTHER, 1.0)
    assert not duty.may_lend(KEEPERS, 1.0)
    assert duty.may_lend(KEEPERS, 1.0 + QUIET)
    observe(duty, OTHER, 20.0, count=count)
    assert not duty.may_lend(KEEPERS, 20.0)
    assert duty.may_lend(KEEPERS, 20.0 + QUIET)


def test_a_leader_is_not_seen_leading_by_a_vm_that_is_cut_off():
    duty = settled(SECOND, FIRST)
    observe(duty, FIRST, 103.0, is_recent=False)
    assert not duty.may_lend(KEEPERS, 103.0)


def fleet_lends(monkeypatch):
    """Returns a list that gets what is lent: workspace, time, tokens."""
    lent = []
    lend = reserves.Reserve.lend

    def record(reserve, resource, wanted, limit, tolerance, now):
        tokens = lend(reserve, resource, wanted, limit, tolerance, now)
        lent.append((resource, now, tokens))
        return tokens

    monkeypatch.setattr(reserves.Reserve, "lend", record)
    return lent


async def lose_two_leaders(fleet):
    """Kills the leader and its successor; both start again at once."""
    killed = []
    while len(killed) < 2:
        leaders = [m for m in fleet.leaders() if m not in killed]
        if not leaders:
            await asyncio.sleep(0.02)
            continue
        killed.append(leaders[0])
        await leaders[0].kill()
        asyncio.get_running_loop().call_later(0.5, leaders[0].start)


@pytest.mark.parametrize("seed", [1, 2])
def test_two_leaders_are_lost_again_and_again_beside_floods(
    tmp_path, monkeypatch, seed
):
    """Guards against a reserve that is lent by both keepers, or twice."""
    takeover = test_rates_at_takeover
    for name, value in {
        "ENTRY_VMS": 16,
        "WORKSPACES": 12,
        "REQUESTS_PER_SECOND": 90.0,
    }.items():
        monkeypatch.setattr(takeover, name, value)
    lent = fleet_lends(monkeypatch)
    fleet = simulation.Fleet(tmp_path, seed, [f"d{n}" for n in range(6)])
    fleet.patch_modules(monkeypatch)
    random.seed(seed)
    load = takeover.Load(seed)

    async def main():
        async with takeover.fleet_under_load(fleet, load) as entries:
            load.usual = {n: 4 * rate for n, rate in load.usual.items()}
            for _ in range(3):
                began_at = vm.boot_seconds()
                await lose_two_leaders(fleet)
                await asyncio.sleep(began_at + 10.0 - vm.boot_seconds())
            return entries

    entries = simulation.run(main(), seed)
    assert sum(tokens for _, _, tokens in lent) > 0
    tolerance = takeover.TOLERANCE
    for name, limit in load.limits.items():
        tolerated = tolerance.max_overdraft(limit)
        outage_tokens = reserves.outage_tokens(limit, tolerated)
        most_lent = math.floor(reserves.RESERVE_RATIO * outage_tokens)
        times = []
        for resource, at, tokens in lent:
            times += [at] * int(tokens) if resource == name else []
        assert most_in_window(times) <= most_lent, name
        allowed = limit.rate * WINDOW + limit.burst + tolerated
        admitted = sorted(
            at for e in entries for n, at in e.admitted if n == name
        )
        assert most_in_window(admitted) <= allowed, name


def most_in_window(times):
    """Returns the most of the sorted times that are in one window."""
    return max(
        (bisect.bisect(times, at + WINDOW) - n for n, at in enumerate(times)),
        default=0,
    )
