"""Records that gossip brings: odd ones are dropped, and end no VM."""

import math

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from pollenseam import gossiprecords
from pollenseam import members
from pollenseam import messages


def vm(name, **changes):
    record = messages.Vm(
        *[name, 1, 1, "serving", "r1", "d1", "127.0.0.1:1", "127.0.0.1:2"],
        *["", -1, 0, 0.0],
    )
    return msgspec.structs.replace(record, **changes)


def upstream(**changes):
    record = messages.Upstream(
        *["s", "u1", 1, 1, "serving", "127.0.0.1:9", "r1", "d1"],
        *[3, 1, 0.0, 3000],
    )
    return msgspec.structs.replace(record, **changes)


integers = strategies.integers(-(2**63), 2**64 - 1)
loads = strategies.floats() | strategies.sampled_from([0.0, 1.0, 1e308])
states = strategies.sampled_from(["serving", "leaving", "gone", "odd"])
counts = strategies.sampled_from([1, 2, 3]) | integers
upstreams = strategies.builds(
    upstream,
    incarnation=counts,
    heartbeat_count=counts,
    state=states,
    slots=counts,
    load=loads,
    ttl_ms=strategies.just(3000) | integers,
    address=strategies.sampled_from(["127.0.0.1:9", "[::1]:9", "::1:9"]),
)
vms = strategies.builds(
    vm,
    strategies.sampled_from(["a", "b", "c"]),
    incarnation=counts,
    heartbeat_count=counts,
    state=states,
    load=loads,
    settings_index=counts,
)
heartbeats = strategies.builds(
    messages.UpstreamHeartbeat,
    *[strategies.just("u1"), counts, counts, counts, counts],
)


@hypothesis.given(
    strategies.lists(strategies.tuples(vms, upstreams, heartbeats), max_size=6)
)
@hypothesis.example([(vm("b"), upstream(load=1e308), None)])
@hypothesis.example([(vm("a", incarnation=2**64 - 1), upstream(), None)])
@hypothesis.example([(vm("b"), upstream(state="odd"), None)] * 2)
@hypothesis.example([(vm("b"), upstream(load=math.nan), None)])
def test_no_record_keeps_a_vm_from_gossiping(records):
    """Guards against one record that ends the gossip of every VM."""
    directory = members.Directory(vm("a"), 1)
    directory.merge_vm(vm("c"), 0.0)
    directory.mark_synced("c")
    for number, (vm_record, upstream_record, heartbeat) in enumerate(records):
        beats = [heartbeat] if heartbeat is not None else []
        gossip = messages.Gossip(
            *["b", 0, [vm_record], [], [upstream_record]],
            [messages.ServiceHeartbeats("s", beats)],
        )
        gossiprecords.drop_unusable(gossip)
        directory.merge(gossip, number * 1.0)
        for known in directory.upstreams.values():
            known.heartbeat_sends_left = 1
        for is_full in (False, True):
            messages.encode(directory.make_gossip("c", number, is_full))


@pytest.mark.parametrize(
    "record",
    [vm("b"), upstream(), upstream(address="[::1]:9", ttl_ms=0, load=2)],
    ids=["vm", "upstream", "ended"],
)
def test_usable_records_are_kept(record):
    gossip = messages.Gossip("b", 0, [], [], [])
    is_vm = isinstance(record, messages.Vm)
    (gossip.vms if is_vm else gossip.upstreams).append(record)
    assert gossiprecords.drop_unusable(gossip) == []
    assert [*gossip.vms, *gossip.upstreams] == [record]
