"""Serves calls of other processes; `peers` has the methods and the client."""

import asyncio
import functools
import time
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

import grpc
import grpc.aio

from pollenseam import errors
from pollenseam import events
from pollenseam import messages
from pollenseam import peers
from pollenseam import traffic


class Server:
    """Serves calls of other processes.

    Attributes:
        clock: Logical clock; its time is sent with every response.
        traffic: Counts of bytes and calls.
        log: Event log, or None.
    """

    def __init__(
        self,
        clock: events.LogicalClock,
        traffic: traffic.Traffic,
        credentials: Callable[[], peers.Credentials] | None = None,
        log: events.EventLog | None = None,
    ) -> None:
        self.clock = clock
        self.traffic = traffic
        self.log = log
        self._handlers: dict[str, Any] = {}
        self._credentials = credentials
        self._stop_task: asyncio.Task[None] | None = None
        self._server = grpc.aio.server(
            options=peers.CHANNEL_OPTIONS,
            maximum_concurrent_rpcs=peers.MAX_CONCURRENT_CALLS,
            compression=grpc.Compression.Gzip,
        )

    def handle(self, method: peers.Method, handler: peers.Handler) -> None:
        """Registers the coroutine that handles the calls of a method.

        Register all handlers before `start`. If the handler raises a
        PollenseamError, the call fails with the status UNAVAILABLE.
        """
        self._handlers[method.name] = grpc.unary_unary_rpc_method_handler(
            functools.partial(self._serve_unary, method, handler)
        )

    def handle_stream(
        self, method: peers.Method, handler: Callable[[Any], None]
    ) -> None:
        """Registers the function that receives the messages of a stream."""
        self._handlers[method.name] = grpc.stream_unary_rpc_method_handler(
            functools.partial(self._serve_stream, method, handler)
        )

    async def _serve_stream(
        self,
        method: peers.Method,
        handler: Callable[[Any], None],
        requests: AsyncIterator[bytes],
        context: grpc.aio.ServicerContext,
    ) -> bytes:
        async for data in requests:
            self.traffic.record_received(method.name, len(data))
            try:
                request = method.decode_request(data)
            except peers.UNDECODABLE as error:
                await context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, str(error)
                )
            self.clock.observe(request.logical)
            handler(request)
        return messages.encode(peers.Empty())

    def handle_in_parts(
        self, method: peers.Method, handler: peers.Handler
    ) -> None:
        """Registers a handler whose responses may be large.

        Clients use `Client.call_in_parts`. The rest is as in `handle`.
        """
        self._handlers[method.name] = grpc.unary_stream_rpc_method_handler(
            functools.partial(self._serve_parts, method, handler)
        )

    async def _serve_unary(
        self,
        method: peers.Method,
        handler: peers.Handler,
        data: bytes,
        context: grpc.aio.ServicerContext,
    ) -> bytes:
        raw = await self._answer(method, handler, data, context)
        if len(raw) <= peers.COMPRESSED_BYTES:
            context.disable_next_message_compression()
        return raw

    async def _serve_parts(
        self,
        method: peers.Method,
        handler: peers.Handler,
        data: bytes,
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[bytes]:
        raw = await self._answer(method, handler, data, context)
        for start in range(0, len(raw), peers.PART_BYTES):
            if len(raw) <= peers.COMPRESSED_BYTES:
                context.disable_next_message_compression()
            yield raw[start : start + peers.PART_BYTES]

    async def _answer(
        self,
        method: peers.Method,
        handler: peers.Handler,
        data: bytes,
        context: grpc.aio.ServicerContext,
    ) -> bytes:
        """Returns the encoded response to an encoded request."""
        self.traffic.record_received(method.name, len(data))
        try:
            request = method.decode_request(data)
        except peers.UNDECODABLE as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        self.clock.observe(request.logical)
        started_at = time.monotonic()
        try:
            response: Any = await handler(request)
        except errors.PollenseamError as error:
            self.traffic.outcomes.add(method.name, "server", "unavailable")
            await context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
        response.logical = self.clock.tick()
        raw = messages.encode(response)
        self.traffic.outcomes.add(method.name, "server", "ok")
        self.traffic.record_sent(method.name, len(raw))
        seconds = time.monotonic() - started_at
        traffic.log_large(
            self.log, method.name, "server", context.peer(), len(raw), seconds
        )
        return raw

    async def start(self, address: str) -> None:
        """Starts to serve calls.

        Raises:
            FlagError: The server cannot listen on the address.
        """
        handler = grpc.method_handlers_generic_handler(
            peers.SERVICE, self._handlers
        )
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
        get_credentials = self._credentials

        def configuration() -> Any:
            current = get_credentials()
            return grpc.ssl_server_certificate_configuration(
                [(current.key, current.certificate)], current.authority
            )

        credentials = grpc.dynamic_ssl_server_credentials(
            configuration(), configuration, require_client_authentication=True
        )
        return int(self._server.add_secure_port(address, credentials))

    async def stop(self, grace: float) -> None:
        """Stops serving; calls in progress have `grace` seconds to finish.

        While it is being stopped, further calls wait for the first one, whose
        grace counts: grpcio crashes if two stops of a server overlap.
        """
        if self._stop_task is None:
            self._stop_task = asyncio.create_task(self._server.stop(grace))
        await asyncio.shield(self._stop_task)
