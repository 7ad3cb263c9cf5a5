"""HTTP client sessions for proxying to upstreams."""

import socket
from typing import Any

import aiohttp
from aiohttp import client_proto

from pollenseam import headerbytes
from pollenseam import statuses

CHUNK_BYTES = 64 * 1024
CONNECT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 10.0
# With the values below, a connection whose peer no longer answers is closed
# after about three seconds.
TCP_USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 2
# Bytes of a response that are not part of its body: head, chunk framing and
# trailers. The parser skips some of them, such as chunk extensions, without a
# limit of its own.
MAX_OVERHEAD_BYTES = 256 * 1024
# Chunks of one byte have six bytes of framing.
MAX_OVERHEAD_RATIO = 8


class InvalidStatusError(aiohttp.ClientError):
    """An upstream's answer has a status that no answer may have."""


class _ResponseHandler(client_proto.ResponseHandler):
    """Checks for faults of an upstream that aiohttp does not report.

    Bytes on an idle connection, such as a second copy of an answer: aiohttp
    keeps them and takes them for the response to the next request.

    A reset in the middle of a body: for a body without a declared length,
    aiohttp takes any end of the connection as the end of the body. After a
    reset, part of the body may be missing.

    Bytes without end that are not part of the body, see MAX_OVERHEAD_BYTES.

    A status that no answer may have, such as 000, which the parser accepts.

    Attributes:
        received_bytes: Bytes of the current response.
        body: Body of the current response, or None before its head.
        has_final_head: Whether the head of the response, not only of interim
            ones, has arrived.
        is_answered: Whether the whole response has arrived.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.received_bytes = 0
        self.body: aiohttp.StreamReader | None = None
        self.has_final_head = False
        self.is_answered = False

    def set_response_params(self, **options: Any) -> None:
        """Prepares for the response to the next request."""
        self.received_bytes = 0
        self.body = None
        self.has_final_head = False
        self.is_answered = False
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Receives a parsed head with its body."""
        message, _ = data
        self.has_final_head |= statuses.is_final(message.code)
        if not self.has_final_head and not statuses.is_interim(message.code):
            self.set_exception(
                InvalidStatusError(f"the status is {message.code:03}")
            )
            if self.transport is not None:
                self.transport.abort()
            return
        super().feed_data(data, size)

    def set_exception(self, exc: Any, *cause: Any) -> None:
        """Ends the response with an error; the first reason is kept."""
        if not isinstance(self.exception(), InvalidStatusError):
            super().set_exception(exc, *cause)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection if they are unasked.

        So they are if they follow a whole response, or have no end. The parser
        is also called without bytes, to go on with those that it has.
        """
        if data and self.is_answered:
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)
        self.is_answered = self.has_final_head and self._has_whole_body()
        self.received_bytes += len(data)
        if self._payload is not None:
            self.body = self._payload
        body_bytes = 0 if self.body is None else self.body.total_bytes
        overhead = self.received_bytes - body_bytes
        if overhead > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_RATIO * body_bytes:
            self._fail("the response has too many bytes outside its body")
            if self.transport is not None:
                self.transport.abort()

    def _has_whole_body(self) -> bool:
        return self._payload is None or self._payload.is_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the response; after a reset, as an error."""
        if exc is not None:
            self._fail("connection reset before the end of the body")
        super().connection_lost(exc)

    def _fail(self, why: str) -> None:
        """Fails the body if it is not complete."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(why))


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Makes the kernel close a connection whose peer no longer answers.

    Uses TCP keepalive for idle connections and TCP_USER_TIMEOUT for
    unacknowledged data.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_dead_peer_detection(sock)
    return sock


def open_session(
    connect_seconds: float = CONNECT_SECONDS,
    keep_alive_seconds: float = KEEP_ALIVE_SECONDS,
    trace_config: aiohttp.TraceConfig | None = None,
) -> aiohttp.ClientSession:
    """Returns a client session that leaves requests and responses unchanged.

    The session sends no cookies and none of aiohttp's default headers (such as
    User-Agent), decompresses nothing, does not resend requests and reads no
    proxy settings from the environment.

    Args:
        connect_seconds: Timeout for connecting, in seconds.
        keep_alive_seconds: Time for which an idle connection is kept open.
        trace_config: Receives the session's events, if given.
    """
    headerbytes.install()
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=0,
        keepalive_timeout=keep_alive_seconds,
        use_dns_cache=False,
        socket_factory=_open_socket,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=(
            "User-Agent",
            "Accept",
            "Accept-Encoding",
            "Content-Type",
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds),
        read_bufsize=CHUNK_BYTES,
        trust_env=False,
        trace_configs=None if trace_config is None else [trace_config],
    )
    factory: Any = connector._factory
    connector._factory = _handler_factory(factory)
    # aiohttp resends idempotent requests on a closed connection. Whether a
    # retry is allowed depends on the route (RFC 9110, section 9.2.2).
    session._retry_connection = False
    return session


def _handler_factory(factory: Any) -> Any:
    def make() -> client_proto.ResponseHandler:
        return _ResponseHandler(*factory.args, **factory.keywords)

    return make
