"""The commands that the quorum log carries to the state machine."""

import hashlib

import msgspec

from pollenseam import items
from pollenseam import registry
from pollenseam import settings


class Command(msgspec.Struct, tag=True, array_like=True):
    """Base of every command."""


class Change(Command):
    """Base of an operator's change.

    Attributes:
        change_id: Makes a resend answer as the first one did.
        token_digest: Digest of the operator's token.
    """

    change_id: str
    token_digest: str


class ApplySettings(Change, tag="apply"):
    """Replaces the subtree at `at` by `nodes`; keys below it stay."""

    at: str
    nodes: dict[str, settings.AnyNode]
    expect_version: int | None


class PutNode(Change, tag="put"):
    """Stores one key or operator node."""

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
    """Starts or stops a shift."""

    path: str
    state: str


class OpenClaim(Command, tag="claim-open"):
    """Claims the only run of an at-most-once request.

    Attributes:
        workspace: Path of the workspace.
        key: Idempotency key.
        body_digest: Hex SHA-256 over method, target and body.
        attempt: Unique per request at an entry VM; the same attempt may ask
            again after a lost answer and gets the claim it already holds.
        timeout_ms: After this the outcome counts as unknown.
    """

    workspace: str
    key: str
    body_digest: str
    attempt: str
    timeout_ms: int


class StoredAnswer(msgspec.Struct, array_like=True):
    """An upstream's whole answer, kept for resends."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class CloseClaim(Command, tag="claim-close"):
    """Stores the answer of a claimed request."""

    workspace: str
    key: str
    attempt: str
    answer: StoredAnswer


class ReleaseClaim(Command, tag="claim-release"):
    """Gives up a claim whose request certainly did not run."""

    workspace: str
    key: str
    attempt: str


class CreateRootOperator(Command, tag="found"):
    """Names the first operator of a new fleet; later ones do nothing."""

    root_digest: str


class AdvanceClock(Command, tag="advance"):
    """Moves the state clock on; the first entry of every term is one."""


class PatchItems(Command, tag="items"):
    """Sets and deletes items; each takes effect if its version is newer."""

    changed_items: list[items.Item]


class SetEvacuation(Command, tag="evacuate"):
    """Empties a failure domain of requests, or takes it back."""

    failure_domain: str
    is_evacuated: bool


class RecordUpstreams(Command, tag="upstreams"):
    """Takes in what upstreams announced of themselves."""

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
    """The state machine's answer to one command.

    Attributes:
        kind: Error kind, or "" when the command was carried out.
        detail: One sentence for a person.
        version: Version of the subtree after the command.
        index: Index of the entry that carried the command first.
        answer: Stored answer of a claim that was closed before.
        granted: Whether the claim is now held by the attempt.
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
    """Returns the bytes of a command."""
    return _encoder.encode(command)


def decode(data: bytes) -> AnyCommand:
    """Returns the command in `data`.

    Raises:
        msgspec.ValidationError: The bytes are no command.
    """
    return _decoder.decode(data)


def body_digest(change: Change) -> str:
    """Returns a digest of what a change asks for, without who asks."""
    body = (type(change).__name__, msgspec.structs.asdict(change))
    body[1].pop("token_digest")
    return hashlib.sha256(msgspec.json.encode(body, order="sorted")).hexdigest()
