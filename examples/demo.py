"""Shows each promise on a fleet of real daemons, with measured figures.

Starts six daemons in three regions and twelve stand-in upstreams on
loopback, applies examples/teranga.toml, and exits with 0 only if all
promises are kept.
"""

import asyncio
import pathlib
import sys
import tempfile
import time
from collections.abc import Callable

import aiohttp

from pollenseam.standins import caller
from pollenseam.standins import fleet

REGIONS = {
    "dakar": ["dakar-1", "dakar-2"],
    "thies": ["thies-1", "thies-2"],
    "saint-louis": ["saint-louis-1", "saint-louis-2"],
}
HOST = "counter.teranga.example"
SERVICE = "/teams/teranga/services/counter"
WORKSPACES = "/teams/teranga/workspaces/"
SHIFT = "/teams/teranga/shifts/dakar-to-thies"
SETTINGS = pathlib.Path(__file__).with_name("teranga.toml")
TEAM_SETTINGS = """
[services.counter]
[[services.counter.routes]]
host = "counter.teranga.example"
[workspaces.plateau]
rate = {rate}
burst = 60
"""
WITHDRAWAL_SECONDS = 2.0
FAILOVER_SECONDS = 3.0
IN_FORCE_SECONDS = 12.0
LEAVING_SECONDS = 3.0
TOUBA_RATE = 40
TOUBA_BURST = 20
SHIFT_CAP = 40


class Demo:
    """One run of the demo.

    Attributes:
        fleet: The daemons and upstreams.
        failures: Promises that were not kept.
        keys: Key of each workspace, by name; issued when first used.
        session: HTTP session for requests to VMs, None before `run`.
    """

    def __init__(self, running_fleet: fleet.Fleet) -> None:
        self.fleet = running_fleet
        self.failures: list[str] = []
        self.keys: dict[str, str] = {}
        self.session: aiohttp.ClientSession | None = None

    def report(self, promise: str, is_kept: bool, figure: str) -> None:
        """Prints whether a promise is kept, and notes it in `failures` if not.

        Args:
            promise: The promise, as a short sentence.
            is_kept: Whether the promise is kept.
            figure: What was measured.
        """
        label = "ok  " if is_kept else "FAIL"
        print(f"{label} {promise}: {figure}", flush=True)
        if not is_kept:
            self.failures.append(promise)

    def key(self, workspace: str) -> str:
        """Returns the key of a workspace; the first call issues the key."""
        if workspace not in self.keys:
            answer = self.fleet.run_tool_json(
                "key", "issue", WORKSPACES + workspace
            )
            self.keys[workspace] = str(answer["secret"])
        return self.keys[workspace]

    def address(self, name: str) -> str:
        """Returns the caller address of a VM."""
        return self.fleet.vms[name].caller

    async def send(
        self,
        vm: str,
        path: str = "/cards/1",
        key: str = "",
        method: str = "GET",
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request to a VM.

        Args:
            vm: Name of the VM.
            path: Path and query of the request.
            key: Key to authorize the request, none if empty.
            method: Method of the request.
            **headers: Further headers; `_` in a name stands for `-`.

        Returns:
            Status, headers and body of the answer.
        """
        assert self.session is not None
        request_headers = {
            "Host": HOST,
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        url = f"http://{self.address(vm)}{path}"
        async with self.session.request(
            method, url, headers=request_headers
        ) as response:
            body = await response.read()
            return response.status, dict(response.headers), body

    def chooser(self, seed: int, *vms: str) -> caller.EntryChooser:
        """Returns a chooser whose seeds are the given VMs, or all VMs."""
        names = vms or tuple(self.fleet.vms)
        return caller.EntryChooser(
            [self.address(n) for n in names], "counter", seed
        )

    # One method for each promise or group of promises.

    def start(self) -> None:
        """Starts daemons and upstreams and applies the settings."""
        started = time.monotonic()
        self.fleet.start_all()
        seconds = time.monotonic() - started
        count = len(self.fleet.vms)
        self.report("daemons serve", True, f"{count} VMs in {seconds:.1f} s")
        started = time.monotonic()
        answer = self.fleet.run_tool_json("apply", str(SETTINGS), "--wait")
        seconds = time.monotonic() - started
        self.report(
            "accepted settings are in force everywhere",
            bool(answer["in_force"]) and seconds < IN_FORCE_SECONDS,
            f"version {answer['version']} on all VMs in {seconds:.1f} s",
        )
        service_key = self.fleet.run_tool_json("key", "issue", SERVICE)
        for vm in self.fleet.vms.values():
            for number in (1, 2):
                name = f"{vm.failure_domain}-u{number}"
                self.fleet.start_upstream(
                    name, "counter", vm, str(service_key["secret"])
                )
        fleet.wait_until(lambda: self._serving() == 2 * count)

    def _serving(self) -> int:
        status = self.fleet.run_tool_json("status")
        upstreams = status["upstreams"]
        assert isinstance(upstreams, dict)
        return int(upstreams.get(SERVICE, {}).get("serving", 0))

    async def lookup(self) -> None:
        """Looks up which entry VMs a caller should use."""
        assert self.session is not None
        url = f"http://{self.address('thies-1-1')}/.pollenseam/lookup"
        async with self.session.get(url, params={"service": "counter"}) as r:
            body = await r.json()
            age = r.headers["Cache-Control"]
        regions = [entry["region"] for entry in body["entries"]]
        self.report(
            "a look-up ranks entry VMs by the client's block",
            regions[:2] == ["dakar", "dakar"] and len(regions) == 6,
            f"{len(regions)} entries, first in {regions[0]}, {age}",
        )

    async def requests(self) -> None:
        """Sends requests with and without a key; checks what upstreams see."""
        key = self.key("plateau")
        await self._until_admitted("dakar-1-1", key)
        status, headers, _ = await self.send("dakar-1-1", key=key)
        self.report(
            "a request with a valid key reaches an upstream with a free slot",
            status == 200,
            f"status {status} through {headers.get('Pollenseam-Vm')}",
        )
        unknown_key_status, headers, _ = await self.send(
            "dakar-1-1", key="ps_0_0"
        )
        no_key_status, _, _ = await self.send("dakar-1-1")
        self.report(
            "a request without a valid key is refused and not run",
            unknown_key_status == 401
            and no_key_status == 401
            and headers["Pollenseam-Executed"] == "no",
            f"status {unknown_key_status} and {no_key_status}, executed no",
        )
        open_status, _, _ = await self.send("dakar-1-1", "/values/1")
        self.report(
            "an open route needs no key", open_status == 200, f"{open_status}"
        )
        await self.send(
            "dakar-1-1", key=key, Pollenseam_Workspace="forged", X_A=key
        )
        seen = 0
        forged = 0
        for name in self.fleet.upstreams:
            text = str(self.fleet.runs(name)["seen"])
            seen += key in text
            forged += "forged" in text
        self.report(
            "no upstream sees a caller's key",
            seen == 0 and forged == 0,
            f"{seen} of {len(self.fleet.upstreams)} upstreams saw it",
        )

    async def _until_admitted(self, vm: str, key: str) -> None:
        for _ in range(100):
            if (await self.send(vm, key=key))[0] == 200:
                return
            await asyncio.sleep(0.1)

    async def withdrawn_key(self) -> None:
        """Withdraws a key and measures until all VMs refuse it.

        The requests use open keep-alive connections.
        """
        key = self.key("medina")
        vms = list(self.fleet.vms)
        for vm in vms:
            await self._until_admitted(vm, key)
        started = time.monotonic()
        withdraw = asyncio.to_thread(
            self.fleet.run_tool, "key", "withdraw", key.split("_")[1]
        )
        withdrawal = await withdraw
        refused_after = dict.fromkeys(vms, 0.0)
        for vm in vms:
            while (await self.send(vm, key=key))[0] != 401:
                await asyncio.sleep(0.02)
            refused_after[vm] = time.monotonic() - started
        worst = max(refused_after.values())
        self.report(
            "a withdrawn key stops within seconds, on open connections too",
            withdrawal.returncode == 0 and worst < WITHDRAWAL_SECONDS,
            f"refused on all VMs {worst:.2f} s after the command began",
        )
        del self.keys["medina"]

    async def over_rate(self) -> None:
        """Sends three times the rate of a workspace, and load of another."""
        key = self.key("touba")
        other = self.key("rufisque")
        for vm in ("dakar-1-1", "dakar-2-1"):
            await self._until_admitted(vm, key)
            await self._until_admitted(vm, other)
        seconds = 3.0
        loud = caller.LoadPlan(HOST, "/cards/1", key, 3 * TOUBA_RATE, seconds)
        quiet = caller.LoadPlan(HOST, "/cards/2", other, 20, seconds)
        tallies = await asyncio.gather(
            caller.run_plan(loud, self.chooser(1), 1),
            caller.run_plan(quiet, self.chooser(2), 2),
        )
        finished = [at for at, o in tallies[0].finished if o == "200"]
        level = _peak_bucket_level(finished, TOUBA_RATE)
        bound = TOUBA_RATE * max(finished) + TOUBA_BURST
        self.report(
            "over all VMs a workspace gets no more than rate and burst",
            level <= TOUBA_BURST + 1 and len(finished) <= bound,
            f"{len(finished)} of {tallies[0].total} sent ran, bound "
            f"{bound:.0f}; fullest burst {level:.1f} of {TOUBA_BURST}",
        )
        successes = tallies[1].answers["200"]
        self.report(
            "a workspace over its rate does not affect the others",
            successes == tallies[1].total,
            f"{successes} of {tallies[1].total} of another workspace ran, p99 "
            f"{tallies[1].quantile_ms(99):.0f} ms",
        )

    async def duplicate_requests(self) -> None:
        """Sends the same at-most-once request to two VMs, then to a third."""
        key = self.key("plateau")
        headers = {"Idempotency_Key": "refund-1"}
        await self._until_admitted("thies-1-1", key)
        answers = await asyncio.gather(
            *[
                self.send(vm, "/credits/1", key, "POST", **headers)
                for vm in ("dakar-1-1", "thies-1-1")
            ]
        )
        replayed = answers[0]
        for _ in range(50):
            replayed = await self.send(
                "saint-louis-1-1", "/credits/1", key, "POST", **headers
            )
            if replayed[0] == 200:
                break
            await asyncio.sleep(0.1)
        runs = sum(
            dict(self.fleet.runs(name)["runs"]).get("refund-1", 0)  # type: ignore[call-overload]
            for name in self.fleet.upstreams
        )
        first = [a for a in answers if a[0] == 200]
        same = bool(first) and first[0][2] == replayed[2]
        statuses = ", ".join(str(a[0]) for a in answers)
        self.report(
            "an at-most-once request sent to two VMs runs once",
            runs == 1 and same,
            f"{runs} run; answers {statuses}; a third VM gave the first answer",
        )

    async def shift(self) -> None:
        """Starts a shift between regions and measures the traffic it moves."""
        key = self.key("plateau")
        started = await asyncio.to_thread(
            self.fleet.run_tool, "shift", "start", SHIFT, "--wait"
        )
        before = self._regional_total("thies")
        plan = caller.LoadPlan(HOST, "/cards/3", key, 120, 4.0)
        tally = await caller.run_plan(plan, self.chooser(3, "dakar-1-1"), 3)
        moved = self._regional_total("thies") - before
        stopped = await asyncio.to_thread(
            self.fleet.run_tool, "shift", "stop", SHIFT, "--wait"
        )
        successes = tally.answers["200"]
        self.report(
            "a shift moves traffic, never above its cap",
            0 < moved <= SHIFT_CAP * 4
            and successes == tally.total
            and started.returncode == stopped.returncode == 0,
            f"{moved / 4:.1f}/s moved, cap {SHIFT_CAP}/s; "
            f"{successes} of {tally.total} requests ran{_other_answers(tally)}",
        )

    def _regional_total(self, region: str) -> int:
        return sum(
            int(str(self.fleet.runs(name)["total"]))
            for name in self.fleet.upstreams
            if name.startswith(region)
        )

    async def leaving_upstream(self) -> None:
        """Stops an upstream under load."""
        key = self.key("plateau")
        name = "dakar-1-u1"
        plan = caller.LoadPlan(HOST, "/cards/4", key, 40, 5.0)
        load = asyncio.create_task(
            caller.run_plan(plan, self.chooser(4, "dakar-1-1"), 4)
        )
        await asyncio.sleep(1.0)
        self.fleet.upstreams[name].child.terminate()
        await asyncio.sleep(LEAVING_SECONDS)
        total_at_deadline = self.fleet.runs(name).get("total", -1)
        await asyncio.sleep(0.5)
        total_after = self.fleet.runs(name).get("total", total_at_deadline)
        tally = await load
        self.report(
            "an upstream that leaves gets no new requests; none is cut off",
            total_at_deadline == total_after
            and tally.answers["200"] == tally.total,
            f"{tally.answers['200']} of {tally.total} requests ran",
        )

    async def leader_failure(self) -> None:
        """Kills the quorum leader under load and makes a change."""
        leader = self.fleet.leader()
        key = self.key("plateau")
        plan = caller.LoadPlan(HOST, "/cards/5", key, 30, 4.0)
        others = [n for n in self.fleet.vms if n != leader]
        entry_chooser = self.chooser(5, *others)
        load = asyncio.create_task(caller.run_plan(plan, entry_chooser, 5))
        await asyncio.sleep(0.5)
        started = time.monotonic()
        self.fleet.daemons[leader].kill()
        change = await asyncio.to_thread(
            self.fleet.run_tool, "operator", "issue", "/teams/teranga"
        )
        seconds = time.monotonic() - started
        tally = await load
        new_leader = self.fleet.leader()
        broken = tally.answers["broken"]
        refused = tally.total - tally.answers["200"] - broken
        self.report(
            "control goes on when its leader dies",
            change.returncode == 0
            and new_leader != leader
            and seconds < FAILOVER_SECONDS
            and refused == 0,
            f"next change accepted after {seconds:.1f} s by {new_leader}; "
            f"{refused} of {tally.total} requests refused, {broken} cut off "
            f"with the killed VM{_other_answers(tally)}",
        )
        self.fleet.start(leader)
        self.fleet.wait_serving(leader)

    async def graceful_stop(self) -> None:
        """Stops a VM with SIGTERM under load."""
        key = self.key("plateau")
        plan = caller.LoadPlan(HOST, "/cards/6", key, 60, 5.0)
        load = asyncio.create_task(
            caller.run_plan(plan, self.chooser(6, "thies-1-1"), 6)
        )
        await asyncio.sleep(0.5)
        started = time.monotonic()
        code = await asyncio.to_thread(self.fleet.daemons["dakar-2-1"].stop)
        seconds = time.monotonic() - started
        tally = await load
        self.report(
            "a planned stop cuts off no request",
            code == 0 and tally.answers["200"] == tally.total,
            f"exit {code} after {seconds:.1f} s, "
            f"{tally.answers['200']} of {tally.total} requests ran"
            f"{_other_answers(tally)}",
        )

    def conflicting_changes(self) -> None:
        """Applies conflicting changes, and a change without permission.

        Two changes expect the same version. The first is sent again, and then
        its change id is sent with the other change. Last, the operator of a
        team changes settings outside the team.
        """
        team = "/teams/teranga"
        version = str(self.fleet.run_tool_json("get", team)["version"])
        files = []
        for number in (1, 2):
            text = TEAM_SETTINGS.format(rate=200 + number)
            file = self.fleet.folder / f"team-{number}.toml"
            file.write_text(text)
            files.append(str(file))
        common = ("--at", team, "--expect-version", version, "--change-id")
        first = self.fleet.run_tool("apply", files[0], *common, "first")
        second = self.fleet.run_tool("apply", files[1], *common, "second")
        resent = self.fleet.run_tool("apply", files[0], *common, "first")
        other = self.fleet.run_tool("apply", files[1], *common, "first")
        codes = [d.returncode for d in (first, second, resent, other)]
        self.report(
            "one of two changes to a version wins; a resend gets its answer",
            codes == [0, 3, 0, 3] and first.stdout == resent.stdout,
            f"exit {codes[0]} and {codes[1]}; resent {codes[2]}, "
            f"same id with another body {codes[3]}",
        )
        token = self.fleet.run_tool_json("operator", "issue", team)
        foreign = self.fleet.run_tool(
            "apply", str(SETTINGS), token=str(token["secret"])
        )
        self.report(
            "a team changes only its own subtree",
            foreign.returncode == 4,
            f"exit {foreign.returncode}: {foreign.stderr.strip()}",
        )

    def replay(self) -> None:
        """Stops all daemons and checks the recorded traces for violations."""
        for process in self.fleet.daemons.values():
            if process.child.poll() is None:
                process.child.terminate()
        for process in self.fleet.daemons.values():
            process.child.wait(fleet.STOP_SECONDS)
        traces = [str(self.fleet.trace_file(name)) for name in self.fleet.vms]
        result = self.fleet.run_tool("replay", *traces)
        figure = result.stdout.strip().splitlines()[-1:] or [result.stderr]
        self.report(
            "the traces of all daemons violate no invariant",
            result.returncode == 0,
            figure[0],
        )

    async def run(self) -> None:
        """Checks all promises, one after the other."""
        self.start()
        timeout = aiohttp.ClientTimeout(total=15)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            self.session = session
            checks: list[Callable[[], object]] = [
                self.lookup,
                self.requests,
                self.withdrawn_key,
                self.over_rate,
                self.duplicate_requests,
                self.shift,
                self.leaving_upstream,
                self.leader_failure,
                self.graceful_stop,
            ]
            for check in checks:
                await check()  # type: ignore[misc]
        self.conflicting_changes()
        self.replay()


def _other_answers(tally: caller.Tally) -> str:
    """Returns the counts of other outcomes than 200 as text, "" if none."""
    others = {k: n for k, n in tally.answers.items() if k != "200"}
    return f", others {others}" if others else ""


def _peak_bucket_level(times: list[float], rate: float) -> float:
    """Returns the highest level of a leaky bucket.

    Args:
        times: When a unit was added, in seconds.
        rate: Units that leave the bucket per second.
    """
    level = 0.0
    peak = 0.0
    previous = 0.0
    for finished_at in sorted(times):
        level = max(0.0, level - (finished_at - previous) * rate) + 1
        peak = max(peak, level)
        previous = finished_at
    return peak


def main() -> int:
    """Runs the demo; returns 0 if all promises are kept, else 1."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="pollenseam-") as folder:
        vm_specs = fleet.make_vm_specs(REGIONS, vms_per_domain=1, replicas=3)
        with fleet.Fleet(pathlib.Path(folder), vm_specs) as running_fleet:
            running_fleet.record_traces = True
            demo = Demo(running_fleet)
            asyncio.run(demo.run())
    seconds = time.monotonic() - started
    held = "all promises held" if not demo.failures else "NOT all held"
    print(f"{held} in {seconds:.0f} s")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
