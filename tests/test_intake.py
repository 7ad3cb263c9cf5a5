"""Callers that are refused, or closed, for lack of room."""

import asyncio

import pytest
from aiohttp import web

from pollenseam import bodies
from pollenseam import errors
from pollenseam import events
from pollenseam import httpserver
from pollenseam import intake

MAX_HELD_BYTES = 1_000_000
BODY_BYTES = 700_000


class Server:
    """An HTTP server with a small budget, and the bodies that it served."""

    def __init__(self, max_connections=100):
        self.intake = intake.Intake(MAX_HELD_BYTES, max_connections)
        self.server = httpserver.HttpServer(
            self.answer, 10.0, 8192, 100, self.intake
        )
        self.bodies = []
        self.writers = []

    async def answer(self, request):
        try:
            body = await bodies.read(request, 10 * BODY_BYTES)
        except errors.RefusedError as error:
            answer = errors.ANSWERS[error.refusal.kind]
            return web.Response(status=answer.status)
        self.bodies.append(len(body))
        return web.Response(text="done")

    async def open(self):
        host, port = self.server.listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        self.writers.append(writer)
        return reader, writer

    async def begin(self, sent_bytes):
        reader, writer = await self.open()
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}"
        writer.write(head.encode() + b"\r\n\r\n" + b"x" * sent_bytes)
        await writer.drain()
        return reader, writer

    async def wait_held(self, size):
        async with asyncio.timeout(10):
            while self.intake.budget.total_bytes < size:
                await asyncio.sleep(0.01)


@pytest.fixture
async def server():
    running = Server()
    await running.server.listen("127.0.0.1", 0)
    yield running
    for writer in running.writers:
        writer.close()
    await running.server.close(0.1)


async def read_head(reader):
    async with asyncio.timeout(10):
        return await reader.readuntil(b"\r\n\r\n")


async def test_a_body_without_room_is_refused_and_its_connection_closed(server):
    first, first_writer = await server.begin(500_000)
    await server.wait_held(500_000)
    second, second_writer = await server.begin(BODY_BYTES - 1)
    head = await read_head(second)
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"Connection: close" in head
    # What comes after the refusal is dropped; it doesn't reset the answer.
    second_writer.write(b"x")
    async with asyncio.timeout(10):
        await second.read()
    first_writer.write(b"x" * (BODY_BYTES - 500_000))
    assert (await read_head(first)).startswith(b"HTTP/1.1 200 ")
    assert server.bodies == [BODY_BYTES]


async def test_nothing_is_counted_after_the_answers(server):
    for _ in range(3):
        reader, _ = await server.begin(BODY_BYTES)
        assert (await read_head(reader)).startswith(b"HTTP/1.1 200 ")
    async with asyncio.timeout(10):
        while server.intake.budget.total_bytes:
            await asyncio.sleep(0.01)
    assert not server.intake.budget.holders
    assert not server.intake.budget.bytes_by_address


async def test_a_caller_that_leaves_gives_its_bytes_back(server):
    _, writer = await server.begin(500_000)
    await server.wait_held(500_000)
    writer.transport.abort()
    async with asyncio.timeout(10):
        while server.intake.budget.total_bytes:
            await asyncio.sleep(0.01)


async def test_the_longest_idle_connection_is_closed_for_a_new_one():
    running = Server(max_connections=2)
    await running.server.listen("127.0.0.1", 0)
    oldest, _ = await running.open()
    await asyncio.sleep(0.05)
    await running.open()
    await asyncio.sleep(0.05)
    reader, writer = await running.open()
    async with asyncio.timeout(10):
        assert await oldest.read() == b""
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert (await read_head(reader)).startswith(b"HTTP/1.1 200 ")
    assert running.intake.ended.counts == {("descriptors",): 1}
    for open_writer in running.writers:
        open_writer.close()
    await running.server.close(0.1)


def test_limits_come_from_the_machine():
    log = events.open_log("e1")
    smallest = intake.create(152e6, 1535, log)
    assert smallest.budget.max_bytes > 64 * 2**20
    assert smallest.max_connections == 801
    unstated = intake.create(0.0, 0.0, log)
    assert unstated.budget.max_bytes == 138_000_000
