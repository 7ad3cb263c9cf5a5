"""HTTP front end of a VM: proxied requests and the pages under PREFIX."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
import msgspec
import multidict
from aiohttp import web

from pollenseam import announcing
from pollenseam import bodies
from pollenseam import catalog
from pollenseam import commands
from pollenseam import errors
from pollenseam import exchanges
from pollenseam import forwarder
from pollenseam import headers
from pollenseam import idempotency
from pollenseam import keys
from pollenseam import lookups
from pollenseam import operators
from pollenseam import targets
from pollenseam import traces
from pollenseam import vm

PREFIX = "/.pollenseam/"
LOOKUP_CACHE_SECONDS = 0.25
MAX_LOOKUP_CACHE = 4096
MAX_HEAD_FIELD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Problem(msgspec.Struct, omit_defaults=True):
    """Problem details sent as the body of a refusal (RFC 9457)."""

    type: str
    title: str
    status: int
    kind: str
    executed: str
    detail: str
    entries: list[lookups.Entry] = []


class CachedLookup:
    """An encoded look-up response and the time at which it expires."""

    __slots__ = ("body", "deadline")

    def __init__(self, body: bytes, deadline: float) -> None:
        self.body = body
        self.deadline = deadline


class Frontend:
    """Serves callers over HTTP.

    Attributes:
        vm: State of this VM: settings, directory, upstreams and metrics.
        forwarder: Forwards requests to upstreams.
        idempotency_handler: Runs at-most-once requests that have an
            idempotency key.
        operators: Serves the operator API under PREFIX + "control/".
    """

    def __init__(
        self,
        local_vm: vm.Vm,
        request_forwarder: forwarder.Forwarder,
        idempotency_handler: idempotency.IdempotencyHandler,
        operator_api: operators.OperatorHandler,
    ) -> None:
        self.vm = local_vm
        self.forwarder = request_forwarder
        self.idempotency_handler = idempotency_handler
        self.operators = operator_api
        self._lookups: dict[tuple[str, str | None], CachedLookup] = {}
        self._internal_pages: dict[str, Handler] = {
            "lookup": self._lookup,
            "health": self._health,
            "metrics": self._metrics,
            "announce": self._announce,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to one request, also if it is refused."""
        local_vm = self.vm
        local_vm.in_flight += 1
        try:
            target = request.raw_path
            if target.startswith(PREFIX):
                return await self._handle_internal(request)
            return await self._handle_proxied(request, target)
        except errors.RefusedError as error:
            return self._refusal_response(request, error.refusal)
        finally:
            local_vm.in_flight -= 1

    # Pages under PREFIX.

    async def _handle_internal(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        headers.check_framing(request.headers)
        name = request.path[len(PREFIX) :]
        if name.startswith("control/"):
            return await self.operators.handle(request)
        handler = self._internal_pages.get(name)
        if handler is None:
            raise errors.refuse(errors.Kind.NO_ROUTE, f"no page {name!r}")
        return await handler(request)

    async def _lookup(self, request: web.BaseRequest) -> web.StreamResponse:
        local_vm = self.vm
        name = request.query.get("service", "")
        service = local_vm.catalog.services_by_name.get(name)
        if service is None:
            raise errors.refuse(errors.Kind.NO_ROUTE, f"no service {name!r}")
        region = local_vm.block_table.region(request.remote or "")
        body = self._lookup_body(service, region)
        local_vm.metrics.lookups += 1
        max_age = local_vm.catalog.fleet.lookup_max_age_ms // 1000
        response = web.Response(body=body, content_type="application/json")
        response.headers["Cache-Control"] = f"max-age={max_age}"
        return response

    def _lookup_body(
        self, service: catalog.Service, region: str | None
    ) -> bytes:
        now = self.vm.now()
        cached = self._lookups.get((service.path, region))
        if cached is not None and cached.deadline > now:
            return cached.body
        body = msgspec.json.encode(self._rank(service, region))
        if len(self._lookups) >= MAX_LOOKUP_CACHE:
            self._lookups.clear()
        self._lookups[service.path, region] = CachedLookup(
            body, now + LOOKUP_CACHE_SECONDS
        )
        return body

    def _rank(
        self, service: catalog.Service, region: str | None
    ) -> lookups.Lookup:
        local_vm = self.vm
        now = local_vm.now()
        fleet = local_vm.catalog.fleet
        pool = local_vm.pool(service.path)
        served = {name for name in fleet.regions if pool.has_usable(name, now)}
        origin = region or local_vm.flags.region
        distances = lookups.region_distances(fleet, origin)
        vms = local_vm.directory.live(now)
        local_vm.directory.own_record.settings_age_ms = (
            local_vm.settings_age_ms()
        )
        cut_off = local_vm.directory.reach_reports.cut_off(service.path, now)
        entries = lookups.rank(
            vms, distances, served, fleet.freshness_ms, cut_off
        )
        return lookups.Lookup(service.path, entries)

    async def _health(self, request: web.BaseRequest) -> web.StreamResponse:
        local_vm = self.vm
        body = {
            "state": local_vm.lifecycle.state,
            "vm": local_vm.flags.vm,
            "fresh": local_vm.is_fresh(),
            "settings_age_ms": local_vm.settings_age_ms(),
            "settings_index": local_vm.tree.index,
            "unreached": local_vm.reach_watch.unreached(),
            "cut_off": local_vm.reach_watch.cut_off(),
        }
        return web.json_response(body)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        local_vm = self.vm
        exposition = local_vm.metrics.expose(local_vm.gauges())
        return web.Response(text=exposition + local_vm.peers.traffic.expose())

    async def _announce(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            raise errors.refuse(
                errors.Kind.MALFORMED, "announcements must use POST"
            )
        _check_length(request, announcing.MAX_BODY_BYTES)
        body = await request.read()
        announcement = announcing.parse(body)
        text = keys.parse_bearer(request.headers.get("Authorization"))
        again_ms = announcing.accept(self.vm, text, announcement)
        self.vm.refresh_pools()
        return web.json_response({"again_ms": again_ms})

    # Proxied requests.

    async def _handle_proxied(
        self, request: web.BaseRequest, target: str
    ) -> web.StreamResponse:
        local_vm = self.vm
        arrived = local_vm.now()
        exchange = self._admit(request, target, arrived)
        if exchange.workspace:
            await self.forwarder.admission.take_token(
                exchange.workspace, exchange.queue_deadline
            )
        await self._buffer_body(exchange)
        key = request.headers.get(headers.IDEMPOTENCY_KEY)
        if exchange.is_at_most_once and key is not None:
            stored = await self.idempotency_handler.run(exchange, key)
            response: web.StreamResponse = _stored_response(stored, local_vm)
        else:
            response = await self._proxy(exchange)
        local_vm.metrics.observe(
            exchange.route.service.path, local_vm.now() - arrived
        )
        if exchange.workspace:
            local_vm.metrics.workspace_served[exchange.workspace] += 1
        return response

    def _admit(
        self, request: web.BaseRequest, target: str, now: float
    ) -> exchanges.CallerExchange:
        """Checks a request before it waits for a token, a slot or its body.

        Raises:
            RefusedError: The request is malformed or too large, no route or
                key admits it, or the settings are too old to check its key.
        """
        local_vm = self.vm
        headers.check_framing(request.headers)
        path = targets.decode_path(target)
        if "upgrade" in request.headers or request.method == "CONNECT":
            raise errors.refuse(
                errors.Kind.MALFORMED, "protocol upgrades are not supported"
            )
        route = local_vm.catalog.route(request.headers["Host"], path)
        if route is None:
            raise errors.refuse(
                errors.Kind.NO_ROUTE, "no route matches this host and path"
            )
        deadline = now + self._effective_timeout_ms(request, route) / 1000
        if deadline > self.vm.stop_deadline:
            raise errors.refuse(
                errors.Kind.STOPPING,
                "this VM stops before the request's time is over",
            )
        queue_deadline = min(deadline, now + route.service.queue_ms / 1000)
        exchange = exchanges.CallerExchange(
            request, target, route, deadline, queue_deadline
        )
        if route.node.access == "keyed":
            self._check_key(exchange)
        at_most_once = route.node.at_most_once
        exchange.is_at_most_once = at_most_once != "no"
        if at_most_once == "required" and not request.headers.get(
            headers.IDEMPOTENCY_KEY
        ):
            raise errors.refuse(
                errors.Kind.MALFORMED,
                f"this route requires the header {headers.IDEMPOTENCY_KEY}",
            )
        _check_length(request, route.service.max_body_bytes)
        return exchange

    def _effective_timeout_ms(
        self, request: web.BaseRequest, route: catalog.Route
    ) -> int:
        requested_ms = headers.parse_timeout_ms(
            request.headers.get(headers.TIMEOUT)
        )
        return min(requested_ms or route.timeout_ms, route.timeout_ms)

    def _check_key(self, exchange: exchanges.CallerExchange) -> None:
        local_vm = self.vm
        if not local_vm.is_fresh():
            raise errors.refuse(
                errors.Kind.NOT_FRESH,
                "this VM's settings are too old to check keys",
            )
        text = keys.parse_bearer(exchange.headers.get("Authorization"))
        key = announcing.check_key(local_vm, text)
        node = local_vm.catalog.workspaces.get(key.owner)
        if node is None or not exchange.route.service.allows(key.owner):
            raise errors.refuse(
                errors.Kind.FORBIDDEN,
                "the key's workspace may not use this service",
            )
        if text is not None and text in exchange.target:
            raise errors.refuse(
                errors.Kind.MALFORMED,
                "the key must not appear in the request target",
            )
        if local_vm.trace.is_on:
            self._trace_key(key)
        exchange.key = text
        exchange.workspace = key.owner
        exchange.weight = node.weight

    def _trace_key(self, key: catalog.Key) -> None:
        local_vm = self.vm
        bound_ms = local_vm.catalog.fleet.freshness_ms
        age_ms = local_vm.settings_age_ms()
        local_vm.trace.add(
            traces.Keyed(local_vm.now(), key.id, key.owner, age_ms, bound_ms)
        )

    async def _buffer_body(self, exchange: exchanges.CallerExchange) -> None:
        """Buffers the body if it is small or the request needs a claim.

        Raises:
            RefusedError: The body is too large or did not arrive in time.
        """
        request = exchange.request
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(CONTINUE_RESPONSE)
        if not request.can_read_body:
            exchange.body = b""
            return
        length = request.content_length
        is_small = (
            length is not None and length <= forwarder.MAX_BUFFERED_BODY_BYTES
        )
        needs_claim = (
            exchange.is_at_most_once
            and headers.IDEMPOTENCY_KEY in request.headers
        )
        if not is_small and not needs_claim:
            return
        limit = exchange.route.service.max_body_bytes
        try:
            async with asyncio.timeout_at(vm.loop_deadline(exchange.deadline)):
                exchange.body = await bodies.read(request, limit)
        except TimeoutError:
            raise errors.refuse(
                errors.Kind.DEADLINE, "the body did not arrive in time", "no"
            ) from None

    async def _proxy(
        self, exchange: exchanges.CallerExchange
    ) -> web.StreamResponse:
        try:
            deadline = vm.loop_deadline(exchange.deadline)
            async with asyncio.timeout_at(deadline):
                return await self._forward(exchange)
        except (aiohttp.ClientError, TimeoutError) as error:
            return self._handle_truncation(exchange, error)

    async def _forward(
        self, exchange: exchanges.CallerExchange
    ) -> web.StreamResponse:
        streaming = await self.forwarder.send(exchange)
        is_complete = False
        try:
            response = await self._relay_response(exchange, streaming.response)
            is_complete = True
            return response
        finally:
            self.forwarder.finish(streaming, is_complete)

    async def _relay_response(
        self,
        exchange: exchanges.CallerExchange,
        upstream_response: exchanges.Response,
    ) -> web.StreamResponse:
        """Relays an upstream's response to the caller.

        A response of at most MAX_BUFFERED_RESPONSE_BYTES is sent in a single
        write; larger ones, and those of unknown length, are streamed.
        """
        forwarded = headers.to_caller(upstream_response.headers)
        forwarded[headers.VM] = self.vm.flags.vm
        length = upstream_response.content_length
        has_no_body = (
            exchange.request.method == "HEAD"
            or upstream_response.status in forwarder.BODILESS_STATUSES
        )
        if has_no_body:
            declared = upstream_response.headers.get("Content-Length")
            if declared is not None:
                forwarded["Content-Length"] = declared
            return _response(
                upstream_response.status,
                upstream_response.reason,
                forwarded,
                b"",
            )
        if length is not None and length <= MAX_BUFFERED_RESPONSE_BYTES:
            body = await upstream_response.read()
            return _response(
                upstream_response.status,
                upstream_response.reason,
                forwarded,
                body,
            )
        response = web.StreamResponse(
            status=upstream_response.status,
            reason=upstream_response.reason,
            headers=forwarded,
        )
        response.content_length = length
        await response.prepare(exchange.request)
        async for chunk in upstream_response.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response

    def _handle_truncation(
        self, exchange: exchanges.CallerExchange, error: Exception
    ) -> web.StreamResponse:
        """Handles an error or timeout before the end of a response.

        If nothing was sent to the caller yet, the request is refused.
        Otherwise the connection is aborted, so that the caller cannot take
        the truncated response for a complete one.

        Raises:
            RefusedError: Nothing was sent to the caller yet.
            ConnectionResetError: The response had begun.
        """
        request = exchange.request
        executed = "unknown" if exchange.is_sent else "no"
        if request.writer.output_size == 0:
            is_timeout = isinstance(error, TimeoutError)
            kind = (
                errors.Kind.DEADLINE
                if is_timeout
                else errors.Kind.UPSTREAM_FAILED
            )
            detail = "the upstream's response was incomplete or late"
            raise errors.refuse(kind, detail, executed)
        self.vm.log.emit(
            "answer-cut",
            service=exchange.route.service.path,
            reason=type(error).__name__,
        )
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("the upstream's response was truncated")

    # Refusals.

    def _refusal_response(
        self, request: web.BaseRequest, refusal: errors.Refusal
    ) -> web.Response:
        local_vm = self.vm
        local_vm.metrics.refused[refusal.kind] += 1
        answer = errors.ANSWERS[refusal.kind]
        entries = []
        if (
            refusal.kind in errors.RETRY_ELSEWHERE_KINDS
            or refusal.unreached_service
        ):
            entries = local_vm.fresh_entries(refusal.unreached_service)
        problem = Problem(
            f"urn:pollenseam:{refusal.kind.value}",
            refusal.kind.value.replace("-", " "),
            answer.status,
            refusal.kind.value,
            refusal.executed,
            refusal.detail,
            entries,
        )
        response = web.Response(
            status=answer.status,
            body=msgspec.json.encode(problem),
            content_type="application/problem+json",
        )
        response.headers[headers.EXECUTED] = refusal.executed
        response.headers[headers.VM] = local_vm.flags.vm
        if refusal.retry_after is not None:
            response.headers["Retry-After"] = str(refusal.retry_after)
        if answer.status == 401:
            response.headers["WWW-Authenticate"] = "Bearer"
        local_vm.log.emit(
            "refused",
            kind=refusal.kind.value,
            executed=refusal.executed,
            method=request.method,
            host=request.headers.get("Host"),
            detail=refusal.detail,
        )
        return response


def _check_length(request: web.BaseRequest, limit: int) -> None:
    length = request.content_length
    if length is not None and length > limit:
        raise errors.refuse(
            errors.Kind.BODY_TOO_LARGE, f"the body is larger than {limit} bytes"
        )


def _response(
    status: int,
    reason: str | None,
    forwarded: multidict.CIMultiDict[str],
    body: bytes,
) -> web.Response:
    return web.Response(
        status=status, reason=reason, headers=forwarded, body=body
    )


def _stored_response(
    stored: commands.StoredAnswer, local_vm: vm.Vm
) -> web.Response:
    forwarded = multidict.CIMultiDict(stored.headers)
    forwarded[headers.VM] = local_vm.flags.vm
    return _response(stored.status, None, forwarded, stored.body)
