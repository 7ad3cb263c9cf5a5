"""Connections of callers, and what is held for each of them."""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from pollenseam import budgets
from pollenseam import errors

if TYPE_CHECKING:
    from pollenseam import httpserver

# Bytes that may arrive on a connection before they are counted.
UNCOUNTED_BYTES = 4096
# A stopping server waits this long for the first request on a new connection,
# its TLS handshake included, and for the rest of a head.
FIRST_REQUEST_SECONDS = 1.0
HEAD_SECONDS = 3.0
# Time within which a caller must take note of the close of a TLS connection.
TLS_CLOSE_SECONDS = 1.0


class Request(web.BaseRequest):
    """A request, whose response may have to close its connection."""

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after the response."""
        connection = self.protocol
        assert isinstance(connection, Connection)
        is_last = connection.server.closes_connections or connection.is_refused
        return not (is_last or self._message.should_close)

    def _finish(self) -> None:
        """Ends the account of the body, and begins that of the response."""
        super()._finish()
        connection = self.protocol
        assert isinstance(connection, Connection)
        connection.body_bytes = 0
        if connection.holder is not None:
            connection.server.intake.measure(connection)


def make_request(
    message: Any,
    payload: Any,
    protocol: Any,
    writer: Any,
    task: asyncio.Task[None],
) -> Request:
    """Returns a request; aiohttp's request factory."""
    loop = asyncio.get_running_loop()
    return Request(message, payload, protocol, writer, task, loop)


class Connection(web.RequestHandler):
    """A caller's connection, and whether a request is arriving on it.

    Attributes:
        server: The server that accepted the connection.
        head_deadline: Time, in seconds of the event loop, until which the head
            of a request is expected or the rest of one that is arriving.
        holder: Account of the bytes held, or None.
        body_bytes: Bytes of the body that the handler has read.
        reply_bytes: Bytes of the reply that is written.
        head_bytes: Bytes of the head that is arriving.
        is_refused: Whether the request was refused for lack of room.
    """

    __slots__ = (
        "server",
        "head_deadline",
        "holder",
        "body_bytes",
        "reply_bytes",
        "head_bytes",
        "is_refused",
        "_receiving",
        "_refusal",
        "_arrived_bytes",
        "__weakref__",
    )

    def __init__(self, server: httpserver.HttpServer, **options: Any) -> None:
        super().__init__(server.web_server, **options)
        self.server = server
        self.head_deadline = _time() + FIRST_REQUEST_SECONDS
        self.holder: budgets.Holder | None = None
        self.body_bytes = 0
        self.reply_bytes = 0
        self.head_bytes = 0
        self.is_refused = False
        self._receiving: asyncio.Timeout | None = None
        self._refusal: errors.RefusedError | None = None
        self._arrived_bytes = 0

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
            self._arrived_bytes += len(data)
            if self._arrived_bytes > UNCOUNTED_BYTES:
                self._count(len(data), is_partial)

    def _count(self, size: int, is_partial: bool) -> None:
        """Counts the bytes held, after `size` bytes have arrived."""
        self.head_bytes = self._arrived_bytes if is_partial else 0
        if self.holder is not None:
            self.holder.record_moved(size, _time())
        self.server.intake.measure(self)
        if self.holder is None and not is_partial:
            self._arrived_bytes = 0

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the account of the connection."""
        super().connection_lost(exc)
        self.server.intake.release(self)

    @property
    def caller_ip(self) -> str:
        """IP address of the caller, or ""."""
        peer = self.peername
        return str(peer[0]) if peer else ""

    def held_bytes(self) -> int:
        """Returns the bytes that this process holds for the connection."""
        held_bytes = self.body_bytes + self.reply_bytes + self.head_bytes
        if self._current_request is not None:
            held_bytes += _unread_bytes(self._current_request.content)
        for _, content in self._messages:
            held_bytes += _unread_bytes(content)
        if self._reading_paused:
            held_bytes += self.server.intake.kernel_buffer_bytes
        return held_bytes

    @property
    def phase(self) -> budgets.Phase:
        """What the connection does with the bytes that it holds."""
        if self._receiving is not None or not self._request_in_progress:
            return budgets.Phase.RECEIVING
        if self.reply_bytes:
            return budgets.Phase.WRITING
        if self._messages:
            return budgets.Phase.CROWDING
        return budgets.Phase.SERVING

    def record_written(self, left_bytes: int, size: int) -> None:
        """Records that `size` bytes of a reply went; `left_bytes` are held."""
        self.reply_bytes = left_bytes
        if size and self.holder is not None:
            self.holder.record_moved(size, _time())
        self.server.intake.measure(self)

    @property
    def idle_since(self) -> float:
        """Time in seconds, plus a constant, since which it has been idle."""
        return self._next_keepalive_close_time

    @contextlib.asynccontextmanager
    async def receiving(self) -> AsyncIterator[None]:
        """Ends the receipt of a body when the process has no room for it.

        Raises:
            RefusedError: There is no room.
        """
        due = _time() if self._refusal is not None else None
        timeout = self._receiving = asyncio.timeout_at(due)
        try:
            async with timeout:
                yield
        except TimeoutError:
            if self._refusal is None:
                raise
            self.body_bytes = 0
            raise self._refusal from None
        finally:
            self._receiving = None
            if self.holder is not None:
                self.server.intake.measure(self)

    def refuse(self, refusal: errors.RefusedError) -> bool:
        """Refuses the request whose body is arriving, if there is one."""
        is_next = bool(self._messages) and not self._request_in_progress
        if self.is_refused or (self._receiving is None and not is_next):
            return False
        self.is_refused = True
        self._refusal = refusal
        if self._receiving is not None:
            self._receiving.reschedule(_time())
        return True

    def abort(self) -> None:
        """Closes the connection without sending what waits to be sent."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_sheddable(self) -> bool:
        """Whether no request is in progress, and none waits to begin."""
        transport = self.transport
        is_open = transport is not None and not transport.is_closing()
        is_busy = self._request_in_progress or bool(self._messages)
        return is_open and not is_busy

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


def _unread_bytes(content: Any) -> int:
    return getattr(content, "_size", 0)


def _time() -> float:
    return asyncio.get_running_loop().time()
