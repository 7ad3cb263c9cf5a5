"""HTTP server whose planned stop answers every request that has arrived."""

import asyncio
import select
import socket
import ssl
import weakref
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

from pollenseam import headerbytes

BACKLOG = 1024
# Interval at which a stopping server looks for idle connections.
SWEEP_SECONDS = 0.02
# A stopping server waits this long for the first request on a new connection,
# its TLS handshake included, and for the rest of a head.
FIRST_REQUEST_SECONDS = 1.0
HEAD_SECONDS = 3.0
# Time within which a caller must take note of the close of a TLS connection.
TLS_CLOSE_SECONDS = 1.0
# Turns of the event loop within which an accepted connection is known.
ACCEPT_TURNS = 4
# Time for cancelled handlers to end.
CANCEL_SECONDS = 0.05

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Request(web.BaseRequest):
    """A request, whose response may have to close its connection."""

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after the response."""
        connection = self.protocol
        assert isinstance(connection, Connection)
        is_last = connection.server.closes_connections
        return not (is_last or self._message.should_close)


def _make_request(
    message: Any,
    payload: Any,
    protocol: Any,
    writer: Any,
    task: "asyncio.Task[None]",
) -> Request:
    loop = asyncio.get_running_loop()
    return Request(message, payload, protocol, writer, task, loop)


class Connection(web.RequestHandler):
    """A caller's connection, and whether a request is arriving on it.

    Attributes:
        server: The server that accepted the connection.
        head_deadline: Time, in seconds of the event loop, until which the head
            of a request is expected or the rest of one that is arriving.
    """

    __slots__ = ("server", "head_deadline", "__weakref__")

    def __init__(self, server: "HttpServer", **options: Any) -> None:
        super().__init__(server.web_server, **options)
        self.server = server
        self.head_deadline = _time() + FIRST_REQUEST_SECONDS

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to handle requests."""
        super().connection_made(transport)
        self.head_deadline = _time() + FIRST_REQUEST_SECONDS
        self.server.record_made(self)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        super().data_received(data)
        if data:
            is_partial = self._is_waiting
            self.head_deadline = _time() + HEAD_SECONDS if is_partial else 0.0

    @property
    def _is_waiting(self) -> bool:
        """Whether aiohttp waits for the next head.

        It does not from the moment at which a head has been read until its
        response is written.
        """
        return self._waiter is not None and not self._waiter.done()

    def is_idle(self, now: float) -> bool:
        """Returns whether no request is in progress, arriving or expected."""
        return self._is_waiting and now >= self.head_deadline

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes, or an end of file, have arrived unread."""
        transport = self.transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is None or sock.fileno() < 0:
            # The end of the connection is about to be reported.
            return True
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    def close_idle(self) -> None:
        """Closes the connection, on which no request is in progress."""
        transport = self.transport
        self.force_close()
        if transport is not None and self.server.tls is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(TLS_CLOSE_SECONDS, _abort_if_sent, transport)


def _abort_if_sent(transport: asyncio.Transport) -> None:
    if transport.get_write_buffer_size() == 0:
        transport.abort()


class HttpServer:
    """An HTTP server on one address.

    Attributes:
        web_server: Runs the handler.
        listener: Accepts connections, or None before `listen`.
        tls: TLS settings, or None for plain text.
        closes_connections: Whether responses close their connections.
        is_closed: Whether no further request is accepted.
    """

    def __init__(
        self,
        handler: Handler,
        idle_seconds: float,
        max_field_bytes: int,
        max_headers: int,
    ) -> None:
        """Creates a server that doesn't listen yet.

        Args:
            handler: Answers one request; cancelled if the client disconnects.
            idle_seconds: Time after which an idle connection is closed.
            max_field_bytes: Maximum size of the request line and of a header.
            max_headers: Maximum number of headers.
        """
        headerbytes.install()
        self.web_server = web.Server(
            handler,
            request_factory=_make_request,
            handler_cancellation=True,
        )
        self.listener: asyncio.Server | None = None
        self.tls: ssl.SSLContext | None = None
        self.closes_connections = False
        self.is_closed = False
        self._options: dict[str, Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": idle_seconds,
            "max_line_size": max_field_bytes,
            "max_field_size": max_field_bytes,
            "max_headers": max_headers,
        }
        self._socket: socket.socket | None = None
        # Weak references, as a failed TLS handshake is not reported.
        self._opening: weakref.WeakSet[Connection] = weakref.WeakSet()
        self._accepting: set[asyncio.Task[Any]] = set()
        self._sweeping: asyncio.Task[None] | None = None

    async def listen(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Starts to accept connections.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self.tls = tls
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, port), family=family, backlog=BACKLOG
        )
        self._socket.setblocking(False)
        self.listener = await loop.create_server(
            self._make_connection,
            sock=self._socket,
            backlog=BACKLOG,
            ssl=tls,
        )

    def _make_connection(self) -> Connection:
        loop = asyncio.get_running_loop()
        connection = Connection(self, loop=loop, **self._options)
        self._opening.add(connection)
        return connection

    def record_made(self, connection: Connection) -> None:
        """Records that a connection can be used."""
        self._opening.discard(connection)
        if self.is_closed:
            connection.force_close()

    def stop_accepting(self) -> tuple[int, int]:
        """Accepts no more connections, and closes those that are idle.

        The others are closed once they are idle. That includes connections
        that wait to be accepted, and those on which a request is arriving.

        Returns:
            The number of connections that were closed, and of the others.
        """
        self.closes_connections = True
        if self._sweeping is None:
            self._accept_pending()
            if self.listener is not None:
                self.listener.close()
            self._sweeping = asyncio.create_task(self._sweep())
        closed = self._close_idle()
        return closed, len(self.web_server.connections) - closed

    def _accept_pending(self) -> None:
        """Accepts connections that the kernel would reset otherwise."""
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                message = "cannot accept a connection"
                loop.call_exception_handler(
                    {"message": message, "exception": error}
                )
                return
            accepted.setblocking(False)
            making = loop.connect_accepted_socket(
                self._make_connection, accepted, ssl=self.tls
            )
            task = asyncio.create_task(making)
            self._accepting.add(task)
            task.add_done_callback(self._finish_accept)

    def _finish_accept(self, task: asyncio.Task[Any]) -> None:
        self._accepting.discard(task)
        if not task.cancelled():
            # Marks a failed TLS handshake as known; it concerns only its
            # caller, and asyncio does not log those of other connections.
            task.exception()

    async def _sweep(self) -> None:
        """Closes connections as they become idle; returns once none is left."""
        while await self._has_connections():
            self._close_idle()
            await asyncio.sleep(SWEEP_SECONDS)

    async def _has_connections(self) -> bool:
        for _ in range(ACCEPT_TURNS):
            now = _time()
            is_opening = any(c.head_deadline > now for c in self._opening)
            if self.web_server.connections or is_opening:
                return True
            await asyncio.sleep(0)
        return False

    def _close_idle(self) -> int:
        now = _time()
        closed = 0
        for connection in self.web_server.connections:
            assert isinstance(connection, Connection)
            if connection.is_idle(now) and not connection.has_unread_bytes():
                connection.close_idle()
                closed += 1
        return closed

    async def close(self, grace_seconds: float) -> int:
        """Stops accepting, and closes all connections.

        Returns as soon as all are closed. A connection is closed once it is
        idle and its last response has left this process.

        Args:
            grace_seconds: Time after which requests in progress are cancelled
                and their connections closed.

        Returns:
            The number of connections that were closed while in use.
        """
        self.stop_accepting()
        assert self._sweeping is not None
        await asyncio.wait({self._sweeping}, timeout=grace_seconds)
        self._sweeping.cancel()
        self.is_closed = True
        for task in self._accepting:
            task.cancel()
        cut = len(self.web_server.connections)
        await self.web_server.shutdown(CANCEL_SECONDS)
        return cut


def _time() -> float:
    return asyncio.get_running_loop().time()
