"""How replicas bootstrap or join the quorum."""

import asyncio

from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import messages
from pollenseam import peers
from pollenseam import replicarunner

RETRY_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 0.5


class Joiner:
    """Adds one replica to the quorum.

    The seeds create the quorum: each new seed waits until all other seeds
    answer that they are new too. All other replicas ask the leader to add
    them. So does a replica whose disk was lost: it has a new id, and its
    address is in the quorum under the old one.

    Attributes:
        own_record: Record of this VM.
        journal: Journal in the data folder of this VM.
        seeds: Addresses of control VMs that are asked for the quorum.
        may_bootstrap: Whether this is the first start of the whole fleet.
        peers: Client for calls to other VMs.
        log: Event log.
    """

    def __init__(
        self,
        own_record: controlmessages.ControlVm,
        folder: journal.Journal,
        seeds: list[str],
        may_bootstrap: bool,
        peer_client: peers.Client,
        log: events.EventLog,
    ) -> None:
        self.own_record = own_record
        self.journal = folder
        self.seeds = seeds
        self.may_bootstrap = may_bootstrap
        self.peers = peer_client
        self.log = log

    async def run(self, runner: replicarunner.ReplicaRunner) -> None:
        """Returns once the replica has a configuration that includes it.

        Also returns if the replica has failed.
        """
        while not runner.failure_reason and not runner.is_member:
            try:
                await self._run_once(runner)
            except OSError as error:
                self.log.emit("disk-refuses", reason=str(error))
            await asyncio.sleep(RETRY_SECONDS)

    async def _run_once(self, runner: replicarunner.ReplicaRunner) -> None:
        responses = await self._probe_all()
        members = self._existing_members(responses)
        if members is not None:
            await self._join(runner, members)
        elif self._can_bootstrap(responses):
            self._store_members(runner, self._founding_members(responses))

    def _founding_members(
        self, responses: dict[str, messages.IdentityResponse]
    ) -> messages.Members:
        own = self.own_record
        ids = {a: p.replica_id for a, p in responses.items()}
        ids[own.address] = own.replica_id
        domains = {p.replica_id: p.failure_domain for p in responses.values()}
        domains[own.replica_id] = own.failure_domain
        voters = {ids[address]: address for address in sorted(ids)}
        return messages.Members(voters).with_failure_domains(domains)

    def _can_bootstrap(
        self, responses: dict[str, messages.IdentityResponse]
    ) -> bool:
        is_seed = self.own_record.address in self.seeds
        return (
            self.may_bootstrap
            and is_seed
            and len(responses) == len(self.seeds) - 1
            and all(response.replica_id for response in responses.values())
        )

    def _existing_members(
        self, responses: dict[str, messages.IdentityResponse]
    ) -> messages.Members | None:
        for response in responses.values():
            if response.members is not None and response.members.voters:
                return response.members
        return None

    async def _probe_all(self) -> dict[str, messages.IdentityResponse]:
        others = [a for a in self.seeds if a != self.own_record.address]
        responses = await asyncio.gather(*(self._probe(a) for a in others))
        return {
            address: response
            for address, response in zip(others, responses, strict=True)
            if response is not None
        }

    async def _probe(self, address: str) -> messages.IdentityResponse | None:
        request = messages.IdentityRequest(
            self.own_record.address, self.own_record.replica_id, 0
        )
        try:
            response: messages.IdentityResponse = await self.peers.call(
                address, peers.PROBE, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return None
        return response

    async def _join(
        self, runner: replicarunner.ReplicaRunner, members: messages.Members
    ) -> None:
        if self.own_record.replica_id in members.voters and self.may_bootstrap:
            self._store_members(runner, members)
            return
        for address in other_addresses(members, self.seeds, self.own_record):
            if await request_join(self.peers, address, self.own_record):
                return

    def _store_members(
        self, runner: replicarunner.ReplicaRunner, members: messages.Members
    ) -> None:
        identity = journal.Identity(self.own_record.replica_id, members)
        self.journal.save_identity(identity)
        runner.replica.bootstrap(members)
        self.log.emit("quorum-founded", voters=",".join(members.voters))


def other_addresses(
    members: messages.Members,
    seeds: list[str],
    own_record: controlmessages.ControlVm,
) -> list[str]:
    """Returns the addresses at which this VM can ask about the quorum.

    Args:
        members: The latest configuration that this VM has.
        seeds: Addresses of control VMs; may include the own address.
        own_record: Record of this VM.
    """
    known = [*members.voters.values(), *members.learners.values(), *seeds]
    return [a for a in dict.fromkeys(known) if a != own_record.address]


async def request_join(
    peer_client: peers.Client,
    address: str,
    own_record: controlmessages.ControlVm,
) -> bool:
    """Asks for this VM's replica to be added to the quorum.

    The request goes to one control VM. If that is not the leader, it goes on
    to the leader that the control VM names.

    Args:
        peer_client: Client for calls to other VMs.
        address: Address of the control VM.
        own_record: Record of this VM.

    Returns:
        Whether the leader accepted the request.
    """
    for _ in range(2):
        try:
            response: controlmessages.JoinResponse = await peer_client.call(
                address,
                controlmessages.JOIN,
                controlmessages.Join(own_record),
                CALL_TIMEOUT_SECONDS,
            )
        except errors.UnreachableError:
            return False
        if response.is_leader:
            return True
        if not response.leader or response.leader == address:
            return False
        address = response.leader
    return False


def add_learner(
    members: messages.Members, joining_vm: controlmessages.ControlVm
) -> messages.Members | None:
    """Returns the configuration with the VM's replica added as a learner.

    The new learner replaces one with the same address. Returns None if the
    replica is in the configuration already.
    """
    id = joining_vm.replica_id
    if id in members.voters or id in members.learners:
        return None
    for known, address in members.learners.items():
        if address == joining_vm.address:
            members = members.without(known)
    return members.with_learner(id, joining_vm.address).with_failure_domains(
        {id: joining_vm.failure_domain}
    )
