"""HTTP server that closes its idle connections before a planned stop."""

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

BACKLOG = 1024

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HttpServer:
    """An HTTP server on one address.

    Attributes:
        handler: Answers one request.
        web_server: Parses requests and runs the handler.
        listener: The listening socket, or None before `listen`.
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
        self.web_server = web.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=idle_seconds,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
            max_headers=max_headers,
        )
        self.listener: asyncio.Server | None = None
        self._busy: set[asyncio.BaseProtocol] = set()

    async def listen(
        self, host: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Starts to accept connections.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.web_server, host, port, backlog=BACKLOG, ssl=tls
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        self._busy.add(connection)
        try:
            response = await self.handler(request)
            # A connection is busy until its response is written. After a
            # disconnect, aiohttp finds the connection closed as well.
            with contextlib.suppress(ConnectionError):
                await response.prepare(request)
                await response.write_eof()
            return response
        finally:
            self._busy.discard(connection)

    def stop_accepting(self) -> tuple[int, int]:
        """Accepts neither connections nor further requests on open ones.

        Idle connections are closed at once, the others after the request in
        progress.

        Returns:
            The number of idle connections, and of the others.
        """
        if self.listener is not None:
            self.listener.close()
        connections = self.web_server.connections
        idle = [c for c in connections if c not in self._busy]
        for connection in connections:
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()
        return len(idle), len(connections) - len(idle)

    async def close(self, grace_seconds: float) -> None:
        """Stops accepting, and closes all connections.

        Args:
            grace_seconds: Time that requests in progress get before they are
                cancelled.
        """
        self.stop_accepting()
        await self.web_server.shutdown(timeout=grace_seconds)
