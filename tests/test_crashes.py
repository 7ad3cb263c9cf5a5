"""Blocking of requests that crash upstreams, by the leader."""

import random

import pytest

from pollenseam import crashes

DEADLY = b"d"


def report(blocklist, fingerprint, upstream, now):
    crash = crashes.CrashReport(fingerprint, upstream, 1, 0)
    blocklist.record_crash(crash, now)


def blocked(blocklist, now):
    return {f for f, s in blocklist.suspects.items() if s.is_blocked(now)}


def test_three_crashes_without_a_success_block_a_request():
    blocklist = crashes.Blocklist()
    for number in range(2):
        report(blocklist, DEADLY, f"i{number}", float(number))
        assert blocklist.block(float(number)) == []
    report(blocklist, DEADLY, "i1", 1.5)
    assert blocklist.block(1.5) == []
    report(blocklist, DEADLY, "i2", 2.0)
    assert blocklist.block(2.0) == [DEADLY]
    assert blocklist.block(2.0) == []


def test_a_success_clears_a_request_also_of_earlier_reports_that_come_late():
    blocklist = crashes.Blocklist()
    report(blocklist, b"p", "i0", 0.0)
    report(blocklist, b"p", "i1", 1.0)
    blocklist.record_success(b"p", 2.0)
    blocklist.record_crash(crashes.CrashReport(b"p", "i2", 1, 2000), 3.0)
    assert blocklist.block(3.0) == []
    [suspicion] = blocklist.changes_since(0, 3.0)
    assert suspicion.crashes == 0


def test_a_run_that_ends_well_after_the_block_lifts_it():
    blocklist = crashes.Blocklist()
    for number in range(3):
        report(blocklist, b"p", f"i{number}", float(number))
    assert blocklist.block(2.0) == [b"p"]
    blocklist.record_success(b"p", 2.1)
    assert blocked(blocklist, 2.1) == set()


def test_requests_that_shared_the_upstreams_of_a_deadly_one_are_cleared():
    """Guards against refusals of proper requests beside a deadly one.

    One of them even shared all three upstreams.
    """
    blocklist = crashes.Blocklist()
    for number in range(3):
        now = float(number)
        for fingerprint in (b"p", b"q", DEADLY)[number > 1 :]:
            report(blocklist, fingerprint, f"i{number}", now)
    report(blocklist, DEADLY, "i9", 3.0)
    assert blocklist.block(3.0) == [DEADLY]
    assert blocked(blocklist, 3.0) == {DEADLY}
    known = {s.fingerprint: s.crashes for s in blocklist.changes_since(0, 3.0)}
    assert known[b"p"] == known[b"q"] == 0
    report(blocklist, b"p", "i9", 3.5)
    report(blocklist, DEADLY, "i10", 3.5)
    report(blocklist, b"p", "i10", 3.6)
    assert blocklist.suspects[b"p"].count() == 0


def test_changes_are_told_also_after_a_report_that_changes_nothing():
    blocklist = crashes.Blocklist()
    for number in range(3):
        report(blocklist, DEADLY, f"i{number}", float(number))
    blocklist.block(2.0)
    revision = blocklist.suspects.revision
    report(blocklist, b"p", "i8", 3.0)
    report(blocklist, b"q", "i2", 3.0)
    changed = blocklist.changes_since(revision, 3.0)
    assert [s.fingerprint for s in changed] == [b"p"]


def test_upstreams_that_end_together_count_as_one_crash():
    """Guards against refusals after the loss of a rack.

    A popular request runs on many upstreams at that moment.
    """
    blocklist = crashes.Blocklist()
    for number in range(30):
        report(blocklist, b"popular", f"i{number}", 5.0 + number / 200)
    assert blocklist.suspects[b"popular"].count() == 1
    assert blocklist.block(6.0) == []


def test_a_new_leader_takes_over_blocks_unless_it_knows_better():
    blocklist = crashes.Blocklist()
    blocklist.restore(crashes.Suspicion(DEADLY, 3, 60_000), 0.0)
    assert blocked(blocklist, 59.0) == {DEADLY}
    assert blocked(blocklist, 61.0) == set()
    blocklist.record_success(b"p", 1.0)
    blocklist.restore(crashes.Suspicion(b"p", 3, 60_000), 2.0)
    assert b"p" not in blocked(blocklist, 2.0)


def test_so_many_deadly_requests_are_not_believed():
    blocklist = crashes.Blocklist()
    for number in range(2 * crashes.MAX_BLOCKED):
        for crash in range(3):
            upstream = f"i{number}-{crash}"
            report(blocklist, str(number).encode(), upstream, float(crash))
    assert len(blocklist.block(3.0)) == crashes.MAX_BLOCKED


def test_the_number_of_suspects_is_bounded_and_the_blocked_are_kept():
    blocklist = crashes.Blocklist()
    for number in range(3):
        report(blocklist, DEADLY, f"i{number}", float(number))
    blocklist.block(3.0)
    for number in range(3 * crashes.MAX_SUSPECTS):
        report(blocklist, f"p{number}".encode(), "i5", 4.0)
    assert len(blocklist.suspects) <= crashes.MAX_SUSPECTS
    assert blocked(blocklist, 4.0) == {DEADLY}
    blocklist.expire(4.0 + crashes.CRASH_SECONDS)
    assert blocklist.suspects.keys() == {DEADLY}
    blocklist.expire(4.0 + crashes.BLOCK_SECONDS)
    assert blocklist.suspects == {}


@pytest.mark.parametrize("seed", range(5))
def test_crashes_that_no_request_causes_block_none(seed):
    """Guards against refusals on days on which upstreams crash by themselves.

    Each second one of 18 upstreams ends, with up to a dozen requests. Half of
    the requests are asked for again and again, as popular objects are.
    """
    rng = random.Random(seed)
    blocklist = crashes.Blocklist()
    running = []
    for step in range(6000):
        now = step / 100
        # 80 requests a second, of 0.1 to 1 second each.
        if rng.random() < 0.8:
            is_popular = rng.random() < 0.5
            name = rng.randrange(40) if is_popular else 1000 + step
            end = now + rng.uniform(0.1, 1.0)
            running.append((end, f"i{rng.randrange(18)}", str(name).encode()))
        for run in [r for r in running if r[0] <= now]:
            running.remove(run)
            if run[2] in blocklist.suspects:
                blocklist.record_success(run[2], now)
        if step % 100 == 50:
            ended = f"i{rng.randrange(18)}"
            for run in [r for r in running if r[1] == ended]:
                running.remove(run)
                report(blocklist, run[2], f"{ended}-{step}", now)
        assert blocklist.block(now) == []
