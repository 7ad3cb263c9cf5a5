"""Has a daemon's requests sent by other VMs of its region.

The other VM, the helper, sends a request to one upstream at most. All else
stays with this VM: key, rate, claim, retries and their budget, deadline and
response.
"""

import asyncio
from typing import Any

import aiohttp

from pollenseam import calls
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import exchanges
from pollenseam import flags
from pollenseam import headers
from pollenseam import items
from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import relaying
from pollenseam import relaymessages
from pollenseam import routing
from pollenseam import statuses
from pollenseam import vm

# Time for which the list of helpers is used before it is made again.
HELPERS_SECONDS = 0.25
IDLE_CHECK_SECONDS = 1.0
# Streamed bodies that are buffered, of all requests.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024


class ExchangeRelay:
    """Has requests sent by other VMs.

    Attributes:
        vm: State of this VM: settings, directory, upstreams and metrics.
        relayer: Chooses helpers and gives them calls.
        helpers_until: Time until which the relayer's list of helpers is used.
        buffered_bytes: Bytes reserved for streamed bodies.
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self.relayer = relaying.create_relayer(
            local_vm.flags.vm,
            local_vm.flags.region,
            local_vm.log,
            local_vm.now,
            local_vm.peers,
            local_vm.reach_watch,
            local_vm.metrics.relays,
        )
        self.helpers_until = 0.0
        self.buffered_bytes = 0

    async def run(self) -> None:
        """Closes connections to helpers that are not used, until cancelled."""
        while True:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
            await self.relayer.close_idle()

    async def close(self) -> None:
        """Closes all connections to helpers."""
        await self.relayer.peers.close()

    async def send(
        self, exchange: exchanges.Exchange
    ) -> exchanges.StreamingResponse:
        """Has a request sent to one upstream, by a helper.

        Buffers a streamed body, of which nothing may have been read.

        Returns:
            The complete response.

        Raises:
            NoHelpError: No helper sends the request; it was not executed.
            RefusedError: There is no response, or the body is too large or
                incomplete.
        """
        reserved_bytes = self._reserve_buffer(exchange)
        try:
            await self._buffer_body(exchange)
            return await self._send_buffered(exchange)
        finally:
            self.buffered_bytes -= reserved_bytes

    async def _send_buffered(
        self, exchange: exchanges.Exchange
    ) -> exchanges.StreamingResponse:
        self._update_helpers(exchange.route.service.path)
        exchange.relays += 1
        was_sent = exchange.is_sent
        # From here on an upstream may receive it, until a helper says no.
        exchange.is_sent = True
        try:
            response = await self.relayer.send(
                self._to_active_call(exchange), _claim_nothing
            )
        except relaying.NoHelpError:
            exchange.is_sent = was_sent
            raise
        return _apply(exchange, response, was_sent)

    def _reserve_buffer(self, exchange: exchanges.Exchange) -> int:
        """Reserves memory for a streamed body; returns how many bytes.

        Raises:
            NoHelpError: The body is too large, or there are too many.
        """
        if exchange.body is not None:
            return 0
        limit = relaying.MAX_BODY_BYTES
        length = limit
        if exchange.content_length is not None:
            length = exchange.content_length
        if length > limit:
            raise relaying.NoHelpError(_too_large(limit), False)
        if self.buffered_bytes + length > MAX_BUFFERED_BYTES:
            raise relaying.NoHelpError(
                f"{self.buffered_bytes} bytes of bodies wait to be relayed",
                False,
            )
        self.buffered_bytes += length
        return length

    async def _buffer_body(self, exchange: exchanges.Exchange) -> None:
        if exchange.body is not None:
            return
        limit = relaying.MAX_BODY_BYTES
        body = bytearray()
        try:
            async for chunk in exchange.content.iter_any():
                body += chunk
                if len(body) > limit:
                    # What was read cannot be sent by this VM any more.
                    raise errors.refuse(
                        errors.Kind.NO_ROOM, _too_large(limit), "no"
                    )
            if len(body) > exchange.route.service.max_body_bytes:
                raise errors.refuse(
                    errors.Kind.BODY_TOO_LARGE, "the body is too large", "no"
                )
        except errors.RefusedError as error:
            exchange.body_refusal = error.refusal
            raise
        except (aiohttp.ClientError, OSError) as error:
            exchange.body_refusal = errors.Refusal(
                errors.Kind.MALFORMED, "the body is incomplete", "no"
            )
            raise errors.RefusedError(exchange.body_refusal) from error
        exchange.body = bytes(body)

    def _update_helpers(self, service: str) -> None:
        """Updates the list of helpers, and leaves out those that cannot help.

        Args:
            service: Path of the service that the helpers should reach.
        """
        now = self.vm.now()
        for name in self.vm.directory.reach_reports.cut_off(service, now):
            self.relayer.helpers.avoid(name, HELPERS_SECONDS, now, service)
        if now < self.helpers_until:
            return
        self.helpers_until = now + HELPERS_SECONDS
        region = self.vm.flags.region
        others = self.vm.directory.live(now)[1:]
        self.relayer.helpers.update(
            [_to_entry(other) for other in others if other.region == region]
        )

    def _to_active_call(self, exchange: exchanges.Exchange) -> calls.ActiveCall:
        """Returns the request as a call; it may leave the VM, not the region.

        Other regions take requests within the cap of a shift only.
        """
        now = self.vm.now()
        forwarded = headers.to_upstream(exchange.headers, exchange.key)
        call = calls.Call(
            exchange.attempt or forwarded.get("X-Request-Id", ""),
            exchange.method,
            exchange.target,
            exchange.headers["Host"],
            exchange.target.partition("?")[0],
            forwarded,
            exchange.body or b"",
            None,
            None,
            exchange.deadline,
            now,
        )
        call.workspace = exchange.workspace
        service = exchange.route.service.path
        region = self.vm.flags.region
        seconds = exchange.route.timeout_ms / 1000
        route = items.Route(
            host=call.host,
            prefix=exchange.route.node.prefix,
            is_idempotent=exchange.may_resend,
            timeout_seconds=seconds,
            target_seconds=seconds,
            priority=0,
            splits=[],
            max_attempts=1,
            is_open=not exchange.workspace,
            is_sticky=False,
            allowed_regions=[region],
        )
        # The relayer does not use the pool.
        pool: Any = self.vm.pool(service)
        active_call = calls.ActiveCall(
            call,
            routing.NamedRoute(service, route),
            service,
            pool,
            exchange.deadline,
            frozenset([region]),
            route.priority,
        )
        active_call.received_by.update(exchange.received_by)
        active_call.is_risky = exchange.is_suspect or exchange.breaks > 0
        return active_call


def _claim_nothing(active_call: calls.ActiveCall) -> bool:
    """A request stays with its helper: the forwarder decides on retries."""
    return False


def _too_large(limit: int) -> str:
    return f"the body has more than {limit} bytes, too many to be relayed"


def _to_entry(record: messages.Vm) -> controlmessages.EntryVm:
    _, port = flags.split_address(record.peer_address)
    return controlmessages.EntryVm(
        record.name,
        record.incarnation,
        record.peer_address,
        record.region,
        record.failure_domain,
        record.state == lifecycles.VmState.SERVING,
        port,
    )


def _apply(
    exchange: exchanges.Exchange,
    response: relaymessages.RelayResponse | None,
    was_sent: bool,
) -> exchanges.StreamingResponse:
    """Returns the response in a helper's answer.

    Raises:
        RefusedError: There is none.
    """
    if response is None:
        raise errors.refuse(
            errors.Kind.UPSTREAM_FAILED,
            "the connection to another VM broke",
            "unknown",
        )
    if response.upstream:
        exchange.received_by.add(response.upstream)
    if response.reply is not None:
        reply = relaymessages.to_reply(response.reply)
        if not statuses.is_final(reply.status):
            raise errors.refuse(
                errors.Kind.UPSTREAM_FAILED,
                "another VM gave an answer with an invalid status",
                "unknown",
            )
        buffered = exchanges.BufferedResponse(reply)
        return exchanges.StreamingResponse(buffered, None, exchange)
    if response.refusal is None:
        raise errors.refuse(
            errors.Kind.UPSTREAM_FAILED,
            "another VM gave no valid answer",
            "unknown",
        )
    exchange.breaks += response.is_risky
    if not response.executions:
        exchange.is_sent = was_sent
    raise errors.RefusedError(relaymessages.to_refusal(response.refusal))
