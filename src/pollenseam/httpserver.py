"""HTTP server whose planned stop answers every request that has arrived."""

import asyncio
import socket
import ssl
import weakref
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

from pollenseam import connections
from pollenseam import headerbytes
from pollenseam import intake

BACKLOG = 1024
# Connections accepted in one turn of the event loop; those that are shed for
# them are closed by the next turn.
ACCEPTED_PER_TURN = 32
# Bytes of a body that wait in a connection until they are read; twice that
# stops the receipt.
UNREAD_BYTES = 64 * 1024
# Time for which the rest of a refused body is read and dropped, so that the
# caller gets the refusal.
LINGERING_SECONDS = 2.0
# Bounds of a server for which none are given.
MAX_HELD_BYTES = 150_000_000
MAX_CONNECTIONS = 2340
# Interval at which a stopping server looks for idle connections.
SWEEP_SECONDS = 0.02
# Turns of the event loop within which an accepted connection is known.
ACCEPT_TURNS = 4
# Time for cancelled handlers to end.
CANCEL_SECONDS = 0.05

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpServer:
    """An HTTP server on one address.

    Attributes:
        web_server: Runs the handler.
        listener: Accepts connections, or None before `listen`.
        tls: TLS settings, or None for plain text.
        intake: Bounds what callers' connections hold.
        closes_connections: Whether responses close their connections.
        is_closed: Whether no further request is accepted.
    """

    def __init__(
        self,
        handler: Handler,
        idle_seconds: float,
        max_field_bytes: int,
        max_headers: int,
        server_intake: intake.Intake | None = None,
    ) -> None:
        """Creates a server that doesn't listen yet.

        Args:
            handler: Answers one request; cancelled if the client disconnects.
            idle_seconds: Time after which an idle connection is closed.
            max_field_bytes: Maximum size of the request line and of a header.
            max_headers: Maximum number of headers.
            server_intake: Bounds what callers' connections hold.
        """
        headerbytes.install()
        self.intake = server_intake or intake.Intake(
            MAX_HELD_BYTES, MAX_CONNECTIONS
        )
        self.web_server = web.Server(
            handler,
            request_factory=connections.make_request,
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
            "lingering_time": LINGERING_SECONDS,
            "read_bufsize": UNREAD_BYTES,
            "max_line_size": max_field_bytes,
            "max_field_size": max_field_bytes,
            "max_headers": max_headers,
        }
        self._socket: socket.socket | None = None
        # Weak references, as a failed TLS handshake is not reported.
        self._opening: weakref.WeakSet[connections.Connection] = (
            weakref.WeakSet()
        )
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
        # Accepted connections inherit them.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            size = self.intake.kernel_buffer_bytes
            self._socket.setsockopt(socket.SOL_SOCKET, option, size)
        self.listener = await loop.create_server(
            self._make_connection,
            sock=self._socket,
            backlog=ACCEPTED_PER_TURN,
            ssl=tls,
        )
        self._socket.listen(BACKLOG)

    def _make_connection(self) -> connections.Connection:
        loop = asyncio.get_running_loop()
        connection = connections.Connection(self, loop=loop, **self._options)
        self._opening.add(connection)
        return connection

    def record_made(self, connection: connections.Connection) -> None:
        """Records that a connection can be used."""
        self._opening.discard(connection)
        if self.is_closed:
            connection.force_close()
        elif len(self.web_server.connections) > self.intake.max_connections:
            self.intake.shed(self._others(connection))

    def _others(
        self, connection: connections.Connection
    ) -> list[connections.Connection]:
        known: Any = self.web_server.connections
        return [c for c in known if c is not connection]

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
            assert isinstance(connection, connections.Connection)
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
