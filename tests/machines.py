"""A cluster of platform/program.py processes, for tests.

Every VM has a loopback address of its own. Upstreams are stubs in the test's
event loop.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import sys
import time

import aiohttp
from aiohttp import web

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.5
RESTART_SECONDS = 1.0
ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}
HOST = "shop.example"


def loopback_prefix() -> str:
    """Returns the first three bytes of this test process's loopback addresses.

    The prefix depends on the process id, so that parallel test processes
    rarely share addresses.
    """
    process_id = os.getpid()
    return f"127.{100 + process_id % 100}.{process_id // 100 % 250}"


class Machine:
    """One VM: its folder, settings file and process."""

    def __init__(self, cluster, name, role, host_number, zone):
        self.cluster = cluster
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = f"{cluster.address_prefix}.{host_number}"
        self.folder = cluster.folder / name
        self.folder.mkdir()
        self.process = None
        self.is_first_start = True
        self.log_start = 0
        self.program = ROOT / "platform" / "program.py"
        self.environment = {}

    def write_settings(self):
        seeds = ",".join(f"{seed_ip}:7101" for seed_ip in self.cluster.seeds)
        lines = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "listen.front": f"{self.ip}:7104",
            "listen.ready_addr": f"{self.ip}:7105",
            "listen.control": f"{self.ip}:7101",
            "listen.directory": f"{self.ip}:7102",
            "internal_port_range": "7113,7116",
            "seeds": seeds,
            "bootstrap": str(self.is_first_start).lower(),
            "heartbeat_s": str(HEARTBEAT_SECONDS),
            "data_dir": str(self.folder / "data"),
            "bounds.strict_revoke": "true",
            "bounds.revoke_s": "5",
            "bounds.grace_s": str(self.cluster.grace_seconds),
            "bounds.retry_slack": "60",
            "bounds.quota_slack": "20",
        }
        lines |= {f"zones.{zone}": region for zone, region in ZONES.items()}
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        (self.folder / "settings").write_text(text)

    async def start(self):
        self.write_settings()
        log = (self.folder / "log").open("ab")
        self.log_start = log.tell()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self.program),
            self.role,
            "7106",
            stdout=log,
            stderr=log,
            env={
                **os.environ,
                **self.environment,
                "POLLENSEAM_SETTINGS": str(self.folder / "settings"),
            },
        )
        log.close()
        self.is_first_start = False

    async def kill(self, signal_number=signal.SIGKILL):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await self.process.wait()

    def delete_data(self):
        shutil.rmtree(self.folder / "data")

    def read_log(self):
        return (self.folder / "log").read_text()

    def replica_id(self):
        """Returns the id of the replica since the last start; "" if none."""
        log = (self.folder / "log").read_bytes()[self.log_start :].decode()
        opened = [
            line.split("replica=")[1].split()[0]
            for line in log.splitlines()
            if "event=replica-opened" in line
        ]
        return opened[-1] if opened else ""


class StubServer:
    """A stub upstream of one service.

    It accepts any number of concurrent requests, whatever slots it reports.
    """

    def __init__(self, cluster, id, service="s1", zone="z1"):
        self.cluster = cluster
        self.id = id
        self.service = service
        self.zone = zone
        self.sequence = 0
        self.started_at_ms = time.time_ns() // 1_000_000
        self.received_requests = []
        self.arrived_at = []
        self.arrived_paths = []
        self.arrived_targets = []
        self.reply_headers = {}
        self.delay_seconds = 0.0
        self.status = 200
        self.address = ""
        self.runner = None
        self.deadly_path = None
        self.crash_times = []
        self.tasks = set()

    async def start(self):
        self.web_server = web.Server(self.handle)
        self.runner = web.ServerRunner(self.web_server)
        await self.runner.setup()
        site = web.TCPSite(self.runner, f"{self.cluster.address_prefix}.250", 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def handle(self, request):
        reply_headers = {
            "X-Request-Id": request.headers.get("X-Request-Id", "")
        }
        if request.headers.get("X-Expect-Instance") != self.id:
            return web.Response(status=421, headers=reply_headers)
        self.arrived_at.append(time.monotonic())
        self.arrived_paths.append(request.path)
        self.arrived_targets.append(request.raw_path)
        if request.path == self.deadly_path:
            task = asyncio.create_task(self.crash())
            self.tasks.add(task)
            await asyncio.sleep(RESTART_SECONDS)
        body = await request.read()
        self.received_requests.append(
            (request.method, request.raw_path, request.headers)
        )
        await asyncio.sleep(self.delay_seconds)
        reply_headers |= {"X-Reply-Stamp": self.id, "X-Server-Load": "1,0,3"}
        reply_headers |= self.reply_headers
        return web.Response(
            status=self.status, headers=reply_headers, body=b"done " + body
        )

    async def crash(self):
        """Ends as a crashed process does; starts again after a while."""
        self.crash_times.append(time.monotonic())
        self.address = ""
        for site in list(self.runner.sites):
            await site.stop()
        for connection in self.web_server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(RESTART_SECONDS)
        await self.start()
        self.sequence = 0
        self.started_at_ms = time.time_ns() // 1_000_000

    async def send_heartbeat(self, state="ready", **overrides):
        if not self.address:
            return 0, None
        self.sequence += 1
        body = {
            "addr": self.address,
            "born": self.started_at_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 3,
            },
            "status": {"state": state, "seq": self.sequence, "cold_left_s": 0},
        }
        return await self.cluster.rpc(
            "instances.beat", self.id, body | overrides
        )


class RawConnection:
    """A kept connection of a caller to an entry VM."""

    def __init__(self, cluster, reader, writer):
        self.cluster = cluster
        self.reader = reader
        self.writer = writer
        cluster.writers.append(writer)

    @classmethod
    async def open(cls, cluster, entry_index=0):
        ip = cluster.entry_vms[entry_index].ip
        return cls(cluster, *await asyncio.open_connection(ip, 7104))

    async def exchange(self, path="/a/1", key="k1"):
        """Sends a request; returns the head and body of the answer."""
        self.writer.write(self.head("GET", path, key=key))
        return await self.read_answer()

    def head(self, method, path, *more_lines, key="k1", deadline_ms=3000):
        """Returns the head of a request with the next id."""
        self.cluster.request_count += 1
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: q{self.cluster.request_count}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {key}",
            *more_lines,
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    async def read_answer(self):
        """Returns the head and body of the next answer."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        [length] = re.findall(rb"(?i)content-length: (\d+)", head)
        return head + await self.reader.readexactly(int(length))


class ControlConnection:
    """A kept connection of an operator to a control VM."""

    def __init__(self, cluster, reader, writer):
        self.reader = reader
        self.writer = writer
        cluster.writers.append(writer)

    @classmethod
    async def open(cls, machine):
        connection = await asyncio.open_connection(machine.ip, 7101)
        return cls(machine.cluster, *connection)

    async def patch(self, version):
        """Sends `initial_patch`; returns the status and the decoded body."""
        body = json.dumps(initial_patch(version)).encode()
        lines = [
            "POST /v1/rpc?call=config.patch HTTP/1.1",
            "Host: control",
            f"Content-Length: {len(body)}",
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = await self.reader.readuntil(b"\r\n\r\n")
        [length] = re.findall(rb"(?i)content-length: (\d+)", head)
        answer = await self.reader.readexactly(int(length))
        return int(head.split()[1]), json.loads(answer)


class Cluster:
    """Control VMs, entry VMs, stub upstreams and an HTTP client session."""

    def __init__(self, folder):
        self.folder = folder
        self.address_prefix = loopback_prefix()
        self.seeds = [f"{self.address_prefix}.{n}" for n in (1, 2, 3)]
        self.control_vms = []
        self.entry_vms = []
        self.servers = []
        self.writers = []
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=10.0)
        )
        self.request_count = 0
        self.grace_seconds = 6

    async def start(self, control_count=3, entry_count=1, prepare=None):
        """Starts all VMs.

        Args:
            control_count: Number of control VMs.
            entry_count: Number of entry VMs.
            prepare: Called with each VM before its start, if given.
        """
        zones = list(ZONES)
        for n in range(control_count):
            zone = zones[n % len(zones)]
            machine = Machine(self, f"control-{n}", "control", n + 1, zone)
            self.control_vms.append(machine)
        for n in range(entry_count):
            zone = zones[n % len(zones)]
            machine = Machine(self, f"entry-{n}", "entry", n + 101, zone)
            self.entry_vms.append(machine)
        for machine in [*self.control_vms, *self.entry_vms]:
            if prepare is not None:
                prepare(machine)
            await machine.start()

    async def stop(self):
        await self.session.close()
        for writer in self.writers:
            writer.close()
        for machine in [*self.control_vms, *self.entry_vms]:
            await machine.kill()
        for server in self.servers:
            await server.runner.cleanup()

    def create_server(self, id, **options):
        return StubServer(self, id, **options)

    async def add_server(self, id, **options):
        server = self.create_server(id, **options)
        await server.start()
        self.servers.append(server)
        await self.wait_until(
            lambda: self.has_status_200(server.send_heartbeat())
        )
        return server

    @contextlib.asynccontextmanager
    async def sending_heartbeats(self):
        """Sends heartbeats of all servers while the context is entered."""

        async def send_all():
            while True:
                for server in self.servers:
                    await server.send_heartbeat()
                await asyncio.sleep(HEARTBEAT_SECONDS)

        task = asyncio.create_task(send_all())
        try:
            yield
        finally:
            task.cancel()

    async def has_status_200(self, call):
        status, _ = await call
        return status == 200

    async def wait_until(self, check, timeout_seconds=START_TIMEOUT_SECONDS):
        """Polls an asynchronous check until it returns true.

        Connection errors and time-outs of the check count as false.
        """
        deadline = time.monotonic() + timeout_seconds
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                if await check():
                    return
            assert (
                time.monotonic() < deadline
            ), "check still false at the deadline"
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_for_line(self, machine, text):
        """Waits until the log of a machine has a text.

        A thread writes the log, a moment after the event.
        """

        async def is_written():
            return text in machine.read_log()

        await self.wait_until(is_written)

    async def rpc(self, call, of="", body=None, control_vm=None):
        """Calls a control VM; returns the status and the decoded body.

        Without `control_vm`, the control VMs are tried in turn until one
        answers with a status other than 503.
        """
        targets = [control_vm] if control_vm is not None else self.control_vms
        answer = (0, None)
        for machine in targets:
            url = f"http://{machine.ip}:7101/v1/rpc?call={call}&of={of}"
            try:
                async with self.session.post(url, json=body) as response:
                    answer = (response.status, await response.json())
            except (aiohttp.ClientError, TimeoutError):
                continue
            if answer[0] != 503:
                return answer
        return answer

    async def patch(self, version=1, **overrides):
        """Sends the patch of `initial_patch`; returns status and answer."""
        status, answer = await self.rpc(
            "config.patch", body=initial_patch(version, **overrides)
        )
        return status, answer

    async def request(self, path="/a/1", key="k1", entry_index=0, **options):
        """Sends a caller's request; returns status, headers and body."""
        self.request_count += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"q{self.request_count}",
            "X-Deadline-Ms": "3000",
            "Cookie": "X-Affinity-Key=17",
            **options.pop("headers", {}),
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        ip = self.entry_vms[entry_index].ip
        method = options.pop("method", "GET")
        async with self.session.request(
            method, f"http://{ip}:7104{path}", headers=headers, **options
        ) as response:
            return response.status, response.headers, await response.read()

    async def send_evenly(self, seconds, per_second):
        """Sends requests about many objects to all entry VMs in turn.

        Returns:
            The statuses, in the order of sending.
        """
        requests = []
        for number in range(int(seconds * per_second)):
            requests.append(
                asyncio.create_task(
                    self.request(
                        f"/a/{number}",
                        entry_index=number % len(self.entry_vms),
                        headers={"Cookie": f"X-Affinity-Key={number % 24}"},
                    )
                )
            )
            await asyncio.sleep(1 / per_second)
        return [status for status, _, _ in await asyncio.gather(*requests)]


def initial_patch(version=1, keys=("k1",), services=("s1",), **overrides):
    """Returns a patch: one workspace, limits, services and two routes.

    Args:
        version: Version of all items.
        keys: Keys of the workspace.
        services: Names of the services; the routes use the first one.
        **overrides: Fields of both routes that replace the defaults.
    """
    version_text = f"r{version}"
    service = {
        "health_path": "/health",
        "max_conns": 100,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 3.0,
        "cold_per_s": 3.0,
        "version": version_text,
    }
    route = {
        "timeout_s": 2.0,
        "latency_target_s": 0.5,
        "priority": 1,
        "service": services[0],
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "home_regions": [],
        "version": version_text,
    }
    route |= overrides
    return {
        "upsert": {
            "tenants": [
                {
                    "name": "t1",
                    "api_keys": list(keys),
                    "priority": 1,
                    "rate_per_s": 500,
                    "burst": 500,
                    "home_regions": [],
                    "version": version_text,
                }
            ],
            "services": [{"name": name, **service} for name in services],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
                "version": version_text,
            },
            "hosts": [
                {
                    "host": HOST,
                    "paths": [
                        {
                            "name": "r-a",
                            "path_prefix": "/a/",
                            "kind": "safe",
                            **route,
                        },
                        {
                            "name": "r-b",
                            "path_prefix": "/b/",
                            "kind": "unsafe",
                            **route,
                        },
                    ],
                }
            ],
        },
        "delete": {"routes": []},
    }


@contextlib.asynccontextmanager
async def running_cluster(folder, control_count=3, entry_count=1, prepare=None):
    """Yields a running cluster that has accepted the initial patch."""
    cluster = Cluster(folder)
    try:
        await cluster.start(control_count, entry_count, prepare)
        await cluster.wait_until(
            lambda: cluster.has_status_200(cluster.patch())
        )
        yield cluster
    finally:
        await cluster.stop()
