"""Transfer of the registry: pages, broken transfers, other sources."""

import itertools
import random

import hypothesis
import msgspec
import pytest
import test_items
import test_registry
from hypothesis import strategies

from pollenseam import items
from pollenseam import registry
from pollenseam import registrysync


def large_patch(count, version=1):
    """Returns one service and `count` routes, as one patch."""
    routes = [
        test_items.route(f"r{n}", version, prefix=f"/p{n}/")
        for n in range(count)
    ]
    return [test_items.service(), *routes]


def content(copy):
    """Returns what a copy must have in common with its source."""
    serving = {
        id: record
        for id, record in copy.upstreams.items()
        if record.state in (registry.SERVING, registry.LEAVING)
    }
    bodies = {
        identity: (item.version, item.body)
        for identity, item in copy.items.items()
    }
    return bodies, serving, copy.evacuated


def transfer(receiver, *sources):
    """Transfers pages from randomly chosen sources until one is the last."""
    while True:
        source = random.choice(sources)
        page = registrysync.next_page(
            source, receiver.base_index, receiver.position
        )
        update = receiver.receive(page, source.index)
        if update is not None:
            return update


def test_a_large_change_is_transferred_in_pages_and_in_force_at_once():
    source = registry.Registry()
    receiver = registrysync.Receiver()
    source.patch(1, [test_items.service()])
    transfer(receiver, source)
    source.patch(2, large_patch(1400, version=2))
    page = registrysync.next_page(
        source, receiver.base_index, receiver.position
    )
    assert receiver.receive(page, source.index) is None
    assert len(receiver.registry.items) == 1
    update = transfer(receiver, source)
    assert update.pages > 2 and update.has_items and not update.is_whole
    assert content(receiver.registry) == content(source)
    assert receiver.registry.index == 2


def test_a_transfer_continues_at_another_source_where_it_stopped():
    """Guards against a transfer that begins anew after each failed call.

    On a slow link it then never ends, and the VM serves nothing.
    """
    sources = [registry.Registry(), registry.Registry()]
    for source in sources:
        source.patch(1, large_patch(1400))
    receiver = registrysync.Receiver()
    count = 0
    update = None
    while update is None:
        source = sources[count % 2]
        page = registrysync.next_page(
            source, receiver.base_index, receiver.position
        )
        assert page.is_first == (count == 0)
        update = receiver.receive(page, source.index)
        count += 1
    assert update.records == 1401
    assert content(receiver.registry) == content(sources[0])


def test_a_record_that_changes_during_a_transfer_arrives_in_its_latest_state():
    source = registry.Registry()
    source.patch(1, large_patch(1400))
    receiver = registrysync.Receiver()
    page = registrysync.next_page(source, 0, receiver.position)
    receiver.receive(page, source.index)
    changed = [
        test_items.route(name, 2, prefix=f"/{name}/") for name in ("r0", "r999")
    ]
    source.patch(2, changed)
    transfer(receiver, source)
    assert content(receiver.registry) == content(source)


def test_a_copy_older_than_a_deleted_record_is_replaced():
    source = registry.Registry()
    receiver = registrysync.Receiver()
    source.record_upstreams(1, 0, [test_registry.upstream()])
    transfer(receiver, source)
    source.record_upstreams(
        2, 0, [test_registry.upstream(sequence=2, state=registry.STOPPED)]
    )
    later_ms = registry.ENDED_RETENTION_MS + 1
    other = test_registry.upstream("i2", address="10.0.0.2:80")
    source.record_upstreams(3, later_ms, [other])
    assert transfer(receiver, source).is_whole
    assert list(receiver.registry.upstreams) == ["i2"]
    assert not transfer(receiver, source).is_whole


def test_documents_are_not_transferred():
    source = registry.Registry()
    item = test_items.service()
    item.document = b"{}"
    source.patch(1, [item])
    receiver = registrysync.Receiver()
    transfer(receiver, source)
    assert receiver.registry.items[item.identity].document == b""
    assert source.items[item.identity].document == b"{}"


class Step:
    """One change that is applied to both sources of a transfer."""

    def __init__(self, kind, number, seconds):
        self.kind = kind
        self.number = number
        self.seconds = seconds

    def __repr__(self):
        return f"Step({self.kind!r}, {self.number}, {self.seconds})"

    def apply(self, source, index, clock_ms):
        if self.kind == "patch":
            routes = [
                test_items.route(f"r{n}", index, prefix=f"/p{n}/")
                for n in range(self.number, self.number + 3)
            ]
            source.patch(index, [test_items.service(), *routes])
        elif self.kind == "evacuate":
            source.set_evacuation(index, f"d{self.number % 2}", self.number > 4)
        else:
            record = test_registry.upstream(
                f"i{self.number}",
                sequence=index,
                state=self.kind,
                address=f"10.0.0.{self.number}:80",
            )
            source.record_upstreams(index, clock_ms, [record])


steps = strategies.builds(
    Step,
    strategies.sampled_from(
        ["patch", "evacuate", registry.SERVING, registry.STOPPED]
    ),
    strategies.integers(0, 8),
    strategies.sampled_from([0, 0, 1, 50, 130]),
)


class Source:
    """A registry that applies the common list of changes at its own pace."""

    def __init__(self):
        self.registry = registry.Registry()
        self.index = 0

    def catch_up(self, changes, clocks_ms):
        for index in range(self.index + 1, len(changes) + 1):
            change, clock_ms = changes[index - 1], clocks_ms[index - 1]
            change.apply(self.registry, index, clock_ms)
            self.index = index

    def restart(self):
        self.registry = registry.from_snapshot(self.registry.snapshot())

    def send_page(self, receiver, is_lost):
        page = registrysync.next_page(
            self.registry, receiver.base_index, receiver.position
        )
        if not is_lost and self.index >= receiver.latest_index:
            receiver.receive(page, self.index)


@hypothesis.given(
    strategies.lists(steps, max_size=40),
    strategies.randoms(use_true_random=False),
)
def test_a_copy_equals_its_source_after_any_changes_and_lost_pages(
    changes, chance
):
    """Pages are lost, and sources lag, restart and replace each other."""
    sources = [Source(), Source()]
    receiver = registrysync.Receiver()
    clocks_ms = list(itertools.accumulate(s.seconds * 1000 for s in changes))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(registry, "PAGE_BYTES", 100)
        for count in range(1, len(changes) + 1):
            for source in chance.sample(sources, chance.randint(1, 2)):
                source.catch_up(changes[:count], clocks_ms)
            if chance.random() < 0.2:
                chance.choice(sources).restart()
            for _ in range(chance.randrange(3)):
                is_lost = chance.random() < 0.3
                chance.choice(sources).send_page(receiver, is_lost)
        for source in sources:
            source.catch_up(changes, clocks_ms)
        while receiver.base_index < len(changes) or receiver.is_transferring:
            chance.choice(sources).send_page(receiver, chance.random() < 0.3)
    assert content(receiver.registry) == content(sources[0].registry)


def test_a_snapshot_keeps_the_positions():
    source = registry.Registry()
    source.patch(1, large_patch(5))
    source.set_evacuation(2, "d1", True)
    source.set_evacuation(3, "d1", False)
    restored = registry.from_snapshot(source.snapshot())
    after = registry.Position(1, items.ROUTE, "r2")
    assert restored.page_after(after) == source.page_after(after)


def test_a_snapshot_without_positions_is_transferred_whole():
    """Guards against a registry of an earlier version that is never sent."""
    source = registry.Registry()
    source.patch(3, large_patch(5))
    source.set_evacuation(4, "d1", True)
    stored = source.snapshot()
    stored.positions = []
    restored = registry.from_snapshot(stored)
    receiver = registrysync.Receiver()
    transfer(receiver, restored)
    assert content(receiver.registry) == content(source)
    assert receiver.registry.index == 4


ODD_UPSTREAMS = {
    "port": {"address": "127.0.0.1:99999"},
    "host": {"address": "localhost:80"},
    "slots": {"slots": 2**63},
    "start": {"started_ms": 2**64 - 1},
    "sequence": {"sequence": 2**64 - 1},
    "long": {"service": "s" * 2_000_000},
    "line": {"id": "a\r\nb"},
}


def odd_upstreams():
    """Returns records that an earlier version accepted."""
    return [
        msgspec.structs.replace(
            test_registry.upstream(name, address=f"10.0.1.{n}:80"), **changes
        )
        for n, (name, changes) in enumerate(ODD_UPSTREAMS.items())
    ]


def test_odd_records_of_an_earlier_version_reach_no_entry_vm():
    """Guards against one odd record that stops a VM from following the rest.

    The longest one takes 8 s on a link of 2 Mbit/s, longer than a call lasts.
    """
    source = registry.Registry()
    source.patch(1, [test_items.service()])
    source.record_upstreams(2, 0, [test_registry.upstream("good")])
    before = test_registry.upstream("port", address="10.0.0.2:80")
    source.record_upstreams(3, 0, [before])
    receiver = registrysync.Receiver()
    transfer(receiver, source)
    assert receiver.registry.upstreams.keys() == {"good", "port"}
    for n, record in enumerate(odd_upstreams()):
        record.sequence = max(2, record.sequence)
        source.record_upstreams(4 + n, 0, [record])
    source.patch(20, [test_items.route()])
    page = registrysync.next_page(
        source, receiver.base_index, receiver.position
    )
    assert len(msgspec.msgpack.encode(page)) < registry.PAGE_BYTES
    transfer(receiver, source)
    serving = content(receiver.registry)[1]
    assert serving.keys() == {"good"}
    assert receiver.registry.items.keys() == source.items.keys()


def test_an_entry_vm_leaves_out_odd_records_of_an_earlier_control_vm():
    source = registry.Registry()
    odd = odd_upstreams()
    records = [test_registry.upstream("good"), *odd]
    source.patch(1, [test_items.service()])
    page = registry.Page(True, True, registry.Position(1), [], records, [])
    receiver = registrysync.Receiver()
    update = receiver.receive(page, 1)
    assert receiver.registry.upstreams.keys() == {"good"}
    assert update.unusable.keys() == {record.id for record in odd}
    assert all(update.unusable.values())
