"""HTTP server: idle and busy connections at a planned stop."""

import asyncio

import pytest
from aiohttp import web

from pollenseam import httpserver

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Site:
    """A server whose answers wait for an event."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.started = asyncio.Event()
        self.server = httpserver.HttpServer(self.answer, 10.0, 8192, 100)

    async def answer(self, request):
        self.started.set()
        await self.may_answer.wait()
        return web.Response(text="x" * 100_000)

    async def connect(self):
        address = self.server.listener.sockets[0].getsockname()
        return await asyncio.open_connection(*address)


@pytest.fixture
async def site():
    running = Site()
    await running.server.listen("127.0.0.1", 0)
    yield running
    running.may_answer.set()
    await running.server.close(1.0)


async def read_answer(reader):
    await reader.readuntil(b"\r\n\r\n")
    return await reader.readexactly(100_000)


async def test_a_stop_closes_idle_connections_and_finishes_busy_ones(site):
    """Guards against a request that a stopping server reads and cuts off."""
    async with asyncio.timeout(10):
        unused_reader, _ = await site.connect()
        idle_reader, idle_writer = await site.connect()
        site.may_answer.set()
        idle_writer.write(REQUEST)
        await read_answer(idle_reader)
        site.may_answer.clear()
        site.started.clear()
        busy_reader, busy_writer = await site.connect()
        busy_writer.write(REQUEST)
        await site.started.wait()
        site.server.stop_accepting()
        assert await unused_reader.read() == b""
        assert await idle_reader.read() == b""
        busy_writer.write(REQUEST)
        site.may_answer.set()
        assert len(await read_answer(busy_reader)) == 100_000
        assert await busy_reader.read() == b""


async def test_a_caller_that_leaves_does_not_keep_its_connection_busy(site):
    async with asyncio.timeout(10):
        _, writer = await site.connect()
        writer.write(REQUEST)
        await site.started.wait()
        writer.close()
        await writer.wait_closed()
        while site.server._busy:
            await asyncio.sleep(0.01)
