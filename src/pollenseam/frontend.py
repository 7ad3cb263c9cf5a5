"""The caller address: look-ups, health, metrics, requests and refusals."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
import msgspec
import multidict
from aiohttp import web

from pollenseam import announcing
from pollenseam import catalog
from pollenseam import commands
from pollenseam import errors
from pollenseam import forwarder
from pollenseam import headers
from pollenseam import idempotency
from pollenseam import keys
from pollenseam import lookups
from pollenseam import operators
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
    """The body of a refusal (RFC 9457)."""

    type: str
    title: str
    status: int
    kind: str
    executed: str
    detail: str
    entries: list[lookups.Entry] = []


class CachedLookup:
    """An encoded look-up and the time until which it is given out."""

    __slots__ = ("body", "deadline")

    def __init__(self, body: bytes, deadline: float) -> None:
        self.body = body
        self.deadline = deadline


class Frontend:
    """Serves the caller address.

    Attributes:
        vm: The VM's view.
        forwarder: Sends requests on.
        claiming: Runs at-most-once requests.
        operators: Serves operators.
    """

    def __init__(
        self,
        local_vm: vm.Vm,
        request_forwarder: forwarder.Forwarder,
        claims: idempotency.IdempotencyHandler,
        control: operators.Operators,
    ) -> None:
        self.vm = local_vm
        self.forwarder = request_forwarder
        self.claiming = claims
        self.operators = control
        self._lookups: dict[tuple[str, str | None], CachedLookup] = {}
        self._internal_pages: dict[str, Handler] = {
            "lookup": self._lookup,
            "health": self._health,
            "metrics": self._metrics,
            "announce": self._announce,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        own = self.vm
        own.in_flight += 1
        try:
            target = request.raw_path
            if target.startswith(PREFIX):
                return await self._handle_internal(request)
            return await self._handle_proxied(request, target)
        except errors.RefusedError as error:
            return self._refusal_response(request, error.refusal)
        finally:
            own.in_flight -= 1

    # The system's own pages.

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
        own = self.vm
        name = request.query.get("service", "")
        service = own.catalog.names.get(name)
        if service is None:
            raise errors.refuse(errors.Kind.NO_ROUTE, f"no service {name!r}")
        region = own.blocks.region(request.remote or "")
        body = self._lookup_body(service, region)
        own.metrics.lookups += 1
        max_age = own.catalog.fleet.lookup_max_age_ms // 1000
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
        own = self.vm
        now = own.now()
        fleet = own.catalog.fleet
        pool = own.pool(service.path)
        served = {name for name in fleet.regions if pool.has_usable(name, now)}
        origin = region or own.flags.region
        distances = lookups.region_distances(fleet, origin)
        vms = own.directory.live(now)
        own.directory.own_record.settings_age_ms = own.settings_age_ms()
        entries = lookups.rank(vms, distances, served, fleet.freshness_ms)
        return lookups.Lookup(service.path, entries)

    async def _health(self, request: web.BaseRequest) -> web.StreamResponse:
        own = self.vm
        body = {
            "state": own.life.state,
            "vm": own.flags.vm,
            "fresh": own.is_fresh(),
            "settings_age_ms": own.settings_age_ms(),
            "settings_index": own.tree.index,
        }
        return web.json_response(body)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=self.vm.metrics.expose(self.vm.gauges()))

    async def _announce(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            raise errors.refuse(errors.Kind.MALFORMED, "announce by POST")
        _check_length(request, announcing.MAX_BODY_BYTES)
        body = await request.read()
        announcement = announcing.parse(body)
        text = keys.bearer(request.headers.get("Authorization"))
        again_ms = announcing.accept(self.vm, text, announcement)
        self.vm.refresh_pools()
        return web.json_response({"again_ms": again_ms})

    # Requests.

    async def _handle_proxied(
        self, request: web.BaseRequest, target: str
    ) -> web.StreamResponse:
        own = self.vm
        arrived = own.now()
        exchange = self._admit(request, target, arrived)
        if exchange.workspace:
            await self.forwarder.admission.take_token(
                exchange.workspace, exchange.queue_deadline
            )
        await self._buffer_body(exchange)
        key = request.headers.get(headers.IDEMPOTENCY_KEY)
        if exchange.is_at_most_once and key is not None:
            stored = await self.claiming.run(exchange, key)
            response: web.StreamResponse = _stored_response(stored, own)
        else:
            response = await self._proxy(exchange)
        own.metrics.observe(exchange.route.service.path, own.now() - arrived)
        if exchange.workspace:
            own.metrics.workspace_served[exchange.workspace] += 1
        return response

    def _admit(
        self, request: web.BaseRequest, target: str, now: float
    ) -> forwarder.Exchange:
        """Checks everything that can be checked before anything waits."""
        own = self.vm
        headers.check_framing(request.headers)
        path = forwarder.check_target(target)
        if "upgrade" in request.headers or request.method == "CONNECT":
            raise errors.refuse(
                errors.Kind.MALFORMED, "protocol upgrades are not carried"
            )
        route = own.catalog.route(request.headers["Host"], path)
        if route is None:
            raise errors.refuse(
                errors.Kind.NO_ROUTE, "no service takes this host and path"
            )
        deadline = now + self._effective_timeout_ms(request, route) / 1000
        queue_deadline = min(deadline, now + route.service.queue_ms / 1000)
        exchange = forwarder.Exchange(
            request, target, route, deadline, queue_deadline
        )
        if route.node.access == "keyed":
            self._check_key(exchange)
        once = route.node.at_most_once
        exchange.is_at_most_once = once != "no"
        if once == "required" and not request.headers.get(
            headers.IDEMPOTENCY_KEY
        ):
            raise errors.refuse(
                errors.Kind.MALFORMED,
                f"this route needs the header {headers.IDEMPOTENCY_KEY}",
            )
        _check_length(request, route.service.max_body_bytes)
        return exchange

    def _effective_timeout_ms(
        self, request: web.BaseRequest, route: catalog.Route
    ) -> int:
        asked = headers.parse_timeout_ms(request.headers.get(headers.TIMEOUT))
        return min(asked or route.timeout_ms, route.timeout_ms)

    def _check_key(self, exchange: forwarder.Exchange) -> None:
        own = self.vm
        if not own.is_fresh():
            raise errors.refuse(
                errors.Kind.NOT_FRESH,
                "this VM's settings are too old to check keys",
            )
        text = keys.bearer(exchange.request.headers.get("Authorization"))
        key = announcing.check_key(own, text)
        node = own.catalog.workspaces.get(key.owner)
        if node is None or not exchange.route.service.admits(key.owner):
            raise errors.refuse(
                errors.Kind.FORBIDDEN, "the key's workspace may not use this"
            )
        if text is not None and text in exchange.target:
            raise errors.refuse(
                errors.Kind.MALFORMED, "the key must not stand in the target"
            )
        if own.trace.is_on:
            self._trace_key(key)
        exchange.key = text
        exchange.workspace = key.owner
        exchange.weight = node.weight

    def _trace_key(self, key: catalog.Key) -> None:
        own = self.vm
        bound_ms = own.catalog.fleet.freshness_ms
        age_ms = own.settings_age_ms()
        own.trace.add(
            traces.Keyed(own.now(), key.id, key.owner, age_ms, bound_ms)
        )

    async def _buffer_body(self, exchange: forwarder.Exchange) -> None:
        """Buffers a body that is small, or whose request is claimed."""
        request = exchange.request
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(CONTINUE_RESPONSE)
        if not request.can_read_body:
            exchange.body = b""
            return
        length = request.content_length
        small = (
            length is not None and length <= forwarder.MAX_BUFFERED_BODY_BYTES
        )
        claimed = (
            exchange.is_at_most_once
            and headers.IDEMPOTENCY_KEY in request.headers
        )
        if not small and not claimed:
            return
        limit = exchange.route.service.max_body_bytes
        try:
            async with asyncio.timeout_at(vm.loop_deadline(exchange.deadline)):
                exchange.body = await _read_body(request, limit)
        except TimeoutError:
            raise errors.refuse(
                errors.Kind.DEADLINE, "the body did not arrive in time", "no"
            ) from None

    async def _proxy(self, exchange: forwarder.Exchange) -> web.StreamResponse:
        try:
            deadline = vm.loop_deadline(exchange.deadline)
            async with asyncio.timeout_at(deadline):
                return await self._forward(exchange)
        except (aiohttp.ClientError, TimeoutError) as error:
            return self._handle_truncation(exchange, error)

    async def _forward(
        self, exchange: forwarder.Exchange
    ) -> web.StreamResponse:
        answer = await self.forwarder.send(exchange)
        is_whole = False
        try:
            response = await self._relay_response(exchange, answer.response)
            is_whole = True
            return response
        finally:
            self.forwarder.finish(answer, is_whole)

    async def _relay_response(
        self, exchange: forwarder.Exchange, upstream: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Copies an answer to the caller, small ones in one write."""
        passed = headers.to_caller(upstream.headers)
        passed[headers.VM] = self.vm.flags.vm
        length = upstream.content_length
        bodiless = (
            exchange.request.method == "HEAD"
            or upstream.status in forwarder.BODILESS_STATUSES
        )
        if bodiless:
            declared = upstream.headers.get("Content-Length")
            if declared is not None:
                passed["Content-Length"] = declared
            return _response(upstream.status, upstream.reason, passed, b"")
        if length is not None and length <= MAX_BUFFERED_RESPONSE_BYTES:
            body = await upstream.read()
            return _response(upstream.status, upstream.reason, passed, body)
        response = web.StreamResponse(
            status=upstream.status,
            reason=upstream.reason,
            headers=passed,
        )
        response.content_length = length
        await response.prepare(exchange.request)
        async for chunk in upstream.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response

    def _handle_truncation(
        self, exchange: forwarder.Exchange, error: Exception
    ) -> web.StreamResponse:
        """Refuses a cut answer, or ends the connection once it began."""
        request = exchange.request
        executed = "unknown" if exchange.is_sent else "no"
        if request.writer.output_size == 0:
            late = isinstance(error, TimeoutError)
            kind = errors.Kind.DEADLINE if late else errors.Kind.UPSTREAM_FAILED
            detail = "the upstream's answer was not whole in time"
            raise errors.refuse(kind, detail, executed)
        self.vm.log.emit(
            "answer-cut",
            service=exchange.route.service.path,
            reason=type(error).__name__,
        )
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("the upstream's answer was cut")

    # Refusals.

    def _refusal_response(
        self, request: web.BaseRequest, refusal: errors.Refusal
    ) -> web.Response:
        own = self.vm
        own.metrics.refused[refusal.kind] += 1
        answer = errors.ANSWERS[refusal.kind]
        entries = []
        if refusal.kind in errors.ELSEWHERE:
            entries = own.fresh_entries()
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
        response.headers[headers.VM] = own.flags.vm
        if refusal.retry_after is not None:
            response.headers["Retry-After"] = str(refusal.retry_after)
        if answer.status == 401:
            response.headers["WWW-Authenticate"] = "Bearer"
        own.log.emit(
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
            errors.Kind.BODY_TOO_LARGE, f"the body is over {limit} bytes"
        )


async def _read_body(request: web.BaseRequest, limit: int) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > limit:
            raise errors.refuse(
                errors.Kind.BODY_TOO_LARGE, f"the body is over {limit} bytes"
            )
        chunks.append(chunk)
    return b"".join(chunks)


def _response(
    status: int,
    reason: str | None,
    passed: multidict.CIMultiDict[str],
    body: bytes,
) -> web.Response:
    return web.Response(status=status, reason=reason, headers=passed, body=body)


def _stored_response(
    stored: commands.StoredAnswer, local_vm: vm.Vm
) -> web.Response:
    passed = multidict.CIMultiDict(stored.headers)
    passed[headers.VM] = local_vm.flags.vm
    return _response(stored.status, None, passed, stored.body)
