"""HTTP server: idle and busy connections at a planned stop."""

import asyncio
import contextlib
import socket
import ssl
import time

import pytest
import trustme
from aiohttp import web

from pollenseam import httpserver

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Site:
    """A server whose answers wait for an event."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.started = asyncio.Event()
        self.reads_body = False
        self.answer_bytes = 100_000
        self.cancelled = 0
        self.server = httpserver.HttpServer(self.answer, 10.0, 8192, 100)

    async def answer(self, request):
        self.started.set()
        try:
            await self.may_answer.wait()
            if self.reads_body:
                await request.read()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return web.Response(text="x" * self.answer_bytes)

    @property
    def address(self):
        return self.server.listener.sockets[0].getsockname()

    async def connect(self):
        return await asyncio.open_connection(*self.address)


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
        while site.server.web_server.connections:
            await asyncio.sleep(0.01)


class HeldUpCaller:
    """A caller whose bytes arrive while the server's event loop is held up."""

    def __init__(self, site):
        self.site = site
        self.socket = socket.create_connection(site.address)
        self.socket.setblocking(False)

    def send(self, data):
        """Sends bytes at once, without a turn of the event loop."""
        self.socket.sendall(data)

    async def read_to_end(self):
        """Returns all that the server sends until it ends the connection."""
        reader, writer = await asyncio.open_connection(sock=self.socket)
        try:
            return await reader.read()
        finally:
            writer.close()


async def held_up_callers(site, count):
    """Returns callers with a kept connection that has been answered once."""
    site.may_answer.set()
    loop = asyncio.get_running_loop()
    callers = []
    for _ in range(count):
        caller = HeldUpCaller(site)
        caller.send(REQUEST)
        received = b""
        while not received.endswith(b"x" * 100_000):
            received += await loop.sock_recv(caller.socket, 200_000)
        callers.append(caller)
    return callers


async def test_a_request_that_was_read_at_a_stop_is_answered(site):
    """Guards against a read request whose handler begins after the close.

    The turn of the event loop in which the request is read also ends the wait
    of the task that stops the server.
    """
    async with asyncio.timeout(20):
        callers = await held_up_callers(site, 5)

        def hold_up():
            for caller in callers:
                caller.send(REQUEST)
            time.sleep(0.03)

        asyncio.get_running_loop().call_soon(hold_up)
        await asyncio.sleep(0.01)
        await site.server.close(5.0)
        for caller in callers:
            assert (await caller.read_to_end()).endswith(b"x" * 100_000)
        assert site.cancelled == 0


async def test_a_request_that_has_arrived_unread_at_a_stop_is_answered(site):
    """Guards against the close of a connection that has bytes to be read."""
    async with asyncio.timeout(20):
        callers = await held_up_callers(site, 5)
        for caller in callers:
            caller.send(REQUEST)
        await site.server.close(5.0)
        for caller in callers:
            assert (await caller.read_to_end()).endswith(b"x" * 100_000)


async def test_a_connection_not_accepted_yet_at_a_stop_is_answered(site):
    """Guards against a reset of connections that wait to be accepted."""
    site.may_answer.set()
    async with asyncio.timeout(20):
        callers = [HeldUpCaller(site) for _ in range(5)]
        for caller in callers:
            caller.send(REQUEST)
        await site.server.close(5.0)
        for caller in callers:
            assert (await caller.read_to_end()).endswith(b"x" * 100_000)


async def test_a_request_whose_rest_arrives_after_a_stop_is_answered(site):
    """Guards against the close of a connection while a request arrives."""
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc"
    site.reads_body = True
    async with asyncio.timeout(20):
        callers = await held_up_callers(site, 2)
        callers[0].send(head)
        callers[1].send(head[:30])
        await asyncio.sleep(0.1)
        closing = asyncio.create_task(site.server.close(5.0))
        await asyncio.sleep(0.1)
        callers[0].send(b"def")
        callers[1].send(head[30:] + b"def")
        for caller in callers:
            assert (await caller.read_to_end()).endswith(b"x" * 100_000)
        await closing


async def test_a_stop_lasts_until_slow_callers_have_the_whole_answer(site):
    """Guards against an exit with parts of an answer in the send buffer."""
    site.may_answer.set()
    site.answer_bytes = 8_000_000
    async with asyncio.timeout(20):
        caller = HeldUpCaller(site)
        caller.send(REQUEST)
        await site.started.wait()
        closing = asyncio.create_task(site.server.close(10.0))
        await asyncio.sleep(0.3)
        assert not closing.done()
        assert (await caller.read_to_end()).endswith(b"x" * 8_000_000)
        await closing


async def test_a_stop_ends_in_time_whatever_callers_do(site):
    """A caller that never completes a request, and one never answered."""
    async with asyncio.timeout(20):
        [slow] = await held_up_callers(site, 1)
        site.may_answer.clear()
        slow.send(b"GET / HT")
        waiting = HeldUpCaller(site)
        waiting.send(REQUEST)
        site.started.clear()
        await site.started.wait()
        assert await site.server.close(0.3) == 2
        assert await slow.read_to_end() == b""
        assert await waiting.read_to_end() == b""


async def test_a_new_connection_may_send_its_first_request(site):
    """Guards against a close between a connect and the request after it."""
    site.may_answer.set()
    async with asyncio.timeout(20):
        reader, writer = await site.connect()
        while not site.server.web_server.connections:
            await asyncio.sleep(0.01)
        closing = asyncio.create_task(site.server.close(5.0))
        await asyncio.sleep(0.05)
        writer.write(REQUEST)
        assert (await reader.read()).endswith(b"x" * 100_000)
        await closing


async def test_a_stop_tells_how_many_connections_are_idle(site):
    async with asyncio.timeout(20):
        callers = await held_up_callers(site, 3)
        site.may_answer.clear()
        site.started.clear()
        busy = HeldUpCaller(site)
        busy.send(REQUEST)
        await site.started.wait()
        assert site.server.stop_accepting() == (3, 1)
        site.may_answer.set()
        assert await site.server.close(5.0) == 0
        for caller in [*callers, busy]:
            caller.socket.close()


@pytest.mark.parametrize("kind", ["whole", "streamed", "raised"])
async def test_every_kind_of_answer_closes_its_connection(kind):
    """Guards against callers that are not told before a stop."""

    async def answer(request):
        if kind == "raised":
            raise web.HTTPNotFound
        if kind == "whole":
            return web.Response(text="x")
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"x")
        return response

    server = httpserver.HttpServer(answer, 10.0, 8192, 100)
    await server.listen("127.0.0.1", 0)
    server.closes_connections = True
    address = server.listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(REQUEST)
    async with asyncio.timeout(10):
        assert b"connection: close" in (await reader.read()).lower()
    writer.close()
    await server.close(1.0)


class TlsSite(Site):
    """A server with TLS."""

    def __init__(self):
        super().__init__()
        self.may_answer.set()
        self.authority = trustme.CA()
        self.context = ssl.create_default_context()
        self.authority.configure_trust(self.context)

    async def start(self):
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.authority.issue_cert("127.0.0.1").configure_cert(context)
        await self.server.listen("127.0.0.1", 0, context)

    async def connect(self):
        """Returns the streams of a connection that has been answered once."""
        reader, writer = await asyncio.open_connection(
            *self.address, ssl=self.context
        )
        writer.write(REQUEST)
        await read_answer(reader)
        return reader, writer

    async def connect_socket(self):
        """Returns the socket of a connection that has been answered once."""

        def connect():
            plain = socket.create_connection(self.address)
            sock = self.context.wrap_socket(plain, server_hostname="127.0.0.1")
            sock.sendall(REQUEST)
            received = b""
            while not received.endswith(b"x" * 100_000):
                received += sock.recv(200_000)
            return sock

        return await asyncio.to_thread(connect)


@pytest.fixture
async def tls_site():
    running = TlsSite()
    await running.start()
    yield running
    await running.server.close(1.0)


async def test_callers_that_disconnect_do_not_disturb_a_stop_with_tls(tls_site):
    """Guards against a stop that fails, and cuts requests in progress.

    The connection of a caller is lost in the turn of the event loop in which
    the server stops.
    """
    async with asyncio.timeout(20):
        gone = [await tls_site.connect_socket() for _ in range(5)]
        reader, writer = await tls_site.connect()
        tls_site.may_answer.clear()
        tls_site.started.clear()
        writer.write(REQUEST)
        await tls_site.started.wait()

        def hold_up():
            for sock in gone:
                sock.close()
            time.sleep(0.03)

        asyncio.get_running_loop().call_soon(hold_up)
        await asyncio.sleep(0.01)
        tls_site.server.stop_accepting()
        closing = asyncio.create_task(tls_site.server.close(5.0))
        await asyncio.sleep(0.1)
        tls_site.may_answer.set()
        await read_answer(reader)
        await closing
        writer.close()


async def test_idle_callers_that_do_not_read_do_not_hold_up_a_stop(tls_site):
    """Guards against a stop that waits for the close of an idle TLS caller."""
    async with asyncio.timeout(20):
        _, writer = await tls_site.connect()
        writer.transport.pause_reading()
        assert await tls_site.server.close(15.0) == 0
        writer.transport.abort()


async def test_a_handshake_in_progress_is_completed_or_comes_to_nothing(
    tls_site,
):
    """Guards against a handler that begins after the server has closed."""
    async with asyncio.timeout(20):
        in_time = await asyncio.open_connection(*tls_site.address)
        too_late = await asyncio.open_connection(*tls_site.address)
        await asyncio.sleep(0.1)
        closing = asyncio.create_task(tls_site.server.close(5.0))
        reader, writer = in_time
        await writer.start_tls(tls_site.context, server_hostname="127.0.0.1")
        writer.write(REQUEST)
        await read_answer(reader)
        await closing
        tls_site.started.clear()
        reader, writer = too_late
        with contextlib.suppress(OSError):
            await writer.start_tls(
                tls_site.context, server_hostname="127.0.0.1"
            )
            writer.write(REQUEST)
            assert await reader.read() == b""
        assert not tls_site.started.is_set()
