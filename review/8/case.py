"""A front machine whose two nearest core machines are frozen misses a change.

Six core machines, of which two may be lost at a time; one front machine. With
TROUBLE (the default) the core machines in the front machine's region freeze, a
few times. Once the core has been stable for `contact_s`, routes are added. The
case exits with 1 if the front machine answers a request on one of them with 404
although it was sent later than `config_apply_s` after the ack.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import deployment  # noqa: E402

ZONES = {"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r2", "z5": "r3", "z6": "r3"}
TOLERATED = 2
FREEZE_SECONDS = 6.8
ROUNDS = 4
# After a thaw; the machines are in touch again, and have caught up.
REST_SECONDS = 8.0
FIRST_CHANGE_SECONDS = 3.4
CHANGE_INTERVAL_SECONDS = 0.15
CHANGES = 6
CONFIG_APPLY_SECONDS = 2.5
PROBE_SECONDS = 0.05


class Change:
    """A change that adds a route.

    Attributes:
        version: Number of its version.
        acked_at: Time in seconds of its ack; infinite before.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self.acked_at = float("inf")

    @property
    def path(self) -> str:
        """Path prefix of the route."""
        return f"/added-{self.version}/"

    def body(self) -> dict[str, object]:
        """Returns the body of the call."""
        path = {
            "name": f"r-added-{self.version}",
            "path_prefix": self.path,
            "kind": "safe",
            "timeout_s": 2.0,
            "latency_target_s": 0.5,
            "priority": 1,
            "service": deployment.SERVICE,
            "max_attempts": 2,
            "public": False,
            "sticky": False,
            "home_regions": [],
            "version": f"r{self.version}",
        }
        hosts = [{"host": deployment.HOST, "paths": [path]}]
        return {"upsert": {"hosts": hosts}, "delete": {"routes": []}}


async def play(folder: pathlib.Path, record: deployment.Record) -> int:
    """Plays the case; returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    async with deployment.running(
        folder, record, 6, 1, 2, ZONES, TOLERATED
    ) as (system, _):
        late = 0
        for number in range(ROUNDS):
            first_version = 2 + number * CHANGES
            late += await play_round(system, first_version, has_trouble)
            await asyncio.sleep(REST_SECONDS)
        record.say(f"{late} requests were answered as before a change")
        return 1 if late else 0


async def play_round(
    system: deployment.Deployment, first_version: int, has_trouble: bool
) -> int:
    """Plays one freeze; returns how many requests broke the rule.

    Raises:
        CannotRunError: A change was not accepted.
    """
    record = system.record
    near = [vm for vm in system.cores if ZONES[vm.zone] == "r1"]
    others = [vm for vm in system.cores if vm not in near]
    started_at = time.monotonic()
    if has_trouble:
        for vm in near:
            vm.signal(signal.SIGSTOP)
        record.say(f"frozen: {', '.join(vm.name for vm in near)}")
    ends_at = started_at + FREEZE_SECONDS
    changes = [Change(first_version + n) for n in range(CHANGES)]
    sending = asyncio.create_task(send_changes(system, changes, others[0]))
    try:
        late = await probe(system, system.fronts[0], changes, ends_at)
        await sending
    finally:
        for vm in near:
            vm.signal(signal.SIGCONT)
    acks = [round(c.acked_at - started_at, 2) for c in changes]
    record.say(f"changes acknowledged after {acks} s, {late} late answers")
    if max(c.acked_at for c in changes) == float("inf"):
        raise deployment.CannotRunError("a change was not accepted")
    return late


async def send_changes(
    system: deployment.Deployment,
    changes: list[Change],
    first: deployment.Vm,
) -> None:
    """Sends changes to the core, one after the other."""
    await asyncio.sleep(FIRST_CHANGE_SECONDS)
    for change in changes:
        response = await system.order(
            "config.patch", body=change.body(), first=first
        )
        if response.status == 200:
            change.acked_at = time.monotonic()
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)


async def probe(
    system: deployment.Deployment,
    front: deployment.Vm,
    changes: list[Change],
    ends_at: float,
) -> int:
    """Sends requests on the added routes; returns how many broke the rule."""
    late = 0
    while time.monotonic() < ends_at:
        for change in changes:
            sent_at = time.monotonic()
            if sent_at - change.acked_at <= CONFIG_APPLY_SECONDS:
                continue
            id, response = await system.request(front, f"{change.path}1")
            if response.status == 404:
                late += 1
                age = round(sent_at - change.acked_at, 3)
                system.record.write(
                    "late", request=id, version=change.version, ack_age=age
                )
        await asyncio.sleep(PROBE_SECONDS)
    return late


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
