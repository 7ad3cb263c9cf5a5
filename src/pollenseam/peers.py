"""Calls between the system's processes: typed messages over gRPC."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import grpc
import grpc.aio
import msgspec

from pollenseam import errors
from pollenseam import events
from pollenseam import messages

SERVICE = "pollenseam.Peer"
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_CONCURRENT_CALLS = 512
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    # A cut connection that nothing resets is given up after this time.
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    # Keep-alive probes of many quiet connections are no abuse.
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.use_local_subchannel_pool", 1),
    # One process may take a port that another is still leaving; sharing it
    # would split the calls between both.
    ("grpc.so_reuseport", 0),
)

Decode = Callable[[bytes], Any]
Handler = Callable[[Any], Awaitable[msgspec.Struct]]


class Method:
    """One call: its name and the types of request and answer."""

    __slots__ = ("name", "decode_request", "decode_response")

    def __init__(
        self,
        name: str,
        request: type[msgspec.Struct],
        answer: type[msgspec.Struct],
    ) -> None:
        self.name = name
        self.decode_request: Decode = msgspec.msgpack.Decoder(request).decode
        self.decode_response: Decode = msgspec.msgpack.Decoder(answer).decode


class Empty(msgspec.Struct, array_like=True):
    """The empty answer."""

    logical: int = 0


DELIVER = Method("Deliver", messages.Batch, Empty)
FETCH = Method("Fetch", messages.Fetch, messages.FetchResponse)
SUBMIT = Method("Submit", messages.Submit, messages.SubmitResponse)
LEND = Method("Lend", messages.LeaseRequest, messages.LeaseResponse)
GOSSIP = Method("Gossip", messages.Gossip, messages.Gossip)
READ = Method("Read", messages.ReadIndex, messages.ReadIndexResponse)
CHANGE_REPLICA = Method(
    "ChangeReplica", messages.ReplicaChange, messages.SubmitResponse
)
PROBE = Method("Probe", messages.IdentityRequest, messages.IdentityResponse)


class Traffic:
    """Bytes and messages that this process has exchanged with peers.

    Attributes:
        sent_bytes: Bytes of messages sent, framing aside.
        received_bytes: Bytes of messages received.
        calls: Calls made and answered.
    """

    __slots__ = ("sent_bytes", "received_bytes", "calls")

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.calls = 0


class Credentials:
    """PEM texts for mutual TLS between VMs."""

    __slots__ = ("certificate", "key", "authority")

    def __init__(
        self, certificate: bytes, key: bytes, authority: bytes
    ) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority


class Client:
    """Makes calls to other processes; one channel per address.

    Attributes:
        clock: Logical clock that travels with every message.
        traffic: Count of bytes and calls.
        credentials: For mutual TLS, or None for plain text.
    """

    def __init__(
        self,
        clock: events.LogicalClock,
        credentials: Credentials | None = None,
    ) -> None:
        self.clock = clock
        self.traffic = Traffic()
        self.credentials = credentials
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def call(
        self, address: str, method: Method, request: Any, timeout_seconds: float
    ) -> Any:
        """Makes one call.

        Raises:
            UnreachableError: No answer came within `seconds`; the
                call may have been carried out.
        """
        request.logical = self.clock.tick()
        data = messages.encode(request)
        self.traffic.sent_bytes += len(data)
        self.traffic.calls += 1
        stub = self._channel(address).unary_unary(f"/{SERVICE}/{method.name}")
        try:
            raw = await stub(data, timeout=timeout_seconds)
        except grpc.aio.AioRpcError as error:
            detail = f"{address}: {error.code().name.lower()}"
            raise errors.UnreachableError(detail) from error
        self.traffic.received_bytes += len(raw)
        try:
            answer = method.decode_response(raw)
        except msgspec.DecodeError as error:
            raise errors.UnreachableError(f"{address}: {error}") from error
        self.clock.observe(answer.logical)
        return answer

    async def stream(
        self, address: str, method: Method, requests: AsyncIterator[Any]
    ) -> None:
        """Sends messages in order until they end; none waits for another.

        Raises:
            UnreachableError: The connection broke; messages may be lost.
        """
        stub = self._channel(address).stream_unary(f"/{SERVICE}/{method.name}")
        call = stub()
        ended = asyncio.create_task(_wait_closed(call))
        try:
            await self._write_all(call, ended, requests)
        except grpc.aio.AioRpcError as error:
            raise errors.UnreachableError(f"{address}: {error}") from error
        finally:
            ended.cancel()
            call.cancel()

    async def _write_all(
        self, call: Any, ended: asyncio.Task[None], requests: AsyncIterator[Any]
    ) -> None:
        # The library's own reading of an iterator goes on after a broken
        # connection and takes messages that the next one should carry.
        while True:
            coming = asyncio.ensure_future(anext(requests, None))
            try:
                await asyncio.wait(
                    {coming, ended}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                if not coming.done():
                    coming.cancel()
            request: Any = None if ended.done() else coming.result()
            if request is None:
                return
            request.logical = self.clock.tick()
            data = messages.encode(request)
            self.traffic.sent_bytes += len(data)
            self.traffic.calls += 1
            await call.write(data)

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels[address] = channel
        return channel

    def _open_channel(self, address: str) -> grpc.aio.Channel:
        if self.credentials is None:
            return grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self.credentials.authority,
            self.credentials.key,
            self.credentials.certificate,
        )
        return grpc.aio.secure_channel(address, credentials, CHANNEL_OPTIONS)

    async def replace_credentials(self, credentials: Credentials) -> None:
        """Uses new certificates for all further calls."""
        self.credentials = credentials
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close(grace=5.0)

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            with contextlib.suppress(asyncio.CancelledError):
                await channel.close()


async def _wait_closed(call: Any) -> None:
    with contextlib.suppress(grpc.aio.AioRpcError):
        await call


class Server:
    """Answers other processes' calls."""

    def __init__(
        self,
        clock: events.LogicalClock,
        traffic: Traffic,
        credentials: Callable[[], Credentials] | None = None,
    ) -> None:
        self.clock = clock
        self.traffic = traffic
        self._handlers: dict[str, Any] = {}
        self._credentials = credentials
        self._server = grpc.aio.server(
            options=CHANNEL_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
        )

    def handle(self, method: Method, handler: Handler) -> None:
        """Registers the coroutine that answers a method."""
        self._handlers[method.name] = grpc.unary_unary_rpc_method_handler(
            functools.partial(self._serve_unary, method, handler)
        )

    def handle_stream(
        self, method: Method, handler: Callable[[Any], None]
    ) -> None:
        """Registers the function that takes a stream's messages in."""
        self._handlers[method.name] = grpc.stream_unary_rpc_method_handler(
            functools.partial(self._serve_stream, method, handler)
        )

    async def _serve_stream(
        self,
        method: Method,
        handler: Callable[[Any], None],
        requests: AsyncIterator[bytes],
        context: grpc.aio.ServicerContext,
    ) -> bytes:
        async for data in requests:
            self.traffic.received_bytes += len(data)
            try:
                request = method.decode_request(data)
            except msgspec.DecodeError as error:
                await context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, str(error)
                )
            self.clock.observe(request.logical)
            handler(request)
        return messages.encode(Empty())

    async def _serve_unary(
        self,
        method: Method,
        handler: Handler,
        data: bytes,
        context: grpc.aio.ServicerContext,
    ) -> bytes:
        self.traffic.received_bytes += len(data)
        try:
            request = method.decode_request(data)
        except msgspec.DecodeError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self.clock.observe(request.logical)
        try:
            answer: Any = await handler(request)
        except errors.PollenseamError as error:
            await context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
        answer.logical = self.clock.tick()
        raw = messages.encode(answer)
        self.traffic.sent_bytes += len(raw)
        return raw

    async def start(self, address: str) -> None:
        """Begins to answer.

        Raises:
            FlagError: The address cannot be bound.
        """
        handler = grpc.method_handlers_generic_handler(SERVICE, self._handlers)
        self._server.add_generic_rpc_handlers((handler,))
        try:
            port = self._bind(address)
        except RuntimeError:
            port = 0
        if port == 0:
            raise errors.FlagError(f"--peer-address: cannot bind {address}")
        await self._server.start()

    def _bind(self, address: str) -> int:
        if self._credentials is None:
            return int(self._server.add_insecure_port(address))
        fetch = self._credentials

        def configuration() -> Any:
            now = fetch()
            return grpc.ssl_server_certificate_configuration(
                [(now.key, now.certificate)], now.authority
            )

        credentials = grpc.dynamic_ssl_server_credentials(
            configuration(), configuration, require_client_authentication=True
        )
        return int(self._server.add_secure_port(address, credentials))

    async def stop(self, grace: float) -> None:
        """Stops, letting calls under way finish for `grace` seconds."""
        await self._server.stop(grace)
