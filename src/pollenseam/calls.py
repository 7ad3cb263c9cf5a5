"""Calls of callers, their replies, and the state of a call's attempts."""

from typing import Protocol

import multidict

from pollenseam import connects
from pollenseam import errors
from pollenseam import fingerprints
from pollenseam import requirements
from pollenseam import routing
from pollenseam import steering

MAX_CONNECT_FAILURES = 3
# Longest expected time to a reply, as a multiple of the route's latency target,
# by priority (0 is the highest). Lower priorities have lower limits, which
# leaves capacity for higher ones under load.
MAX_WAIT_RATIOS = (2.0, 1.8, 1.5)
# Part of the saved-up requests to an upstream with a limited rate that is left
# to higher priorities, by priority.
RESERVE_RATIOS = (0.0, 0.4, 0.9)


class Call:
    """One request of a caller.

    Attributes:
        id: The caller's id of the request, or "".
        method: HTTP method.
        target: Path and query as sent.
        host: Host header.
        path: Path of the target.
        headers: Headers to forward to the upstream.
        body: Complete body.
        key: The caller's key, or None.
        object: Id of the object that the request concerns, or None.
        deadline: Time, in seconds of the VM's clock, after which the caller no
            longer waits.
        arrived_at: Time, in seconds of the VM's clock, at which the request's
            head was read.
        workspace: Name of the key's workspace, or "".
        route: Name of the matched route, or "" before routing.
    """

    __slots__ = (
        "id",
        "method",
        "target",
        "host",
        "path",
        "headers",
        "body",
        "key",
        "object",
        "deadline",
        "arrived_at",
        "workspace",
        "route",
    )

    def __init__(
        self,
        id: str,
        method: str,
        target: str,
        host: str,
        path: str,
        headers: multidict.CIMultiDict[str],
        body: bytes,
        key: str | None,
        object: str | None,
        deadline: float,
        arrived_at: float,
    ) -> None:
        self.id = id
        self.method = method
        self.target = target
        self.host = host
        self.path = path
        self.headers = headers
        self.body = body
        self.key = key
        self.object = object
        self.deadline = deadline
        self.arrived_at = arrived_at
        self.workspace = ""
        self.route = ""


class ReplyHead:
    """Protocol information in the head of a reply.

    Attributes:
        is_not_run: Whether the upstream declared that it did not run the
            request.
        is_replaced: Whether another upstream uses the address now.
        matches_request: Whether the reply is the upstream's own and answers
            this request.
        running: Requests that the upstream is running, or -1 if not reported.
        waiting: Requests that are queued at the upstream.
        stated_limit: Requests per second that the upstream accepts from all
            VMs together, as text; "" if not stated.
        is_leaving: Whether the upstream says that it leaves.
        pause: Seconds for which the upstream wants no request of this VM, as
            text; "" if not stated.
        pace: How long work takes on the upstream at this moment, by the usual
            time; None if not stated.
    """

    __slots__ = (
        "is_not_run",
        "is_replaced",
        "matches_request",
        "running",
        "waiting",
        "stated_limit",
        "is_leaving",
        "pause",
        "pace",
    )

    def __init__(
        self,
        is_not_run: bool,
        is_replaced: bool,
        matches_request: bool,
        running: int = -1,
        waiting: int = 0,
        stated_limit: str = "",
        is_leaving: bool = False,
        pause: str = "",
        pace: float | None = None,
    ) -> None:
        self.pace = pace
        self.is_not_run = is_not_run
        self.is_replaced = is_replaced
        self.matches_request = matches_request
        self.running = running
        self.waiting = waiting
        self.stated_limit = stated_limit
        self.is_leaving = is_leaving
        self.pause = pause


class ResponseHead(Protocol):
    """The head of an upstream's response, received here or by a helper."""

    @property
    def status(self) -> int:
        """HTTP status code."""

    @property
    def headers(self) -> multidict.CIMultiDictProxy[str]:
        """Headers as received."""


class UpstreamProtocol(Protocol):
    """Headers that an entry VM and its upstreams exchange."""

    def request_headers(
        self, call: Call, upstream: str, left_seconds: float
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of a request that sends `call` to an upstream.

        Args:
            call: The call.
            upstream: Id of the upstream.
            left_seconds: Time until the caller must have the final reply.
        """

    def read_head(self, call: Call, response: ResponseHead) -> ReplyHead:
        """Returns the protocol information in the head of a reply."""


class Reply:
    """An upstream's complete, buffered reply.

    Attributes:
        status: HTTP status code.
        reason: HTTP reason phrase, or None.
        headers: Headers as received.
        body: Complete body.
    """

    __slots__ = ("status", "reason", "headers", "body")

    def __init__(
        self,
        status: int,
        reason: str | None,
        headers: multidict.CIMultiDictProxy[str],
        body: bytes,
    ) -> None:
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = body


class ActiveCall:
    """A call and the state of its attempts.

    Attributes:
        call: The call.
        named_route: The matched route with its name.
        service: Name of the service that handles the call.
        pool: Upstreams of that service.
        deadline: Time, in seconds of the VM's clock, by which the caller must
            have the final reply.
        regions: Regions that may serve the call; all when empty.
        priority: Priority of the call; 0 is the highest.
        tried: Ids of upstreams that must not receive the call again.
        received_by: Ids of those of them that have, or may have, received it.
        deliveries: Attempts that reached an upstream.
        executions: Attempts that an upstream may have executed.
        connect_failures: Attempts that failed to connect.
        reply: Last reply with a 5xx status, returned if the call cannot be
            sent again; or None.
        refusal: Refusal for the failed attempts so far, or None. Attempts that
            may have been executed take precedence.
        is_risky: Whether the call may crash the upstream that runs it.
        max_runs: Number of upstreams that may run the call.
        connection: Kind of connection that the last attempt used, see
            `connects`.
        needs_helper: Whether a connection would have had to be opened although
            this VM reaches no upstream.
        is_helpless: Whether no other VM could send the call.
        has_retry: Whether the next attempt's retry was taken from the budget.
        found_no_room: Whether an upstream had no room for the call.
    """

    __slots__ = (
        "call",
        "named_route",
        "service",
        "pool",
        "deadline",
        "regions",
        "priority",
        "tried",
        "deliveries",
        "executions",
        "connect_failures",
        "reply",
        "refusal",
        "is_risky",
        "max_runs",
        "connection",
        "received_by",
        "needs_helper",
        "is_helpless",
        "has_retry",
        "found_no_room",
        "_fingerprint",
    )

    def __init__(
        self,
        call: Call,
        named_route: routing.NamedRoute,
        service: str,
        pool: steering.Pool,
        deadline: float,
        regions: frozenset[str],
        priority: int,
    ) -> None:
        self.call = call
        self.named_route = named_route
        self.service = service
        self.pool = pool
        self.deadline = deadline
        self.regions = regions
        self.priority = priority
        self.tried: set[str] = set()
        self.received_by: set[str] = set()
        self.deliveries = 0
        self.executions = 0
        self.connect_failures = 0
        self.reply: Reply | None = None
        self.refusal: errors.Refusal | None = None
        self.is_risky = False
        self.max_runs = named_route.route.max_attempts
        self.connection = connects.NONE
        self.needs_helper = False
        self.is_helpless = False
        self.has_retry = False
        self.found_no_room = False
        self._fingerprint = b""

    @property
    def fingerprint(self) -> bytes:
        """Fingerprint of the request, computed when it is first needed."""
        call = self.call
        if not self._fingerprint:
            self._fingerprint = fingerprints.fingerprint(
                call.method, call.host, call.target, call.workspace, call.body
            )
        return self._fingerprint

    @property
    def object(self) -> str | None:
        """Object id with the route's name as prefix; None if the call has none.

        Upstreams cache objects separately for each route.
        """
        if self.call.object is None:
            return None
        return f"{self.named_route.name}/{self.call.object}"

    def requirements(self) -> requirements.Requirements:
        """Returns the requirements that an upstream must meet."""
        level = min(max(self.priority, 0), len(MAX_WAIT_RATIOS) - 1)
        target_seconds = (
            MAX_WAIT_RATIOS[level] * self.named_route.route.target_seconds
        )
        return requirements.Requirements(
            self.named_route.name,
            self.object,
            self.regions,
            self.tried,
            target_seconds,
            RESERVE_RATIOS[level],
            self.is_risky,
        )

    def may_retry(self) -> bool:
        """Returns whether the call may be sent to another upstream."""
        if self.connect_failures >= MAX_CONNECT_FAILURES:
            return False
        return self.may_run_again()

    def may_run_twice(self) -> bool:
        """Returns whether another upstream may run the call beside this one.

        The attempt in progress counts as executed.
        """
        is_idempotent = self.named_route.route.is_idempotent
        return is_idempotent and self.executions + 1 < self.max_runs

    def may_run_again(self) -> bool:
        """Returns whether another upstream may run the call."""
        if self.executions and not self.named_route.route.is_idempotent:
            return False
        return self.executions < self.max_runs
