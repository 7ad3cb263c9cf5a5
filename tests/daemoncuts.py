"""Daemons that can be cut off from upstreams, for tests.

Connects are cut in the daemons (`cutdaemon`). Established connections go
through a proxy in front of each upstream, which knows a daemon by its source
address. The upstreams run in the event loop of the test.
"""

import asyncio
import contextlib
import pathlib
import time

import aiohttp
import cuts
from aiohttp import web

from pollenseam.standins import fleet
from pollenseam.standins import upstream

HOST = "svc.example"
UPSTREAM_IP = "127.0.0.1"
VMS = {"a1": "d1", "a2": "d1", "b1": "d2"}
ANNOUNCE_SECONDS = 1.0
# Shorter than the time for which the cuts of a test last.
SETTINGS = """
[fleet]
lookup_max_age_ms = 500
[fleet.regions.r1]
failure_domains = ["d1", "d2"]
client_blocks = ["127.0.0.0/8"]
[teams.t.services.svc.defaults]
timeout_ms = 2000
[[teams.t.services.svc.routes]]
host = "svc.example"
[[teams.t.services.svc.routes]]
host = "svc.example"
prefix = "/once"
at_most_once = "required"
[teams.t.services.other.defaults]
timeout_ms = 2000
[[teams.t.services.other.routes]]
host = "other.example"
[teams.t.workspaces.w]
rate = 3000
burst = 1000
"""


class CutFleet(fleet.Fleet):
    """Daemons whose ways to upstreams can be cut."""

    def __init__(self, folder, vms):
        super().__init__(folder, vms)
        names = list(self.vms)
        self.source_ips = {n: f"127.0.1.{names.index(n) + 1}" for n in names}

    def control_file(self, name):
        return self.folder / f"cuts-{name}"

    def _spawn(self, name, module, arguments, environment):
        self.control_file(name).write_text("")
        environment |= {
            "CUT_FILE": str(self.control_file(name)),
            "SOURCE_IP": self.source_ips[name],
            "UPSTREAM_IP": UPSTREAM_IP,
            "PYTHONPATH": str(pathlib.Path(__file__).parent),
        }
        return super()._spawn(name, "cutdaemon", arguments, environment)


class CutUpstream:
    """An upstream behind a proxy, announced to the VMs of its domain."""

    def __init__(self, bench, name, service, domain):
        self.bench = bench
        self.name = name
        self.service = service
        self.domain = domain
        self.stand_in = upstream.Upstream(
            name, upstream.Behaviour(slots=20, work_ms=2.0)
        )
        self.server = web.Server(
            self.stand_in.handle, handler_cancellation=True, access_log=None
        )

    async def start(self):
        port = fleet.free_port()
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, UPSTREAM_IP, port)
        self.proxy = cuts.CutProxy(f"{UPSTREAM_IP}:{port}")
        await self.proxy.start()
        self.task = asyncio.create_task(self.announce())

    async def announce(self):
        body = {
            "service": self.service,
            "upstream": self.name,
            "address": self.proxy.address,
            "region": "r1",
            "failure_domain": self.domain,
            "slots": 20,
            "incarnation": 1,
            "state": "serving",
            "ttl_ms": 5000,
        }
        key = self.bench.service_keys[self.service]
        while True:
            for name, vm in self.bench.fleet.vms.items():
                if VMS[name] == self.domain:
                    url = f"http://{vm.caller}/.pollenseam/announce"
                    headers = {"Authorization": f"Bearer {key}"}
                    with contextlib.suppress(aiohttp.ClientError):
                        async with self.bench.session.post(
                            url, json=body, headers=headers
                        ):
                            pass
            await asyncio.sleep(ANNOUNCE_SECONDS)

    async def stop(self):
        self.task.cancel()
        self.listener.close()
        await self.proxy.stop()
        await self.server.shutdown(0.1)


class Bench:
    """Daemons, upstreams and a client session.

    Attributes:
        fleet: The daemons.
        session: HTTP client session.
        key: Key of the workspace.
        service_keys: Key of each service, by its name.
        upstreams: The upstreams.
        refused: Time, VM, status and body of first tries not served.
    """

    def __init__(self, running_fleet):
        self.fleet = running_fleet
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=10)
        )
        self.upstreams = []
        self.refused = []

    async def start(self, services):
        await asyncio.to_thread(self.fleet.start_all)
        file = self.fleet.folder / "settings.toml"
        file.write_text(SETTINGS)
        applied = await asyncio.to_thread(
            self.fleet.run_tool, "apply", str(file), "--wait"
        )
        assert applied.returncode == 0, applied.stderr
        self.key = await self.issue("/teams/t/workspaces/w")
        self.service_keys = {
            s: await self.issue(f"/teams/t/services/{s}") for s in services
        }
        for service, domains in services.items():
            for number, domain in enumerate(domains):
                added = CutUpstream(
                    self, f"{service}-{number}", service, domain
                )
                await added.start()
                self.upstreams.append(added)
        for name in VMS:
            for service in services:
                host = f"{service}.example"
                await self.until(lambda n=name, h=host: self.is_served(n, h))

    async def issue(self, path):
        answer = await asyncio.to_thread(
            self.fleet.run_tool_json, "key", "issue", path
        )
        return answer["secret"]

    async def is_served(self, vm, host=HOST):
        return (await self.request(vm, host=host))[0] == 200

    async def request(
        self, vm, path="/x", method="GET", host=HOST, headers=(), data=None
    ):
        """Returns the status, headers and body of the answer to a request."""
        url = f"http://{self.fleet.vms[vm].caller}{path}"
        all_headers = {
            "Host": host,
            "Authorization": f"Bearer {self.key}",
            **dict(headers),
        }
        async with self.session.request(
            method, url, headers=all_headers, data=data
        ) as response:
            return response.status, response.headers, await response.read()

    async def page(self, vm, path):
        url = f"http://{self.fleet.vms[vm].caller}/.pollenseam/{path}"
        async with self.session.get(url) as response:
            return await response.json()

    async def metric(self, vm, name):
        """Returns the sum of a metric's values at a VM."""
        url = f"http://{self.fleet.vms[vm].caller}/.pollenseam/metrics"
        async with self.session.get(url) as response:
            lines = (await response.text()).splitlines()
        return sum(
            float(line.rpartition(" ")[2])
            for line in lines
            if line.startswith(f"pollenseam_{name}")
        )

    def log(self, vm):
        return self.fleet.daemons[vm].log.read_text()

    def failed_relays(self, vm):
        """Returns the log lines of relayed requests without a reply."""
        lines = self.log(vm).splitlines()
        relayed = [line for line in lines if "event=relayed" in line]
        return [line for line in relayed if "outcome=replied" not in line]

    def cut(self, vm, connects, kept, upstreams=None):
        """Cuts a VM off; the modes are those of `cuts.CutCluster.cut`."""
        targets = "*"
        if upstreams is not None:
            targets = ",".join(u.proxy.address for u in upstreams)
        self.fleet.control_file(vm).write_text(f"{connects} {targets}\n")
        for found in upstreams or self.upstreams:
            if kept == "hang":
                found.proxy.hang(self.fleet.source_ips[vm])
            elif kept == "reset":
                found.proxy.reset(self.fleet.source_ips[vm])

    def heal(self, vm):
        self.fleet.control_file(vm).write_text("")
        for found in self.upstreams:
            found.proxy.release(self.fleet.source_ips[vm])

    async def until(self, condition, seconds=20.0):
        deadline = time.monotonic() + seconds
        while not await condition():
            assert time.monotonic() < deadline, "condition not met in time"
            await asyncio.sleep(0.05)

    async def count_first_tries(self, vm, seconds, callers=2):
        """Returns how many requests of some callers were sent and served."""
        counts = [0, 0]
        until = time.monotonic() + seconds

        async def call_in_turn():
            while time.monotonic() < until:
                counts[0] += 1
                method = "GET" if counts[0] % 3 else "POST"
                status, _, body = await self.request(vm, method=method)
                counts[1] += status == 200
                if status != 200:
                    self.refused.append((time.monotonic(), vm, status, body))
                await asyncio.sleep(0.03)

        await asyncio.gather(*(call_in_turn() for _ in range(callers)))
        return counts

    async def stop(self):
        for added in self.upstreams:
            await added.stop()
        await self.session.close()


@contextlib.asynccontextmanager
async def running(folder, **services):
    """Yields a bench whose VMs all serve.

    Args:
        folder: Folder for the processes' files.
        **services: Failure domains of each service's upstreams.
    """
    specs = [fleet.VmSpec(n, "r1", d, is_replica=True) for n, d in VMS.items()]
    with CutFleet(folder, specs) as started:
        bench = Bench(started)
        try:
            await bench.start(services or {"svc": ["d1", "d2", "d1", "d2"]})
            yield bench
        finally:
            await bench.stop()
