"""Sends a request to one upstream and waits for the head of the response."""

import functools
from collections.abc import AsyncIterator

import aiohttp

from pollenseam import connects
from pollenseam import crashwatch
from pollenseam import errors
from pollenseam import exchanges
from pollenseam import headers
from pollenseam import sending
from pollenseam import sessions
from pollenseam import targets
from pollenseam import traces
from pollenseam import upstreams
from pollenseam import vm

CHUNK_BYTES = 64 * 1024
# Limits on the time to connect, within this VM's region and beyond it.
NEAR_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=sending.CONNECT_SECONDS
)
FAR_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=sessions.CONNECT_SECONDS
)


class ExchangeSender:
    """Sends requests to upstreams, each attempt to one of them.

    Attributes:
        vm: State of this VM: settings, directory, upstreams and metrics.
        crash_watch: Finds out which upstreams ended with requests of this VM.
        session: HTTP client session for all upstreams.
    """

    def __init__(
        self, local_vm: vm.Vm, crash_watch: crashwatch.CrashWatch
    ) -> None:
        self.vm = local_vm
        self.crash_watch = crash_watch
        self.session = sessions.open_session(
            trace_config=connects.trace_config()
        )

    async def close(self) -> None:
        """Closes all connections to upstreams."""
        self.crash_watch.close()
        await self.session.close()

    async def request(
        self, exchange: exchanges.Exchange, reservation: exchanges.Reservation
    ) -> aiohttp.ClientResponse:
        """Sends a request to the upstream of a reservation.

        Returns:
            The response; its head has been received.

        Raises:
            RefusedError: The upstream sent no response, or the streamed body
                was too large or incomplete.
            PreventedError: Nothing was sent, as it would have needed a new
                connection and this VM reaches no upstream of the service.
        """
        if self.vm.trace.is_on:
            self._trace_sent(exchange, reservation)
        try:
            return await self._send_request(exchange, reservation)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            exchange.connect_failures += 1
            self._record_failure(exchange, reservation)
            self._record_connect_failed(reservation, error)
            raise _unreachable(exchange) from error
        except (aiohttp.ClientError, OSError) as error:
            if exchange.body_refusal is not None:
                raise errors.RefusedError(exchange.body_refusal) from error
            exchange.is_sent = True
            self._record_failure(exchange, reservation)
            self._record_break(exchange, reservation.upstream)
            if getattr(error, "errno", None) in sending.NO_PATH_ERRORS:
                self._record_connect_failed(reservation, error)
            raise errors.refuse(
                errors.Kind.UPSTREAM_FAILED,
                "the upstream broke the connection",
                "unknown",
            ) from error

    def _record_failure(
        self, exchange: exchanges.Exchange, reservation: exchanges.Reservation
    ) -> None:
        upstream = reservation.upstream
        pool = self.vm.pool(reservation.service)
        pool.record_failure(upstream, 0.0, self.vm.now())
        exchange.tried.add(upstream.record.name)

    def is_near(self, reservation: exchanges.Reservation) -> bool:
        """Returns whether the upstream is in this VM's region."""
        return reservation.upstream.record.region == self.vm.flags.region

    def _record_connect_failed(
        self, reservation: exchanges.Reservation, error: Exception
    ) -> None:
        """Records that this VM has no connection to an upstream."""
        if not self.is_near(reservation):
            return
        service = reservation.service
        self.vm.reach_watch.record_connect_failed(
            service,
            reservation.upstream.record.name,
            len(self.vm.region_addresses(service)),
            connects.failure_outcome(error),
        )

    def _record_connection(
        self,
        exchange: exchanges.Exchange,
        reservation: exchanges.Reservation,
        kind: str,
    ) -> None:
        """Records the connection that a request gets to its upstream.

        Raises:
            PreventedError: This VM reaches no upstream, so that a connection
                would only cost time.
        """
        service = reservation.service
        is_near = self.is_near(reservation)
        if kind == connects.OPENING:
            if is_near and self.vm.reach_watch.reach(service).is_unreached:
                raise connects.PreventedError
            return
        # From here on a byte may reach the upstream.
        exchange.is_sent = True
        exchange.received_by.add(reservation.upstream.record.name)
        if is_near and kind == connects.NEW:
            self.vm.reach_watch.record_connected(
                service,
                reservation.upstream.record.name,
                len(self.vm.region_addresses(service)),
            )

    def _trace_sent(
        self, exchange: exchanges.Exchange, reservation: exchanges.Reservation
    ) -> None:
        upstream = reservation.upstream
        now = self.vm.now()
        self.vm.trace.add(
            traces.Sent(
                now,
                upstream.record.name,
                upstream.record.state,
                int((upstream.deadline - now) * 1000),
                upstream.in_flight,
                upstream.record.slots,
                exchange.claim,
                exchange.attempt,
            )
        )

    async def _send_request(
        self, exchange: exchanges.Exchange, reservation: exchanges.Reservation
    ) -> aiohttp.ClientResponse:
        forwarded = headers.to_upstream(exchange.headers, exchange.key)
        if exchange.workspace:
            forwarded[headers.WORKSPACE] = exchange.workspace.rpartition("/")[2]
        left_ms = int((exchange.deadline - self.vm.now()) * 1000)
        forwarded[headers.TIMEOUT] = str(max(1, left_ms))
        forwarded["Host"] = exchange.headers["Host"]
        data: bytes | AsyncIterator[bytes] | None = exchange.body or None
        if exchange.body is None:
            data = self._stream_body(exchange)
            length = exchange.content_length
            if length is not None:
                forwarded["Content-Length"] = str(length)
        address = reservation.upstream.record.address
        return await self.session.request(
            exchange.method,
            targets.url(address, exchange.target),
            headers=forwarded,
            data=data,
            allow_redirects=False,
            timeout=NEAR_TIMEOUT if self.is_near(reservation) else FAR_TIMEOUT,
            trace_request_ctx=functools.partial(
                self._record_connection, exchange, reservation
            ),
        )

    async def _stream_body(
        self, exchange: exchanges.Exchange
    ) -> AsyncIterator[bytes]:
        limit = exchange.route.service.max_body_bytes
        size = 0
        try:
            async for chunk in exchange.content.iter_chunked(CHUNK_BYTES):
                exchange.is_partly_read = True
                size += len(chunk)
                if size > limit:
                    raise _too_large(limit)
                yield chunk
        except errors.RefusedError as error:
            exchange.body_refusal = error.refusal
            raise
        except (aiohttp.ClientError, OSError) as error:
            exchange.body_refusal = errors.Refusal(
                errors.Kind.MALFORMED,
                "the body is incomplete",
                executed="unknown",
            )
            raise errors.RefusedError(exchange.body_refusal) from error

    def _record_break(
        self, exchange: exchanges.Exchange, upstream: upstreams.Upstream
    ) -> None:
        """Records that the connection broke after a request was sent."""
        exchange.breaks += 1
        record = upstream.record
        if not exchange.fingerprint:
            return
        start = crashwatch.UpstreamStart(
            record.name, record.incarnation, record.service, record.address
        )
        self.crash_watch.record_break(exchange.fingerprint, start)


def _too_large(limit: int) -> errors.RefusedError:
    return errors.refuse(
        errors.Kind.BODY_TOO_LARGE,
        f"the body is larger than {limit} bytes",
        executed="unknown",
    )


def _unreachable(exchange: exchanges.Exchange) -> errors.RefusedError:
    """Returns the refusal after a connect that failed."""
    if exchange.is_sent:
        # In an earlier attempt.
        return errors.refuse(
            errors.Kind.UPSTREAM_FAILED, "the upstream is unreachable"
        )
    return errors.refuse(
        errors.Kind.NO_ROOM, "the upstream is unreachable", "no"
    )
