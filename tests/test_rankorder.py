"""Who gets the room of a service that is short of it, over all entry VMs.

Each test names the load it answers. A service takes a fixed amount of work per
second and turns the rest away; the VMs and the leader exchange their messages
every half second.
"""

import collections
import random

import pytest

from pollenseam import loadtallies
from pollenseam import options
from pollenseam import rankorder
from pollenseam import scarcity
from pollenseam import scarcityboard
from pollenseam import scarcitymessages

SERVICE = "s1"
RENEW_SECONDS = 0.5
STEP_SECONDS = 0.05
TIMEOUT_SECONDS = 8.0
WORKSPACES = 20
HIGH, LOW = 0, 1
# Work that a service starts at once, per unit of work per second.
QUEUE_SECONDS = 0.2


class Fleet:
    """Entry VMs, their leader and one service."""

    def __init__(self, vms=12, room=120.0, values=None, seed=1):
        random.seed(seed)
        self.time = 0.0
        self.room = room
        self.slots = 100
        self.free = room * QUEUE_SECONDS
        self.board = scarcityboard.Board()
        in_full = {rankorder.STRENGTH.name: 1.0}
        self.option_values = options.Options(in_full | (values or {}))
        self.orders = [self.start() for _ in range(vms)]
        # Work per second by rank and workspace.
        self.demands = {}
        self.returns = []
        self.comes_back = False
        self.refusals = []
        self.reset()

    def start(self):
        order = rankorder.RankOrder(self.option_values, lambda: self.time)
        order.set_services([SERVICE])
        return order

    def reset(self):
        self.offered = collections.Counter()
        self.served = collections.Counter()
        self.turned_away = 0

    def set_demand(self, rank, work):
        for number in range(WORKSPACES):
            self.demands[rank, f"w{number}"] = work / WORKSPACES

    def run(self, seconds):
        until = self.time + seconds
        while self.time < until - 1e-9:
            self.time += STEP_SECONDS
            most = self.room * QUEUE_SECONDS
            self.free = min(most, self.free + self.room * STEP_SECONDS)
            for index, order in enumerate(self.orders):
                self._renew(index, order)
            self._arrive()

    def _renew(self, index, order):
        phase = RENEW_SECONDS * index / len(self.orders)
        before = (self.time - STEP_SECONDS + phase) // RENEW_SECONDS
        if (self.time + phase) // RENEW_SECONDS == before:
            return
        report = order.build_report()
        if self.board is not None:
            self.board.record(f"vm{index}", "r1", report, self.time)
            order.adopt(self.board.rooms("r1", self.time), self.time)

    def _arrive(self):
        due = [entry for entry in self.returns if entry[0] <= self.time]
        self.returns = [r for r in self.returns if r[0] > self.time]
        arrivals = [(rank, name, True) for _, rank, name in due]
        for (rank, name), work in self.demands.items():
            for _ in range(_poisson(work * STEP_SECONDS)):
                self.offered[rank, name] += 1
                arrivals.append((rank, name, False))
        random.shuffle(arrivals)
        for rank, name, is_return in arrivals:
            self._serve(random.choice(self.orders), rank, name, is_return)

    def _serve(self, order, rank, name, is_return):
        order.slots[SERVICE] = self.slots
        refusal = order.decide(SERVICE, rank, name, 1.0, TIMEOUT_SECONDS)
        if refusal is None and self.free >= 1.0:
            self.free -= 1.0
            self.served[rank, name] += 1
            return
        seconds = refusal and refusal.retry_after
        if refusal is None:
            self.turned_away += 1
            order.record_turned_away(SERVICE, 1.0)
            seconds = order.return_seconds(SERVICE, rank, TIMEOUT_SECONDS)
        else:
            self.refusals.append((rank, refusal))
        if self.comes_back and not is_return:
            self.returns.append((self.time + max(0.05, seconds), rank, name))

    def served_ratio(self, rank, name=None):
        def count(counter):
            return sum(
                n
                for (r, w), n in counter.items()
                if r == rank and name in (None, w)
            )

        return count(self.served) / max(1, count(self.offered))


def _poisson(mean):
    count, left = 0, random.expovariate(1.0)
    while left < mean:
        count += 1
        left += random.expovariate(1.0)
    return count


def calm_fleet(**kwargs):
    fleet = Fleet(**kwargs)
    fleet.set_demand(HIGH, 60.0)
    fleet.set_demand(LOW, 40.0)
    fleet.run(20.0)
    return fleet


def test_nothing_is_refused_while_there_is_room():
    fleet = calm_fleet(room=150.0)
    assert not fleet.refusals
    assert all(not order.build_report() for order in fleet.orders)
    assert not fleet.board.groups


def test_a_burst_of_low_rank_does_not_push_out_the_high_rank():
    """The low rank sends 2.5 times its usual; the high rank is steady."""
    fleet = calm_fleet()
    fleet.set_demand(LOW, 100.0)
    fleet.run(3.0)
    fleet.reset()
    fleet.run(6.0)
    assert fleet.served_ratio(HIGH) >= 0.9
    all_alike = 120.0 / 160.0
    floor = rankorder.FLOOR.default
    assert fleet.served_ratio(LOW) >= floor * all_alike
    # Room is not left unused for the order's sake.
    assert sum(fleet.served.values()) >= 0.85 * 120.0 * 6


def test_a_burst_of_high_rank_leaves_the_low_rank_its_floor():
    """The high rank alone asks for more than all room."""
    fleet = calm_fleet()
    fleet.set_demand(HIGH, 300.0)
    fleet.run(3.0)
    fleet.reset()
    fleet.run(6.0)
    all_alike = 120.0 / 340.0
    floor = rankorder.FLOOR.default
    # Half of it for the chance of who finds a free slot.
    assert fleet.served_ratio(LOW) >= 0.5 * floor * all_alike
    assert fleet.served_ratio(HIGH) > fleet.served_ratio(LOW)


def test_a_workspace_at_seven_times_its_usual_pays_for_it():
    """A large workspace of the low rank asks for as much as all others."""
    gains = []
    for seed in range(1, 5):
        fleet = calm_fleet(seed=seed)
        fleet.demands[LOW, "w0"] = 6.0
        fleet.run(20.0)
        fleet.demands[LOW, "w0"] *= 7
        fleet.run(3.0)
        fleet.reset()
        fleet.run(6.0)
        others = [
            fleet.served_ratio(LOW, f"w{number}")
            for number in range(1, WORKSPACES)
        ]
        mean = sum(others) / len(others)
        gains.append(mean - fleet.served_ratio(LOW, "w0"))
        assert fleet.served_ratio(HIGH) >= 0.9
    assert min(gains) > 0.0 and sum(gains) / len(gains) >= 0.1


@pytest.mark.parametrize("has_leader", [True, False])
def test_half_of_the_room_is_lost_with_a_failure_domain(has_leader):
    """Demand is usual, but only half of the upstreams are left."""
    fleet = calm_fleet()
    if not has_leader:
        fleet.board = None
    fleet.room, fleet.slots = 60.0, 50
    fleet.run(4.0)
    fleet.reset()
    fleet.run(8.0)
    # Room is as large as the demand of the high rank, less the low one's floor.
    least = 0.75 if has_leader else 0.65
    floor = rankorder.FLOOR.default * 0.6
    assert fleet.served_ratio(HIGH) >= least > 0.6
    # Half of it for the chance of who finds a free slot.
    assert fleet.served_ratio(LOW) >= 0.5 * floor
    fleet.room, fleet.slots = 150.0, 100
    fleet.run(11.0)
    fleet.reset()
    fleet.run(4.0)
    assert fleet.served_ratio(LOW) >= 0.95


def test_a_crowd_that_comes_back_is_let_in_by_steps():
    """All who were refused during an outage of 2 s return once."""
    fleet = calm_fleet()
    fleet.comes_back = True
    fleet.room = 30.0
    fleet.run(2.0)
    fleet.room = 120.0
    fleet.reset()
    fleet.run(TIMEOUT_SECONDS)
    served = sum(fleet.served.values())
    assert served >= 0.75 * 100.0 * TIMEOUT_SECONDS
    # Upstreams turn few away: callers who return don't meet a queue again.
    assert fleet.turned_away <= 0.15 * served
    returns = [refusal.retry_after for _, refusal in fleet.refusals]
    assert max(returns) - min(returns) > 0.5


def test_vms_go_on_alone_without_the_leader():
    """The leader is lost during a burst of low rank, and comes back empty."""
    fleet = calm_fleet()
    fleet.set_demand(LOW, 100.0)
    fleet.run(3.0)
    fleet.board = None
    fleet.run(rankorder.WORD_SECONDS + RENEW_SECONDS)
    assert not any(o.orders[SERVICE].is_told(fleet.time) for o in fleet.orders)
    fleet.reset()
    fleet.run(6.0)
    assert fleet.served_ratio(HIGH) >= fleet.served_ratio(LOW) + 0.1
    fleet.board = scarcityboard.Board()
    fleet.run(3.0)
    fleet.reset()
    fleet.run(6.0)
    assert fleet.served_ratio(HIGH) >= 0.9


def test_a_vm_that_restarts_follows_the_others():
    fleet = calm_fleet()
    fleet.set_demand(LOW, 100.0)
    fleet.run(3.0)
    fleet.orders[0] = fleet.start()
    fleet.run(2 * RENEW_SECONDS + loadtallies.STEP_SECONDS)
    order = fleet.orders[0].orders[SERVICE]
    assert order.source == "leader"
    assert order.rank_part(LOW) < 1.0


def test_word_that_is_too_old_is_not_followed():
    fleet = Fleet(vms=1)
    order = fleet.orders[0]
    old = int(rankorder.WORD_SECONDS * 1000) + 1
    for age_ms, is_refused in ((0, True), (old, False)):
        word = scarcitymessages.ServiceRoom(SERVICE, (100, 10_000), 50, age_ms)
        order.orders.clear()
        order.adopt([word], fleet.time)
        decisions = [
            order.decide(SERVICE, LOW, "w", 1.0, 8.0) for _ in range(20)
        ]
        assert any(decisions) == is_refused


def test_a_part_that_is_switched_off_neither_refuses_nor_reports():
    values = {rankorder.STRENGTH.name: 0.0}
    fleet = calm_fleet(room=60.0, values=values)
    assert fleet.turned_away and not fleet.refusals
    assert not fleet.board.groups


def test_a_service_whose_requests_have_one_rank_is_served_as_before():
    fleet = Fleet(vms=2)
    for order in fleet.orders:
        order.set_services([])
    fleet.set_demand(LOW, 200.0)
    fleet.run(5.0)
    assert fleet.turned_away and not fleet.refusals


@pytest.mark.parametrize(
    "message",
    [
        scarcitymessages.ServiceLoad("", (1,), 1, 0, 0, 9),
        scarcitymessages.ServiceLoad(SERVICE, (), 1, 0, 0, 9),
        scarcitymessages.ServiceLoad(SERVICE, (-1,), 1, 0, 0, 9),
        scarcitymessages.ServiceLoad(SERVICE, (1,) * 9, 1, 0, 0, 9),
        scarcitymessages.ServiceLoad(SERVICE, (1,), 1, 2, 1, 9),
        scarcitymessages.ServiceLoad(SERVICE, (1,), 10**13, 0, 0, 9),
    ],
)
def test_an_impossible_load_is_dropped_and_counted(message):
    board = scarcityboard.Board()
    board.record("vm1", "r1", [message], 0.0)
    assert board.refused_count == 1
    assert not board.rooms("r1", 0.0)


@pytest.mark.parametrize(
    "message",
    [
        scarcitymessages.ServiceRoom(SERVICE, (1, 1), -2),
        scarcitymessages.ServiceRoom(SERVICE, (), 1),
        scarcitymessages.ServiceRoom(SERVICE, (1, -1), 1),
        scarcitymessages.ServiceRoom(SERVICE, (1, 1), 1, -1),
    ],
)
def test_an_impossible_room_is_dropped_and_counted(message):
    order = Fleet(vms=1).orders[0]
    order.adopt([message], 0.0)
    assert order.refused_count == 1
    assert order.decide(SERVICE, LOW, "w", 1.0, 8.0) is None


def test_loads_of_vms_that_no_longer_report_age_out():
    board = scarcityboard.Board()
    load = scarcity.Load([10.0, 10.0], 20.0, 10.0, 10, 9)
    message = scarcitymessages.to_message(SERVICE, load)
    for step in range(8):
        board.record("vm1", "r1", [message], step * RENEW_SECONDS)
        rooms = board.rooms("r1", step * RENEW_SECONDS)
    assert 0 < rooms[0].room < sum(rooms[0].offered)
    assert not board.rooms("r1", 3.5 + scarcityboard.REPORT_SECONDS)
    assert not board.groups["r1"]
