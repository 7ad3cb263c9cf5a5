"""Regions of client blocks and the ranking of entry VMs."""

import ipaddress

from hypothesis import given
from hypothesis import strategies as st

from pollenseam import lookups
from pollenseam import messages
from pollenseam import settings


@st.composite
def blocks(draw):
    regions = {}
    for _ in range(draw(st.integers(1, 12))):
        # Few leading bits, so that blocks nest often.
        length = draw(st.integers(1, 8))
        number = draw(st.integers(0, 2**length - 1)) << (32 - length)
        block = f"{ipaddress.IPv4Address(number)}/{length}"
        regions[block] = draw(st.sampled_from(["a", "b", "c"]))
    return regions


def longest_match(table, address):
    ip = ipaddress.ip_address(address)
    matches = [
        (ipaddress.ip_network(block).prefixlen, region)
        for block, region in table.items()
        if ip in ipaddress.ip_network(block)
    ]
    return max(matches)[1] if matches else None


@given(blocks(), st.lists(st.integers(0, 2**32 - 1), min_size=5, max_size=20))
def test_bisection_finds_the_longest_prefix(table, numbers):
    compiled = lookups.compile_blocks(table)
    edges = []
    for block in table:
        network = ipaddress.ip_network(block)
        first = int(network.network_address)
        edges += [first - 1, first, int(network.broadcast_address) + 1]
    for number in numbers + edges:
        if 0 <= number < 2**32:
            address = str(ipaddress.IPv4Address(number))
            assert compiled.region(address) == longest_match(table, address)


def test_ipv6_and_mapped_addresses():
    compiled = lookups.compile_blocks(
        {
            "2001:db8::/32": "a",
            "2001:db8:1::/48": "b",
            "10.0.0.0/8": "c",
        }
    )
    assert compiled.region("2001:db8::1") == "a"
    assert compiled.region("2001:db8:1::1") == "b"
    assert compiled.region("2001:db9::1") is None
    assert compiled.region("::ffff:10.1.2.3") == "c"
    assert compiled.region("nonsense") is None


def vm(name, region, load=0.0, state="serving", age_ms=10):
    return messages.Vm(
        name, 1, 1, state, region, region, name, "", "", age_ms, 1, load
    )


FLEET = settings.Fleet(
    regions={name: settings.Region([name]) for name in ("a", "b", "c")},
    links=[
        settings.Link(["a", "b"], 100, latency_ms=20),
        settings.Link(["c", "a"], 100, latency_ms=5),
    ],
)


def ranked(vms, served=("a", "b", "c"), origin="a", cut_off=()):
    distances = lookups.region_distances(FLEET, origin)
    entries = lookups.rank(vms, distances, set(served), 5000, cut_off)
    return [entry.vm for entry in entries]


def test_the_nearest_region_comes_first_then_the_less_loaded_vm():
    vms = [vm("b1", "b"), vm("a1", "a", 0.9), vm("a2", "a", 0.1), vm("c1", "c")]
    assert ranked(vms) == ["a2", "a1", "c1", "b1"]


def test_a_region_without_upstreams_comes_last():
    vms = [vm("a1", "a"), vm("b1", "b")]
    assert ranked(vms, served=["b"]) == ["b1", "a1"]


def test_leaving_stale_and_starting_vms_are_left_out():
    vms = [
        vm("a1", "a", state="leaving"),
        vm("a2", "a", state="starting"),
        vm("a3", "a", age_ms=9000),
        vm("a4", "a", age_ms=-1),
        vm("a5", "a"),
    ]
    assert ranked(vms) == ["a5"]


def test_vms_cut_off_are_left_out_while_enough_others_of_their_region_reach():
    """Guards against callers sent to VMs that reach no upstream, or to none."""
    vms = [vm(n, "a") for n in ("a1", "a2", "a3", "a4")] + [vm("b1", "b")]
    assert ranked(vms, cut_off={"a1", "a3"}) == ["a2", "a4", "b1"]
    # The rest could not bear the load of all; those cut off serve through it.
    cut_off = {"a1", "a2", "a3"}
    assert ranked(vms, cut_off=cut_off) == ["a1", "a2", "a3", "a4", "b1"]
    assert len(ranked(vms, cut_off={v.name for v in vms})) == 5
