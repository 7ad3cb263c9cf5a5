"""Answers to look-ups: which entry VMs a client block should use."""

import array
import bisect
import ipaddress
from collections.abc import Mapping

import msgspec

from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import settings

MAX_ENTRIES = 8
NO_REGION = 0xFFFF
V6_PREFIX_BITS = 64
MIN_WEIGHT = 0.05


class Entry(msgspec.Struct):
    """One ranked entry VM of a look-up's answer."""

    vm: str
    address: str
    region: str
    failure_domain: str
    weight: float


class Lookup(msgspec.Struct):
    """A look-up's answer, best entry first."""

    service: str
    entries: list[Entry]


class BlockTable:
    """Client blocks as disjoint ranges in compact arrays.

    Attributes:
        regions: Region names; the arrays hold positions in it.
        starts: First address of each range, by IP version. IPv6 ranges are
            kept by their upper 64 bits.
        owners: Region of each range, by IP version.
    """

    __slots__ = ("regions", "starts", "region_indexes")

    def __init__(self, regions: list[str]) -> None:
        self.regions = regions
        self.starts = {4: array.array("Q"), 6: array.array("Q")}
        self.region_indexes = {4: array.array("H"), 6: array.array("H")}

    def region(self, address: str) -> str | None:
        """Returns the region of the longest block that holds `address`."""
        try:
            ip = ipaddress.ip_address(address)
        except ValueError:
            return None
        if ip.version == 6 and ip.ipv4_mapped is not None:
            ip = ip.ipv4_mapped
        number = int(ip)
        if ip.version == 6:
            number >>= V6_PREFIX_BITS
        place = bisect.bisect_right(self.starts[ip.version], number) - 1
        if place < 0:
            return None
        owner = self.region_indexes[ip.version][place]
        return None if owner == NO_REGION else self.regions[owner]


def compile_blocks(blocks: Mapping[str, str]) -> BlockTable:
    """Returns the compact table of CIDR blocks and their regions.

    Nested blocks become disjoint ranges, so that one bisection finds the
    longest prefix.

    Args:
        blocks: Region by CIDR block; IPv6 blocks are at most 64 bits long.
    """
    regions = sorted(set(blocks.values()))
    places = {name: place for place, name in enumerate(regions)}
    table = BlockTable(regions)
    ranges = _ranges(blocks, places)
    for version in (4, 6):
        ranges[version].sort()
        _flatten(
            ranges[version],
            table.starts[version],
            table.region_indexes[version],
        )
    return table


def _ranges(
    blocks: Mapping[str, str], places: Mapping[str, int]
) -> dict[int, list[tuple[int, int, int]]]:
    """Returns (start, -end, region) of each block, by IP version."""
    found: dict[int, list[tuple[int, int, int]]] = {4: [], 6: []}
    for text, region in blocks.items():
        network = ipaddress.ip_network(text)
        start = int(network.network_address)
        end = start + network.num_addresses
        if network.version == 6:
            start >>= V6_PREFIX_BITS
            end = max(end >> V6_PREFIX_BITS, start + 1)
        found[network.version].append((start, -end, places[region]))
    return found


def _flatten(
    ranges: list[tuple[int, int, int]],
    starts: "array.array[int]",
    owners: "array.array[int]",
) -> None:
    # The stack holds the blocks that are open at the current address, the
    # outermost first.
    stack: list[tuple[int, int]] = []
    for start, negative_end, owner in ranges:
        _close_blocks(stack, start, starts, owners)
        _append_range(start, owner, starts, owners)
        stack.append((-negative_end, owner))
    _close_blocks(stack, 1 << V6_PREFIX_BITS, starts, owners)


def _close_blocks(
    stack: list[tuple[int, int]],
    until: int,
    starts: "array.array[int]",
    owners: "array.array[int]",
) -> None:
    while stack and stack[-1][0] <= until:
        end, _ = stack.pop()
        owner = stack[-1][1] if stack else NO_REGION
        if end < 1 << V6_PREFIX_BITS:
            _append_range(end, owner, starts, owners)


def _append_range(
    start: int,
    owner: int,
    starts: "array.array[int]",
    owners: "array.array[int]",
) -> None:
    if starts and starts[-1] == start:
        owners[-1] = owner
        return
    starts.append(start)
    owners.append(owner)


def fleet_blocks(fleet: settings.Fleet) -> BlockTable:
    """Returns the table of a fleet's client blocks."""
    blocks = {
        block: name
        for name, region in fleet.regions.items()
        for block in region.client_blocks
    }
    return compile_blocks(blocks)


def region_distances(fleet: settings.Fleet, origin: str) -> dict[str, float]:
    """Returns each region's one-way latency from `origin`, in ms.

    Regions without a link to it come last.
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
) -> list[Entry]:
    """Returns the entry VMs to use, nearest region first, then by room.

    Args:
        vms: VMs not suspect.
        distances: Latency from the client's region by region.
        served: Regions in which the service has usable upstreams.
        max_age_ms: Settings older than this make a VM no entry.
    """
    fit = [vm for vm in vms if _is_eligible(vm, max_age_ms)]
    fit.sort(
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
        for vm in fit[:MAX_ENTRIES]
    ]


def _is_eligible(vm: messages.Vm, max_age_ms: int) -> bool:
    serving = vm.state == lifecycles.VmState.SERVING
    return serving and 0 <= vm.settings_age_ms <= max_age_ms
