"""The operators' pages: status, settings, keys, tokens, shifts, replicas."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

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


class ApplyRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to replace a subtree; `document` is the decoded file."""

    document: dict[str, Any]
    change_id: str
    at: str = "/"
    expect_version: int | None = None


class IssueRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to store a key for `path`, or a token that owns it."""

    path: str
    id: str
    digest: str
    change_id: str


class WithdrawRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to withdraw a key or token by its id."""

    id: str
    change_id: str


class ShiftRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to start or stop a shift."""

    path: str
    state: str
    change_id: str


class ReplicaRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Asks to add a replica, or without an address to remove it."""

    name: str
    address: str = ""


class ChangeResponse(msgspec.Struct):
    """Answers a change that is committed.

    Attributes:
        version: Version of the subtree.
        index: Index that has to be in force everywhere.
    """

    version: int
    index: int


class VmStatus(msgspec.Struct):
    """One VM in a status answer; `index` is what it has in force."""

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
    """One replica in a status answer."""

    id: str
    address: str
    role: str
    match: int


class Status(msgspec.Struct):
    """What one VM knows of the fleet."""

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
    """Serves operators on any VM.

    Attributes:
        vm: The VM's view.
        submitter: Brings changes to the leader.
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
        """Answers one operator's request.

        Raises:
            RefusedError: It is malformed, not permitted or not decided.
        """
        page = request.path[len(PATH_PREFIX) :]
        handler = self._handlers.get((request.method, page))
        if handler is None:
            raise errors.refuse(errors.Kind.NO_ROUTE, f"no page {page!r}")
        value = request.headers.get("Authorization")
        token = keys.parse_bearer(value)
        if token is None:
            raise errors.refuse(
                errors.Kind.KEY_MISSING,
                "send the token as Authorization: Bearer TOKEN",
            )
        answer = await handler(request, keys.digest(token))
        body = msgspec.json.encode(answer)
        return web.Response(body=body, content_type="application/json")

    def _deadline(self) -> float:
        return self.vm.now() + DEADLINE_SECONDS

    def _find_operator(self, digest: str) -> settings.Operator:
        """Returns the operator of a token, as this VM knows it."""
        for node in self.vm.tree.nodes.values():
            if isinstance(node, settings.Operator) and node.digest == digest:
                return node
        raise errors.refuse(errors.Kind.KEY_UNKNOWN, "the token is not known")

    async def _decode_body(self, request: web.BaseRequest, type_: Any) -> Any:
        length = request.content_length
        if length is None or length > MAX_BODY_BYTES:
            raise errors.refuse(
                errors.Kind.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes"
            )
        try:
            return msgspec.json.decode(await request.content.read(), type=type_)
        except msgspec.DecodeError as error:
            detail = str(error)
            raise errors.refuse(errors.Kind.MALFORMED, detail) from error

    async def _submit(self, command: commands.Command) -> ChangeResponse:
        try:
            outcome = await self.submitter.submit(command, self._deadline())
        except errors.UnreachableError as error:
            raise errors.refuse(
                errors.Kind.NO_QUORUM,
                f"{error}; resend it with the same change id",
                executed="unknown",
            ) from error
        if outcome.kind:
            raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)
        return ChangeResponse(outcome.version, outcome.index)

    # Reading.

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
        own = self.vm
        now = own.now()
        leader, term = self._leader()
        own.directory.own_record.settings_age_ms = own.settings_age_ms()
        own.directory.own_record.settings_index = own.tree.index
        own.directory.own_record.state = own.lifecycle.state
        return Status(
            own.flags.vm,
            own.lifecycle.state,
            own.is_fresh(),
            own.settings_age_ms(),
            own.tree.index,
            leader,
            term,
            self._vm_statuses(now),
            self._replica_statuses(),
            self._upstream_counts(now),
            {r: whole.rate for r, whole in own.held_shares().items()},
            self._shift_states(),
            dict(own.metrics.refused),
            self._worst_workspace(),
        )

    def _leader(self) -> tuple[str, int]:
        control = self.vm.replica_runner
        if control is None:
            return "", 0
        return control.replica.leader, control.replica.hard_state.term

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
        control = self.vm.replica_runner
        records = control.replicas() if control is not None else []
        return [_replica_status(record) for record in records]

    def _upstream_counts(self, now: float) -> dict[str, dict[str, int]]:
        counts: dict[str, dict[str, int]] = {}
        for known in self.vm.directory.upstreams.values():
            state = known.record.state
            if known.deadline <= now:
                state = lifecycles.UpstreamState.GONE.value
            states = counts.setdefault(known.record.service, {})
            states[state] = states.get(state, 0) + 1
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

    # Changing.

    async def _apply(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        asked: ApplyRequest = await self._decode_body(request, ApplyRequest)
        parsed = settings.parse(asked.document, asked.at)
        if parsed.is_err():
            problems = parsed.unwrap_err()
            text = "; ".join(f"{p.path}: {p.reason}" for p in problems[:20])
            raise errors.refuse(errors.Kind.MALFORMED, text)
        return await self._submit(
            commands.ApplySettings(
                asked.change_id,
                digest,
                asked.at,
                parsed.unwrap(),
                asked.expect_version,
            )
        )

    async def _issue_key(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        asked: IssueRequest = await self._decode_body(request, IssueRequest)
        path = f"{asked.path}/keys/{asked.id}"
        node = settings.Key(asked.digest)
        return await self._submit(
            commands.PutNode(asked.change_id, digest, path, node)
        )

    async def _withdraw_key(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        asked: WithdrawRequest = await self._decode_body(
            request, WithdrawRequest
        )
        return await self._submit(
            commands.Withdraw(asked.change_id, digest, "keys", asked.id)
        )

    async def _issue_operator(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        asked: IssueRequest = await self._decode_body(request, IssueRequest)
        path = f"/operators/{asked.id}"
        node = settings.Operator(asked.digest, asked.path)
        return await self._submit(
            commands.PutNode(asked.change_id, digest, path, node)
        )

    async def _withdraw_operator(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        asked: WithdrawRequest = await self._decode_body(
            request, WithdrawRequest
        )
        return await self._submit(
            commands.Withdraw(asked.change_id, digest, "operators", asked.id)
        )

    async def _shift(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        asked: ShiftRequest = await self._decode_body(request, ShiftRequest)
        return await self._submit(
            commands.SetShift(asked.change_id, digest, asked.path, asked.state)
        )

    # Replicas.

    async def _replicas(
        self, request: web.BaseRequest, digest: str
    ) -> list[ReplicaStatus]:
        self._find_operator(digest)
        found = await self._read_index()
        return [_replica_status(record) for record in found.replicas]

    async def _change_replica(
        self, request: web.BaseRequest, digest: str
    ) -> ChangeResponse:
        asked: ReplicaRequest = await self._decode_body(request, ReplicaRequest)
        change = messages.ReplicaChange(digest, asked.name, asked.address, 0)
        answer = await self.submitter.change_replica(change, self._deadline())
        if answer.kind:
            raise errors.refuse(errors.Kind(answer.kind), answer.detail)
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
