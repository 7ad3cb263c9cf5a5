"""Old voters stay when two core machines are replaced at once, as planned.

Two of three core machines are replaced, the new ones first. With TROUBLE (the
default), both new ones come before the first of the old ones is stopped;
without, one replacement is over before the next. After the time that the pages
give, one core machine loses its disk. Exits with 1 if what was acknowledged
cannot be read back after that.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import deployment  # noqa: E402

# From the start of a new core machine to the stop of the old one.
OVERLAP_SECONDS = deployment.CATCH_UP_SECONDS + 1.0
# From the stop of an old core machine to what comes next.
REST_SECONDS = deployment.CATCH_UP_SECONDS + 3.0
SETTLE_SECONDS = deployment.RECOVERY_SECONDS + deployment.CATCH_UP_SECONDS
READ_SECONDS = 6.0


async def play(folder: pathlib.Path, record: deployment.Record) -> int:
    """Plays the case; returns the exit code."""
    are_together = os.environ.get("TROUBLE", "1") != "0"
    async with deployment.running(folder, record, 3, 1, 2) as (system, _):
        wiped, *old = system.cores
        if are_together:
            for vm in old:
                await add_successor(system, vm)
            await asyncio.sleep(OVERLAP_SECONDS)
            for vm in old:
                await retire(system, vm)
                await asyncio.sleep(REST_SECONDS)
        else:
            for vm in old:
                await add_successor(system, vm)
                await asyncio.sleep(OVERLAP_SECONDS)
                await retire(system, vm)
                await asyncio.sleep(REST_SECONDS)
        response = await system.order(
            "config.patch", body=deployment.desired_state(2), seconds=10.0
        )
        if response.status != 200:
            record.say(f"the change was not accepted: {response.status}")
            return 2
        record.say("three core machines run, a change is acknowledged")
        await wiped.kill()
        wiped.lose_disk()
        await wiped.start()
        record.say(f"{wiped.name} is back with an empty disk")
        await asyncio.sleep(SETTLE_SECONDS)
        return await judge(system, record)


async def add_successor(
    system: deployment.Deployment, old: deployment.Vm
) -> None:
    """Starts an empty core machine in the zone of an old one."""
    vm = system.add("core", old.zone)
    await vm.start()
    system.record.say(f"{vm.name} comes, to replace {old.name}")


async def retire(system: deployment.Deployment, vm: deployment.Vm) -> None:
    """Stops a core machine as planned; it is gone after that."""
    vm.signal(signal.SIGTERM)
    assert vm.process is not None
    await vm.process.wait()
    system.vms.remove(vm)
    system.record.say(f"{vm.name} was stopped and leaves")


async def judge(
    system: deployment.Deployment, record: deployment.Record
) -> int:
    """Reads back what was acknowledged, and sends requests."""
    response = await system.order("config.get", seconds=READ_SECONDS)
    is_read = b'"r2"' in response.body
    answers = [await system.request(system.fronts[0]) for _ in range(20)]
    served = sum(answer.status == 200 for _, answer in answers)
    members = [
        line
        for vm in system.vms
        for line in (vm.log_lines("quorum-members") or [""])[-1:]
    ]
    record.write("members", lines=members)
    record.say(
        f"config.get: {response.status}, the acknowledged change is "
        f"{'there' if is_read else 'NOT there'}; {served} of 20 requests served"
    )
    return 0 if is_read and served >= 5 else 1


def main() -> int:
    """Runs the case; returns the exit code."""
    record = deployment.Record(FOLDER / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(play(pathlib.Path(folder), record))
        except deployment.CannotRunError as error:
            record.say(f"cannot run: {error}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
