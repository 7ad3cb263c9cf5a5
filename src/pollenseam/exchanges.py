"""Proxied requests, and the state of their attempts."""

from collections.abc import AsyncIterator

import aiohttp
import multidict
from aiohttp import web

from pollenseam import calls
from pollenseam import catalog
from pollenseam import errors
from pollenseam import fingerprints
from pollenseam import upstreams

IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
)
NO_WORKSPACE = ""


class Exchange:
    """One proxied request and the state of its attempts.

    Attributes:
        method: HTTP method.
        headers: Headers as received.
        content: The body as it arrives, if it is not buffered.
        content_length: Length of that body in bytes, or None if not declared.
        target: Path and query as sent by the caller.
        route: Route that matched the request.
        workspace: Path of the key's workspace, or "" on open routes.
        weight: Weight of the workspace in the queues for slots.
        key: The caller's key, or None.
        deadline: Time, in seconds of the VM's clock, by which the response
            must be complete.
        queue_deadline: Time until which the request may wait for tokens and
            slots.
        body: The buffered body, or None if the body is streamed.
        is_at_most_once: Whether the route limits the request to one
            execution.
        is_relayed: Whether another VM has read the request. It is then sent to
            one upstream at most, and by no further VM.
        tried: Names of the upstreams on which an attempt failed.
        received_by: Names of those that may have received the request, in an
            attempt that was not shed.
        connect_failures: Attempts that failed to connect.
        is_prevented: Whether a connection would have had to be opened although
            this VM reaches no upstream.
        relays: Attempts to have the request sent by another VM.
        is_helpless: Whether no other VM could send it.
        is_sent: Whether a byte of the request may have reached an upstream, in
            an attempt that was not shed.
        is_partly_read: Whether a part of the streamed body was read, so that
            the rest must not be sent as the whole.
        body_refusal: Why the streamed body was aborted, or None.
        claim: Digest that identifies the request's claim, or "".
        attempt: Id of the attempt that has the claim, or "".
        breaks: Attempts in which the connection to the upstream broke.
        is_suspect: Whether the request may have crashed upstreams before.
    """

    __slots__ = (
        "method",
        "headers",
        "content",
        "content_length",
        "target",
        "route",
        "workspace",
        "weight",
        "key",
        "deadline",
        "queue_deadline",
        "body",
        "is_at_most_once",
        "is_relayed",
        "tried",
        "received_by",
        "connect_failures",
        "is_prevented",
        "relays",
        "is_helpless",
        "is_sent",
        "is_partly_read",
        "body_refusal",
        "claim",
        "attempt",
        "breaks",
        "is_suspect",
        "_fingerprint",
    )

    def __init__(
        self,
        method: str,
        headers: multidict.CIMultiDictProxy[str],
        target: str,
        route: catalog.Route,
        deadline: float,
        queue_deadline: float,
    ) -> None:
        self.method = method
        self.headers = headers
        self.content: aiohttp.StreamReader = aiohttp.streams.EMPTY_PAYLOAD
        self.content_length: int | None = None
        self.target = target
        self.route = route
        self.workspace = NO_WORKSPACE
        self.weight = 1.0
        self.key: str | None = None
        self.deadline = deadline
        self.queue_deadline = queue_deadline
        self.body: bytes | None = None
        self.is_at_most_once = False
        self.is_relayed = False
        self.tried: set[str] = set()
        self.received_by: set[str] = set()
        self.connect_failures = 0
        self.is_prevented = False
        self.relays = 0
        self.is_helpless = False
        self.is_sent = False
        self.is_partly_read = False
        self.body_refusal: errors.Refusal | None = None
        self.claim = ""
        self.attempt = ""
        self.breaks = 0
        self.is_suspect = False
        self._fingerprint = b""

    @property
    def may_resend(self) -> bool:
        """Whether the request may be resent after a byte of it was sent."""
        idempotent = self.method in IDEMPOTENT_METHODS
        return idempotent and not self.is_at_most_once and self.body is not None

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request; b"" if its body is streamed.

        Computed when it is first needed, which is after the body was buffered.
        """
        if not self._fingerprint and self.body is not None:
            self._fingerprint = fingerprints.fingerprint(
                self.method,
                self.headers["Host"],
                self.target,
                self.workspace,
                self.body,
            )
        return self._fingerprint


class CallerExchange(Exchange):
    """A request that this VM has read from a caller.

    Attributes:
        request: The caller's request.
    """

    __slots__ = ("request",)

    def __init__(
        self,
        request: web.BaseRequest,
        target: str,
        route: catalog.Route,
        deadline: float,
        queue_deadline: float,
    ) -> None:
        super().__init__(
            request.method,
            request.headers,
            target,
            route,
            deadline,
            queue_deadline,
        )
        self.request = request
        self.content = request.content
        self.content_length = request.content_length


class Reservation:
    """A slot reserved on an upstream for one attempt.

    Attributes:
        service: Path of the service.
        upstream: The upstream.
        started: Time at which the slot was reserved.
    """

    __slots__ = ("service", "upstream", "started")

    def __init__(
        self, service: str, upstream: upstreams.Upstream, started: float
    ) -> None:
        self.service = service
        self.upstream = upstream
        self.started = started


class BufferedResponse:
    """A complete response that another VM has received from an upstream.

    It has the part of the interface of `aiohttp.ClientResponse` that is used.

    Attributes:
        status: HTTP status code.
        reason: HTTP reason phrase, or None.
        headers: Headers as received by the other VM.
        body: Complete body.
    """

    __slots__ = ("status", "reason", "headers", "body")

    def __init__(self, reply: calls.Reply) -> None:
        self.status = reply.status
        self.reason = reply.reason
        self.headers = reply.headers
        self.body = reply.body

    @property
    def content_length(self) -> int:
        """Length of the body in bytes."""
        return len(self.body)

    @property
    def content(self) -> "BufferedResponse":
        """The body, to be read in chunks."""
        return self

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yields the body."""
        yield self.body

    async def read(self) -> bytes:
        """Returns the body."""
        return self.body

    def release(self) -> None:
        """Does nothing: the response occupies no connection."""

    def close(self) -> None:
        """Does nothing: the response occupies no connection."""


Response = aiohttp.ClientResponse | BufferedResponse


class StreamingResponse:
    """An upstream's response whose body has not been read yet.

    Attributes:
        response: The response; its head has been received.
        reservation: Slot that the request occupies until `finish`; None if
            another VM has sent it.
        exchange: The request.
    """

    __slots__ = ("response", "reservation", "exchange")

    def __init__(
        self,
        response: Response,
        reservation: Reservation | None,
        exchange: Exchange,
    ) -> None:
        self.response = response
        self.reservation = reservation
        self.exchange = exchange
