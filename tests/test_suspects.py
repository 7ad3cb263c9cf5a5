"""What an entry VM knows of requests that may crash upstreams."""

from pollenseam import crashes
from pollenseam import crashwatch
from pollenseam import observations
from pollenseam import suspects


def crash(watchlist, fingerprint, upstream, now=0.0):
    watchlist.record_crash(crashwatch.CrashedRun(fingerprint, upstream, 1, now))


class Fleet:
    """Entry VMs and their leader; all calls arrive at once."""

    def __init__(self, count):
        self.views = [observations.FleetView() for _ in range(count)]
        self.term = 0
        self.change_leader()

    def change_leader(self):
        self.term += 1
        self.blocked = []
        self.board = observations.Board(self.blocked.append)

    def renew(self, now, is_full=False):
        for view in self.views:
            report = view.build_report(is_full, now)
            update = self.board.answer(report, self.term, now)
            view.receive(report, update, now)

    def refusing(self, fingerprint, now):
        return sum(
            view.watchlist.blocked_until(fingerprint, now) is not None
            for view in self.views
        )


def block(fleet):
    for number in range(3):
        watchlist = fleet.views[number].watchlist
        crash(watchlist, b"d", f"i{number}", float(number))
        fleet.renew(float(number))
    fleet.renew(2.5)


def test_all_vms_refuse_a_request_that_crashed_upstreams_through_several():
    fleet = Fleet(5)
    block(fleet)
    assert fleet.blocked == [b"d"]
    assert fleet.refusing(b"d", 3.0) == 5


def test_a_block_survives_the_leader_and_the_vms_that_reported_it():
    """Guards against three more crashes after each failover."""
    fleet = Fleet(5)
    block(fleet)
    for number in range(3):
        fleet.views[number] = observations.FleetView()
    fleet.change_leader()
    fleet.renew(3.0, is_full=True)
    fleet.renew(3.5)
    assert fleet.refusing(b"d", 4.0) == 5
    until = {v.watchlist.blocked_until(b"d", 4.0) for v in fleet.views}
    assert max(until) <= 2.0 + crashes.BLOCK_SECONDS + 0.1


def test_crashes_before_a_failover_count_after_it():
    fleet = Fleet(3)
    for number in range(2):
        crash(fleet.views[0].watchlist, b"d", f"i{number}", float(number))
        fleet.renew(float(number))
    fleet.change_leader()
    fleet.renew(2.0, is_full=True)
    crash(fleet.views[1].watchlist, b"d", "i2", 3.0)
    fleet.renew(3.0)
    fleet.renew(3.5)
    assert fleet.refusing(b"d", 4.0) == 3


def test_a_success_at_one_vm_clears_a_request_at_all():
    fleet = Fleet(3)
    for number in range(2):
        crash(fleet.views[number].watchlist, b"p", f"i{number}")
    fleet.renew(0.0)
    fleet.renew(0.5)
    assert fleet.views[2].watchlist.crash_count(b"p") > 0
    fleet.views[2].watchlist.record_success(b"p")
    fleet.renew(1.0)
    fleet.renew(1.5)
    assert [v.watchlist.crash_count(b"p") for v in fleet.views] == [0] * 3
    assert all(v.watchlist.is_empty for v in fleet.views)


def test_what_the_leader_said_is_forgotten_once_it_is_old():
    """Guards against suspicion for good, as the leader tells no ends of it."""
    fleet = Fleet(4)
    block(fleet)
    crash(fleet.views[0].watchlist, b"p", "i7", 3.0)
    fleet.renew(3.0)
    fleet.renew(3.5)
    watchlist = fleet.views[3].watchlist
    assert watchlist.known.keys() == {b"d", b"p"}
    watchlist.expire(4.0 + crashes.CRASH_SECONDS)
    assert watchlist.known.keys() == {b"d"}
    watchlist.expire(4.0 + crashes.BLOCK_SECONDS)
    assert watchlist.is_empty


def test_a_success_before_the_report_makes_the_report_needless():
    watchlist = suspects.Watchlist()
    crash(watchlist, b"p", "i1")
    watchlist.record_success(b"p")
    assert watchlist.reports(False, 1.0) == []
    assert watchlist.is_empty


def test_what_a_vm_keeps_and_sends_is_bounded():
    watchlist = suspects.Watchlist()
    for number in range(3 * crashes.MAX_SUSPECTS):
        crash(watchlist, str(number).encode(), "i1")
    assert len(watchlist.own_runs) <= crashes.MAX_SUSPECTS
    assert len(watchlist.own_counts) <= crashes.MAX_SUSPECTS
    assert len(watchlist.reports(True, 0.0)) <= suspects.MAX_REPORTED
    watchlist.expire(crashes.CRASH_SECONDS + 1.0)
    assert watchlist.is_empty
