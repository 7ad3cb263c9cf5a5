"""Bootstrap of a new fleet's quorum, and later changes of its replicas."""

import asyncio

from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import messages
from pollenseam import peers
from pollenseam import replicarunner
from pollenseam import submitter
from pollenseam import vm

# Delay between two probes of the other initial replicas.
PROBE_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class Bootstrap:
    """Creates the quorum of a new fleet, or finds the existing one.

    A replica creates the quorum only once every initial replica answers that
    it is new. A replica whose disk was lost has a new id: it finds a quorum
    that has its old id, and waits until an operator adds the new one.

    Attributes:
        name: Name of this VM.
        journal: Journal in the data folder of this VM.
        replicas: Initial replicas: peer addresses by VM name.
        peers: Client for calls to other VMs.
        log: Event log.
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
        """Whether this VM is an initial replica that has no configuration."""
        has_members = self.journal.identity.members is not None
        return not has_members and self.name in self.replicas

    async def run(self) -> messages.Members | None:
        """Creates or finds the quorum; retries until either succeeds.

        Returns:
            The quorum's configuration, or None if this replica is not in it.

        Raises:
            OSError: The data folder cannot be written.
        """
        while True:
            responses = await self._probe_all()
            existing = [a.members for a in responses.values() if a.members]
            if existing:
                return self._join(existing[0])
            if len(responses) == len(self.replicas) - 1:
                return self._create_quorum(responses)
            await asyncio.sleep(PROBE_SECONDS)

    async def _probe_all(self) -> dict[str, messages.IdentityResponse]:
        responses: dict[str, messages.IdentityResponse] = {}
        for name, address in self.replicas.items():
            if name == self.name:
                continue
            request = messages.IdentityRequest(
                self.name, self.journal.identity.replica_id, 0
            )
            try:
                responses[name] = await self.peers.call(
                    address, peers.PROBE, request, PROBE_TIMEOUT_SECONDS
                )
            except errors.UnreachableError:
                continue
        return responses

    def _join(self, members: messages.Members) -> messages.Members | None:
        identity = self.journal.identity
        if identity.replica_id not in members.voters:
            self.log.emit("replica-awaits-add", replica=identity.replica_id)
            return None
        return self._store_members(members)

    def _create_quorum(
        self, responses: dict[str, messages.IdentityResponse]
    ) -> messages.Members:
        ids = {
            name: response.replica_id for name, response in responses.items()
        }
        ids[self.name] = self.journal.identity.replica_id
        voters = {ids[name]: self.replicas[name] for name in sorted(ids)}
        return self._store_members(messages.Members(voters))

    def _store_members(self, members: messages.Members) -> messages.Members:
        id = self.journal.identity.replica_id
        self.journal.save_identity(journal.Identity(id, members))
        self.log.emit("quorum-founded", voters=",".join(members.voters))
        return members


class ReplicaChanges:
    """Adds and removes replicas, one at a time, on the leader.

    Attributes:
        vm: This VM.
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm

    async def answer_probe(
        self, request: messages.IdentityRequest
    ) -> messages.IdentityResponse:
        """Returns the replica id of this VM and the configuration it has."""
        runner = self.vm.replica_runner
        if runner is None:
            return messages.IdentityResponse("", None, 0)
        identity = runner.journal.identity
        members = runner.replica.members if identity.members else None
        if members is None and runner.replica.members.voters:
            members = runner.replica.members
        return messages.IdentityResponse(identity.replica_id, members, 0)

    async def answer_change(
        self, request: messages.ReplicaChange
    ) -> messages.SubmitResponse:
        """Adds or removes a replica for an operator.

        Only the leader does this. Another replica answers with the leader's
        address.
        """
        runner = self.vm.replica_runner
        if runner is None or not runner.is_leader:
            address = runner.leader_address if runner is not None else ""
            return submitter.not_leader(address)
        try:
            await self._change(runner, request)
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
        operator = runner.state.find_operator(request.token_digest)
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
            response: messages.IdentityResponse = await self.vm.peers.call(
                request.address, peers.PROBE, probe, PROBE_TIMEOUT_SECONDS
            )
        except errors.UnreachableError as error:
            raise errors.refuse(
                errors.Kind.UPSTREAM_FAILED, str(error), executed="no"
            ) from error
        id = response.replica_id
        if id.rpartition(".")[0] != request.name:
            raise errors.refuse(
                errors.Kind.CONFLICT,
                f"{request.address} is {id or 'no replica'}, "
                f"not {request.name}",
            )
        old = runner.replica.members
        if id in old.voters or id in old.learners:
            return
        await runner.change_members(old.with_learner(id, request.address))
        self.vm.log.emit("replica-added", replica=id)

    async def _remove(
        self, runner: replicarunner.ReplicaRunner, name: str
    ) -> None:
        old = runner.replica.members
        replica_ids = old.voters.keys() | old.learners.keys()
        matches = [i for i in replica_ids if name in (i, i.rpartition(".")[0])]
        if not matches and journal.is_replica_id(name):
            # A removal that is sent again after its answer was lost.
            return
        if len(matches) != 1:
            raise errors.refuse(
                errors.Kind.NO_ROUTE,
                f"{name!r} matches {len(matches)} replicas; "
                "pass the replica id",
            )
        id = matches[0]
        if id == runner.replica.id:
            await runner.transfer_leadership()
            raise errors.NotLeaderError("leadership was transferred first")
        members = old.without(id)
        if not members.voters:
            raise errors.refuse(
                errors.Kind.CONFLICT, "this is the last replica"
            )
        await runner.change_members(members)
        self.vm.log.emit("replica-removed", replica=id)
