"""The first start of a fleet, and changes of its replicas."""

import asyncio

from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import messages
from pollenseam import peers
from pollenseam import replicarunner
from pollenseam import submitter
from pollenseam import vm

PROBE_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class Bootstrap:
    """Founds the quorum of a new fleet, or finds it founded already.

    A replica founds only when every initial replica answers that it is new:
    one whose disk was lost finds the others founded under its old id, and
    waits until an operator adds it under its new one.

    Attributes:
        journal: The data folder.
        replicas: Initial replicas, peer address by VM name.
    """

    def __init__(
        self,
        name: str,
        folder: journal.Journal,
        replicas: dict[str, str],
        peer_client: peers.Client,
        log: events.EventLog,
    ) -> None:
        self.name = name
        self.journal = folder
        self.replicas = replicas
        self.peers = peer_client
        self.log = log

    @property
    def is_pending(self) -> bool:
        """Whether this VM still has to found or find the quorum."""
        founded = self.journal.identity.members is not None
        return not founded and self.name in self.replicas

    async def run(self) -> messages.Members | None:
        """Returns the founding configuration; None if this VM is not in it.

        Raises:
            OSError: The data folder cannot be written.
        """
        while True:
            answers = await self._probe_all()
            founded = [a.members for a in answers.values() if a.members]
            if founded:
                return self._join(founded[0])
            if len(answers) == len(self.replicas) - 1:
                return self._create_quorum(answers)
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe_all(self) -> dict[str, messages.IdentityResponse]:
        answers: dict[str, messages.IdentityResponse] = {}
        for name, address in self.replicas.items():
            if name == self.name:
                continue
            request = messages.IdentityRequest(
                self.name, self.journal.identity.replica_id, 0
            )
            try:
                answers[name] = await self.peers.call(
                    address, peers.PROBE, request, PROBE_TIMEOUT_SECONDS
                )
            except errors.UnreachableError:
                continue
        return answers

    def _join(self, members: messages.Members) -> messages.Members | None:
        identity = self.journal.identity
        if identity.replica_id not in members.voters:
            self.log.emit("replica-awaits-add", replica=identity.replica_id)
            return None
        return self._store_members(members)

    def _create_quorum(
        self, answers: dict[str, messages.IdentityResponse]
    ) -> messages.Members:
        ids = {name: answer.replica_id for name, answer in answers.items()}
        ids[self.name] = self.journal.identity.replica_id
        voters = {ids[name]: self.replicas[name] for name in sorted(ids)}
        return self._store_members(messages.Members(voters))

    def _store_members(self, members: messages.Members) -> messages.Members:
        id = self.journal.identity.replica_id
        self.journal.save_identity(journal.Identity(id, members))
        self.log.emit("quorum-founded", voters=",".join(members.voters))
        return members


class ReplicaChanges:
    """Adds and removes replicas, one at a time, on the leader."""

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm

    async def answer_probe(
        self, request: messages.IdentityRequest
    ) -> messages.IdentityResponse:
        """Answers who this VM's replica is."""
        own = self.vm.control
        if own is None:
            return messages.IdentityResponse("", None, 0)
        identity = own.journal.identity
        members = own.replica.members if identity.members else None
        if members is None and own.replica.members.voters:
            members = own.replica.members
        return messages.IdentityResponse(identity.replica_id, members, 0)

    async def answer_change(
        self, request: messages.ReplicaChange
    ) -> messages.SubmitResponse:
        """Carries out an operator's change of the replicas."""
        own = self.vm.control
        if own is None or not own.is_leader:
            address = own.leader_address if own is not None else ""
            return submitter.not_leader(address)
        try:
            await self._change(own, request)
        except errors.RefusedError as error:
            refusal = error.refusal
            return messages.SubmitResponse(b"", refusal.kind, refusal.detail, 0)
        except errors.NotLeaderError:
            return submitter.not_leader("")
        return messages.SubmitResponse(b"", "", "", 0)

    async def _change(
        self,
        runner: replicarunner.ReplicaRunner,
        request: messages.ReplicaChange,
    ) -> None:
        operator = runner.state.operator(request.token_digest)
        if operator is None:
            raise errors.refuse(
                errors.Kind.KEY_UNKNOWN, "the token is not known"
            )
        if operator.subtree != "/":
            raise errors.refuse(
                errors.Kind.FORBIDDEN, f"the token owns {operator.subtree}"
            )
        if request.address:
            await self._add(runner, request)
        else:
            await self._remove(runner, request.name)

    async def _add(
        self,
        runner: replicarunner.ReplicaRunner,
        request: messages.ReplicaChange,
    ) -> None:
        probe = messages.IdentityRequest(self.vm.flags.vm, runner.replica.id, 0)
        try:
            answer: messages.IdentityResponse = await self.vm.peers.call(
                request.address, peers.PROBE, probe, PROBE_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            raise errors.refuse(
                errors.Kind.UPSTREAM_FAILED, str(error), executed="no"
            ) from error
        id = answer.replica_id
        if id.rpartition(".")[0] != request.name:
            raise errors.refuse(
                errors.Kind.CONFLICT,
                f"{request.address} is {id or 'no replica'}, "
                f"not {request.name}",
            )
        old = runner.replica.members
        if id in old.voters or id in old.learners:
            return
        learners = {**old.learners, id: request.address}
        await runner.change_members(messages.Members(old.voters, learners))
        self.vm.log.emit("replica-added", replica=id)

    async def _remove(
        self, runner: replicarunner.ReplicaRunner, name: str
    ) -> None:
        old = runner.replica.members
        known = old.voters.keys() | old.learners.keys()
        found = [i for i in known if name in (i, i.rpartition(".")[0])]
        if len(found) != 1:
            raise errors.refuse(
                errors.Kind.NO_ROUTE,
                f"{name!r} names {len(found)} replicas; give the replica id",
            )
        id = found[0]
        if id == runner.replica.id:
            await runner.transfer_leadership()
            raise errors.NotLeaderError("leadership was handed over first")
        voters = {k: v for k, v in old.voters.items() if k != id}
        learners = {k: v for k, v in old.learners.items() if k != id}
        if not voters:
            raise errors.refuse(
                errors.Kind.CONFLICT, "this is the last replica"
            )
        await runner.change_members(messages.Members(voters, learners))
        self.vm.log.emit("replica-removed", replica=id)
