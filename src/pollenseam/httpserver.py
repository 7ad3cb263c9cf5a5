"""HTTP server whose planned stop answers every request that has arrived."""

import asyncio
import select
import socket
import ssl
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

BACKLOG = 1024
# Interval at which a stopping server looks for idle connections.
SWEEP_SECONDS = 0.02
# A stopping server waits this long for the first request on a new connection
# and for the rest of a request's head.
HEAD_SECONDS = 1.0
# Turns of the event loop within which an accepted connection is made.
ACCEPT_TURNS = 4
# Time for cancelled handlers to end.
CANCEL_SECONDS = 0.05

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Connection(web.RequestHandler):
    """A caller's connection, and whether a request is arriving on it.

    Attributes:
        head_deadline: Time, in seconds of the event loop, until which the head
            of a request is expected or the rest of one that is arriving.
    """

    __slots__ = ("head_deadline",)

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, **options)
        self.head_deadline = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to handle requests."""
        super().connection_made(transport)
        self.head_deadline = _time() + HEAD_SECONDS

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
        if self.transport is None:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))


class HttpServer:
    """An HTTP server on one address.

    Attributes:
        handler: Answers one request.
        web_server: Runs the handler.
        listener: Accepts connections, or None before `listen`.
        closes_connections: Whether responses close their connections.
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
        self.handler = handler
        self.web_server = web.Server(self._handle, handler_cancellation=True)
        self.listener: asyncio.Server | None = None
        self.closes_connections = False
        self._options: dict[str, Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": idle_seconds,
            "max_line_size": max_field_bytes,
            "max_field_size": max_field_bytes,
            "max_headers": max_headers,
        }
        self._tls: ssl.SSLContext | None = None
        self._socket: socket.socket | None = None
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
        self._tls = tls
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
        return Connection(self.web_server, loop=loop, **self._options)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self.handler(request)
        if self.closes_connections and not response.prepared:
            response.force_close()
        return response

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
        return closed, len(self.web_server.connections)

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
            except OSError as error:
                message = "cannot accept a connection"
                loop.call_exception_handler(
                    {"message": message, "exception": error}
                )
                return
            accepted.setblocking(False)
            making = loop.connect_accepted_socket(
                self._make_connection, accepted, ssl=self._tls
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
            if self.web_server.connections or self._accepting:
                return True
            await asyncio.sleep(0)
        return False

    def _close_idle(self) -> int:
        now = _time()
        closed = 0
        for connection in self.web_server.connections:
            assert isinstance(connection, Connection)
            if connection.is_idle(now) and not connection.has_unread_bytes():
                connection.force_close()
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
        cut = len(self.web_server.connections)
        await self.web_server.shutdown(CANCEL_SECONDS)
        return cut


def _time() -> float:
    return asyncio.get_running_loop().time()
