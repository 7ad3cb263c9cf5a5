"""Answers to look-ups: which entry VMs a client should use."""

import array
import bisect
import collections
import ipaddress
from collections.abc import Container
from collections.abc import Mapping

import msgspec

from pollenseam import directories
from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import settings

MAX_ENTRIES = 8
# Index of addresses outside all blocks.
NO_REGION = 0xFFFF
# IPv6 ranges have 64-bit bounds, as prefixes are at most 64 bits long.
V6_PREFIX_BITS = 64
MIN_WEIGHT = 0.05


class Entry(msgspec.Struct):
    """One ranked entry VM in the answer to a look-up."""

    vm: str
    address: str
    region: str
    failure_domain: str
    weight: float


class Lookup(msgspec.Struct):
    """The answer to a look-up, with the best entry VM first."""

    service: str
    entries: list[Entry]


class BlockTable:
    """Regions of client blocks, as disjoint address ranges in arrays.

    Attributes:
        regions: Names of the regions.
        starts: First address of each range, ascending, by IP version. Only
            the upper 64 bits of IPv6 addresses are kept.
        region_indexes: Index in `regions` of the region of each range, or
            NO_REGION, by IP version.
    """

    __slots__ = ("regions", "starts", "region_indexes")

    def __init__(self, regions: list[str]) -> None:
        self.regions = regions
        self.starts = {4: array.array("Q"), 6: array.array("Q")}
        self.region_indexes = {4: array.array("H"), 6: array.array("H")}

    def region(self, address: str) -> str | None:
        """Returns the region of the longest block that contains `address`.

        An IPv4-mapped IPv6 address counts as IPv4. The result is None if no
        block contains the address or it is not an IP address.
        """
        try:
            ip = ipaddress.ip_address(address)
        except ValueError:
            return None
        if ip.version == 6 and ip.ipv4_mapped is not None:
            ip = ip.ipv4_mapped
        number = int(ip)
        if ip.version == 6:
            number >>= V6_PREFIX_BITS
        position = bisect.bisect_right(self.starts[ip.version], number) - 1
        if position < 0:
            return None
        index = self.region_indexes[ip.version][position]
        return None if index == NO_REGION else self.regions[index]


def compile_blocks(blocks: Mapping[str, str]) -> BlockTable:
    """Returns the table of CIDR blocks and their regions.

    Nested blocks become disjoint ranges, so that one bisection finds the
    longest prefix.

    Args:
        blocks: Region by CIDR block; IPv6 prefixes are at most 64 bits long.
    """
    regions = sorted(set(blocks.values()))
    indexes = {name: index for index, name in enumerate(regions)}
    table = BlockTable(regions)
    ranges = _ranges(blocks, indexes)
    for version in (4, 6):
        ranges[version].sort()
        _flatten(
            ranges[version],
            table.starts[version],
            table.region_indexes[version],
        )
    return table


def _ranges(
    blocks: Mapping[str, str], indexes: Mapping[str, int]
) -> dict[int, list[tuple[int, int, int]]]:
    """Returns (start, -end, region index) of each block, by IP version."""
    ranges: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
    for block, region in blocks.items():
        network = ipaddress.ip_network(block)
        start = int(network.network_address)
        end = start + network.num_addresses
        if network.version == 6:
            start >>= V6_PREFIX_BITS
            end = max(end >> V6_PREFIX_BITS, start + 1)
        ranges[network.version].append((start, -end, indexes[region]))
    return ranges


def _flatten(
    ranges: list[tuple[int, int, int]],
    starts: "array.array[int]",
    region_indexes: "array.array[int]",
) -> None:
    """Appends sorted ranges, which may nest, as disjoint ranges."""
    # The blocks that contain the current address, the outermost first.
    stack: list[tuple[int, int]] = []
    for start, negative_end, index in ranges:
        _close_blocks(stack, start, starts, region_indexes)
        _append_range(start, index, starts, region_indexes)
        stack.append((-negative_end, index))
    _close_blocks(stack, 1 << V6_PREFIX_BITS, starts, region_indexes)


def _close_blocks(
    stack: list[tuple[int, int]],
    until: int,
    starts: "array.array[int]",
    region_indexes: "array.array[int]",
) -> None:
    while stack and stack[-1][0] <= until:
        end, _ = stack.pop()
        index = stack[-1][1] if stack else NO_REGION
        if end < 1 << V6_PREFIX_BITS:
            _append_range(end, index, starts, region_indexes)


def _append_range(
    start: int,
    index: int,
    starts: "array.array[int]",
    region_indexes: "array.array[int]",
) -> None:
    if starts and starts[-1] == start:
        region_indexes[-1] = index
        return
    starts.append(start)
    region_indexes.append(index)


def fleet_blocks(fleet: settings.Fleet) -> BlockTable:
    """Returns the table of the client blocks of all regions."""
    blocks = {
        block: name
        for name, region in fleet.regions.items()
        for block in region.client_blocks
    }
    return compile_blocks(blocks)


def region_distances(fleet: settings.Fleet, origin: str) -> dict[str, float]:
    """Returns each region's one-way latency from `origin`, in ms.

    The latency of a region without a link to `origin` is infinite.
    """
    distances = dict.fromkeys(fleet.regions, float("inf"))
    distances[origin] = 0.0
    for link in fleet.links:
        if origin in link.between:
            other = link.between[link.between[0] == origin]
            distances[other] = link.latency_ms
    return distances


def rank(
    vms: list[messages.Vm],
    distances: Mapping[str, float],
    served: set[str],
    max_age_ms: int,
    cut_off: Container[str] = (),
) -> list[Entry]:
    """Returns the entry VMs to use, the best first, at most MAX_ENTRIES.

    VMs in regions in which the service has upstreams come first, then those
    of the nearest region, then those with the lowest load.

    Args:
        vms: VMs that are not suspect.
        distances: Latency from the client's region in ms, by region.
        served: Regions in which the service has usable upstreams.
        max_age_ms: VMs whose settings are older than this are left out.
        cut_off: Names of VMs that do not reach the service. They are left out
            where enough others of their region can take their callers; they
            serve as well, through others.
    """
    eligible = [vm for vm in vms if _is_eligible(vm, max_age_ms)]
    eligible = _without_cut_off(eligible, cut_off)
    eligible.sort(
        key=lambda vm: (
            vm.region not in served,
            distances.get(vm.region, float("inf")),
            vm.region,
            vm.load,
            vm.name,
        )
    )
    return [
        Entry(
            vm.name,
            vm.caller_address,
            vm.region,
            vm.failure_domain,
            round(max(MIN_WEIGHT, 1.0 - vm.load), 3),
        )
        for vm in eligible[:MAX_ENTRIES]
    ]


def _without_cut_off(
    vms: list[messages.Vm], cut_off: Container[str]
) -> list[messages.Vm]:
    reaching = [vm for vm in vms if vm.name not in cut_off]
    counts = collections.Counter(vm.region for vm in vms)
    reaching_counts = collections.Counter(vm.region for vm in reaching)
    ratio = directories.MIN_REACHING_RATIO
    return [
        vm
        for vm in vms
        if vm.name not in cut_off
        or reaching_counts[vm.region] < ratio * counts[vm.region]
    ]


def _is_eligible(vm: messages.Vm, max_age_ms: int) -> bool:
    serving = vm.state == lifecycles.VmState.SERVING
    return serving and 0 <= vm.settings_age_ms <= max_age_ms
