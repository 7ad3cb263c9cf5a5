"""Client sessions to upstreams: nothing of the library's own is added."""

import socket
from typing import Any

import aiohttp
from aiohttp import client_proto

CHUNK_BYTES = 64 * 1024
CONNECT_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 10.0
# A connection that went silent is noticed after about three seconds.
TCP_USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 2


class _ResponseHandler(client_proto.ResponseHandler):
    """Tells an answer that was reset from one that its end completes.

    The library takes any end of the connection as the end of a body that
    declares no length; after a reset, part of it may be missing.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("the connection was reset")
            )
        super().connection_lost(exc)


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Lets the kernel end a connection whose other side went silent."""
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
) -> aiohttp.ClientSession:
    """Returns a client session that adds nothing of its own.

    Args:
        connect_seconds: Longest time to connect.
        keep_alive_seconds: How long an idle connection is kept.
    """
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
    )
    factory: Any = connector._factory
    connector._factory = _handler_factory(factory)
    # The library sends idempotent requests again on a closed connection;
    # whether that is allowed is for the route to say (RFC 9110, 9.2.2).
    session._retry_connection = False
    return session


def _handler_factory(factory: Any) -> Any:
    def make() -> client_proto.ResponseHandler:
        return _ResponseHandler(*factory.args, **factory.keywords)

    return make
