"""Exchange of observations between entry VMs, through the leader."""

import pytest

from pollenseam import crashes
from pollenseam import messages
from pollenseam import observations
from pollenseam import upstreamstatements


class Fleet:
    """Entry VMs and their leader; all calls arrive at once."""

    def __init__(self, count):
        self.views = [observations.FleetView() for _ in range(count)]
        self.board = observations.Board(lambda fingerprint: None)
        self.term = 1

    def renew(self, now, is_full=False):
        for view in self.views:
            report = view.build_report(is_full, now)
            update = self.board.answer(report, self.term, now)
            view.receive(report, update, now)

    def rates(self):
        records = [v.statements.in_force("i1", 1) for v in self.views]
        return [record and record.rate for record in records]


def test_all_vms_know_within_two_renewals_what_one_of_them_read():
    """Guards against VMs that send as before, as they were not told."""
    fleet = Fleet(5)
    for now, rate in (
        (0.0, 2.0),
        (10.0, 0.5),
        (20.0, upstreamstatements.NO_LIMIT),
    ):
        fleet.views[3].statements.record("i1", 1, rate, now)
        fleet.renew(now)
        fleet.renew(now + 0.5)
        expected = None if rate == upstreamstatements.NO_LIMIT else rate
        assert fleet.rates() == [expected] * 5


def test_what_is_known_survives_the_leader_and_the_vm_that_read_it():
    fleet = Fleet(5)
    fleet.views[0].statements.record("i1", 1, 2.0, 0.0)
    fleet.renew(0.0)
    fleet.renew(0.5)
    fleet.views[0] = observations.FleetView()
    fleet.board = observations.Board(lambda fingerprint: None)
    fleet.term = 2
    fleet.renew(1.0, is_full=True)
    fleet.renew(1.5)
    assert fleet.rates() == [2.0] * 5


def test_a_statement_that_is_passed_on_late_does_not_replace_a_later_one():
    fleet = Fleet(2)
    fleet.views[0].statements.record("i1", 1, 2.0, 0.0)
    fleet.views[1].statements.record("i1", 1, 3.0, 1.0)
    fleet.renew(1.5)
    fleet.renew(2.0)
    assert fleet.rates() == [3.0, 3.0]


def test_an_unchanged_rate_is_reported_again_only_now_and_then():
    """Guards against bytes and work for each response of each upstream."""
    fleet = Fleet(3)
    sent = 0
    for step in range(40):
        now = step * 0.5
        for view in fleet.views:
            view.statements.record("i1", 1, 2.0, now)
            sent += len(view.build_report(False, now).statements)
        fleet.renew(now)
    assert sent <= 3 + 20.0 / upstreamstatements.REFRESH_SECONDS * 3
    [record] = fleet.views[0].statements.records.values()
    assert record.read_at == 19.5


@pytest.mark.parametrize(
    "rate, age_ms, started_ms",
    [
        (5.0, -(10**12), 1),
        (float("nan"), 0, 1),
        (float("inf"), 0, 1),
        (-7.0, 0, 1),
        (5.0, 2**64 - 1, 1),
        (5.0, 0, 2**64 - 1),
    ],
)
def test_an_odd_statement_hides_no_later_one(rate, age_ms, started_ms):
    """Guards against a limit that was read in the future, or is none."""
    fleet = Fleet(2)
    odd = upstreamstatements.Statement("i1", started_ms, rate, age_ms)
    report = observations.Report(statements=(odd,))
    update = fleet.board.answer(report, 1, 100.0)
    fleet.views[0].receive(observations.Report(), update, 100.0)
    fleet.views[1].statements.adopt([odd], 100.0)
    for view in fleet.views:
        view.statements.record("i1", 1, 3.0, 101.0)
    fleet.renew(101.0)
    fleet.renew(101.5)
    assert fleet.rates() == [3.0, 3.0]


def test_an_odd_block_ends_when_any_other_does():
    """Guards against a request that is blocked for good."""
    view = observations.FleetView()
    board = observations.Board(lambda fingerprint: None)
    odd = crashes.Suspicion(b"f", 3, 2**64 - 1)
    update = board.answer(observations.Report(blocks=(odd,)), 1, 100.0)
    assert messages.encode(update)
    view.receive(observations.Report(), update, 100.0)
    until = view.watchlist.blocked_until(b"f", 100.0)
    assert until <= 100.0 + crashes.BLOCK_SECONDS
