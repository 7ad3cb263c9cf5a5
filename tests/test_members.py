"""Membership gossip: spread, heartbeats, order of states, message size."""

import random

import pytest

from pollenseam import members
from pollenseam import messages


def vm(name, domain="d1", state="serving", incarnation=1):
    return messages.Vm(
        name, incarnation, 0, state, "r", domain, "c", name, "", 0, 0, 0.0
    )


def upstream(
    name="u", state="serving", incarnation=1, heartbeat_count=1, ttl_ms=3000
):
    return messages.Upstream(
        "s",
        name,
        incarnation,
        heartbeat_count,
        state,
        "a",
        "r",
        "d1",
        3,
        9,
        0.0,
        ttl_ms,
    )


class Fleet:
    """Directories that exchange gossip; some messages are dropped.

    Attributes:
        loss: Probability that a message is dropped.
        largest: Size in bytes of the largest message that does not ask for all
            records in return.
        bytes: Size in bytes of all messages.
    """

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
            self.exchange("v0", name, is_full=True)
            self.exchange(name, "v0", is_full=True)
            node.synced_peers.clear()

    def exchange(self, a, b, is_full=False):
        if a == b or b not in self.nodes:
            return
        sent = self.pack(self.nodes[a].make_gossip(b, self.now, is_full))
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

    def step(self, round_number):
        self.now += 1.0
        for node in self.nodes.values():
            node.update_own("serving", 0, 0, 0.0)
            node.remove_expired(self.now)
        for name, node in self.nodes.items():
            is_full = round_number % 15 == 14
            for record in node.choose_peers(self.now):
                self.exchange(name, record.name, is_full)


def test_live_vms_are_not_suspected_and_messages_stay_small():
    fleet = Fleet(40, loss=0.05)
    for round_number in range(45):
        fleet.step(round_number)
    fleet.largest = fleet.bytes = 0
    suspected = 0
    for round_number in range(45, 75):
        fleet.step(round_number)
        for node in fleet.nodes.values():
            suspected += sum(
                known.is_suspect(fleet.now) for known in node.vms.values()
            )
    # Bytes sent and received; a node may use 6 KB/s for control traffic.
    per_second = 2 * fleet.bytes / 40 / 30
    assert per_second < 6000, per_second
    assert suspected <= 40 * 39 * 30 * 0.001
    assert all(len(node.vms) == 39 for node in fleet.nodes.values())


def test_a_dead_vm_becomes_suspect_then_is_removed_by_all():
    fleet = Fleet(12)
    for round_number in range(5):
        fleet.step(round_number)
    dead = fleet.nodes.pop("v3")
    for round_number in range(5, 14):
        fleet.step(round_number)
    rest = list(fleet.nodes.values())
    assert all(node.vms["v3"].is_suspect(fleet.now) for node in rest)
    assert dead.own_record.name not in [v.name for v in rest[0].live(fleet.now)]
    for round_number in range(14, 30):
        fleet.step(round_number)
    assert all("v3" not in node.vms for node in rest)


def test_an_upstream_stays_in_all_directories_while_it_sends_heartbeats():
    fleet = Fleet(12, loss=0.05)
    owner = fleet.nodes["v5"]
    for round_number in range(60):
        for offset in (1, 2):
            record = upstream(heartbeat_count=2 * round_number + offset)
            assert owner.announce(record, fleet.now)
        fleet.step(round_number)
        if round_number < 6:
            continue
        for name, node in fleet.nodes.items():
            known = node.upstreams["s", "u"]
            assert known.deadline > fleet.now, (name, round_number)


def test_an_upstream_without_heartbeats_expires_everywhere():
    fleet = Fleet(6)
    fleet.nodes["v1"].announce(upstream(), fleet.now)
    for round_number in range(9):
        fleet.step(round_number)
    for node in fleet.nodes.values():
        assert node.upstreams["s", "u"].deadline <= fleet.now


def test_leaving_spreads_within_a_few_rounds():
    fleet = Fleet(30, loss=0.05)
    fleet.nodes["v1"].announce(upstream(ttl_ms=30_000), fleet.now)
    for round_number in range(6):
        fleet.step(round_number)
    fleet.nodes["v1"].announce(
        upstream(state="leaving", heartbeat_count=2), fleet.now
    )
    for round_number in range(6, 12):
        fleet.step(round_number)
    states = {
        node.upstreams["s", "u"].record.state for node in fleet.nodes.values()
    }
    assert states == {"leaving"}


@pytest.mark.parametrize(
    ("first", "second", "wins"),
    [
        (
            upstream(state="leaving", heartbeat_count=1),
            upstream(heartbeat_count=9),
            "leaving",
        ),
        (upstream(state="leaving"), upstream(incarnation=2), "serving"),
        (upstream(incarnation=2), upstream(state="gone"), "serving"),
        (
            upstream(state="gone"),
            upstream(state="leaving", heartbeat_count=5),
            "gone",
        ),
    ],
)
def test_an_older_state_never_replaces_a_newer_one(first, second, wins):
    for order in ([first, second], [second, first]):
        node = members.Directory(vm("v"), 1)
        for record in order:
            node.merge_upstream(record, 0.0)
        assert node.upstreams["s", "u"].record.state == wins


def test_a_delayed_older_record_does_not_restore_an_expired_upstream():
    node = members.Directory(vm("v"), 1)
    node.merge_upstream(upstream(heartbeat_count=5, ttl_ms=1000), 0.0)
    node.remove_expired(30.0)
    assert not node.merge_upstream(
        upstream(heartbeat_count=4, ttl_ms=3000), 30.0
    )
    assert node.upstreams["s", "u"].deadline <= 30.0


def test_a_vm_whose_clock_was_set_back_raises_its_incarnation():
    node = members.Directory(vm("v", incarnation=5), 1)
    node.merge_vm(vm("v", incarnation=9), 0.0)
    assert node.own_record.incarnation > 9
