"""Crowds of callers and upstreams that would take the memory of a process.

The bounds are those that the settings of the test state for the machine. The
processes are the system's own; one crowd runs at a time.
"""

import asyncio

import crowds
import machines
import pytest
import test_fleet

from pollenseam.standins import fleet

pytestmark = pytest.mark.xdist_group("crowds")

MEMORY_MB = 152
MAX_FDS = 600
# Of the descriptors, 200 are reserved for files.
MAX_SOCKETS = MAX_FDS - 200
BODY_BYTES = 16 * 1024 * 1024
REPLY_BYTES = 8 * 1024 * 1024
CONTROL_BODY_BYTES = 4 * 1024 * 1024
LARGEST_BODY_BYTES = 64 * 1024 * 1024
ENTRY_PORT = 7104
CONTROL_PORT = 7101
CROWD = 16
REPLY_CROWD = 32
CONTROL_CROWD = 64
CONNECTION_CROWD = 700
# The daemon is told no limits; these are those of a machine of 300 MB.
DAEMON_MEMORY_MB = 300
DAEMON_MAX_SOCKETS = 3900
DAEMON_CROWD = 32
DAEMON_SETTINGS = test_fleet.SETTINGS + f"""
[[teams.t.services.svc.routes]]
host = "svc.example"
prefix = "/once"
access = "open"
at_most_once = "optional"
[teams.t.services.svc.defaults]
timeout_ms = 20000
max_body_bytes = {BODY_BYTES}
"""


def add_limits(machine):
    """Makes a VM's settings state the limits of the machine."""
    write_settings = machine.write_settings

    def write_with_limits():
        write_settings()
        with (machine.folder / "settings").open("a") as file:
            file.write(f"limits.memory_mb={MEMORY_MB}\n")
            file.write(f"limits.max_fds={MAX_FDS}\n")

    machine.write_settings = write_with_limits


async def change_limits(cluster, max_body_bytes, version=2):
    patch = machines.initial_patch(version, timeout_s=20.0)
    patch["upsert"]["limits"]["max_body_bytes"] = max_body_bytes
    assert (await cluster.rpc("config.patch", body=patch))[0] == 200


@pytest.fixture
async def cluster(tmp_path):
    async with crowds.alone():
        async with machines.running_cluster(
            tmp_path, prepare=add_limits
        ) as running:
            await change_limits(running, BODY_BYTES)
            yield running


async def add_upstream(cluster):
    server = crowds.Flood(cluster, "i-1")
    await server.start()
    cluster.servers.append(server)
    await cluster.wait_until(
        lambda: cluster.has_status_200(server.send_heartbeat())
    )
    await wait_until_served(cluster)
    return server


async def wait_until_served(cluster):
    async def is_served():
        return (await cluster.request("/a/1"))[0] == 200

    await cluster.wait_until(is_served)


def head(method, path, framing):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {machines.HOST}",
        "X-Request-Id: crowd",
        "X-Deadline-Ms: 20000",
        "Authorization: Bearer k1",
        framing,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def play(cluster, crowd):
    """Plays a crowd against the entry VM; returns the watch."""
    async with cluster.sending_heartbeats():
        await add_upstream(cluster)
        watch = crowds.Watch(cluster.entry_vms[0])
        async with watch.running():
            tasks = [asyncio.create_task(member) for member in crowd]
            await asyncio.sleep(crowds.HOLD_SECONDS / 2)
            await wait_until_served(cluster)
            await asyncio.gather(*tasks)
            await wait_until_served(cluster)
        watch.check(MEMORY_MB, MAX_SOCKETS)


def whole_body():
    yield head("POST", "/b/1", f"Content-Length: {BODY_BYTES}")
    yield from crowds.in_pieces(BODY_BYTES)


def short_body():
    yield head("POST", "/b/1", f"Content-Length: {BODY_BYTES}")
    yield from crowds.in_pieces(BODY_BYTES - 1)


def short_chunks():
    yield head("POST", "/b/1", "Transfer-Encoding: chunked")
    yield from crowds.in_chunks(BODY_BYTES - 1)


@pytest.mark.parametrize("pieces", [whole_body, short_body, short_chunks])
async def test_a_crowd_with_large_bodies_leaves_the_memory_bounded(
    cluster, pieces
):
    """Guards against bodies that are bounded each, but not together."""
    entry_vm = cluster.entry_vms[0]
    crowd = [crowds.send(entry_vm, ENTRY_PORT, pieces()) for _ in range(CROWD)]
    await play(cluster, crowd)


async def test_bodies_behind_a_request_in_progress_leave_the_memory_bounded(
    cluster, monkeypatch
):
    """Guards against bodies that wait, unread, behind other requests."""
    entry_vm = cluster.entry_vms[0]
    monkeypatch.setattr(crowds.Flood, "reply_bytes", 2)
    monkeypatch.setattr(crowds.Flood, "is_short", True)

    def pieces():
        yield head("GET", "/a/large", "Accept: text/plain")
        yield from short_body()

    crowd = [crowds.send(entry_vm, ENTRY_PORT, pieces()) for _ in range(CROWD)]
    await play(cluster, crowd)


@pytest.mark.parametrize("start", [b"", b"GET /a/1 HTTP/1.1\r\nHost: "])
async def test_a_crowd_of_connections_leaves_descriptors(cluster, start):
    """Guards against idle and half-sent connections that take them all."""
    entry_vm = cluster.entry_vms[0]
    crowd = [
        crowds.send(entry_vm, ENTRY_PORT, [start], read=False)
        for _ in range(CONNECTION_CROWD)
    ]
    await play(cluster, crowd)


@pytest.mark.parametrize("is_short", [False, True])
async def test_a_crowd_with_large_replies_leaves_the_memory_bounded(
    cluster, monkeypatch, is_short
):
    """Guards against replies that nobody reads, or that do not end."""
    entry_vm = cluster.entry_vms[0]
    monkeypatch.setattr(crowds.Flood, "reply_bytes", REPLY_BYTES)
    monkeypatch.setattr(crowds.Flood, "is_short", is_short)
    request = head("GET", "/a/large", "Accept: text/plain")
    crowd = [
        crowds.send(entry_vm, ENTRY_PORT, [request], read=False)
        for _ in range(REPLY_CROWD)
    ]
    await play(cluster, crowd)


async def test_a_single_body_at_the_limit_is_served_in_calm(cluster):
    """Guards against copies, for which the smallest machine has no room."""
    await change_limits(cluster, LARGEST_BODY_BYTES, version=3)
    async with cluster.sending_heartbeats():
        await add_upstream(cluster)
        watch = crowds.Watch(cluster.entry_vms[0])
        async with watch.running():
            status, _, _ = await cluster.request(
                "/b/1",
                method="POST",
                data=bytes(LARGEST_BODY_BYTES),
                headers={"X-Deadline-Ms": "20000"},
            )
        assert status == 200
        watch.check(MEMORY_MB, MAX_SOCKETS)


async def test_a_crowd_at_the_control_api_leaves_the_memory_bounded(cluster):
    """Guards against bodies of operators that do not end."""
    control_vm = cluster.control_vms[0]

    def pieces():
        line = b"POST /v1/rpc?call=config.patch HTTP/1.1\r\nHost: control\r\n"
        yield line + f"Content-Length: {CONTROL_BODY_BYTES}\r\n\r\n".encode()
        yield from crowds.in_pieces(CONTROL_BODY_BYTES - 1)

    watch = crowds.Watch(control_vm)
    async with watch.running():
        tasks = [
            asyncio.create_task(crowds.send(control_vm, CONTROL_PORT, pieces()))
            for _ in range(CONTROL_CROWD)
        ]
        await asyncio.sleep(crowds.HOLD_SECONDS / 2)
        await cluster.wait_until(
            lambda: cluster.has_status_200(cluster.rpc("config.get"))
        )
        await asyncio.gather(*tasks)
        await cluster.wait_until(
            lambda: cluster.has_status_200(cluster.rpc("config.get"))
        )
    watch.check(MEMORY_MB, MAX_SOCKETS)


@pytest.fixture
async def daemon(tmp_path):
    async with crowds.alone():
        spec = fleet.VmSpec("v1", "r1", "d1", is_replica=True)
        with fleet.Fleet(tmp_path, [spec]) as running:
            await asyncio.to_thread(running.start_all)
            file = tmp_path / "settings.toml"
            file.write_text(DAEMON_SETTINGS)
            applied = await asyncio.to_thread(
                running.run_tool, "apply", str(file), "--wait"
            )
            assert applied.returncode == 0, applied.stderr
            yield crowds.Daemon(running.daemons["v1"], spec.caller), running


async def test_a_crowd_at_a_daemon_leaves_the_memory_bounded(daemon):
    """Guards against bodies that a daemon buffers, as with a claim."""
    machine, running = daemon

    def pieces():
        line = b"POST /once/1 HTTP/1.1\r\nHost: svc.example\r\n"
        line += b"Idempotency-Key: crowd\r\n"
        yield line + f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        yield from crowds.in_pieces(BODY_BYTES - 1)

    watch = crowds.Watch(machine)
    async with watch.running():
        tasks = [
            asyncio.create_task(crowds.send(machine, machine.port, pieces()))
            for _ in range(DAEMON_CROWD)
        ]
        await asyncio.sleep(crowds.HOLD_SECONDS / 2)
        await asyncio.to_thread(running.wait_serving, "v1")
        await asyncio.gather(*tasks)
        await asyncio.to_thread(running.wait_serving, "v1")
    watch.check(DAEMON_MEMORY_MB, DAEMON_MAX_SOCKETS)
