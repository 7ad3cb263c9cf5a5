"""Benchmark of the choice of upstreams, under load and with faulty upstreams.

The fleet is as large as Teranga's (examples/teranga.toml): eleven entry VMs and
fifteen upstreams with three slots each, in three regions. Arrivals are
open-loop.
Baselines are round robin, least connections and, as the limit, a simulated
ideal queue: one per region, with the same arrivals and complete knowledge of
the free slots.
"""

import asyncio
import heapq
import os
import pathlib
import random
import sys
import tempfile

from bench import measure
from pollenseam.standins import caller
from pollenseam.standins import fleet

REGIONS = {
    "dakar": ["dakar-1", "dakar-2"],
    "thies": ["thies-1", "thies-2"],
    "saint-louis": ["saint-louis-1", "saint-louis-2"],
}
SETTINGS = """
[fleet]
lookup_max_age_ms = 1000
[fleet.regions.dakar]
failure_domains = ["dakar-1", "dakar-2"]
client_blocks = ["127.0.1.0/24"]
[fleet.regions.thies]
failure_domains = ["thies-1", "thies-2"]
client_blocks = ["127.0.2.0/24"]
[fleet.regions.saint-louis]
failure_domains = ["saint-louis-1", "saint-louis-2"]
client_blocks = ["127.0.3.0/24"]
[teams.t.services.counter]
[[teams.t.services.counter.routes]]
host = "counter.example"
[teams.t.workspaces.dakar]
rate = 1000
burst = 500
[teams.t.workspaces.thies]
rate = 1000
burst = 500
[teams.t.workspaces.saint-louis]
rate = 1000
burst = 500
"""
UPSTREAMS_PER_REGION = 5
SLOTS = 3
WORK_MS = 100.0
SECONDS = 10.0
WARM_SECONDS = 3.0
LOADS = (0.6, 0.9, 1.2)
POLICIES = ("own", "round-robin", "least-connections")
FAULTS = ("none", "gray", "misleading")
REGION_CAPACITY = UPSTREAMS_PER_REGION * SLOTS / (WORK_MS / 1000)


class PolicyFleet(fleet.Fleet):
    """A fleet whose daemons run the policy of POLLENSEAM_BENCH_POLICY."""

    def _spawn(self, name, module, arguments, environment):  # type: ignore[no-untyped-def]
        if module == "pollenseam.daemon":
            module = "bench.policy_daemon"
        return super()._spawn(name, module, arguments, environment)


def make_vm_specs() -> list[fleet.VmSpec]:
    """Returns eleven VMs over six failure domains."""
    vms = fleet.make_vm_specs(REGIONS, 2, 3)
    return vms[:11]


def ideal_queue_ms(load: float, percent: float) -> float:
    """Returns a latency percentile of the simulated ideal queues, in ms.

    Simulates 60 s of arrivals. A request that would wait for longer than 1 s,
    the default of queue_ms, is left out of the latencies but takes a slot.

    Args:
        load: Arrivals as a ratio of the capacity of a region.
        percent: The percentile, from 0 to 100.
    """
    latencies_ms = []
    for number in range(len(REGIONS)):
        arrivals = random.Random(number)
        work = random.Random(100 + number)
        free_at = [0.0] * (UPSTREAMS_PER_REGION * SLOTS)
        at = 0.0
        while at < 60.0:
            at += arrivals.expovariate(REGION_CAPACITY * load)
            start = max(at, heapq.heappop(free_at))
            end = start + work.uniform(0.5, 1.5) * WORK_MS / 1000
            heapq.heappush(free_at, end)
            if start - at <= 1.0:
                latencies_ms.append((end - at) * 1000)
    latencies_ms.sort()
    return latencies_ms[int(len(latencies_ms) * percent / 100)]


def start(running: fleet.Fleet, fault: str) -> dict[str, str]:
    """Starts daemons and upstreams and applies the settings.

    Args:
        running: The fleet.
        fault: Fault of one upstream per region: "none", "gray" (70% of its
            requests fail at once) or "misleading" (it reports a load of 0).

    Returns:
        The key of each workspace, by name; workspaces are named after regions.
    """
    running.start_all()
    file = running.folder / "settings.toml"
    file.write_text(SETTINGS)
    running.run_tool_json("apply", str(file), "--wait")
    service = running.run_tool_json("key", "issue", "/teams/t/services/counter")
    for region, domains in REGIONS.items():
        for number in range(UPSTREAMS_PER_REGION):
            vm = next(
                v
                for v in running.vms.values()
                if v.failure_domain == domains[number % 2]
            )
            extra = ["--work-ms", str(WORK_MS), "--seed", str(number)]
            if fault == "gray" and number == 0:
                extra += ["--error-ratio", "0.7"]
            if fault == "misleading" and number == 0:
                extra += ["--reported-load", "0"]
            running.start_upstream(
                f"{region}-u{number}",
                "counter",
                vm,
                str(service["secret"]),
                *extra,
            )
    return {
        region: str(
            running.run_tool_json(
                "key", "issue", f"/teams/t/workspaces/{region}"
            )["secret"]
        )
        for region in REGIONS
    }


async def run_load(
    running: fleet.Fleet, keys: dict[str, str], ratio: float, seconds: float
) -> list[caller.Tally]:
    """Sends the requests of one workspace from each region.

    Args:
        running: The fleet.
        keys: Key of each region's workspace.
        ratio: Arrivals as a ratio of the capacity of a region.
        seconds: Length of the run in seconds.

    Returns:
        The tally of each region.
    """
    seeds = [vm.caller for vm in running.vms.values()]
    runs = []
    for number, key in enumerate(keys.values()):
        plan = caller.LoadPlan(
            "counter.example",
            "/cards/1",
            key,
            REGION_CAPACITY * ratio,
            seconds,
            source=f"127.0.{number + 1}.1",
        )
        chooser = caller.EntryChooser(seeds, "counter", number)
        runs.append(caller.run_plan(plan, chooser, number))
    return list(await asyncio.gather(*runs))


def summarize(tallies: list[caller.Tally]) -> dict[str, float]:
    """Returns the ratio of successful requests and the latencies of a run.

    `worst_workspace_ratio` is the lowest success ratio of a workspace divided
    by the highest. Adds the latencies of all tallies to the first one.
    """
    total = sum(t.total for t in tallies)
    good = sum(t.answers["200"] for t in tallies)
    for tally in tallies[1:]:
        tallies[0].latencies.add(tally.latencies)
    success_ratios = [t.answers["200"] / t.total for t in tallies]
    return {
        "good_ratio": good / total,
        "worst_workspace_ratio": min(success_ratios) / max(success_ratios),
        "p50_ms": tallies[0].quantile_ms(50),
        "p99_ms": tallies[0].quantile_ms(99),
        "p999_ms": tallies[0].quantile_ms(99.9),
    }


def measure_policy(
    policy: str, fault: str, loads: tuple[float, ...]
) -> dict[str, object]:
    """Measures one policy with one fault at several loads.

    Args:
        policy: One of POLICIES.
        fault: One of FAULTS.
        loads: Arrivals as ratios of the capacity of a region.

    Returns:
        The figures of `summarize` and the answers by outcome, with the load
        as a prefix of their names.
    """
    os.environ["POLLENSEAM_BENCH_POLICY"] = policy
    figures: dict[str, object] = {}
    with tempfile.TemporaryDirectory() as folder:
        with PolicyFleet(pathlib.Path(folder), make_vm_specs()) as running:
            keys = start(running, fault)
            asyncio.run(run_load(running, keys, 0.5, WARM_SECONDS))
            for ratio in loads:
                tallies = asyncio.run(run_load(running, keys, ratio, SECONDS))
                for name, value in summarize(tallies).items():
                    figures[f"{ratio:g}_{name}"] = value
                answers = sum(
                    (t.answers for t in tallies[1:]), tallies[0].answers
                )
                figures[f"{ratio:g}_answers"] = dict(answers)
    return figures


def main() -> None:
    """Measures each policy with the faults named as arguments.

    Without arguments only the fleet without faults is measured.
    """
    faults = sys.argv[1:] or ["none"]
    limits = {
        f"{ratio:g}_p{percent:g}_ms": ideal_queue_ms(ratio, percent)
        for ratio in LOADS
        for percent in (50, 99)
    }
    measure.record("steering-limit", dict(limits))
    for fault in faults:
        loads = LOADS if fault == "none" else (0.6,)
        for policy in POLICIES:
            measure.record(
                f"steering-{fault}-{policy}",
                measure_policy(policy, fault, loads),
            )


if __name__ == "__main__":
    main()
