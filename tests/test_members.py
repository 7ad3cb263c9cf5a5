"""The membership: spread, renewal, order of states, bounded messages."""

import random

import pytest

from pollenseam import members
from pollenseam import messages


def vm(name, domain="d1", state="serving", incarnation=1):
    return messages.Vm(
        name, incarnation, 0, state, "r", domain, "c", name, "", 0, 0, 0.0
    )


def upstream(name="u", state="serving", incarnation=1, beat=1, ttl_ms=3000):
    return messages.Upstream(
        "s", name, incarnation, beat, state, "a", "r", "d1", 3, 9, 0.0, ttl_ms
    )


class Fleet:
    """Directories that exchange records, with a share of them lost."""

    def __init__(self, count, domains=4, loss=0.0):
        self.now = 0.0
        self.random = random.Random(7)
        self.loss = loss
        self.nodes = {
            f"v{n}": members.Directory(vm(f"v{n}", f"d{n % domains}"), n)
            for n in range(count)
        }
        self.largest = 0
        self.bytes = 0
        for name, node in self.nodes.items():
            self.exchange("v0", name, whole=True)
            self.exchange(name, "v0", whole=True)
            node.synced_peers.clear()

    def exchange(self, a, b, whole=False):
        if a == b or b not in self.nodes:
            return
        sent = self.pack(self.nodes[a].make_gossip(b, self.now, whole))
        if self.random.random() < self.loss:
            return
        self.nodes[b].merge(sent, self.now)
        if sent.wants_all_records:
            self.nodes[b].mark_synced(a)
        answer = self.pack(
            self.nodes[b].make_gossip(a, self.now, sent.wants_all_records)
        )
        if self.random.random() < self.loss:
            return
        self.nodes[a].merge(answer, self.now)
        if not answer.wants_all_records:
            self.nodes[a].mark_synced(b)

    def pack(self, gossip):
        data = messages.encode(gossip)
        self.bytes += len(data)
        if not gossip.wants_all_records:
            self.largest = max(self.largest, len(data))
        return messages.msgspec.msgpack.decode(data, type=messages.Gossip)

    def step(self, number):
        self.now += 1.0
        for node in self.nodes.values():
            node.update_own("serving", 0, 0, 0.0)
            node.remove_expired(self.now)
        for name, node in self.nodes.items():
            whole = number % 15 == 14
            for record in node.choose_peers(self.now):
                self.exchange(name, record.name, whole)


def test_live_vms_are_not_suspected_and_messages_stay_small():
    fleet = Fleet(40, loss=0.05)
    for number in range(45):
        fleet.step(number)
    fleet.largest = fleet.bytes = 0
    suspected = 0
    for number in range(45, 75):
        fleet.step(number)
        for node in fleet.nodes.values():
            suspected += sum(
                known.is_suspect(fleet.now) for known in node.vms.values()
            )
    # Sent and received, of the 6 KB/s that a node may spend on control.
    per_second = 2 * fleet.bytes / 40 / 30
    assert per_second < 6000, per_second
    assert suspected <= 40 * 39 * 30 * 0.001
    assert all(len(node.vms) == 39 for node in fleet.nodes.values())


def test_a_dead_vm_is_suspected_then_forgotten_by_all():
    fleet = Fleet(12)
    for number in range(5):
        fleet.step(number)
    dead = fleet.nodes.pop("v3")
    for number in range(5, 14):
        fleet.step(number)
    rest = list(fleet.nodes.values())
    assert all(node.vms["v3"].is_suspect(fleet.now) for node in rest)
    assert dead.own_record.name not in [v.name for v in rest[0].live(fleet.now)]
    for number in range(14, 30):
        fleet.step(number)
    assert all("v3" not in node.vms for node in rest)


def test_an_announced_upstream_stays_known_everywhere_while_it_renews():
    fleet = Fleet(12, loss=0.05)
    owner = fleet.nodes["v5"]
    for number in range(60):
        for beat in (1, 2):
            record = upstream(beat=2 * number + beat)
            assert owner.announce(record, fleet.now)
        fleet.step(number)
        if number < 6:
            continue
        for name, node in fleet.nodes.items():
            known = node.upstreams["s", "u"]
            assert known.deadline > fleet.now, (name, number)


def test_a_silent_upstream_expires_everywhere():
    fleet = Fleet(6)
    fleet.nodes["v1"].announce(upstream(), fleet.now)
    for number in range(9):
        fleet.step(number)
    for node in fleet.nodes.values():
        assert node.upstreams["s", "u"].deadline <= fleet.now


def test_leaving_spreads_within_a_few_rounds():
    fleet = Fleet(30, loss=0.05)
    fleet.nodes["v1"].announce(upstream(ttl_ms=30_000), fleet.now)
    for number in range(6):
        fleet.step(number)
    fleet.nodes["v1"].announce(upstream(state="leaving", beat=2), fleet.now)
    for number in range(6, 12):
        fleet.step(number)
    states = {
        node.upstreams["s", "u"].record.state for node in fleet.nodes.values()
    }
    assert states == {"leaving"}


@pytest.mark.parametrize(
    ("first", "second", "wins"),
    [
        (upstream(state="leaving", beat=1), upstream(beat=9), "leaving"),
        (upstream(state="leaving"), upstream(incarnation=2), "serving"),
        (upstream(incarnation=2), upstream(state="gone"), "serving"),
        (upstream(state="gone"), upstream(state="leaving", beat=5), "gone"),
    ],
)
def test_an_old_state_never_overtakes_a_newer_one(first, second, wins):
    for order in ([first, second], [second, first]):
        node = members.Directory(vm("v"), 1)
        for record in order:
            node.merge_upstream(record, 0.0)
        assert node.upstreams["s", "u"].record.state == wins


def test_a_record_that_is_still_under_way_does_not_bring_it_back():
    node = members.Directory(vm("v"), 1)
    node.merge_upstream(upstream(beat=5, ttl_ms=1000), 0.0)
    node.remove_expired(30.0)
    assert not node.merge_upstream(upstream(beat=4, ttl_ms=3000), 30.0)
    assert node.upstreams["s", "u"].deadline <= 30.0


def test_a_vm_whose_clock_went_back_outdoes_its_old_record():
    node = members.Directory(vm("v", incarnation=5), 1)
    node.merge_vm(vm("v", incarnation=9), 0.0)
    assert node.own_record.incarnation > 9
