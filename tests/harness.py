"""A daemon and test upstreams that run in the event loop of a test."""

import asyncio
import contextlib
import os
import pathlib
import time
import tomllib

import aiohttp
from aiohttp import web

from pollenseam import commands
from pollenseam import daemon
from pollenseam import events
from pollenseam import flags
from pollenseam import keys
from pollenseam import messages
from pollenseam import settings
from pollenseam.standins import fleet
from pollenseam.standins import upstream

ROOT = "ps_root_" + "0" * 48
HOST = "svc.example"
SETTINGS = """
[fleet]
lookup_max_age_ms = 0
[fleet.regions.r1]
failure_domains = ["d1"]
client_blocks = ["127.0.0.0/8"]
accept_rate = 100
[fleet.regions.r2]
failure_domains = ["d2"]
accept_rate = 100
[teams.t.services.svc.defaults]
timeout_ms = 2000
queue_ms = 500
max_body_bytes = 200000
[[teams.t.services.svc.routes]]
host = "svc.example"
[[teams.t.services.svc.routes]]
host = "svc.example"
prefix = "/open"
access = "open"
[[teams.t.services.svc.routes]]
host = "svc.example"
prefix = "/once"
at_most_once = "required"
[[teams.t.services.svc.routes]]
host = "svc.example"
prefix = "/maybe"
at_most_once = "optional"
[teams.t.workspaces.w]
rate = 1000
burst = 1000
[teams.t.workspaces.slow]
rate = 5
burst = 2
[teams.other.workspaces.x]
rate = 10
burst = 10
"""


class Log:
    """Collects event log lines in memory instead of writing them."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def info(self, line: str) -> None:
        self.lines.append(line)


class Bench:
    """A daemon with its test upstreams and an HTTP client session.

    Attributes:
        caller: IP:PORT at which callers reach the daemon.
        flags: Command-line flags of the daemon.
        log: Collects the daemon's event log.
        daemon: The daemon, which is the only replica of its quorum.
        session: HTTP client session for requests to the daemon.
        key: Key of workspace /teams/t/workspaces/w.
        slow_key: Key of workspace /teams/t/workspaces/slow, which has a low
            rate.
        other_key: Key of workspace /teams/other/workspaces/x, of another
            team.
        changes: Number of changes submitted to the quorum.
        servers: Servers and listeners of the test upstreams.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.caller = f"127.0.0.1:{fleet.free_port()}"
        peer = f"127.0.0.1:{fleet.free_port()}"
        self.flags = flags.Flags(
            "v1",
            "r1",
            "d1",
            self.caller,
            peer,
            data_folder=str(folder / "data"),
            initial_replicas=f"v1={peer}",
        )
        self.log = Log()
        log = events.EventLog("v1", events.LogicalClock(), self.log)
        self.daemon = daemon.Daemon(self.flags, log)
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=10)
        )
        self.key = keys.generate().text
        self.slow_key = keys.generate().text
        self.other_key = keys.generate().text
        self.changes = 0
        self.servers: list[tuple[web.Server, asyncio.Server]] = []

    async def start(self) -> None:
        os.environ["POLLENSEAM_ROOT_TOKEN"] = ROOT
        await self.daemon.start()
        local_vm = self.daemon.vm
        await self.until(lambda: "/operators/root" in local_vm.tree.nodes)
        await self.apply(SETTINGS)
        await self.issue(self.key, "/teams/t/workspaces/w")
        await self.issue(self.slow_key, "/teams/t/workspaces/slow")
        await self.issue(self.other_key, "/teams/other/workspaces/x")
        account = local_vm.lease_table.accounts["/teams/t/workspaces/w"]
        await self.until(lambda: account.bucket.held(local_vm.now()).rate > 0)
        await asyncio.sleep(0.05)

    async def change(self, type_, *arguments) -> commands.Outcome:
        """Submits an operator's change to the quorum log and checks it."""
        self.changes += 1
        command = type_(f"change-{self.changes}", keys.digest(ROOT), *arguments)
        outcome = await self.daemon.vm.replica_runner.submit(command)
        assert outcome.kind == "", outcome.detail
        return outcome

    async def apply(self, text: str) -> None:
        nodes = settings.parse(tomllib.loads(text)).unwrap()
        await self.change(commands.ApplySettings, "/", nodes, None)

    async def issue(self, secret: str, path: str) -> None:
        parsed = keys.parse(secret)
        assert parsed is not None
        node = settings.Key(parsed.digest)
        key_path = f"{path}/keys/{parsed.id}"
        await self.change(commands.PutNode, key_path, node)

    async def withdraw(self, secret: str) -> None:
        id = secret.split("_")[1]
        await self.change(commands.Withdraw, "keys", id)

    async def add_upstream(
        self, name: str = "u1", region: str = "r1", **behaviour: object
    ) -> upstream.Upstream:
        stand_in = upstream.Upstream(
            name, upstream.Behaviour(**{"work_ms": 1.0, **behaviour})
        )
        server = web.Server(
            stand_in.handle, handler_cancellation=True, access_log=None
        )
        loop = asyncio.get_running_loop()
        port = fleet.free_port()
        listener = await loop.create_server(server, "127.0.0.1", port)
        self.servers.append((server, listener))
        self.announce(name, f"127.0.0.1:{port}", region, stand_in)
        return stand_in

    def announce(self, name, address, region, stand_in=None, **changes):
        record = messages.Upstream(
            "/teams/t/services/svc",
            name,
            changes.get("incarnation", 1),
            changes.get("beat", 1),
            changes.get("state", "serving"),
            address,
            region,
            "d1" if region == "r1" else "d2",
            stand_in.behaviour.slots if stand_in else 3,
            100,
            0.0,
            60_000,
        )
        local_vm = self.daemon.vm
        local_vm.directory.merge_upstream(record, local_vm.now())
        local_vm.refresh_pools()

    def make_stale(self) -> None:
        """Makes the settings stale, as a partition from the leader would."""
        local_vm = self.daemon.vm
        local_vm.replica_runner.confirmed_at = lambda: None
        local_vm.freshness.as_of = local_vm.now() - 60
        local_vm._fresh_until = 0.0

    def request(self, method="GET", path="/x", key=None, **extra):
        headers = {"Host": HOST, **extra.pop("headers", {})}
        if key != "":
            headers["Authorization"] = f"Bearer {key or self.key}"
        url = f"http://{self.caller}{path}"
        return self.session.request(method, url, headers=headers, **extra)

    async def raw(self, data: bytes) -> bytes:
        """Sends bytes as given and returns the start of the response.

        Reads once, up to 64 KiB. Raises TimeoutError after 3 s without data.
        """
        host, port = flags.split_address(self.caller)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        try:
            async with asyncio.timeout(3):
                return await reader.read(65536)
        finally:
            writer.close()

    async def until(self, condition, seconds: float = 10.0) -> None:
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, "condition not met in time"
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        await self.session.close()
        for server, listener in self.servers:
            listener.close()
            await server.shutdown(0.1)
        with contextlib.suppress(asyncio.CancelledError):
            await self.daemon.stop()


@contextlib.asynccontextmanager
async def running(folder: pathlib.Path):
    bench = Bench(folder)
    try:
        await bench.start()
        yield bench
    finally:
        await bench.close()
