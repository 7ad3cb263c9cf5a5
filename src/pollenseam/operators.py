"""HTTP API for operators: status, settings, keys, tokens, shifts, replicas."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Annotated
from typing import Any

import msgspec
from aiohttp import web

from pollenseam import bounds
from pollenseam import commands
from pollenseam import errors
from pollenseam import keys
from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import settings
from pollenseam import submitter
from pollenseam import vm

PATH_PREFIX = "/.pollenseam/control/"
MAX_BODY_BYTES = 8 * 1024 * 1024
DEADLINE_SECONDS = 8.0
MAX_WAIT_MS = 60_000

# Ids are parts of paths and of secrets.
Id = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9-]{1,64}\Z")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
# The latest ones are stored.
ChangeId = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Version = Annotated[int, msgspec.Meta(ge=0, le=bounds.MAX_INTEGER)]


class ApplyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Requests the replacement of a subtree of the settings.

    Attributes:
        document: Decoded settings file.
        change_id: Id of the change; a retry with the same id is applied once.
        at: Path of the subtree.
        expect_version: Version that the subtree must have; None to replace
            any version.
    """

    document: dict[str, Any]
    change_id: ChangeId
    at: str = "/"
    expect_version: Version | None = None


class IssueRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Requests the storage of a new API key or operator token.

    Attributes:
        path: Path of the key's workspace or service, or of the subtree that
            the token owns.
        id: Id of the key or token.
        digest: Digest of the key or token.
        change_id: Id of the change; a retry with the same id is applied once.
    """

    path: str
    id: Id
    digest: Digest
    change_id: ChangeId


class WithdrawRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Requests the withdrawal of a key or token.

    Attributes:
        id: Id of the key or token.
        change_id: Id of the change; a retry with the same id is applied once.
    """

    id: str
    change_id: ChangeId


class ShiftRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Requests the start or stop of a shift.

    Attributes:
        path: Path of the shift.
        state: New state of the shift.
        change_id: Id of the change; a retry with the same id is applied once.
    """

    path: str
    state: str
    change_id: ChangeId


class ReplicaRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Requests the addition or removal of a replica.

    Attributes:
        name: Name of the VM to add, or VM name or id of the replica to remove.
        address: Peer address of a replica to add; "" to remove one.
    """

    name: str
    address: str = ""


class ChangeResponse(msgspec.Struct):
    """Reports a committed change.

    Attributes:
        version: New version of the subtree.
        index: Settings index of the change; the change is in force on a VM
            whose settings index is at least this.
    """

    version: int
    index: int


class VmStatus(msgspec.Struct):
    """One VM in `Status`.

    Attributes:
        name: Name of the VM.
        state: State of the VM's life cycle.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        address: Caller address of the VM.
        replica: Id of the VM's replica, or "".
        age_ms: Age of the VM's settings in ms; -1 if it is not known.
        index: Settings index that is in force on the VM.
        load: Load of the VM from 0 to 1.
        suspect: Whether the VM has sent no heartbeat recently.
    """

    name: str
    state: str
    region: str
    failure_domain: str
    address: str
    replica: str
    age_ms: int
    index: int
    load: float
    suspect: bool


class ReplicaStatus(msgspec.Struct):
    """One replica in `Status`.

    Attributes:
        id: Id of the replica.
        address: Peer address of the replica.
        role: Role of the replica in the quorum.
        match: Last log index known to be synced on the replica; -1 if unknown.
    """

    id: str
    address: str
    role: str
    match: int


class Status(msgspec.Struct):
    """State of the fleet as one VM knows it.

    Attributes:
        vm: Name of the VM that answers.
        state: State of the VM's life cycle.
        fresh: Whether the VM's settings are recent enough to check API keys.
        settings_age_ms: Age of the VM's settings in ms; -1 if it is not known.
        settings_index: Settings index that is in force on the VM.
        leader: Id of the quorum's leader; "" if it is not known.
        term: Term of the VM's replica; 0 without a replica.
        vms: All known VMs, by name.
        replicas: Replicas of the quorum; empty if the VM has no replica.
        upstreams: Number of upstreams by service path and state.
        shares: Tokens per second that the VM holds, by resource.
        shifts: States of the shifts, by path.
        refused: Number of requests that the VM refused, by error kind.
        worst_workspace: Workspace with the most refusals over its rate, or "".
    """

    vm: str
    state: str
    fresh: bool
    settings_age_ms: int
    settings_index: int
    leader: str
    term: int
    vms: list[VmStatus]
    replicas: list[ReplicaStatus]
    upstreams: dict[str, dict[str, int]]
    shares: dict[str, float]
    shifts: dict[str, str]
    refused: dict[str, int]
    worst_workspace: str


Handler = Callable[[web.BaseRequest, str], Awaitable[Any]]


class OperatorHandler:
    """Handles requests of operators, on any VM.

    Attributes:
        vm: State of this VM.
        submitter: Submitter of commands to the leader.
    """

    def __init__(
        self, local_vm: vm.Vm, command_submitter: submitter.Submitter
    ) -> None:
        self.vm = local_vm
        self.submitter = command_submitter
        self._handlers: dict[tuple[str, str], Handler] = {
            ("GET", "status"): self._status,
            ("GET", "tree"): self._tree,
            ("POST", "apply"): self._apply,
            ("POST", "keys/issue"): self._issue_key,
            ("POST", "keys/withdraw"): self._withdraw_key,
            ("POST", "operators/issue"): self._issue_operator,
            ("POST", "operators/withdraw"): self._withdraw_operator,
            ("POST", "shift"): self._shift,
            ("GET", "replicas"): self._replicas,
            ("POST", "replicas"): self._change_replica,
        }

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handles a request of an operator.

        Raises:
            RefusedError: The request is malformed or not permitted, or its
                change was not committed in time.
        """
        page = request.path[len(PATH_PREFIX) :]
        handler = self._handlers.get((request.method, page))
        if handler is None:
            raise errors.refuse(errors.Kind.NO_ROUTE, f"no page {page!r}")
        authorization = request.headers.get("Authorization")
        token = keys.parse_bearer(authorization)
        if token is None:
            raise errors.refuse(
                errors.Kind.KEY_MISSING,
                "send the token as Authorization: Bearer TOKEN",
            )
        result = await handler(request, keys.digest(token))
        body = msgspec.json.encode(result)
        return web.Response(body=body, content_type="application/json")

    def _deadline(self) -> float:
        return self.vm.now() + DEADLINE_SECONDS

    def _find_operator(self, digest: str) -> settings.Operator:
        """Returns the operator that has a token, by this VM's settings.

        Args:
            digest: Digest of the token.

        Raises:
            RefusedError: No operator has the token.
        """
        for node in self.vm.tree.nodes.values():
            if isinstance(node, settings.Operator) and node.digest == digest:
                return node
        raise errors.refuse(errors.Kind.KEY_UNKNOWN, "the token is not known")

    async def _decode_body(self, request: web.BaseRequest, type_: Any) -> Any:
        """Returns the JSON body of a request, decoded to a struct type.

        Raises:
            RefusedError: The body is too large, has no Content-Length, does
                not match the type, or a text in it is out of bounds.
        """
        length = request.content_length
        if length is None or length > MAX_BODY_BYTES:
            raise errors.refuse(
                errors.Kind.BODY_TOO_LARGE,
                f"Content-Length must be given and at most {MAX_BODY_BYTES}",
            )
        body = bounds.decode_json(await request.content.read(), type_)
        for field in body.__struct_fields__:
            # Settings are checked node by node.
            if field != "document":
                bounds.check(field, getattr(body, field))
        return body

    async def _submit(self, command: commands.Command) -> ChangeResponse:
        try:
            outcome = await self.submitter.submit(command, self._deadline())
        except errors.UnreachableError as error:
            raise errors.refuse(
                errors.Kind.NO_QUORUM,
                f"{error}; retry with the same change id",
                executed="unknown",
            ) from error
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)
        return ChangeResponse(outcome.version, outcome.index)

    # Reads.

    async def _read_index(self) -> messages.ReadIndexResponse:
        try:
            return await self.submitter.read(self._deadline())
        except errors.UnreachableError as error:
            raise errors.refuse(errors.Kind.NO_QUORUM, str(error)) from error

    async def _read_barrier(self) -> None:
        try:
            await self.submitter.read_barrier(self._deadline())
        except errors.UnreachableError as error:
            raise errors.refuse(errors.Kind.NO_QUORUM, str(error)) from error

    async def _tree(self, request: web.BaseRequest, digest: str) -> Any:
        path = request.query.get("path", "/")
        await self._read_barrier()
        operator = self._find_operator(digest)
        if not settings.is_within(path, operator.subtree):
            raise errors.refuse(
                errors.Kind.FORBIDDEN, f"the token owns {operator.subtree}"
            )
        nodes = {
            name: node
            for name, node in sorted(self.vm.tree.nodes.items())
            if settings.is_within(name, path)
        }
        version = self.vm.tree.version(path)
        return {"path": path, "version": version, "nodes": nodes}

    async def _status(self, request: web.BaseRequest, digest: str) -> Status:
        self._find_operator(digest)
        local_vm = self.vm
        now = local_vm.now()
        leader, term = self._leader()
        local_vm.directory.own_record.settings_age_ms = (
            local_vm.settings_age_ms()
        )
        local_vm.directory.own_record.settings_index = local_vm.tree.index
        local_vm.directory.own_record.state = local_vm.lifecycle.state
        return Status(
            local_vm.flags.vm,
            local_vm.lifecycle.state,
            local_vm.is_fresh(),
            local_vm.settings_age_ms(),
            local_vm.tree.index,
            leader,
            term,
            self._vm_statuses(now),
            self._replica_statuses(),
            self._upstream_counts(now),
            {r: share.rate for r, share in local_vm.held_shares().items()},
            self._shift_states(),
            dict(local_vm.metrics.refused),
            self._worst_workspace(),
        )

    def _leader(self) -> tuple[str, int]:
        runner = self.vm.replica_runner
        if runner is None:
            return "", 0
        return runner.replica.leader, runner.replica.hard_state.term

    def _vm_statuses(self, now: float) -> list[VmStatus]:
        directory = self.vm.directory
        suspects = {
            name for name, v in directory.vms.items() if v.is_suspect(now)
        }
        records = [
            directory.own_record,
            *(known.record for known in directory.vms.values()),
        ]
        records.sort(key=lambda record: record.name)
        return [_vm_status(r, r.name in suspects) for r in records]

    def _replica_statuses(self) -> list[ReplicaStatus]:
        runner = self.vm.replica_runner
        records = runner.replicas() if runner is not None else []
        return [_replica_status(record) for record in records]

    def _upstream_counts(self, now: float) -> dict[str, dict[str, int]]:
        counts: dict[str, dict[str, int]] = {}
        for known in self.vm.directory.upstreams.values():
            state = known.record.state
            if known.deadline <= now:
                state = lifecycles.UpstreamState.GONE.value
            service_counts = counts.setdefault(known.record.service, {})
            service_counts[state] = service_counts.get(state, 0) + 1
        return counts

    def _shift_states(self) -> dict[str, str]:
        nodes = self.vm.tree.nodes
        return {
            path: node.state
            for path, node in nodes.items()
            if isinstance(node, settings.Shift)
        }

    def _worst_workspace(self) -> str:
        refused = self.vm.metrics.workspace_refused
        return refused.most_common(1)[0][0] if refused else ""

    # Changes.

    async def _apply(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        body: ApplyRequest = await self._decode_body(request, ApplyRequest)
        parsed = settings.parse(body.document, body.at)
        if parsed.is_err():
            problems = parsed.unwrap_err()
            detail = "; ".join(f"{p.path}: {p.reason}" for p in problems[:20])
            raise errors.refuse(errors.Kind.MALFORMED, detail)
        return await self._submit(
            commands.ApplySettings(
                body.change_id,
                digest,
                body.at,
                parsed.unwrap(),
                body.expect_version,
            )
        )

    async def _issue_key(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        body: IssueRequest = await self._decode_body(request, IssueRequest)
        path = f"{body.path}/keys/{body.id}"
        node = settings.Key(body.digest)
        return await self._submit(
            commands.PutNode(body.change_id, digest, path, node)
        )

    async def _withdraw_key(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        body: WithdrawRequest = await self._decode_body(
            request, WithdrawRequest
        )
        return await self._submit(
            commands.Withdraw(body.change_id, digest, "keys", body.id)
        )

    async def _issue_operator(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        body: IssueRequest = await self._decode_body(request, IssueRequest)
        path = f"/operators/{body.id}"
        node = settings.Operator(body.digest, body.path)
        return await self._submit(
            commands.PutNode(body.change_id, digest, path, node)
        )

    async def _withdraw_operator(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        body: WithdrawRequest = await self._decode_body(
            request, WithdrawRequest
        )
        return await self._submit(
            commands.Withdraw(body.change_id, digest, "operators", body.id)
        )

    async def _shift(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        body: ShiftRequest = await self._decode_body(request, ShiftRequest)
        return await self._submit(
            commands.SetShift(body.change_id, digest, body.path, body.state)
        )

    # Replicas.

    async def _replicas(
        self, request: web.BaseRequest, digest: str
    ) -> list[ReplicaStatus]:
        self._find_operator(digest)
        response = await self._read_index()
        return [_replica_status(record) for record in response.replicas]

    async def _change_replica(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        body: ReplicaRequest = await self._decode_body(request, ReplicaRequest)
        if body.address:
            bounds.check_address("address", body.address, allows_ipv6=True)
        change = messages.ReplicaChange(digest, body.name, body.address, 0)
        response = await self.submitter.change_replica(change, self._deadline())
        if response.kind:
            raise errors.refuse(errors.Kind(response.kind), response.detail)
        return ChangeResponse(0, self.vm.tree.index)


def _vm_status(record: messages.Vm, suspect: bool) -> VmStatus:
    return VmStatus(
        record.name,
        record.state,
        record.region,
        record.failure_domain,
        record.caller_address,
        record.replica_id,
        record.settings_age_ms,
        record.settings_index,
        record.load,
        suspect,
    )


def _replica_status(record: messages.ReplicaRecord) -> ReplicaStatus:
    return ReplicaStatus(record.id, record.address, record.role, record.match)
