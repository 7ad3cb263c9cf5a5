"""The replicated state machine: settings, change ids, claims, registry.

Every replica applies the same log entries in the same order, so `apply` must
depend on nothing but the state and the log entry.
"""

import collections
import functools

import msgspec

from pollenseam import claims
from pollenseam import commands
from pollenseam import errors
from pollenseam import keys
from pollenseam import registry
from pollenseam import settings
from pollenseam import tree

MAX_CHANGE_IDS = 20_000
ROOT_OPERATOR = "/operators/root"


class ChangeRecord(msgspec.Struct, array_like=True):
    """Outcome of the change that was made under one change id.

    Attributes:
        body_digest: Digest of the change, see `commands.body_digest`.
        outcome: Outcome that a resend of the change gets.
    """

    body_digest: str
    outcome: commands.Outcome


class Snapshot(msgspec.Struct, array_like=True):
    """The content of a State, as encoded in a snapshot.

    Attributes:
        index: Index of the last applied log entry.
        clock_ms: State clock, in milliseconds.
        nodes: Nodes of the settings tree by path.
        versions: Version of each path, removed paths included.
        change_records: Recorded changes as (change id, record), oldest first.
        claims: Claims as (workspace, key, claim), oldest first.
        registry_snapshot: Items, upstreams and evacuations.
    """

    index: int
    clock_ms: int
    nodes: dict[str, settings.AnyNode]
    versions: dict[str, int]
    change_records: list[tuple[str, ChangeRecord]]
    claims: list[tuple[str, str, claims.Claim]]
    registry_snapshot: registry.Snapshot = msgspec.field(
        default_factory=registry.Snapshot
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Snapshot)


class State:
    """The state that every replica builds from the same log.

    Attributes:
        clock_ms: State clock: the sum of the elapsed times that the leaders
            measured, in milliseconds. It never runs faster than real time.
        tree: The settings tree, with keys and operators.
        change_records: Recorded changes by change id, oldest first, at most
            MAX_CHANGE_IDS.
        ledger: At-most-once claims.
        registry: Items, upstreams and evacuations.
    """

    __slots__ = ("clock_ms", "tree", "change_records", "ledger", "registry")

    def __init__(self) -> None:
        self.clock_ms = 0
        self.tree = tree.Tree()
        self.change_records: collections.OrderedDict[str, ChangeRecord] = (
            collections.OrderedDict()
        )
        self.ledger = claims.Ledger()
        self.registry = registry.Registry()

    @property
    def index(self) -> int:
        """Index of the last applied log entry."""
        return self.tree.index

    def apply(
        self, index: int, elapsed_ms: int, command: commands.AnyCommand
    ) -> commands.Outcome:
        """Applies one committed command and returns its outcome.

        Args:
            index: Log index of the command.
            elapsed_ms: Milliseconds by which the state clock advances.
            command: The command.
        """
        self.tree.index = index
        self.clock_ms += elapsed_ms
        outcome = apply_command(command, self)
        outcome.index = outcome.index or index
        return outcome

    def restore_from(self, other: "State") -> None:
        """Replaces the content with that of a later state from a snapshot."""
        self.clock_ms = other.clock_ms
        self.change_records = other.change_records
        self.ledger = other.ledger
        self.registry = other.registry
        self.tree.replace_with(other.tree)

    def find_operator(self, token_digest: str) -> settings.Operator | None:
        """Returns the operator whose token has this digest, or None."""
        found = None
        for node in self.tree.nodes.values():
            if isinstance(node, settings.Operator) and keys.are_equal(
                node.digest, token_digest
            ):
                found = node
        return found

    def find_secret_path(self, command: commands.Withdraw) -> str:
        """Returns the path of the secret to withdraw, or "" if none exists."""
        if command.collection == "operators":
            path = f"/operators/{command.id}"
            return path if path in self.tree.nodes else ""
        suffix = f"/keys/{command.id}"
        found = [p for p in self.tree.nodes if p.endswith(suffix)]
        return found[0] if found else ""

    def record_change(self, change_id: str, record: ChangeRecord) -> None:
        """Adds a change; removes the oldest ones beyond MAX_CHANGE_IDS."""
        self.change_records[change_id] = record
        while len(self.change_records) > MAX_CHANGE_IDS:
            self.change_records.popitem(last=False)

    def encode_snapshot(self) -> bytes:
        """Returns the encoded snapshot of the state."""
        ledger = self.ledger.claims.items()
        snapshot = Snapshot(
            self.index,
            self.clock_ms,
            self.tree.nodes,
            self.tree.versions,
            list(self.change_records.items()),
            [(*name, claim) for name, claim in ledger],
            self.registry.snapshot(),
        )
        return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> State:
    """Returns the state of an encoded snapshot.

    Raises:
        DamagedError: `data` is not an encoded snapshot of this version or an
            earlier one.
    """
    try:
        snapshot = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.DamagedError(f"the snapshot: {error}") from error
    state = State()
    state.clock_ms = snapshot.clock_ms
    changed_index = snapshot.versions.get("/", 0)
    state.tree = tree.from_nodes(
        snapshot.nodes, snapshot.index, changed_index, snapshot.versions
    )
    state.change_records.update(snapshot.change_records)
    state.registry = registry.from_snapshot(snapshot.registry_snapshot)
    for workspace, key, claim in snapshot.claims:
        state.ledger.claims[workspace, key] = claim
        state.ledger.counts[workspace] += 1
    return state


@functools.singledispatch
def apply_command(command: object, state: State) -> commands.Outcome:
    """Applies one command to the state and returns its outcome."""
    raise TypeError(f"no handler for {type(command).__name__}")


@apply_command.register
def _(command: commands.AdvanceClock, state: State) -> commands.Outcome:
    state.ledger.expire(state.clock_ms)
    return commands.Outcome()


@apply_command.register
def _(command: commands.CreateRootOperator, state: State) -> commands.Outcome:
    if ROOT_OPERATOR not in state.tree.nodes:
        root = settings.Operator(command.root_digest, "/")
        state.tree.write([tree.Write(ROOT_OPERATOR, root)])
    return commands.Outcome()


@apply_command.register
def _(command: commands.OpenClaim, state: State) -> commands.Outcome:
    retention_ms = state.tree.fleet().claim_retention_ms
    return state.ledger.open(command, state.clock_ms, retention_ms)


@apply_command.register
def _(command: commands.CloseClaim, state: State) -> commands.Outcome:
    return state.ledger.close(command)


@apply_command.register
def _(command: commands.ReleaseClaim, state: State) -> commands.Outcome:
    return state.ledger.release(command)


@apply_command.register
def _(command: commands.PatchItems, state: State) -> commands.Outcome:
    try:
        state.registry.patch(state.index, command.changed_items)
    except errors.RefusedError as error:
        return _refuse(error.refusal.kind, error.refusal.detail)
    return commands.Outcome()


@apply_command.register
def _(command: commands.SetEvacuation, state: State) -> commands.Outcome:
    state.registry.set_evacuation(
        state.index, command.failure_domain, command.is_evacuated
    )
    return commands.Outcome()


@apply_command.register
def _(command: commands.RecordUpstreams, state: State) -> commands.Outcome:
    state.registry.record_upstreams(
        state.index, state.clock_ms, command.records
    )
    return commands.Outcome()


@apply_command.register
def _(command: commands.Change, state: State) -> commands.Outcome:
    operator = state.find_operator(command.token_digest)
    if operator is None:
        return _refuse(errors.Kind.KEY_UNKNOWN, "the token is not known")
    digest = commands.body_digest(command)
    record = state.change_records.get(command.change_id)
    if record is not None:
        if record.body_digest == digest:
            return record.outcome
        detail = f"change id {command.change_id!r} was used for another change"
        return _refuse(errors.Kind.CHANGE_REUSED, detail)
    path = required_path(command, state)
    if not path:
        return _refuse(errors.Kind.NO_ROUTE, "nothing exists at this path")
    if not settings.is_within(path, operator.subtree):
        detail = f"the token owns {operator.subtree}, not {path}"
        return _refuse(errors.Kind.FORBIDDEN, detail)
    outcome = apply_change(command, state)
    outcome.index = state.index
    outcome.version = state.tree.version(path)
    state.record_change(command.change_id, ChangeRecord(digest, outcome))
    return outcome


def _refuse(kind: errors.Kind, detail: str) -> commands.Outcome:
    return commands.Outcome(kind, detail)


@functools.singledispatch
def required_path(command: object, state: State) -> str:
    """Returns the path that the token of a change must own.

    The result is "" if the change refers to a node that does not exist.
    """
    raise TypeError(f"no required path for {type(command).__name__}")


@required_path.register
def _(command: commands.ApplySettings, state: State) -> str:
    return command.at


@required_path.register
def _(command: commands.PutNode, state: State) -> str:
    return _permission_path(command.path, command.node)


@required_path.register
def _(command: commands.Withdraw, state: State) -> str:
    path = state.find_secret_path(command)
    return _permission_path(path, state.tree.nodes[path]) if path else ""


@required_path.register
def _(command: commands.SetShift, state: State) -> str:
    return command.path


def _permission_path(path: str, node: settings.AnyNode) -> str:
    # An operator may only issue tokens for subtrees that it owns itself.
    return node.subtree if isinstance(node, settings.Operator) else path


@functools.singledispatch
def apply_change(command: object, state: State) -> commands.Outcome:
    """Applies a change that is permitted and has a new change id."""
    raise TypeError(f"no handler for {type(command).__name__}")


@apply_change.register
def _(command: commands.ApplySettings, state: State) -> commands.Outcome:
    version = state.tree.version(command.at)
    if command.expect_version not in (None, version):
        detail = f"{command.at} is at version {version}"
        return _refuse(errors.Kind.CONFLICT, detail)
    merged = _merge_settings(state.tree.nodes, command)
    missing = find_missing_reference(merged)
    if missing:
        return _refuse(errors.Kind.MALFORMED, missing)
    writes = [
        tree.Write(path, merged.get(path))
        for path in sorted(state.tree.nodes.keys() | merged.keys())
        if state.tree.nodes.get(path) != merged.get(path)
    ]
    state.tree.write(writes)
    return commands.Outcome()


def _merge_settings(
    nodes: settings.Nodes, command: commands.ApplySettings
) -> settings.Nodes:
    kept = {
        path: node
        for path, node in nodes.items()
        if not settings.is_within(path, command.at)
    }
    merged = kept | command.nodes
    for path, node in nodes.items():
        if path in kept:
            continue
        if isinstance(node, settings.Operator):
            merged[path] = node
        elif isinstance(node, settings.Key):
            if path.rpartition("/keys/")[0] in merged:
                merged[path] = node
        elif isinstance(node, settings.Shift):
            _keep_shift_state(merged.get(path), node)
    return merged


def _keep_shift_state(
    new: settings.AnyNode | None, old: settings.Shift
) -> None:
    # Settings files define shifts; only `shift start` and `shift stop` change
    # whether they run.
    if isinstance(new, settings.Shift):
        new.state = old.state
        new.started_ms = old.started_ms


def find_missing_reference(nodes: settings.Nodes) -> str:
    """Returns a message on the first invalid reference between nodes, or "".

    References are invalid if their target does not exist, or if the cap of a
    shift exceeds the accept_rate of its target region.
    """
    fleet = nodes.get("/fleet")
    regions = fleet.regions if isinstance(fleet, settings.Fleet) else {}
    for path, node in nodes.items():
        team = "/".join(path.split("/")[:3])
        if isinstance(node, settings.Shift):
            service = f"{team}/services/{node.service}"
            if service not in nodes:
                return f"{path}/service: {service} does not exist"
            for name in (node.source, node.target):
                if name not in regions:
                    return f"{path}: region {name!r} does not exist"
            accepted = regions[node.target].accept_rate
            if node.cap > accepted:
                return f"{path}/cap: {node.target} accepts {accepted:g}/s"
        if isinstance(node, settings.Service):
            for workspace in node.workspaces:
                if f"{team}/workspaces/{workspace}" not in nodes:
                    return f"{path}/workspaces: {workspace!r} does not exist"
    return ""


@apply_change.register
def _(command: commands.PutNode, state: State) -> commands.Outcome:
    parent = command.path.rpartition("/keys/")[0]
    if (
        isinstance(command.node, settings.Key)
        and parent not in state.tree.nodes
    ):
        return _refuse(errors.Kind.NO_ROUTE, f"{parent} does not exist")
    if not isinstance(command.node, settings.Key | settings.Operator):
        return _refuse(errors.Kind.MALFORMED, "only keys and operators")
    if command.path in state.tree.nodes:
        return _refuse(errors.Kind.CONFLICT, f"{command.path} exists")
    state.tree.write([tree.Write(command.path, command.node)])
    return commands.Outcome()


@apply_change.register
def _(command: commands.Withdraw, state: State) -> commands.Outcome:
    path = state.find_secret_path(command)
    roots = [
        name
        for name, node in state.tree.nodes.items()
        if isinstance(node, settings.Operator) and node.subtree == "/"
    ]
    if roots == [path]:
        detail = "this is the last token that owns everything"
        return _refuse(errors.Kind.CONFLICT, detail)
    state.tree.write([tree.Write(path, None)])
    return commands.Outcome()


@apply_change.register
def _(command: commands.SetShift, state: State) -> commands.Outcome:
    node = state.tree.nodes.get(command.path)
    if not isinstance(node, settings.Shift):
        return _refuse(errors.Kind.NO_ROUTE, f"{command.path} does not exist")
    if command.state not in ("running", "stopped"):
        return _refuse(errors.Kind.MALFORMED, "state: running or stopped")
    if command.state == node.state:
        return commands.Outcome()
    copy = msgspec.structs.replace(
        node, state=command.state, started_ms=state.clock_ms
    )
    state.tree.write([tree.Write(command.path, copy)])
    return commands.Outcome()
