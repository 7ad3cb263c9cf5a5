"""Calls between the processes of the system: typed messages over gRPC."""

import asyncio
import contextlib
import time
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
from pollenseam import traffic

SERVICE = "pollenseam.Peer"
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_CONCURRENT_CALLS = 512
# Size above which requests and responses of unary calls are compressed.
COMPRESSED_BYTES = 1024
# Size of the parts of a large response.
PART_BYTES = 32 * 1024
CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    # Detects connections that were cut without a reset.
    ("grpc.keepalive_time_ms", 2000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    # Keep-alive pings on many idle connections are normal; without this the
    # server would close such connections as abusive.
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.use_local_subchannel_pool", 1),
    # With SO_REUSEPORT a process could bind a port that another process is
    # still closing, and calls would be split between the two.
    ("grpc.so_reuseport", 0),
)

# What a decoder raises: the last one for arrays that are nested too deeply.
UNDECODABLE = (msgspec.DecodeError, RecursionError)

# Channel options, of which others replace some.
Options = tuple[tuple[str, int], ...]

Decode = Callable[[bytes], Any]
Handler = Callable[[Any], Awaitable[msgspec.Struct]]


class Method:
    """A remote method: its name and the types of request and response.

    Attributes:
        name: Name of the method on the wire.
        decode_request: Decodes a request; raises msgspec.DecodeError.
        decode_response: Decodes a response; raises msgspec.DecodeError.
    """

    __slots__ = ("name", "decode_request", "decode_response")

    def __init__(
        self,
        name: str,
        request: type[msgspec.Struct],
        response: type[msgspec.Struct],
    ) -> None:
        self.name = name
        self.decode_request: Decode = msgspec.msgpack.Decoder(request).decode
        self.decode_response: Decode = msgspec.msgpack.Decoder(response).decode


class Empty(msgspec.Struct, array_like=True):
    """A response without content.

    Attributes:
        logical: Logical time of the sender.
    """

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


class Credentials:
    """Credentials for mutual TLS between VMs, in PEM format.

    Attributes:
        certificate: Certificate of this VM.
        key: Private key of the certificate.
        authority: Certificate of the authority that signed all VMs'
            certificates.
    """

    __slots__ = ("certificate", "key", "authority")

    def __init__(
        self, certificate: bytes, key: bytes, authority: bytes
    ) -> None:
        self.certificate = certificate
        self.key = key
        self.authority = authority


class Client:
    """Calls other processes, over one channel per address.

    Attributes:
        clock: Logical clock; its time is sent with every message.
        traffic: Counts of bytes and calls.
        credentials: Credentials for mutual TLS, or None for plain text.
        log: Event log, or None.
        options: Channel options that replace those of CHANNEL_OPTIONS.
    """

    def __init__(
        self,
        clock: events.LogicalClock,
        credentials: Credentials | None = None,
        log: events.EventLog | None = None,
        options: Options = (),
    ) -> None:
        self.clock = clock
        self.log = log
        self.options = tuple((dict(CHANNEL_OPTIONS) | dict(options)).items())
        self.traffic = traffic.Traffic()
        self.credentials = credentials
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def call(
        self, address: str, method: Method, request: Any, timeout_seconds: float
    ) -> Any:
        """Makes one call and returns the response.

        Sets the `logical` field of the request.

        Args:
            address: Address of the process to call.
            method: Method to call.
            request: Request message.
            timeout_seconds: Time to wait for the response.

        Raises:
            UnreachableError: No valid response came within the time-out; the
                call may have been carried out.
        """
        data = self._encode(method, request)
        stub = self._channel(address).unary_unary(f"/{SERVICE}/{method.name}")
        started_at = time.monotonic()
        try:
            raw: bytes = await stub(
                data, timeout=timeout_seconds, compression=_compression(data)
            )
        except grpc.aio.AioRpcError as error:
            outcome = error.code().name.lower()
            raise self._failure(address, method, outcome, started_at) from error
        return self._accept(address, method, raw, started_at)

    async def call_in_parts(
        self,
        address: str,
        method: Method,
        request: Any,
        first_seconds: float,
        next_seconds: float,
    ) -> Any:
        """Makes one call whose response may be large, and returns it.

        Sets the `logical` field of the request. The response comes in parts of
        PART_BYTES, and the time limits are for its progress: a slow link takes
        longer for it, and a broken one is still noticed.

        Args:
            address: Address of the process to call.
            method: Method to call, served by `Server.handle_in_parts`.
            request: Request message.
            first_seconds: Time to wait for the first part.
            next_seconds: Time to wait for each further part.

        Raises:
            UnreachableError: No part came in time, or the response is not
                valid.
        """
        data = self._encode(method, request)
        stub = self._channel(address).unary_stream(f"/{SERVICE}/{method.name}")
        started_at = time.monotonic()
        call = stub(data)
        try:
            raw = await _read_parts(call, first_seconds, next_seconds)
        except grpc.aio.AioRpcError as error:
            outcome = error.code().name.lower()
            raise self._failure(address, method, outcome, started_at) from error
        except TimeoutError as error:
            raise self._failure(
                address, method, "deadline_exceeded", started_at
            ) from error
        except ValueError as error:
            raise self._failure(
                address, method, "resource_exhausted", started_at
            ) from error
        finally:
            call.cancel()
        return self._accept(address, method, raw, started_at)

    def _encode(self, method: Method, request: Any) -> bytes:
        """Encodes and counts a request; sets its logical time."""
        request.logical = self.clock.tick()
        data = messages.encode(request)
        self.traffic.record_sent(method.name, len(data))
        self.traffic.calls += 1
        return data

    def _failure(
        self, address: str, method: Method, outcome: str, started_at: float
    ) -> errors.UnreachableError:
        """Records a failed call; returns the error to raise."""
        self._record_call(method, outcome, time.monotonic() - started_at)
        return errors.UnreachableError(f"{address}: {outcome}", outcome)

    def _accept(
        self, address: str, method: Method, raw: bytes, started_at: float
    ) -> Any:
        """Records and decodes a response; takes over its logical time.

        Raises:
            UnreachableError: The response is not valid.
        """
        seconds = time.monotonic() - started_at
        self._record_call(method, "ok", seconds)
        self.traffic.record_received(method.name, len(raw))
        traffic.log_large(
            self.log, method.name, "client", address, len(raw), seconds
        )
        try:
            response = method.decode_response(raw)
        except UNDECODABLE as error:
            raise errors.UnreachableError(f"{address}: {error}") from error
        self.clock.observe(response.logical)
        return response

    def _record_call(
        self, method: Method, outcome: str, seconds: float
    ) -> None:
        self.traffic.outcomes.add(method.name, "client", outcome)
        self.traffic.latencies.observe(method.name, seconds)

    async def stream(
        self, address: str, method: Method, requests: AsyncIterator[Any]
    ) -> None:
        """Sends a stream of messages, in order, until `requests` ends.

        A message is sent without waiting until earlier ones are processed.
        The stream also ends, without an error, if the connection breaks or the
        receiver ends the call before the next message is written; messages
        may then be lost.

        Args:
            address: Address of the receiving process.
            method: Method that receives the stream.
            requests: Messages to send.

        Raises:
            UnreachableError: Writing a message failed; messages may be lost.
        """
        stub = self._channel(address).stream_unary(f"/{SERVICE}/{method.name}")
        call = stub()
        closed = asyncio.create_task(_wait_closed(call))
        try:
            await self._write_all(method, call, closed, requests)
        except grpc.aio.AioRpcError as error:
            raise errors.UnreachableError(f"{address}: {error}") from error
        finally:
            closed.cancel()
            call.cancel()

    async def _write_all(
        self,
        method: Method,
        call: Any,
        closed: asyncio.Task[None],
        requests: AsyncIterator[Any],
    ) -> None:
        # Reads the iterator here because grpc, given an iterator, continues to
        # read it after the connection broke and so loses messages that should
        # go over the next connection.
        while True:
            next_request = asyncio.ensure_future(anext(requests, None))
            try:
                await asyncio.wait(
                    {next_request, closed}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                if not next_request.done():
                    next_request.cancel()
            request: Any = None if closed.done() else next_request.result()
            if request is None:
                return
            await call.write(self._encode(method, request))

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._open_channel(address)
            self._channels[address] = channel
        return channel

    def _open_channel(self, address: str) -> grpc.aio.Channel:
        if self.credentials is None:
            return grpc.aio.insecure_channel(address, self.options)
        credentials = grpc.ssl_channel_credentials(
            self.credentials.authority,
            self.credentials.key,
            self.credentials.certificate,
        )
        return grpc.aio.secure_channel(address, credentials, self.options)

    async def connect(self, address: str, timeout_seconds: float) -> bool:
        """Returns whether there is a connection; opens one if there is none.

        Args:
            address: Address of the process to call.
            timeout_seconds: Time to wait for a new connection.
        """
        channel = self._channel(address)
        state = channel.get_state(try_to_connect=True)
        try:
            async with asyncio.timeout(timeout_seconds):
                while state is not grpc.ChannelConnectivity.READY:
                    if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                        return False
                    await channel.wait_for_state_change(state)
                    state = channel.get_state(try_to_connect=True)
        except TimeoutError:
            return False
        return True

    async def disconnect(self, address: str) -> None:
        """Closes the connection to a process, if there is one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def replace_credentials(self, credentials: Credentials) -> None:
        """Uses new credentials for all further calls.

        Calls in progress have 5 s to finish on the old channels.
        """
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


async def _read_parts(
    call: Any, first_seconds: float, next_seconds: float
) -> bytes:
    """Returns a response that is sent in parts.

    Raises:
        TimeoutError: A part did not come in time.
        ValueError: The response is larger than MAX_MESSAGE_BYTES.
        AioRpcError: The call failed.
    """
    raw = bytearray()
    seconds = first_seconds
    while True:
        async with asyncio.timeout(seconds):
            part = await call.read()
        if part is grpc.aio.EOF:
            return bytes(raw)
        raw += part
        if len(raw) > MAX_MESSAGE_BYTES:
            raise ValueError(f"the response exceeds {MAX_MESSAGE_BYTES} bytes")
        seconds = next_seconds


async def _wait_closed(call: Any) -> None:
    with contextlib.suppress(grpc.aio.AioRpcError):
        await call


def _compression(data: bytes) -> grpc.Compression:
    if len(data) > COMPRESSED_BYTES:
        return grpc.Compression.Gzip
    return grpc.Compression.NoCompression
