"""A small deployment on loopback addresses, with its platform and operator.

Runs the programs of `deploy/system.toml` as separate processes. Every VM has a
loopback address of its own. Uses the standard library alone.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import time
import tomllib
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ROLES = {"front": "entry", "core": "control"}
ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
FRONT_PORT = 8388
READY_PORT = 8384
CONTROL_PORT = 8381
DIRECTORY_PORT = 8383
INTERNAL_PORTS = (7560, 7575)
HEARTBEAT_SECONDS = 1.5
CALL_SECONDS = 1.0
CATCH_UP_SECONDS = 4.0
ACK_SECONDS = 4.0
RECOVERY_SECONDS = 15.0
# Between the first answers and what a case does; above `CATCH_UP_SECONDS`.
SETTLED_SECONDS = 5.0
POLL_SECONDS = 0.2
HOST = "shop.example"
SERVICE = "counter"
KEY = "xd9dnn2ctnfzs989anu6"


class CannotRunError(Exception):
    """The case could not be run on this machine."""


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Writes one line, with the seconds since the start."""
        at = round(time.monotonic() - self.started_at, 3)
        line = json.dumps({"at": at, "event": event, **fields})
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Writes a line that is shown as well."""
        self.write("note", text=text)
        at = time.monotonic() - self.started_at
        print(f"{at:6.1f} s  {text}", flush=True)


class Response:
    """A response to a call or a request.

    Attributes:
        status: Status code; 0 if there was no response.
        headers: Headers by lower-case name.
        body: Body.
    """

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    seconds: float,
) -> Response:
    """Sends one HTTP request on a new connection; returns the response."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            raw = await reader.read()
    except (OSError, TimeoutError):
        return Response(0, {}, b"")
    finally:
        if writer is not None:
            writer.transport.abort()
    return parse_response(raw)


def parse_response(raw: bytes) -> Response:
    """Returns a response; its status is 0 if it is not complete."""
    head, separator, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    if not separator or not lines[0].startswith("HTTP/1.1 "):
        return Response(0, {}, b"")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if len(body) != int(headers.get("content-length", len(body))):
        return Response(0, {}, b"")
    return Response(int(lines[0].split()[1]), headers, body)


class Vm:
    """One machine of the deployment: its settings file, disk and process."""

    def __init__(
        self,
        deployment: "Deployment",
        name: str,
        kind: str,
        number: int,
        zone: str,
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.kind = kind
        self.zone = zone
        self.ip = f"{deployment.prefix}.{number}"
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, is_first_start: bool) -> None:
        """Writes the settings file, as the platform does before a start."""
        deployment = self.deployment
        is_core = self.kind == "core"
        first, last = INTERNAL_PORTS
        values: dict[str, object] = {
            "node_name": self.name,
            "role": ROLES[self.kind],
            "machine_class": self.kind,
            "serves": "control,directory" if is_core else "front",
            "ip": self.ip,
            "zone": self.zone,
            "region": deployment.zones[self.zone],
            **{f"zones.{z}": region for z, region in deployment.zones.items()},
            "internal_port_range": f"{first},{last}",
            "seeds": ",".join(deployment.seeds),
            "bootstrap": str(is_first_start).lower(),
            "in_tolerance": str(is_core).lower(),
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": 1000.0,
            "heartbeat_s": HEARTBEAT_SECONDS,
            "tolerate.machines": deployment.tolerated,
            "bounds.contact_s": 3,
            "bounds.ack_s": ACK_SECONDS,
            "bounds.catch_up_s": CATCH_UP_SECONDS,
            "bounds.drain_s": 2.5,
            "bounds.grace_s": 6,
            "bounds.config_apply_s": 2.5,
            "bounds.strict_revoke": "true",
            "bounds.revoke_s": 5,
            "bounds.retry_ratio": 0.2,
            "bounds.retry_window_s": 10,
            "bounds.retry_slack": 58,
            "bounds.quota_window_s": 5,
            "bounds.quota_overage": 0.1,
            "bounds.quota_slack": 20,
            "bounds.recovery_s": RECOVERY_SECONDS,
            "config_mode": "parts",
        }
        if is_core:
            values["listen.control"] = f"{self.ip}:{CONTROL_PORT}"
            values["listen.directory"] = f"{self.ip}:{DIRECTORY_PORT}"
            values["data_dir"] = self.data
        else:
            values["listen.front"] = f"{self.ip}:{FRONT_PORT}"
            values["listen.ready_addr"] = f"{self.ip}:{READY_PORT}"
        text = "".join(f"{name}={value}\n" for name, value in values.items())
        (self.folder / "settings").write_text(text)

    async def start(self, is_first_start: bool = False) -> None:
        """Starts the program with the command of the deploy file."""
        self.write_settings(is_first_start)
        command = DEPLOY["roles"][ROLES[self.kind]]["run"].split(" ")
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **{
                        name: os.environ[name]
                        for name in ("PATH", "HOME", "LANG")
                        if name in os.environ
                    },
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "POLLENSEAM_SETTINGS": str(self.folder / "settings"),
                },
            )
        self.deployment.record.write("start", vm=self.name)

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            name = signal.Signals(number).name
            self.deployment.record.write("signal", vm=self.name, signal=name)

    async def kill(self) -> None:
        """Kills the process, and waits until it is gone."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def lose_disk(self) -> None:
        """Empties the disk of a VM whose process is gone."""
        shutil.rmtree(self.data, ignore_errors=True)
        self.deployment.record.write("disk-lost", vm=self.name)

    def log_lines(self, event: str) -> list[str]:
        """Returns the lines of an event in the log of the process."""
        text = (self.folder / "log").read_text(errors="replace")
        return [s for s in text.splitlines() if f"event={event} " in s]


class Deployment:
    """The VMs of a deployment, and the operator and callers that use them."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        zones: dict[str, str],
        tolerated: int,
    ) -> None:
        self.folder = folder
        self.record = record
        self.zones = zones
        self.tolerated = tolerated
        self.prefix = free_prefix()
        self.vms: list[Vm] = []
        self.request_count = 0

    @property
    def cores(self) -> list[Vm]:
        """The core machines."""
        return [vm for vm in self.vms if vm.kind == "core"]

    @property
    def fronts(self) -> list[Vm]:
        """The front machines."""
        return [vm for vm in self.vms if vm.kind == "front"]

    @property
    def seeds(self) -> list[str]:
        """Control addresses of three core machines that are there now."""
        return [f"{vm.ip}:{CONTROL_PORT}" for vm in self.cores[:3]]

    def add(self, kind: str, zone: str) -> Vm:
        """Adds a machine that is not started yet."""
        number = len(list(self.folder.iterdir())) + 1
        vm = Vm(self, f"{kind}-{zone}-{number}", kind, number, zone)
        self.vms.append(vm)
        return vm

    async def start(self, core_count: int, front_count: int) -> None:
        """Starts the whole system for the first time."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        zones = list(self.zones)
        for n in range(core_count):
            self.add("core", zones[n % len(zones)])
        for n in range(front_count):
            self.add("front", zones[n % len(zones)])
        for vm in self.vms:
            await vm.start(is_first_start=True)

    async def stop(self) -> None:
        """Ends all processes."""
        for vm in self.vms:
            await vm.kill()

    # The operator.

    async def call(
        self, vm: Vm, name: str, of: str = "", body: object = None
    ) -> Response:
        """Makes one call to one core machine."""
        data = b"" if body is None else json.dumps(body).encode()
        return await exchange(
            f"{vm.ip}:{CONTROL_PORT}",
            "POST",
            f"/v1/rpc?call={name}&of={of}",
            {"Host": "control", "Content-Type": "application/json"},
            data,
            CALL_SECONDS,
        )

    async def order(
        self,
        name: str,
        of: str = "",
        body: object = None,
        seconds: float = ACK_SECONDS,
        first: Vm | None = None,
    ) -> Response:
        """Makes a call to the core machines in turn until it has an answer.

        Goes on to another machine after a failure, a 5xx, a 408 or 429, for
        `seconds` at most.
        """
        deadline = time.monotonic() + seconds
        machines = random.sample(self.cores, len(self.cores))
        if first is not None:
            machines = [first, *[vm for vm in machines if vm is not first]]
        attempt = 0
        while True:
            vm = machines[attempt % len(machines)]
            response = await self.call(vm, name, of, body)
            self.record.write(
                "call", call=name, of=of, to=vm.name, status=response.status
            )
            is_final = 200 <= response.status < 500
            if is_final and response.status not in (408, 429):
                return response
            if time.monotonic() >= deadline:
                return response
            attempt += 1
            await asyncio.sleep(min(0.1 * attempt, 0.5))

    # Callers.

    async def request(
        self,
        front: Vm,
        path: str = "/safe/1",
        method: str = "GET",
        key: str = KEY,
        body: bytes = b"",
        deadline_seconds: float = 3.0,
    ) -> tuple[str, Response]:
        """Sends a request; returns its id and the response."""
        self.request_count += 1
        id = f"{self.request_count:08x}{random.getrandbits(32):08x}"
        headers = {
            "Host": HOST,
            "X-Request-Id": id,
            "X-Deadline-Ms": str(int(deadline_seconds * 1000)),
            "Authorization": f"Bearer {key}",
        }
        address = f"{front.ip}:{FRONT_PORT}"
        self.record.write(
            "sent", request=id, to=front.name, method=method, path=path
        )
        response = await exchange(
            address, method, path, headers, body, deadline_seconds
        )
        self.record.write("answered", request=id, status=response.status)
        return id, response


class Server:
    """A server of the service, which registers itself and runs requests."""

    def __init__(
        self,
        deployment: Deployment,
        id: str,
        zone: str,
        work_seconds: float = 0.02,
    ) -> None:
        self.deployment = deployment
        self.id = id
        self.zone = zone
        self.work_seconds = work_seconds
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.runs: list[str] = []
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to serve and to register itself."""
        ip = f"{self.deployment.prefix}.200"
        self.listener = await asyncio.start_server(self._serve, ip, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self.beating = asyncio.create_task(self._beat_always())

    async def stop(self) -> None:
        """Ends without a word."""
        if self.beating is not None:
            self.beating.cancel()
        if self.listener is not None:
            self.listener.close()

    async def _beat_always(self) -> None:
        while True:
            await self.beat("ready")
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def beat(self, state: str) -> int:
        """Sends a check-in to one node after another; returns the status."""
        self.sequence += 1
        body = {
            "addr": self.address,
            "born": self.born,
            "info": {
                "service": SERVICE,
                "version": "v1",
                "zone": self.zone,
                "slots": 3,
            },
            "status": {
                "state": state,
                "seq": self.sequence,
                "cold_left_s": 0,
            },
        }
        cores = self.deployment.cores
        response = Response(0, {}, b"")
        for vm in random.sample(cores, len(cores)):
            response = await self.deployment.call(
                vm, "instances.beat", self.id, body
            )
            if 200 <= response.status < 300:
                break
        return response.status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while await self._serve_one(reader, writer):
                pass
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length)
        id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.id)
        answer = [f"X-Request-Id: {id}"]
        if expected != self.id:
            writer.write(_answer("421 Misdirected Request", answer, b""))
            return True
        self.runs.append(id)
        self.deployment.record.write(
            "run", request=id, server=self.id, line=first
        )
        await asyncio.sleep(self.work_seconds)
        answer += [f"X-Reply-Stamp: {self.id}.{id}", "X-Server-Load: 1,0,3"]
        writer.write(_answer("200 OK", answer, b"done " + body))
        await writer.drain()
        return True


def _answer(status: str, lines: Sequence[str], body: bytes) -> bytes:
    head = [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}"]
    return "\r\n".join([*head, "", ""]).encode() + body


def desired_state(version: int, **overrides: object) -> dict[str, Any]:
    """Returns a complete desired state, with `version` for all items.

    Args:
        version: Number of the version.
        **overrides: Fields of both routes that replace the defaults.
    """
    text = f"r{version}"
    route = {
        "timeout_s": 2.0,
        "latency_target_s": 0.5,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "home_regions": [],
        "version": text,
        **overrides,
    }
    paths = [
        {"name": f"r-{kind}", "path_prefix": f"/{kind}/", "kind": kind, **route}
        for kind in ("safe", "unsafe")
    ]
    return {
        "upsert": {
            "tenants": [
                {
                    "name": "huka270",
                    "api_keys": [KEY],
                    "priority": 1,
                    "rate_per_s": 200,
                    "burst": 200,
                    "home_regions": [],
                    "version": text,
                }
            ],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": 330,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 3.0,
                    "cold_per_s": 3.0,
                    "version": text,
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
                "version": text,
            },
            "hosts": [{"host": HOST, "paths": paths}],
        },
        "delete": {"routes": []},
    }


def free_prefix() -> str:
    """Returns three bytes of loopback addresses that nobody listens on."""
    for _ in range(50):
        prefix = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (FRONT_PORT, CONTROL_PORT, *INTERNAL_PORTS):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix
    raise CannotRunError("no loopback addresses with free ports")


async def wait_until(check: Any, seconds: float) -> bool:
    """Polls an asynchronous check; returns whether it became true in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if await check():
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    record: Record,
    core_count: int,
    front_count: int,
    server_count: int,
    zones: dict[str, str] | None = None,
    tolerated: int = 1,
) -> AsyncIterator[tuple[Deployment, list[Server]]]:
    """Yields a deployment that has served for a while, and its servers.

    Raises:
        CannotRunError: It does not serve after 40 s.
    """
    deployment = Deployment(folder, record, zones or ZONES, tolerated)
    servers: list[Server] = []

    async def is_accepted() -> bool:
        response = await deployment.order(
            "config.patch", body=desired_state(1), seconds=0.0
        )
        return response.status == 200

    async def is_served() -> bool:
        answers = [await deployment.request(f) for f in deployment.fronts]
        return all(response.status == 200 for _, response in answers)

    try:
        await deployment.start(core_count, front_count)
        if not await wait_until(is_accepted, 25.0):
            raise CannotRunError("the first desired state is not accepted")
        for n in range(server_count):
            zone = list(deployment.zones)[n % len(deployment.zones)]
            server = Server(deployment, f"i-{n}{os.getpid():06d}", zone)
            await server.start()
            servers.append(server)
        if not await wait_until(is_served, 15.0):
            raise CannotRunError("requests are not served")
        record.say("serving")
        await asyncio.sleep(SETTLED_SECONDS)
        yield deployment, servers
    finally:
        await deployment.stop()
        for server in servers:
            await server.stop()
