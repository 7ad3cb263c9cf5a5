"""A cluster whose entry VMs can be cut off from upstreams, for tests.

Connects are cut in the entry programs (`cutprogram`). Established connections
go through a proxy in front of each stub upstream, which knows the entry VM by
its source address.
"""

import asyncio
import contextlib
import os
import pathlib

import machines

CHUNK_BYTES = 64 * 1024
UPSTREAM_HOST = "250"


class CutProxy:
    """Passes bytes between entry VMs and one stub upstream.

    Attributes:
        target: Address of the stub upstream.
        address: Address of the proxy.
        hanging: Source addresses whose bytes are held up.
        connections: Writers of the connections, by source address.
        accepted: Number of accepted connections, by source address.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.hanging = set()
        self.connections = {}
        self.accepted = {}
        self.released = asyncio.Event()
        self.server = None
        self.tasks = set()

    async def start(self):
        host, _, _ = self.target.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        # The event loop logs a task of a server that ends as cancelled.
        with contextlib.suppress(asyncio.CancelledError):
            await self.pass_on(reader, writer)
        writer.transport.abort()

    async def pass_on(self, reader, writer):
        source = writer.get_extra_info("peername")[0]
        host, _, port = self.target.rpartition(":")
        self.accepted[source] = self.accepted.get(source, 0) + 1
        try:
            up_reader, up_writer = await asyncio.open_connection(host, port)
        except OSError:
            return
        pair = (writer, up_writer)
        self.connections.setdefault(source, set()).add(pair)
        try:
            await asyncio.gather(
                self.copy(source, reader, up_writer),
                self.copy(source, up_reader, writer),
            )
        finally:
            self.connections[source].discard(pair)
            up_writer.transport.abort()

    async def copy(self, source, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                while source in self.hanging:
                    await self.released.wait()
                writer.write(data)
                await writer.drain()
        # Ends of connections are held up as well.
        while source in self.hanging:
            await self.released.wait()
        writer.close()

    def hang(self, source):
        self.hanging.add(source)

    def reset(self, source):
        for pair in list(self.connections.get(source, ())):
            for writer in pair:
                writer.transport.abort()

    def release(self, source):
        self.hanging.discard(source)
        self.released.set()
        self.released.clear()

    async def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class CutServer(machines.StubServer):
    """A stub upstream behind a proxy."""

    async def start(self):
        await super().start()
        self.proxy = CutProxy(self.address)
        await self.proxy.start()
        self.address = self.proxy.address


class CutCluster(machines.Cluster):
    """A cluster in which entry VMs can lose their ways to upstreams."""

    def create_server(self, id, **options):
        return CutServer(self, id, **options)

    async def start(self, control_count=3, entry_count=3):
        self.control_files = {}
        await super().start(control_count, 0)
        await self.add_entry_vms(entry_count)

    async def add_entry_vms(self, count):
        zones = list(machines.ZONES)
        for n in range(count):
            zone = zones[n % len(zones)]
            machine = machines.Machine(
                self, f"entry-{n}", "entry", n + 101, zone
            )
            control_file = machine.folder / "cuts"
            control_file.write_text("")
            machine.program = pathlib.Path(__file__).parent / "cutprogram.py"
            folders = [str(machines.ROOT / "platform")]
            folders += os.environ.get("PYTHONPATH", "").split(os.pathsep)
            machine.environment = {
                "CUT_FILE": str(control_file),
                "SOURCE_IP": machine.ip,
                "CONTROL_IPS": " ".join(self.seeds),
                "UPSTREAM_IP": f"{self.address_prefix}.{UPSTREAM_HOST}",
                "PYTHONPATH": os.pathsep.join(filter(None, folders)),
            }
            self.control_files[machine.name] = control_file
            self.entry_vms.append(machine)
            await machine.start()

    def cut(self, entry_index, connects, kept, servers=None):
        """Cuts an entry VM off.

        Args:
            entry_index: Index of the entry VM.
            connects: What new connections do: "refuse", "reset" or "hang".
            kept: What kept connections do: "live", "reset" or "hang"; "none"
                if there are none.
            servers: Servers it is cut off from; all by default.
        """
        machine = self.entry_vms[entry_index]
        targets = "*"
        if servers is not None:
            targets = ",".join(server.address for server in servers)
        self.control_files[machine.name].write_text(f"{connects} {targets}\n")
        for server in servers or self.servers:
            if kept == "hang":
                server.proxy.hang(machine.ip)
            elif kept == "reset":
                server.proxy.reset(machine.ip)

    def cut_from_control(self, entry_index):
        """Cuts an entry VM off from all control VMs as well."""
        file = self.control_files[self.entry_vms[entry_index].name]
        file.write_text(file.read_text() + "hang CONTROL\n")

    def heal(self, entry_index):
        machine = self.entry_vms[entry_index]
        self.control_files[machine.name].write_text("")
        for server in self.servers:
            server.proxy.release(machine.ip)

    async def stop(self):
        await super().stop()
        for server in self.servers:
            await server.proxy.stop()


@contextlib.asynccontextmanager
async def running_cluster(folder, server_count=4, entry_count=3):
    """Yields a cluster whose entry VMs all serve, with heartbeats."""
    cluster = CutCluster(folder)
    try:
        await cluster.start(entry_count=entry_count)
        await cluster.wait_until(
            lambda: cluster.has_status_200(cluster.patch())
        )
        for n in range(server_count):
            zone = list(machines.ZONES)[n % len(machines.ZONES)]
            await cluster.add_server(f"i-{n}", zone=zone)
        async with cluster.sending_heartbeats():
            for n in range(entry_count):
                await cluster.wait_until(lambda n=n: is_served(cluster, n))
            yield cluster
    finally:
        await cluster.stop()


async def is_served(cluster, entry_index):
    return (await cluster.request(entry_index=entry_index))[0] == 200


def runs_by_id(cluster):
    """Returns how often each request was run, by its id."""
    counts = {}
    for server in cluster.servers:
        for _, _, headers in server.received_requests:
            id = headers["X-Request-Id"]
            counts[id] = counts.get(id, 0) + 1
    return counts
