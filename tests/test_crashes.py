"""Conviction of requests that crash upstreams, by the leader."""

import random

import pytest

from pollenseam import crashes

DEADLY = b"d"


def report(docket, fingerprint, upstream, now):
    docket.record_crash(crashes.CrashReport(fingerprint, upstream, 1, 0), now)


def convicted(docket, now):
    return {f for f, s in docket.suspects.items() if s.is_convicted(now)}


def test_three_crashes_without_a_good_end_convict_a_request():
    docket = crashes.Docket()
    for number in range(2):
        report(docket, DEADLY, f"i{number}", float(number))
        assert docket.convict(float(number)) == []
    report(docket, DEADLY, "i1", 1.5)
    assert docket.convict(1.5) == []
    report(docket, DEADLY, "i2", 2.0)
    assert docket.convict(2.0) == [DEADLY]
    assert docket.convict(2.0) == []


def test_a_good_end_clears_a_request_also_of_earlier_reports_that_come_late():
    docket = crashes.Docket()
    report(docket, b"p", "i0", 0.0)
    report(docket, b"p", "i1", 1.0)
    docket.record_good_end(b"p", 2.0)
    docket.record_crash(crashes.CrashReport(b"p", "i2", 1, 2000), 3.0)
    assert docket.convict(3.0) == []
    [suspicion] = docket.changes_since(0, 3.0)
    assert suspicion.crashes == 0


def test_a_run_that_ends_well_after_the_conviction_lifts_it():
    docket = crashes.Docket()
    for number in range(3):
        report(docket, b"p", f"i{number}", float(number))
    assert docket.convict(2.0) == [b"p"]
    docket.record_good_end(b"p", 2.1)
    assert convicted(docket, 2.1) == set()


def test_requests_that_shared_the_upstreams_of_a_deadly_one_are_cleared():
    """Guards against refusals of proper requests beside a deadly one.

    One of them even shared all three upstreams.
    """
    docket = crashes.Docket()
    for number in range(3):
        now = float(number)
        for fingerprint in (b"p", b"q", DEADLY)[number > 1 :]:
            report(docket, fingerprint, f"i{number}", now)
    report(docket, DEADLY, "i9", 3.0)
    assert docket.convict(3.0) == [DEADLY]
    assert convicted(docket, 3.0) == {DEADLY}
    known = {s.fingerprint: s.crashes for s in docket.changes_since(0, 3.0)}
    assert known[b"p"] == known[b"q"] == 0
    report(docket, b"p", "i9", 3.5)
    report(docket, DEADLY, "i10", 3.5)
    report(docket, b"p", "i10", 3.6)
    assert docket.suspects[b"p"].count() == 0


def test_changes_are_told_also_after_a_report_that_changes_nothing():
    docket = crashes.Docket()
    for number in range(3):
        report(docket, DEADLY, f"i{number}", float(number))
    docket.convict(2.0)
    revision = docket.revision
    report(docket, b"p", "i8", 3.0)
    report(docket, b"q", "i2", 3.0)
    changed = docket.changes_since(revision, 3.0)
    assert [s.fingerprint for s in changed] == [b"p"]


def test_upstreams_that_end_together_count_as_one_crash():
    """Guards against refusals after the loss of a rack.

    A popular request runs on many upstreams at that moment.
    """
    docket = crashes.Docket()
    for number in range(30):
        report(docket, b"popular", f"i{number}", 5.0 + number / 200)
    assert docket.suspects[b"popular"].count() == 1
    assert docket.convict(6.0) == []


def test_a_new_leader_takes_over_convictions_unless_it_knows_better():
    docket = crashes.Docket()
    docket.restore(crashes.Suspicion(DEADLY, 3, 60_000), 0.0)
    assert convicted(docket, 59.0) == {DEADLY}
    assert convicted(docket, 61.0) == set()
    docket.record_good_end(b"p", 1.0)
    docket.restore(crashes.Suspicion(b"p", 3, 60_000), 2.0)
    assert b"p" not in convicted(docket, 2.0)


def test_so_many_deadly_requests_are_not_believed():
    docket = crashes.Docket()
    for number in range(2 * crashes.MAX_CONVICTED):
        for crash in range(3):
            upstream = f"i{number}-{crash}"
            report(docket, str(number).encode(), upstream, float(crash))
    assert len(docket.convict(3.0)) == crashes.MAX_CONVICTED


def test_the_number_of_suspects_is_bounded_and_the_convicted_are_kept():
    docket = crashes.Docket()
    for number in range(3):
        report(docket, DEADLY, f"i{number}", float(number))
    docket.convict(3.0)
    for number in range(3 * crashes.MAX_SUSPECTS):
        report(docket, f"p{number}".encode(), "i5", 4.0)
    assert len(docket.suspects) <= crashes.MAX_SUSPECTS
    assert convicted(docket, 4.0) == {DEADLY}
    docket.expire(4.0 + crashes.CRASH_SECONDS)
    assert docket.suspects.keys() == {DEADLY}
    docket.expire(4.0 + crashes.CONVICTION_SECONDS)
    assert docket.suspects == {}


@pytest.mark.parametrize("seed", range(5))
def test_crashes_that_no_request_causes_convict_none(seed):
    """Guards against refusals on days on which upstreams crash by themselves.

    Each second one of 18 upstreams ends, with up to a dozen requests. Half of
    the requests are asked for again and again, as popular objects are.
    """
    rng = random.Random(seed)
    docket = crashes.Docket()
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
            if run[2] in docket.suspects:
                docket.record_good_end(run[2], now)
        if step % 100 == 50:
            ended = f"i{rng.randrange(18)}"
            for run in [r for r in running if r[1] == ended]:
                running.remove(run)
                report(docket, run[2], f"{ended}-{step}", now)
        assert docket.convict(now) == []
