"""The commands that the quorum log carries to the state machine."""

import functools
import hashlib

import msgspec

from pollenseam import bounds
from pollenseam import errors
from pollenseam import items
from pollenseam import registry
from pollenseam import settings
from pollenseam import validity

# Stands for an index of the log that is not known.
NO_INDEX = -1


class Command(msgspec.Struct, tag=True, array_like=True):
    """Base of every command."""


class Change(Command):
    """Base of the changes that operators make.

    Attributes:
        change_id: Identifies the change; a resend under the same id gets the
            outcome of the first one and changes nothing.
        token_digest: Digest of the operator's token.
    """

    change_id: str
    token_digest: str


class ApplySettings(Change, tag="apply"):
    """Replaces a subtree of the settings.

    Keys stay as long as the nodes above them exist. Operators and the state
    of shifts stay too.

    Attributes:
        at: Path of the subtree.
        nodes: New nodes by path.
        expect_version: Version that the subtree must have, or None.
    """

    at: str
    nodes: dict[str, settings.AnyNode]
    expect_version: int | None


class PutNode(Change, tag="put"):
    """Adds a key or an operator.

    Attributes:
        path: Path of the node.
        node: The key or operator.
    """

    path: str
    node: settings.AnyNode


class Withdraw(Change, tag="withdraw"):
    """Withdraws a key or an operator's token.

    Attributes:
        collection: "keys" or "operators".
        id: Public identifier of the secret.
    """

    collection: str
    id: str


class SetShift(Change, tag="set-shift"):
    """Starts or stops a shift.

    Attributes:
        path: Path of the shift.
        state: "running" or "stopped".
    """

    path: str
    state: str


class OpenClaim(Command, tag="claim-open"):
    """Opens the claim of an at-most-once request.

    Attributes:
        workspace: Path of the workspace, or of the service on open routes.
        key: Idempotency key.
        body_digest: Hex SHA-256 over method, host of the route, target and
            body.
        attempt: Unique per request at an entry VM. If the response to this
            command is lost, the same attempt may open the claim again.
        timeout_ms: Time after which the outcome of the request is unknown
            if no answer has been stored, in milliseconds.
    """

    workspace: str
    key: str
    body_digest: str
    attempt: str
    timeout_ms: int


class StoredAnswer(msgspec.Struct, array_like=True):
    """The complete answer of an upstream, stored for resends."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class CloseClaim(Command, tag="claim-close"):
    """Stores the answer to a claimed request.

    Attributes:
        workspace: Path of the workspace, or of the service on open routes.
        key: Idempotency key.
        attempt: Attempt that opened the claim.
        answer: Answer of the upstream.
    """

    workspace: str
    key: str
    attempt: str
    answer: StoredAnswer


class ReleaseClaim(Command, tag="claim-release"):
    """Removes a claim whose request certainly did not run.

    Attributes:
        workspace: Path of the workspace, or of the service on open routes.
        key: Idempotency key.
        attempt: Attempt that opened the claim.
    """

    workspace: str
    key: str
    attempt: str


class CreateRootOperator(Command, tag="found"):
    """Adds the first operator of a new fleet, who owns the whole tree.

    The command does nothing if this operator exists already.

    Attributes:
        root_digest: Digest of the operator's token.
    """

    root_digest: str


class AdvanceClock(Command, tag="advance"):
    """Advances the state clock and removes expired claims.

    The first entry of every term is an AdvanceClock.
    """


class PatchItems(Command, tag="items"):
    """Sets and deletes items; those that are not newer have no effect."""

    changed_items: list[items.Item]


class SetEvacuation(Command, tag="evacuate"):
    """Starts or ends the evacuation of a failure domain.

    Attributes:
        failure_domain: Name of the failure domain.
        is_evacuated: Whether the evacuation starts.
        arrived_index: Index up to which the VM that got the order had applied
            the log when it arrived; NO_INDEX if that VM's build did not say.
            The leader uses it before the order is appended.
    """

    failure_domain: str
    is_evacuated: bool
    arrived_index: int = NO_INDEX


class RecordUpstreams(Command, tag="upstreams"):
    """Records announcements and expirations of upstreams."""

    records: list[registry.Upstream]


AnyCommand = (
    ApplySettings
    | PutNode
    | Withdraw
    | SetShift
    | OpenClaim
    | CloseClaim
    | ReleaseClaim
    | CreateRootOperator
    | AdvanceClock
    | PatchItems
    | SetEvacuation
    | RecordUpstreams
)


class Outcome(msgspec.Struct, array_like=True):
    """The result of one command.

    Attributes:
        kind: Error kind, or "" if the command succeeded.
        detail: Error message.
        version: Version of the changed path after the command.
        index: Index of the first log entry that had the command.
        answer: Stored answer of a claim that was closed before.
        granted: Whether the attempt has the claim and may send the request.
    """

    kind: str = ""
    detail: str = ""
    version: int = 0
    index: int = 0
    answer: StoredAnswer | None = None
    granted: bool = False


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: Command) -> bytes:
    """Returns the encoded command."""
    return _encoder.encode(command)


def decode(data: bytes) -> AnyCommand:
    """Returns the command encoded in `data`.

    Raises:
        msgspec.DecodeError: `data` is not an encoded command.
    """
    return _decoder.decode(data)


def decode_proposal(data: bytes) -> AnyCommand:
    """Returns a command that another VM submits.

    Raises:
        RefusedError: `data` is not an encoded command, or a value of the
            command is out of bounds.
    """
    try:
        command = decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.refuse(errors.Kind.MALFORMED, str(error)) from error
    check(command)
    return command


@functools.singledispatch
def check(command: object) -> None:
    """Checks that a command from outside may be proposed.

    Committed commands are applied without this check: all replicas must apply
    an entry in the same way, also one that an earlier version has accepted.

    Raises:
        RefusedError: A value of the command is out of bounds.
    """


@check.register
def _(command: PatchItems) -> None:
    for item in command.changed_items:
        validity.check(item)


@check.register
def _(command: SetEvacuation) -> None:
    validity.check(
        registry.Evacuation(command.failure_domain, command.is_evacuated)
    )
    bounds.check_number("index at the arrival", command.arrived_index, NO_INDEX)


@check.register
def _(command: RecordUpstreams) -> None:
    for record in command.records:
        validity.check(record)


def body_digest(change: Change) -> str:
    """Returns the digest of a change, whichever operator makes the change.

    The digest is stored. It depends on the names of the class and the fields.
    """
    body = (type(change).__name__, msgspec.structs.asdict(change))
    body[1].pop("token_digest")
    return hashlib.sha256(msgspec.json.encode(body, order="sorted")).hexdigest()
