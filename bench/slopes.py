"""Measures the unit costs that docs/CAPACITY.md extrapolates from.

These are the costs per client block, workspace, claim, lease renewal and
directory record, in memory, time or bytes.
"""

import ipaddress
import random
import sys
import time
import tracemalloc
from collections.abc import Callable

from bench import measure
from pollenseam import catalog
from pollenseam import commands
from pollenseam import items
from pollenseam import keys
from pollenseam import leases
from pollenseam import lookups
from pollenseam import members
from pollenseam import messages
from pollenseam import registry
from pollenseam import registrysync
from pollenseam import settings
from pollenseam import state
from pollenseam import tree

BLOCKS = 130_000
SITES = 3_200
LOOKUPS = 100_000
WORKSPACES = (1_000, 4_000)
HOLDERS = (10, 40)
CLAIMS = 20_000
ROUTES = 1_400


def measure_allocation(
    make: Callable[[], object],
) -> tuple[object, float, float]:
    """Measures the memory and time of creating an object.

    Args:
        make: Creates the object; called twice.

    Returns:
        The object, its memory in MB and the time of the second call in
        seconds.
    """
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # Timed in a second call, as tracing slows down allocations.
    started = time.perf_counter()
    make()
    return made, size / 1e6, time.perf_counter() - started


def measure_client_blocks() -> dict[str, object]:
    """Measures the memory, compilation and look-ups of BLOCKS client blocks."""
    generator = random.Random(1)
    table: dict[str, str] = {}
    while len(table) < BLOCKS:
        length = generator.choice((16, 20, 22, 24))
        number = generator.getrandbits(32) >> (32 - length) << (32 - length)
        name = f"{ipaddress.IPv4Address(number)}/{length}"
        table[name] = f"site-{generator.randrange(SITES)}"
    compiled, size, seconds = measure_allocation(
        lambda: lookups.compile_blocks(table)
    )
    assert isinstance(compiled, lookups.BlockTable)
    addresses = [
        str(ipaddress.IPv4Address(generator.getrandbits(32)))
        for _ in range(LOOKUPS)
    ]
    elapsed = measure.median_seconds(
        lambda: [compiled.region(a) for a in addresses]
    )
    return {
        "blocks": BLOCKS,
        "table_mb": size,
        "compile_s": seconds,
        "lookup_us": elapsed / LOOKUPS * 1e6,
    }


def _workspaces(count: int) -> settings.Nodes:
    nodes: settings.Nodes = {}
    for number in range(count):
        path = f"/teams/t{number % 50}/workspaces/w{number}"
        nodes[path] = settings.Workspace(rate=10, burst=10)
        nodes[f"{path}/keys/k{number}"] = settings.Key(keys.digest("x"))
    return nodes


def measure_settings() -> dict[str, object]:
    """Measures settings per workspace and the messages that fetch a change.

    The costs per workspace are slopes between two numbers of workspaces.
    """
    figures: dict[str, object] = {}
    sizes = []
    times = []
    for count in WORKSPACES:
        nodes, size, _ = measure_allocation(lambda c=count: _workspaces(c))  # type: ignore[misc]
        assert isinstance(nodes, dict)
        sizes.append(size)
        times.append(measure.median_seconds(lambda n=nodes: catalog.compile(n)))  # type: ignore[misc]
    added_workspaces = WORKSPACES[1] - WORKSPACES[0]
    figures["workspace_kb"] = (sizes[1] - sizes[0]) * 1000 / added_workspaces
    figures["compile_us_per_workspace"] = (
        (times[1] - times[0]) / added_workspaces * 1e6
    )
    delta = tree.Delta(
        9, [tree.Write("/teams/t1/workspaces/w1", settings.Workspace(10, 10))]
    )
    response = messages.FetchResponse(9, 12, 9, deltas=[delta])
    figures["change_bytes_at_a_vm"] = len(messages.encode(response))
    fetch = messages.Fetch("vm-0001", 123456, 300, 123456)
    figures["fetch_bytes"] = len(messages.encode(fetch))
    return figures


def measure_registry_transfer() -> dict[str, object]:
    """Measures the bytes and time to transfer routes to an entry VM."""
    generator = random.Random(1)
    routes = [_route(generator) for _ in range(ROUTES)]
    source = registry.Registry()
    service = items.Service("/health", 100, 3.0, 3.0)
    source.patch(1, [items.Item(items.SERVICE, "s1", 1, service), *routes])
    receiver = registrysync.Receiver()
    sizes = []
    started = time.perf_counter()
    update = None
    while update is None:
        page = registrysync.next_page(
            source, receiver.base_index, receiver.position
        )
        sizes.append(len(messages.encode(page)))
        update = receiver.receive(page, source.index)
    seconds = time.perf_counter() - started
    return {
        "pages": update.pages,
        "route_bytes": sum(sizes) / ROUTES,
        "route_bytes_compressed": registry.encoded_size(routes) / ROUTES,
        "route_us": seconds / ROUTES * 1e6,
    }


def _route(generator: random.Random) -> items.Item:
    name = generator.randbytes(5).hex()
    body = items.Route(
        "shop.example",
        f"/{name}/",
        True,
        1.5,
        0.5,
        2,
        [items.Split("s1", 1.0)],
        2,
        False,
        True,
        [],
    )
    return items.Item(items.ROUTE, f"r-{name}", 1, body)


def measure_claims() -> dict[str, object]:
    """Measures stored claims: memory, snapshot size and time per claim.

    The time covers opening and closing a claim.
    """

    def fill() -> state.State:
        machine = state.State()
        answer = commands.StoredAnswer(
            200, [("Content-Type", "application/json")], b"x" * 200
        )
        for number in range(CLAIMS):
            opened = commands.OpenClaim(
                "/teams/t/workspaces/w", f"key-{number}", "d" * 64, "a", 1000
            )
            machine.apply(2 * number + 1, 0, opened)
            closed = commands.CloseClaim(
                "/teams/t/workspaces/w", f"key-{number}", "a", answer
            )
            machine.apply(2 * number + 2, 0, closed)
        return machine

    machine, size, seconds = measure_allocation(fill)
    assert isinstance(machine, state.State)
    started = time.perf_counter()
    snapshot = machine.encode_snapshot()
    return {
        "claim_kb": size * 1000 / CLAIMS,
        "claim_apply_us": seconds / CLAIMS * 1e6,
        "claim_snapshot_bytes": len(snapshot) / CLAIMS,
        "snapshot_ms_per_1000_claims": (
            (time.perf_counter() - started) * 1e6 / CLAIMS
        ),
    }


def measure_lease_renewal() -> dict[str, object]:
    """Measures a lease renewal by number of holders, and its message sizes."""
    times = []
    for count in HOLDERS:
        lender = leases.Lender(0.0)
        limit = leases.Limit(1000.0, 100.0)
        names = [f"vm-{number}" for number in range(count)]

        def renew(names: list[str] = names, lender=lender, limit=limit) -> None:  # type: ignore[no-untyped-def]
            for name in names:
                request = leases.Request(leases.Limit(10, 1), 10.0)
                lender.lend("w", name, request, limit, 1.0)

        times.append(measure.median_seconds(renew, 20) / count)
    demand = messages.ResourceDemand("/teams/t/workspaces/w", 10.0, 1.0, 10.0)
    share = messages.Share("/teams/t/workspaces/w", 10.0, 1.0)
    return {
        "renewal_us_10_holders": times[0] * 1e6,
        "renewal_us_40_holders": times[1] * 1e6,
        "ask_bytes": len(messages.encode(demand)),
        "share_bytes": len(messages.encode(share)),
    }


def measure_gossip() -> dict[str, object]:
    """Measures the encoded sizes of directory records and heartbeats.

    Also returns how often a VM forwards an update in a fleet of one VM.
    """
    record = messages.Vm(
        "vm-0001",
        1796362805999,
        12345,
        "serving",
        "region-12",
        "domain-123",
        "10.12.13.14:8080",
        "10.12.13.14:9090",
        "",
        123,
        456789,
        0.25,
    )
    vm_heartbeat = messages.VmHeartbeat(
        "vm-0001", 1796362805999, 12345, 123, 456789, 0.25
    )
    upstream = messages.Upstream(
        "/teams/team/services/service",
        "upstream-0001",
        1796362805999,
        12345,
        "serving",
        "10.12.13.14:8080",
        "region-12",
        "domain-123",
        3,
        400,
        2.0,
        8000,
    )
    upstream_heartbeat = messages.UpstreamHeartbeat(
        "upstream-0001", 1796362805999, 12345, 8000, 2
    )
    directory = members.Directory(record, 1)
    return {
        "vm_record_bytes": len(messages.encode(record)),
        "beat_bytes": len(messages.encode(vm_heartbeat)),
        "upstream_record_bytes": len(messages.encode(upstream)),
        "renewal_bytes": len(messages.encode(upstream_heartbeat)),
        "copies_at_1_vm": directory.sends_per_update(),
    }


MEASUREMENTS = {
    "blocks": measure_client_blocks,
    "trees": measure_settings,
    "claims-kept": measure_claims,
    "lending": measure_lease_renewal,
    "gossip": measure_gossip,
    "registry": measure_registry_transfer,
}


def main() -> None:
    """Runs the measurements named as command-line arguments, or all."""
    for name in sys.argv[1:] or list(MEASUREMENTS):
        measure.record(name, MEASUREMENTS[name]())


if __name__ == "__main__":
    main()
