"""Carries requests to upstreams and answers back, whole or visibly cut."""

import asyncio
import urllib.parse
from collections.abc import AsyncIterator

import aiohttp
import yarl
from aiohttp import web

from pollenseam import admission
from pollenseam import catalog
from pollenseam import errors
from pollenseam import headers
from pollenseam import lifecycles
from pollenseam import sessions
from pollenseam import shifts
from pollenseam import traces
from pollenseam import upstreams
from pollenseam import vm

MAX_BUFFERED_BODY_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
MAX_ATTEMPTS = 3
TIMEOUT_FAILURE_RATIO = 0.8
IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
)
NO_WORKSPACE = ""
BODILESS_STATUSES = frozenset({204, 304})


class Exchange:
    """One request on its way through this VM.

    Attributes:
        request: The caller's request.
        target: Path and query as sent by the caller.
        route: Its route.
        workspace: Path of the key's workspace, or "" on open routes.
        weight: Weight of the workspace.
        key: The caller's key, or None.
        deadline: Time after which no answer is of use.
        body: The buffered body, or None when it is streamed.
        is_once: Whether it must not be repeated.
        queue_deadline: Time until which it may wait for tokens and slots.
        tried: Upstreams that failed it.
        is_sent: Whether a byte may have reached an upstream.
        body_refusal: Why the streamed body was cut, or None.
        claim: Digest of what names its claim, or "".
        attempt: The attempt that holds the claim, or "".
    """

    __slots__ = (
        "request",
        "target",
        "route",
        "workspace",
        "weight",
        "key",
        "deadline",
        "queue_deadline",
        "body",
        "is_at_most_once",
        "tried",
        "is_sent",
        "body_refusal",
        "claim",
        "attempt",
    )

    def __init__(
        self,
        request: web.BaseRequest,
        target: str,
        route: catalog.Route,
        deadline: float,
        queue_deadline: float,
    ) -> None:
        self.request = request
        self.target = target
        self.route = route
        self.workspace = NO_WORKSPACE
        self.weight = 1.0
        self.key: str | None = None
        self.deadline = deadline
        self.queue_deadline = queue_deadline
        self.body: bytes | None = None
        self.is_at_most_once = False
        self.tried: set[str] = set()
        self.is_sent = False
        self.body_refusal: errors.Refusal | None = None
        self.claim = ""
        self.attempt = ""

    @property
    def may_resend(self) -> bool:
        """Whether it may be sent again after a byte of it was sent."""
        idempotent = self.request.method in IDEMPOTENT_METHODS
        return idempotent and not self.is_at_most_once and self.body is not None


class _ShedError(Exception):
    """The upstream declared that it did not run the request."""


class Reservation:
    """An upstream with a slot taken on it for one try."""

    __slots__ = ("service", "upstream", "started")

    def __init__(
        self, service: str, upstream: upstreams.Upstream, started: float
    ) -> None:
        self.service = service
        self.upstream = upstream
        self.started = started


class StreamingResponse:
    """An upstream's answer, its body still to come."""

    __slots__ = ("response", "reservation")

    def __init__(
        self, response: aiohttp.ClientResponse, reservation: Reservation
    ) -> None:
        self.response = response
        self.reservation = reservation


class Forwarder:
    """Sends requests to upstreams.

    Attributes:
        vm: The VM's view.
        admission: Hands out slots.
        budgets: Retry budgets by service path.
        runs: Running shifts by path.
    """

    def __init__(self, local_vm: vm.Vm, gate: admission.Admission) -> None:
        self.vm = local_vm
        self.admission = gate
        self.retry_budgets: dict[str, upstreams.RetryBudget] = {}
        self.active_shifts: dict[str, shifts.ActiveShift] = {}
        self.session = sessions.open_session()

    async def close(self) -> None:
        """Closes all connections to upstreams."""
        await self.session.close()

    async def send(self, exchange: Exchange) -> StreamingResponse:
        """Sends a request and returns the answer's head, body to come.

        The caller must pass the answer to `finish`.

        Raises:
            RefusedError: No upstream answered it.
        """
        service = exchange.route.service
        budget = self.retry_budgets.setdefault(
            service.path, upstreams.RetryBudget()
        )
        budget.deposit(service.retry_ratio)
        last: errors.Refusal | None = None
        while True:
            lane = await self._reserve(exchange, last)
            try:
                return await self._attempt(exchange, lane)
            except _ShedError:
                continue
            except errors.RefusedError as error:
                last = error.refusal
                if not self._may_retry(exchange, budget):
                    raise
                self.vm.metrics.retries += 1

    def _may_retry(
        self, exchange: Exchange, budget: upstreams.RetryBudget
    ) -> bool:
        if exchange.is_sent and not exchange.may_resend:
            return False
        return len(exchange.tried) < MAX_ATTEMPTS and budget.try_spend()

    async def _reserve(
        self, exchange: Exchange, last: errors.Refusal | None
    ) -> Reservation:
        service = exchange.route.service
        moved = self._reserve_in_shift_target(service, exchange)
        if moved is not None:
            return Reservation(service.path, moved, self.vm.now())
        if last is not None:
            return self._reserve_untried(exchange, last)
        upstream = await self.admission.take_slot(
            service,
            exchange.workspace,
            exchange.weight,
            exchange.queue_deadline,
        )
        return Reservation(service.path, upstream, self.vm.now())

    def _reserve_untried(
        self, exchange: Exchange, last: errors.Refusal
    ) -> Reservation:
        """Takes a slot on an upstream that has not failed this request."""
        service = exchange.route.service.path
        region = self.vm.flags.region
        upstream = self.admission.try_take_slot(service, region, exchange.tried)
        if upstream is None:
            raise errors.RefusedError(last)
        return Reservation(service, upstream, self.vm.now())

    def _reserve_in_shift_target(
        self, service: catalog.Service, exchange: Exchange
    ) -> upstreams.Upstream | None:
        """Takes a slot in another region if a running shift allows it."""
        own = self.vm
        for path, shift in service.shifts:
            if shift.source != own.flags.region:
                continue
            run = self.active_shifts.setdefault(path, shifts.ActiveShift())
            healthy = self._is_healthy(service, shift.target)
            if not run.update(healthy, own.now()):
                continue
            if not self.admission.try_take_token(path):
                continue
            if not self.admission.try_take_token(
                catalog.region_path(shift.target)
            ):
                continue
            upstream = self.admission.try_take_slot(
                service.path, shift.target, exchange.tried
            )
            if upstream is not None:
                own.metrics.moved[path] += 1
                return upstream
        return None

    def _is_healthy(self, service: catalog.Service, region: str) -> bool:
        """Tells whether a region's upstreams are known to be well now."""
        own = self.vm
        now = own.now()
        heard = any(
            known.record.region == region
            and not known.is_suspect(now)
            and known.record.state == lifecycles.VmState.SERVING
            for known in own.directory.vms.values()
        )
        return heard and own.pool(service.path).has_usable(region, now)

    async def _attempt(
        self, exchange: Exchange, lane: Reservation
    ) -> StreamingResponse:
        was_sent = exchange.is_sent
        try:
            response = await self._request(exchange, lane)
        except asyncio.CancelledError:
            self._record_timeout(exchange, lane)
            self.admission.release_slot(lane.service, lane.upstream)
            raise
        except BaseException:
            self.admission.release_slot(lane.service, lane.upstream)
            raise
        shed = exchange.route.service.shed
        if response.status == shed.status and shed.header in response.headers:
            response.close()
            exchange.is_sent = was_sent
            self._record_shed(lane)
            raise _ShedError
        return StreamingResponse(response, lane)

    def _record_shed(self, lane: Reservation) -> None:
        self.vm.metrics.sheds += 1
        self.vm.pool(lane.service).record_shed(lane.upstream, self.vm.now())
        self.admission.release_slot(lane.service, lane.upstream)

    async def _request(
        self, exchange: Exchange, lane: Reservation
    ) -> aiohttp.ClientResponse:
        pool = self.vm.pool(lane.service)
        was_sent = exchange.is_sent
        name = lane.upstream.record.name
        if self.vm.trace.is_on:
            self._trace_sent(exchange, lane)
        # From here on a byte may be under way, unless connecting fails.
        exchange.is_sent = True
        try:
            return await self._send_request(exchange, lane)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            exchange.is_sent = was_sent
            pool.record_failure(lane.upstream, 0.0, self.vm.now())
            exchange.tried.add(name)
            raise _upstream_failure(
                exchange, "cannot be connected to"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            if exchange.body_refusal is not None:
                raise errors.RefusedError(exchange.body_refusal) from error
            pool.record_failure(lane.upstream, 0.0, self.vm.now())
            exchange.tried.add(name)
            raise _upstream_failure(exchange, "broke the connection") from error

    def _trace_sent(self, exchange: Exchange, lane: Reservation) -> None:
        upstream = lane.upstream
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

    def _record_timeout(self, exchange: Exchange, lane: Reservation) -> None:
        # A caller may go away, or allow less time than the route does; that
        # alone says nothing against the upstream.
        seconds = self.vm.now() - lane.started
        allowed = exchange.route.timeout_ms / 1000
        if seconds >= allowed * TIMEOUT_FAILURE_RATIO:
            self.vm.pool(lane.service).record_failure(
                lane.upstream, seconds, self.vm.now()
            )

    async def _send_request(
        self, exchange: Exchange, lane: Reservation
    ) -> aiohttp.ClientResponse:
        request = exchange.request
        passed = headers.to_upstream(request.headers, exchange.key)
        if exchange.workspace:
            passed[headers.WORKSPACE] = exchange.workspace.rpartition("/")[2]
        left_ms = int((exchange.deadline - self.vm.now()) * 1000)
        passed[headers.TIMEOUT] = str(max(1, left_ms))
        passed["Host"] = request.headers["Host"]
        data: bytes | AsyncIterator[bytes] | None = exchange.body or None
        if exchange.body is None:
            data = self._stream_body(exchange)
            length = request.content_length
            if length is not None:
                passed["Content-Length"] = str(length)
        address = lane.upstream.record.address
        return await self.session.request(
            request.method,
            yarl.URL(f"http://{address}{exchange.target}", encoded=True),
            headers=passed,
            data=data,
            allow_redirects=False,
        )

    async def _stream_body(self, exchange: Exchange) -> AsyncIterator[bytes]:
        limit = exchange.route.service.max_body_bytes
        size = 0
        try:
            async for chunk in exchange.request.content.iter_chunked(
                CHUNK_BYTES
            ):
                size += len(chunk)
                if size > limit:
                    raise _too_large(limit)
                yield chunk
        except errors.RefusedError as error:
            exchange.body_refusal = error.refusal
            raise
        except (aiohttp.ClientError, OSError) as error:
            exchange.body_refusal = errors.Refusal(
                errors.Kind.MALFORMED, "the body was cut", executed="unknown"
            )
            raise errors.RefusedError(exchange.body_refusal) from error

    def finish(self, answer: StreamingResponse, is_complete: bool) -> None:
        """Gives the slot of an answer back.

        Args:
            answer: What `send` returned.
            is_whole: Whether its body was read to the end. A connection
                with an answer under way is closed, never reused.
        """
        response = answer.response
        lane = answer.reservation
        if is_complete:
            response.release()
        else:
            response.close()
        now = self.vm.now()
        pool = self.vm.pool(lane.service)
        seconds = now - lane.started
        if is_complete and response.status < 500:
            pool.record_success(lane.upstream, seconds, now)
        else:
            pool.record_failure(lane.upstream, seconds, now)
        self.admission.release_slot(lane.service, lane.upstream)


def _too_large(limit: int) -> errors.RefusedError:
    return errors.refuse(
        errors.Kind.BODY_TOO_LARGE,
        f"the body is over {limit} bytes",
        executed="unknown",
    )


def _upstream_failure(exchange: Exchange, what: str) -> errors.RefusedError:
    executed = "unknown" if exchange.is_sent else "no"
    return errors.refuse(
        errors.Kind.UPSTREAM_FAILED, f"the upstream {what}", executed=executed
    )


def check_target(target: str) -> str:
    """Returns the decoded path of a request target.

    Dot segments are refused: an upstream that resolves them would see
    another path than the one whose route was checked.

    Raises:
        RefusedError: The target is not in origin form, or has dot segments.
    """
    if not target.startswith("/"):
        raise errors.refuse(
            errors.Kind.MALFORMED, "the request target must begin with '/'"
        )
    path = target.partition("?")[0].partition("#")[0]
    if "%" in path:
        path = urllib.parse.unquote(path, errors="replace")
    if "/." in path or "\\" in path:
        segments = path.replace("\\", "/").split("/")
        if "." in segments or ".." in segments:
            raise errors.refuse(
                errors.Kind.MALFORMED, "the path has dot segments"
            )
    return path
