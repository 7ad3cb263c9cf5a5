"""Calls of callers, their answers, and a call's way through its tries."""

from typing import Protocol

import aiohttp
import multidict

from pollenseam import errors
from pollenseam import routing
from pollenseam import steering

MAX_CONNECT_FAILURES = 3
# Time to an expected answer that is worth waiting, over the route's target, by
# priority: lower ones leave room for higher ones.
MAX_WAIT_RATIOS = (2.0, 1.8, 1.5)


class Call:
    """One request of a caller.

    Attributes:
        id: The caller's id of it.
        method: Its method.
        target: Path and query as sent.
        host: Its host.
        path: Its path.
        headers: Headers that go on to the upstream.
        body: Its whole body.
        key: The caller's key, or None.
        object: What it concerns, or None.
        deadline: Time after which the caller no longer waits.
        arrived_at: Time at which it was read.
        workspace: Name of the key's workspace, or "".
        route: Name of its route, or "" until that is known.
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
    """What an answer's head says.

    Attributes:
        is_not_run: Whether the upstream declared that it did not run it.
        is_other: Whether another upstream has the address now.
        is_own: Whether it is the upstream's answer to this very request.
        running: Requests that the upstream runs, or -1 when it does not say.
        waiting: Requests that wait there.
    """

    __slots__ = (
        "is_not_run",
        "is_replaced",
        "matches_request",
        "running",
        "waiting",
    )

    def __init__(
        self,
        is_not_run: bool,
        is_replaced: bool,
        matches_request: bool,
        running: int = -1,
        waiting: int = 0,
    ) -> None:
        self.is_not_run = is_not_run
        self.is_replaced = is_replaced
        self.matches_request = matches_request
        self.running = running
        self.waiting = waiting


class UpstreamProtocol(Protocol):
    """How upstreams are spoken to."""

    def request_headers(
        self, call: Call, upstream: str, left_seconds: float
    ) -> multidict.CIMultiDict[str]:
        """Returns the headers of a send of `call` to an upstream."""

    def read_head(
        self, call: Call, answer: aiohttp.ClientResponse
    ) -> ReplyHead:
        """Returns what an answer's head says."""


class Reply:
    """An upstream's whole answer.

    Attributes:
        status: Its status.
        reason: Its reason phrase.
        headers: Its headers.
        body: Its whole body.
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
    """One call on its way through its tries.

    Attributes:
        call: The call.
        entry: Its route.
        service: Name of the service that it goes to.
        pool: Upstreams of that service.
        deadline: Time by which it has its final answer.
        regions: Regions that may serve it; all when empty.
        priority: 0 goes first.
        tried: Ids of upstreams that must not get it again.
        arrivals: Sends that arrived at an upstream.
        runs: Sends that may have run.
        connect_failures: Sends that did not leave this VM.
        reply: An upstream's failure that is passed on if no try does better.
        refusal: What the last try came to, or None.
    """

    __slots__ = (
        "call",
        "entry",
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
    )

    def __init__(
        self,
        call: Call,
        entry: routing.NamedRoute,
        service: str,
        pool: steering.Pool,
        deadline: float,
        regions: frozenset[str],
        priority: int,
    ) -> None:
        self.call = call
        self.entry = entry
        self.service = service
        self.pool = pool
        self.deadline = deadline
        self.regions = regions
        self.priority = priority
        self.tried: set[str] = set()
        self.deliveries = 0
        self.executions = 0
        self.connect_failures = 0
        self.reply: Reply | None = None
        self.refusal: errors.Refusal | None = None

    @property
    def object(self) -> str | None:
        """What it concerns; upstreams know an object by route."""
        if self.call.object is None:
            return None
        return f"{self.entry.name}/{self.call.object}"

    def requirements(self) -> steering.Requirements:
        """Returns what it needs of an upstream."""
        rank = min(max(self.priority, 0), len(MAX_WAIT_RATIOS) - 1)
        patience = MAX_WAIT_RATIOS[rank] * self.entry.route.target_seconds
        return steering.Requirements(
            self.entry.name, self.object, self.regions, self.tried, patience
        )

    def may_retry(self) -> bool:
        """Whether it may be sent to one more upstream."""
        if self.connect_failures >= MAX_CONNECT_FAILURES:
            return False
        if self.executions and not self.entry.route.is_repeatable:
            return False
        return self.executions < self.entry.route.max_attempts
