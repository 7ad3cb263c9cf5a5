"""Upstreams receive the target of a request byte for byte."""

import asyncio

import harness
import machines
import pytest
from aiohttp import web

from pollenseam import sessions
from pollenseam import targets
from pollenseam.standins import fleet

# What follows the prefix of a route.
TARGETS = [
    "",
    "?",
    "??",
    "?b=",
    "?=",
    "?&",
    "?b",
    "?b=c?d",
    "?x=%zz",
    "?x=%",
    "?x=a+b%20c",
    "?x=/../y",
    "/",
    "//",
    "//x",
    "//x?",
    "/%2f",
    "/%2F?%2F",
    "/%3f",
    "/%3F?",
    "/%41%7e~",
    "/a;b",
    "/a;b=c?;",
    "/a:b@c",
    "/a=b&c",
    "/!$'()*+,",
    "/[x]{y}|^`",
    "#",
    "#x",
    "?#",
    "?x#y?",
]


@pytest.mark.parametrize("rest", TARGETS)
def test_a_url_sends_its_target_unchanged(rest):
    for target in ("/a" + rest, "/" + rest):
        url = targets.url("127.0.0.1:81", target)
        assert url.raw_path_qs == target
        assert (url.host, url.port, url.scheme) == ("127.0.0.1", 81, "http")
        assert not url.raw_fragment
    assert targets.url("[::1]:81", "/a").host == "::1"


async def test_a_session_sends_all_targets_on_one_connection():
    """Guards against a pool that takes each target for another upstream."""
    received = []
    connections = []

    async def serve(reader, writer):
        connections.append(writer)
        while head := await reader.readuntil(b"\r\n\r\n"):
            received.append(head.split(b" ")[1].decode())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = sessions.open_session()
    for rest in TARGETS:
        url = targets.url(f"127.0.0.1:{port}", "/a" + rest)
        async with session.get(url) as response:
            await response.read()
    await session.close()
    server.close()
    assert received == ["/a" + rest for rest in TARGETS]
    assert len(connections) == 1


async def ask(ip, port, target, *header_lines):
    """Sends a request as it is; returns the status of the answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    lines = [f"GET {target} HTTP/1.1", *header_lines, "Connection: close"]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    async with asyncio.timeout(10.0):
        head = await reader.readuntil(b"\r\n")
    writer.close()
    return int(head.split()[1])


async def test_entry_vms_pass_all_targets_on_unchanged(tmp_path):
    async with machines.running_cluster(tmp_path) as cluster:
        server = await cluster.add_server("i-1")

        async def is_served():
            return (await cluster.request())[0] == 200

        await cluster.wait_until(is_served)
        server.arrived_targets.clear()
        expected = ["/a/1" + rest for rest in TARGETS]
        async with cluster.sending_heartbeats():
            for number, target in enumerate(expected):
                status = await ask(
                    cluster.entry_vms[0].ip,
                    7104,
                    target,
                    f"Host: {machines.HOST}",
                    f"X-Request-Id: t{number}",
                    "X-Deadline-Ms: 3000",
                    "Authorization: Bearer k1",
                )
                assert status == 200, target
        assert server.arrived_targets == expected


async def test_daemons_pass_all_targets_on_unchanged(tmp_path):
    received = []

    async def handle(request):
        received.append(request.raw_path)
        return web.Response()

    server = web.Server(handle, access_log=None)
    port = fleet.free_port()
    expected = ["/x" + rest for rest in TARGETS]
    async with harness.running(tmp_path) as bench:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", port)
        bench.servers.append((server, listener))
        bench.announce("u1", f"127.0.0.1:{port}", "r1")
        ip, _, caller_port = bench.caller.rpartition(":")
        for target in expected:
            status = await ask(
                ip,
                int(caller_port),
                target,
                f"Host: {harness.HOST}",
                f"Authorization: Bearer {bench.key}",
            )
            assert status == 200, target
    assert received == expected
