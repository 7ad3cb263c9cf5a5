"""Messages with which an entry VM has a call sent by another one, its helper.

Every struct is an array on the wire, so the order of fields is fixed. Text that
callers and upstreams choose is sent as bytes, because it need not be UTF-8.
"""

import msgspec
import multidict

from pollenseam import calls
from pollenseam import errors
from pollenseam import items
from pollenseam import peers
from pollenseam import routing
from pollenseam import steering

# Outcomes of a relayed call: an upstream replied; the call was refused, or an
# upstream received it and gave no valid reply; the helper reaches no upstream
# of the service; it has no capacity to lend.
REPLIED = "replied"
REFUSED = "refused"
NOT_REACHED = "not-reached"
NO_CAPACITY = "no-capacity"
# Outcomes after which the call has certainly not been executed.
NOT_SENT_OUTCOMES = (NOT_REACHED, NO_CAPACITY)

Fields = list[tuple[bytes, bytes]]


class RelayedCall(msgspec.Struct, array_like=True):
    """A call that the receiver is to send to one upstream.

    Attributes:
        service: Name of the service that handles the call.
        route: Name of the route.
        regions: Regions that may serve the call; all if empty.
        left_ms: Milliseconds until the caller must have the final reply.
        target_ms: Latency target of the route in milliseconds.
        priority: Priority of the call; 0 is the highest.
        is_risky: Whether the call may crash the upstream that runs it.
        tried: Ids of upstreams that must not receive the call again.
        id: The caller's id of the request, or "".
        method: HTTP method.
        target: Path and query as sent.
        host: Host header.
        headers: Headers to forward to the upstream.
        body: Complete body.
        object: Id of the object that the request concerns, or None.
        workspace: Name of the key's workspace, or "".
        logical: Logical clock of the sender.
    """

    service: str
    route: str
    regions: list[str]
    left_ms: int
    target_ms: int
    priority: int
    is_risky: bool
    tried: list[str]
    id: bytes
    method: bytes
    target: bytes
    host: bytes
    headers: Fields
    body: bytes
    object: bytes | None
    workspace: str
    logical: int = 0


class RelayedReply(msgspec.Struct, array_like=True):
    """An upstream's complete reply.

    Attributes:
        status: HTTP status code.
        reason: HTTP reason phrase, or None.
        headers: Headers as received.
        body: Complete body.
    """

    status: int
    reason: bytes | None
    headers: Fields
    body: bytes


class RelayedRefusal(msgspec.Struct, array_like=True):
    """Why a relayed call got no reply.

    Attributes:
        kind: Error kind, see `errors.Kind`.
        detail: Description of the error for people.
        executed: "no" or "unknown".
        retry_after: Seconds after which a retry may succeed, or None.
    """

    kind: str
    detail: str
    executed: str
    retry_after: float | None


class RelayResponse(msgspec.Struct, array_like=True):
    """Response to a RelayedCall.

    Attributes:
        outcome: REPLIED, REFUSED, NOT_REACHED or NO_CAPACITY.
        reply: The reply, if there is one.
        refusal: The refusal, if there is one.
        upstream: Id of the upstream that received the call, or "".
        executions: Upstreams that may have executed the call: 0 or 1.
        is_risky: Whether the call may have crashed its upstream.
        logical: Logical clock of the sender.
    """

    outcome: str
    reply: RelayedReply | None = None
    refusal: RelayedRefusal | None = None
    upstream: str = ""
    executions: int = 0
    is_risky: bool = False
    logical: int = 0


RELAY = peers.Method("Relay", RelayedCall, RelayResponse)
# Asks a helper for a sign of life.
CHECK = peers.Method("RelayCheck", peers.Empty, peers.Empty)


def _to_bytes(text: str) -> bytes:
    return text.encode("utf-8", "surrogateescape")


def _to_text(data: bytes) -> str:
    return data.decode("utf-8", "surrogateescape")


def from_active_call(
    active_call: calls.ActiveCall, left_seconds: float
) -> RelayedCall:
    """Returns the message that has a call sent by a helper."""
    call = active_call.call
    named_route = active_call.named_route
    return RelayedCall(
        active_call.service,
        named_route.name,
        sorted(active_call.regions),
        int(left_seconds * 1000),
        int(named_route.route.target_seconds * 1000),
        active_call.priority,
        active_call.is_risky,
        sorted(active_call.received_by),
        _to_bytes(call.id),
        _to_bytes(call.method),
        _to_bytes(call.target),
        _to_bytes(call.host),
        [(_to_bytes(k), _to_bytes(v)) for k, v in call.headers.items()],
        call.body,
        None if call.object is None else _to_bytes(call.object),
        call.workspace,
    )


def to_active_call(
    message: RelayedCall, pool: steering.Pool, now: float
) -> calls.ActiveCall:
    """Returns the call that a helper sends, at most to one upstream."""
    target = _to_text(message.target)
    deadline = now + message.left_ms / 1000
    call = calls.Call(
        _to_text(message.id),
        _to_text(message.method),
        target,
        _to_text(message.host),
        target.partition("?")[0],
        multidict.CIMultiDict(
            (_to_text(k), _to_text(v)) for k, v in message.headers
        ),
        message.body,
        None,
        None if message.object is None else _to_text(message.object),
        deadline,
        now,
    )
    call.workspace = message.workspace
    call.route = message.route
    route = items.Route(
        host=call.host,
        prefix="/",
        is_idempotent=False,
        timeout_seconds=message.left_ms / 1000,
        target_seconds=message.target_ms / 1000,
        priority=message.priority,
        splits=[],
        max_attempts=1,
        is_open=False,
        is_sticky=False,
        allowed_regions=message.regions,
    )
    active_call = calls.ActiveCall(
        call,
        routing.NamedRoute(message.route, route),
        message.service,
        pool,
        deadline,
        frozenset(message.regions),
        message.priority,
    )
    active_call.tried.update(message.tried)
    active_call.is_risky = message.is_risky
    return active_call


def from_reply(reply: calls.Reply) -> RelayedReply:
    """Returns the message with an upstream's reply."""
    return RelayedReply(
        reply.status,
        None if reply.reason is None else _to_bytes(reply.reason),
        [(_to_bytes(k), _to_bytes(v)) for k, v in reply.headers.items()],
        reply.body,
    )


def to_reply(message: RelayedReply) -> calls.Reply:
    """Returns the reply in a message."""
    headers = multidict.CIMultiDict(
        (_to_text(k), _to_text(v)) for k, v in message.headers
    )
    reason = None if message.reason is None else _to_text(message.reason)
    return calls.Reply(
        message.status,
        reason,
        multidict.CIMultiDictProxy(headers),
        message.body,
    )


def from_refusal(refusal: errors.Refusal) -> RelayedRefusal:
    """Returns the message with a refusal."""
    return RelayedRefusal(
        refusal.kind.value,
        refusal.detail,
        refusal.executed,
        refusal.retry_after,
    )


def to_refusal(message: RelayedRefusal) -> errors.Refusal:
    """Returns the refusal in a message.

    A VM of another version may use kinds that this one does not know.
    """
    try:
        kind = errors.Kind(message.kind)
    except ValueError:
        kind = errors.Kind.UPSTREAM_FAILED
    return errors.Refusal(
        kind, message.detail, message.executed, message.retry_after
    )
