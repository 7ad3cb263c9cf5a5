"""Benchmarks of the control plane.

Measures the rate of changes, their propagation to all VMs, failover, the cost
of claims and the idle cost per VM.
"""

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
    """Sends changes to the VMs of a running fleet.

    Attributes:
        fleet: The fleet.
        session: HTTP session for all VMs.
        issued: Number of keys that were requested.
    """

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
        """Issues one key and returns the index of the change.

        Args:
            vm: Name of the VM that the request is sent to.

        Raises:
            KeyError: The answer has no index, as the change was refused.
            aiohttp.ClientError: The VM did not answer.
            TimeoutError: The time-out of the session has passed.
        """
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
        """Returns changes per second, with CONCURRENT_CHANGES at a time."""
        semaphore = asyncio.Semaphore(CONCURRENT_CHANGES)

        async def issue_one() -> None:
            async with semaphore:
                await self.issue_key(vm)

        started = time.monotonic()
        await asyncio.gather(*[issue_one() for _ in range(CHANGES)])
        return CHANGES / (time.monotonic() - started)

    async def propagation_ms(self, vm: str) -> list[float]:
        """Returns, for each change, the ms until it is in force on all VMs."""
        delays_ms = []
        for _ in range(PROPAGATION_CHANGES):
            started = time.monotonic()
            index = await self.issue_key(vm)
            waits = [
                self._wait_in_force(name, index) for name in self.fleet.vms
            ]
            await asyncio.gather(*waits)
            delays_ms.append((time.monotonic() - started) * 1000)
        return delays_ms

    async def _wait_in_force(self, vm: str, index: int) -> None:
        url = f"{self.url(vm)}/.pollenseam/health"
        while True:
            async with self.session.get(url) as response:
                if (await response.json())["settings_index"] >= index:
                    return
            await asyncio.sleep(0.01)

    async def failover_seconds(self) -> float:
        """Kills the leader; returns the seconds until a change is accepted.

        Starts the killed VM again afterwards.
        """
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
        vms = fleet.make_vm_specs(REGIONS, per_domain, 3)
        with fleet.Fleet(pathlib.Path(folder), vms) as running:
            return await _measure_control(running, count)


async def _measure_control(
    running: fleet.Fleet, count: int
) -> dict[str, object]:
    running.start_all()
    file = running.folder / "settings.toml"
    file.write_text(SETTINGS)
    running.run_tool_json("apply", str(file), "--wait")
    timeout = aiohttp.ClientTimeout(total=15)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        client = FleetClient(running, session)
        other = list(running.vms)[-1]
        figures: dict[str, object] = {"vms": len(running.vms)}
        figures |= _idle_cost(running, other)
        delays_ms = await client.propagation_ms(running.leader())
        figures["in_force_p50_ms"] = statistics.median(delays_ms)
        figures["in_force_max_ms"] = max(delays_ms)
        rate = await client.changes_per_second(running.leader())
        figures["changes_per_second"] = rate
        if count <= 30:
            failover_times = [await client.failover_seconds() for _ in range(5)]
            figures["failover_median_s"] = statistics.median(failover_times)
            figures["failover_max_s"] = max(failover_times)
        return figures


def _idle_cost(running: fleet.Fleet, other: str) -> dict[str, object]:
    """Measures the leader and another VM without load.

    Returns:
        Figures of the leader ("leader_...") and of the VM `other`
        ("plain_..."): processor time in percent of a core, KB/s exchanged with
        peers, and resident memory in MB.
    """
    # VMs that have just started exchange all directory records, which is not
    # part of the idle cost.
    time.sleep(DIRECTORY_SYNC_SECONDS)
    figures: dict[str, object] = {}
    for role, name in (("leader", running.leader()), ("plain", other)):
        pid = running.daemons[name].child.pid
        cpu = measure.cpu_seconds(pid)
        sent = _peer_bytes(running, name)
        started = time.monotonic()
        time.sleep(IDLE_SECONDS)
        elapsed = time.monotonic() - started
        used = measure.cpu_seconds(pid) - cpu
        figures[f"{role}_cpu_percent"] = used / elapsed * 100
        figures[f"{role}_kb_per_s"] = (
            (_peer_bytes(running, name) - sent) / elapsed / 1024
        )
        figures[f"{role}_mb"] = measure.rss_mb(pid)
    return figures


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
    """A fleet with a one-way delay of REGION_DELAY_MS between regions."""

    def _spawn(self, name, module, arguments, environment):  # type: ignore[no-untyped-def]
        if module == "pollenseam.daemon":
            module = "bench.far_daemon"
            own = self.vms[name].region
            far = [p.peer for p in self.vms.values() if p.region != own]
            pairs = ",".join(f"{address}={REGION_DELAY_MS}" for address in far)
            environment = {**environment, "POLLENSEAM_BENCH_FAR": pairs}
        return super()._spawn(name, module, arguments, environment)


async def _run_claims(far: bool) -> dict[str, object]:
    fleet_class = DelayedFleet if far else fleet.Fleet
    with tempfile.TemporaryDirectory() as folder:
        vms = fleet.make_vm_specs(REGIONS, 1, 3)
        with fleet_class(pathlib.Path(folder), vms) as running:
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

        async def send_one(number: int, path: str) -> float:
            started = time.monotonic()
            request_headers = {**headers, "Idempotency-Key": f"{path}{number}"}
            async with session.post(
                url + path, headers=request_headers
            ) as response:
                body = await response.read()
                assert response.status == 200, body
            return (time.monotonic() - started) * 1000

        plain_ms = [await send_one(n, "/plain") for n in range(100)]
        claimed_ms = [await send_one(n, "/once") for n in range(100)]
        started = time.monotonic()
        semaphore = asyncio.Semaphore(64)

        async def send_limited(number: int) -> None:
            async with semaphore:
                await send_one(1000 + number, "/once")

        await asyncio.gather(*[send_limited(n) for n in range(CLAIMS)])
        rate = CLAIMS / (time.monotonic() - started)
    added_ms = statistics.median(claimed_ms) - statistics.median(plain_ms)
    prefix = "far" if far else "near"
    return {
        f"{prefix}_added_ms": added_ms,
        f"{prefix}_added_p90_ms": sorted(claimed_ms)[90]
        - statistics.median(plain_ms),
        f"{prefix}_claims_per_second": rate,
    }


async def _run(sizes: list[int]) -> None:
    for count in sizes:
        measure.record(f"control-{count}", await _run_control(count))
    figures = await _run_claims(far=False)
    figures |= await _run_claims(far=True)
    figures["aim"] = f"one round trip of {2 * REGION_DELAY_MS} ms plus 10 ms"
    measure.record("claims", figures)


def main() -> None:
    """Measures the control plane, then claims.

    The command-line arguments are the numbers of VMs to measure the control
    plane with; without arguments only claims are measured.
    """
    sizes = [int(a) for a in sys.argv[1:]]
    asyncio.run(_run(sizes))


if __name__ == "__main__":
    main()
