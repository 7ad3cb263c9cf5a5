"""Proxied requests, and the state of their attempts."""

import aiohttp
from aiohttp import web

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
        request: The caller's request.
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
        tried: Names of the upstreams on which an attempt failed.
        connect_failures: Attempts that failed to connect.
        is_sent: Whether a byte of the request may have reached an upstream, in
            an attempt that was not shed.
        body_refusal: Why the streamed body was aborted, or None.
        claim: Digest that identifies the request's claim, or "".
        attempt: Id of the attempt that has the claim, or "".
        breaks: Attempts in which the connection to the upstream broke.
        is_suspect: Whether the request may have crashed upstreams before.
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
        "connect_failures",
        "is_sent",
        "body_refusal",
        "claim",
        "attempt",
        "breaks",
        "is_suspect",
        "_fingerprint",
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
        self.connect_failures = 0
        self.is_sent = False
        self.body_refusal: errors.Refusal | None = None
        self.claim = ""
        self.attempt = ""
        self.breaks = 0
        self.is_suspect = False
        self._fingerprint = b""

    @property
    def may_resend(self) -> bool:
        """Whether the request may be resent after a byte of it was sent."""
        idempotent = self.request.method in IDEMPOTENT_METHODS
        return idempotent and not self.is_at_most_once and self.body is not None

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request; b"" if its body is streamed.

        Computed when it is first needed, which is after the body was buffered.
        """
        if not self._fingerprint and self.body is not None:
            self._fingerprint = fingerprints.fingerprint(
                self.request.method,
                self.request.headers["Host"],
                self.target,
                self.workspace,
                self.body,
            )
        return self._fingerprint


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


class StreamingResponse:
    """An upstream's response whose body has not been read yet.

    Attributes:
        response: The response; its head has been received.
        reservation: Slot that the request occupies until `finish`.
        exchange: The request.
    """

    __slots__ = ("response", "reservation", "exchange")

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        reservation: Reservation,
        exchange: Exchange,
    ) -> None:
        self.response = response
        self.reservation = reservation
        self.exchange = exchange
