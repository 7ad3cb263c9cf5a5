"""A core machine that was lost while all were killed votes for ever.

One of three core machines is lost for good, and an empty one takes its place at
another address. With TROUBLE (the default), the processes of the other two are
killed at the moment of the loss, and start again at once. After the time that
the pages give, another core machine loses its disk. Exits with 1 if what was
acknowledged cannot be read back after that.
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

# The successor comes this long after the loss (`replace_core`: x is 1).
SUCCESSOR_SECONDS = 1.0
SETTLE_SECONDS = deployment.RECOVERY_SECONDS + deployment.CATCH_UP_SECONDS
READ_SECONDS = 6.0


async def play(folder: pathlib.Path, record: deployment.Record) -> int:
    """Plays the case; returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    async with deployment.running(folder, record, 3, 1, 2) as (system, _):
        gone, wiped = system.cores[2], system.cores[1]
        killed = system.cores if has_trouble else [gone]
        await kill(killed, record)
        gone.lose_disk()
        system.vms.remove(gone)
        record.say(f"{gone.name} is gone for good")
        for vm in killed:
            if vm is not gone:
                await vm.start()
        await asyncio.sleep(SUCCESSOR_SECONDS)
        successor = system.add("core", gone.zone)
        await successor.start()
        record.say(f"{successor.name} comes in its place, empty")
        await asyncio.sleep(SETTLE_SECONDS)
        response = await system.order(
            "config.patch", body=deployment.desired_state(2), seconds=10.0
        )
        if response.status != 200:
            record.say(f"the change was not accepted: {response.status}")
            return 2
        record.say("all core machines run, a change is acknowledged")
        await wiped.kill()
        wiped.lose_disk()
        await wiped.start()
        record.say(f"{wiped.name} is back with an empty disk")
        await asyncio.sleep(SETTLE_SECONDS)
        return await judge(system, record)


async def kill(vms: list[deployment.Vm], record: deployment.Record) -> None:
    """Kills processes at the same moment."""
    for vm in vms:
        vm.signal(signal.SIGKILL)
    for vm in vms:
        await vm.kill()
    record.say(f"killed: {', '.join(vm.name for vm in vms)}")


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
