"""Records traces of a fleet with faults, into tests/traces/recorded-*."""

import asyncio
import contextlib
import pathlib
import shutil
import tempfile

from pollenseam.standins import caller
from pollenseam.standins import fleet

TRACES_FOLDER = pathlib.Path(__file__).parent.parent / "tests" / "traces"
REGIONS = {"r1": ["d1"], "r2": ["d2"], "r3": ["d3"]}
SETTINGS = """
[fleet]
lookup_max_age_ms = 1000
freshness_ms = 3000
[fleet.regions.r1]
failure_domains = ["d1"]
client_blocks = ["127.0.0.0/8"]
[fleet.regions.r2]
failure_domains = ["d2"]
[fleet.regions.r3]
failure_domains = ["d3"]
[teams.t.services.svc]
[[teams.t.services.svc.routes]]
host = "svc.example"
[teams.t.workspaces.w]
rate = 30
burst = 15
"""
RATE = 20.0
SECONDS = 5.0


async def kill_leader(running: fleet.Fleet, load: "asyncio.Task[None]") -> None:
    """Kills the quorum leader under load."""
    await asyncio.sleep(1.5)
    running.daemons[running.leader()].kill()
    await load


async def freeze_vm(running: fleet.Fleet, load: "asyncio.Task[None]") -> None:
    """Suspends a VM for longer than its leases and settings are valid."""
    await asyncio.sleep(1.0)
    leader = running.leader()
    follower = next(n for n in running.vms if n != leader)
    running.daemons[follower].pause()
    await asyncio.sleep(4.5)
    running.daemons[follower].resume()
    await load
    await asyncio.sleep(1.0)


async def stop_vm(running: fleet.Fleet, load: "asyncio.Task[None]") -> None:
    """Stops a VM gracefully under load."""
    await asyncio.sleep(1.0)
    await asyncio.to_thread(running.daemons["d1-1"].stop)
    await load


async def _load(running: fleet.Fleet, key: str) -> None:
    seeds = [vm.caller for vm in running.vms.values()]
    choosers = [caller.EntryChooser([seed], "svc", 1) for seed in seeds]
    plan = caller.LoadPlan("svc.example", "/x", key, RATE / len(seeds), SECONDS)
    plan.timeout = 2.0
    await asyncio.gather(
        *[
            caller.run_plan(plan, chooser, number)
            for number, chooser in enumerate(choosers)
        ]
    )


async def _record(name: str, fault) -> None:  # type: ignore[no-untyped-def]
    with tempfile.TemporaryDirectory() as folder:
        vms = fleet.make_vm_specs(REGIONS, 1, 3)
        with fleet.Fleet(pathlib.Path(folder), vms) as running:
            running.record_traces = True
            running.start_all()
            file = running.folder / "settings.toml"
            file.write_text(SETTINGS)
            running.run_tool_json("apply", str(file), "--wait")
            service = running.run_tool_json(
                "key", "issue", "/teams/t/services/svc"
            )
            key = running.run_tool_json("key", "issue", "/teams/t/workspaces/w")
            for vm in vms:
                running.start_upstream(
                    f"u-{vm.name}", "svc", vm, str(service["secret"])
                )
            await asyncio.sleep(2.0)
            load = asyncio.create_task(_load(running, str(key["secret"])))
            await fault(running, load)
            _stop_and_copy_traces(running, name)


def _stop_and_copy_traces(running: fleet.Fleet, name: str) -> None:
    for process in running.daemons.values():
        if process.child.poll() is None:
            process.child.terminate()
    for process in running.daemons.values():
        with contextlib.suppress(TimeoutError):
            process.child.wait(fleet.STOP_SECONDS)
    target = TRACES_FOLDER / f"recorded-{name}"
    target.mkdir(parents=True, exist_ok=True)
    for vm in running.vms:
        shutil.copy(running.trace_file(vm), target / f"{vm}.trace")


async def main() -> None:
    """Records the traces of each fault."""
    await _record("killed-leader", kill_leader)
    await _record("frozen-vm", freeze_vm)
    await _record("stopped-vm", stop_vm)


if __name__ == "__main__":
    asyncio.run(main())
