"""The control plane: changes, spread, failover, claims, cost per VM."""

import asyncio
import pathlib
import statistics
import sys
import tempfile
import time

import aiohttp

from bench import measure
from pollenseam import keys
from pollenseam.standins import fleet

SETTINGS = """
[fleet]
lookup_max_age_ms = 500
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
[[teams.t.services.svc.routes]]
host = "svc.example"
prefix = "/once"
at_most_once = "required"
[teams.t.workspaces.w]
rate = 100000
burst = 100000
"""
REGIONS = {"r1": ["d1"], "r2": ["d2"], "r3": ["d3"]}
CHANGES = 600
CONCURRENT_CHANGES = 32
PROPAGATION_CHANGES = 40
CLAIMS = 600
REGION_DELAY_MS = 35
IDLE_SECONDS = 10.0
DIRECTORY_SYNC_SECONDS = 30.0


class FleetClient:
    """A fleet with a session to its first VM."""

    def __init__(
        self, running: fleet.Fleet, session: aiohttp.ClientSession
    ) -> None:
        self.fleet = running
        self.session = session
        self.issued = 0

    def url(self, vm: str) -> str:
        """Returns the caller address of a VM as a URL."""
        return f"http://{self.fleet.vms[vm].caller}"

    async def issue_key(self, vm: str) -> int:
        """Issues one key and returns the index of the change."""
        self.issued += 1
        body = {
            "path": "/teams/t/workspaces/w",
            "id": f"{self.issued:012x}",
            "digest": keys.digest(str(self.issued)),
            "change_id": f"change-{self.issued}",
        }
        headers = {"Authorization": f"Bearer {self.fleet.token}"}
        url = f"{self.url(vm)}/.pollenseam/control/keys/issue"
        async with self.session.post(url, json=body, headers=headers) as r:
            answer = await r.json()
            return int(answer["index"])

    async def changes_per_second(self, vm: str) -> float:
        """Returns accepted changes per second, many at a time."""
        gate = asyncio.Semaphore(CONCURRENT_CHANGES)

        async def one() -> None:
            async with gate:
                await self.issue_key(vm)

        started = time.monotonic()
        await asyncio.gather(*[one() for _ in range(CHANGES)])
        return CHANGES / (time.monotonic() - started)

    async def propagation_ms(self, vm: str) -> list[float]:
        """Returns, per change, the time until all VMs have it in force."""
        found = []
        for _ in range(PROPAGATION_CHANGES):
            started = time.monotonic()
            index = await self.issue_key(vm)
            waits = [
                self._wait_in_force(name, index) for name in self.fleet.vms
            ]
            await asyncio.gather(*waits)
            found.append((time.monotonic() - started) * 1000)
        return found

    async def _wait_in_force(self, vm: str, index: int) -> None:
        url = f"{self.url(vm)}/.pollenseam/health"
        while True:
            async with self.session.get(url) as response:
                if (await response.json())["settings_index"] >= index:
                    return
            await asyncio.sleep(0.01)

    async def failover_seconds(self) -> float:
        """Kills the leader; returns the time until a change is accepted."""
        leader = self.fleet.leader()
        other = next(n for n in self.fleet.vms if n != leader)
        started = time.monotonic()
        self.fleet.daemons[leader].kill()
        while True:
            try:
                await self.issue_key(other)
                break
            except (aiohttp.ClientError, KeyError):
                continue
        seconds = time.monotonic() - started
        self.fleet.start(leader)
        await asyncio.to_thread(self.fleet.wait_serving, leader)
        return seconds


async def _run_control(count: int) -> dict[str, object]:
    with tempfile.TemporaryDirectory() as folder:
        per_domain = max(1, count // 3)
        places = fleet.make_vm_specs(REGIONS, per_domain, 3)
        with fleet.Fleet(pathlib.Path(folder), places) as running:
            return await _measure_site(running, count)


async def _measure_site(running: fleet.Fleet, count: int) -> dict[str, object]:
    running.start_all()
    file = running.folder / "settings.toml"
    file.write_text(SETTINGS)
    running.run_tool_json("apply", str(file), "--wait")
    timeout = aiohttp.ClientTimeout(total=15)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        site = FleetClient(running, session)
        plain = list(running.vms)[-1]
        figures: dict[str, object] = {"vms": len(running.vms)}
        figures |= _idle_cost(running, plain)
        spread = await site.propagation_ms(running.leader())
        figures["in_force_p50_ms"] = statistics.median(spread)
        figures["in_force_max_ms"] = max(spread)
        rate = await site.changes_per_second(running.leader())
        figures["changes_per_second"] = rate
        if count <= 30:
            times = [await site.failover_seconds() for _ in range(5)]
            figures["failover_median_s"] = statistics.median(times)
            figures["failover_max_s"] = max(times)
        return figures


def _idle_cost(running: fleet.Fleet, plain: str) -> dict[str, object]:
    """Returns what control costs the leader and a plain VM when idle."""
    # VMs that meet for the first time exchange all records.
    time.sleep(DIRECTORY_SYNC_SECONDS)
    found: dict[str, object] = {}
    for role, name in (("leader", running.leader()), ("plain", plain)):
        pid = running.daemons[name].child.pid
        cpu = measure.cpu_seconds(pid)
        sent = _peer_bytes(running, name)
        started = time.monotonic()
        time.sleep(IDLE_SECONDS)
        elapsed = time.monotonic() - started
        used = measure.cpu_seconds(pid) - cpu
        found[f"{role}_cpu_percent"] = used / elapsed * 100
        found[f"{role}_kb_per_s"] = (
            (_peer_bytes(running, name) - sent) / elapsed / 1024
        )
        found[f"{role}_mb"] = measure.rss_mb(pid)
    return found


def _peer_bytes(running: fleet.Fleet, name: str) -> float:
    url = f"http://{running.vms[name].caller}/.pollenseam/metrics"
    total = 0.0
    for line in fleet.fetch_text(url).splitlines():
        if line.startswith(
            ("pollenseam_peer_sent_bytes", "pollenseam_peer_received_bytes")
        ):
            total += float(line.split()[1])
    return total


class DelayedFleet(fleet.Fleet):
    """A fleet whose regions are FAR_MS apart, one way."""

    def _spawn(self, name, module, arguments, environment):  # type: ignore[no-untyped-def]
        if module == "pollenseam.daemon":
            module = "bench.far_daemon"
            own = self.vms[name].region
            far = [p.peer for p in self.vms.values() if p.region != own]
            pairs = ",".join(f"{address}={REGION_DELAY_MS}" for address in far)
            environment = {**environment, "POLLENSEAM_BENCH_FAR": pairs}
        return super()._spawn(name, module, arguments, environment)


async def _run_claims(far: bool) -> dict[str, object]:
    make = DelayedFleet if far else fleet.Fleet
    with tempfile.TemporaryDirectory() as folder:
        places = fleet.make_vm_specs(REGIONS, 1, 3)
        with make(pathlib.Path(folder), places) as running:
            running.start_all()
            file = running.folder / "settings.toml"
            file.write_text(SETTINGS)
            running.run_tool_json("apply", str(file), "--wait")
            return await _measure_claims(running, far)


async def _measure_claims(running: fleet.Fleet, far: bool) -> dict[str, object]:
    issued = running.run_tool_json("key", "issue", "/teams/t/services/svc")
    key = str(
        running.run_tool_json("key", "issue", "/teams/t/workspaces/w")["secret"]
    )
    leader = running.leader()
    running.start_upstream(
        "u1",
        "svc",
        running.vms[leader],
        str(issued["secret"]),
        *("--slots", "500", "--work-ms", "1"),
    )
    await asyncio.sleep(2.0)
    url = f"http://{running.vms[leader].caller}"
    headers = {"Host": "svc.example", "Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession() as session:

        async def one(number: int, path: str) -> float:
            started = time.monotonic()
            sent = {**headers, "Idempotency-Key": f"{path}{number}"}
            async with session.post(url + path, headers=sent) as response:
                body = await response.read()
                assert response.status == 200, body
            return (time.monotonic() - started) * 1000

        plain = [await one(n, "/plain") for n in range(100)]
        once = [await one(n, "/once") for n in range(100)]
        started = time.monotonic()
        gate = asyncio.Semaphore(64)

        async def many(number: int) -> None:
            async with gate:
                await one(1000 + number, "/once")

        await asyncio.gather(*[many(n) for n in range(CLAIMS)])
        rate = CLAIMS / (time.monotonic() - started)
    added = statistics.median(once) - statistics.median(plain)
    name = "far" if far else "near"
    return {
        f"{name}_added_ms": added,
        f"{name}_added_p90_ms": sorted(once)[90] - statistics.median(plain),
        f"{name}_claims_per_second": rate,
    }


async def _run(sizes: list[int]) -> None:
    for count in sizes:
        measure.record(f"control-{count}", await _run_control(count))
    figures = await _run_claims(far=False)
    figures |= await _run_claims(far=True)
    figures["aim"] = f"one round trip of {2 * REGION_DELAY_MS} ms plus 10 ms"
    measure.record("claims", figures)


def main() -> None:
    """Measures at the sizes given as arguments, else only claims."""
    sizes = [int(a) for a in sys.argv[1:]]
    asyncio.run(_run(sizes))


if __name__ == "__main__":
    main()
