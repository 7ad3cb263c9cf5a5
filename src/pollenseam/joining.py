"""How a control VM finds or founds the quorum, and how lost ones leave it."""

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
# A voter this long out of reach is replaced once another one stands in for it.
UNREACHABLE_SECONDS = 3.0


class Joiner:
    """Brings one replica into the quorum.

    The seeds found it: each of them, new itself, waits until all the others
    answer that they are new too. All other replicas ask the leader to take
    them in. A replica whose disk was lost has a new id, finds that its
    address already stands in the quorum under another one, and is taken in
    anew as well.

    Attributes:
        own: This VM's record.
        seeds: Addresses to ask.
        may_found: Whether this is the first start of the whole fleet.
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

    async def run(self, replica: replicarunner.ReplicaRunner) -> None:
        """Returns once this replica knows a configuration that has it."""
        while not replica.failure_reason and not replica.is_member:
            try:
                await self._run_once(replica)
            except OSError as error:
                self.log.emit("disk-refuses", reason=str(error))
            await asyncio.sleep(RETRY_SECONDS)

    async def _run_once(self, replica: replicarunner.ReplicaRunner) -> None:
        answers = await self._probe_all()
        members = self._existing_members(answers)
        if members is not None:
            await self._join(replica, members)
        elif self._can_bootstrap(answers):
            ids = {a: p.replica_id for a, p in answers.items()}
            ids[self.own_record.address] = self.own_record.replica_id
            found = {ids[address]: address for address in sorted(ids)}
            self._store_members(replica, messages.Members(found))

    def _can_bootstrap(
        self, answers: dict[str, messages.IdentityResponse]
    ) -> bool:
        is_seed = self.own_record.address in self.seeds
        return (
            self.may_bootstrap
            and is_seed
            and len(answers) == len(self.seeds) - 1
            and all(answer.replica_id for answer in answers.values())
        )

    def _existing_members(
        self, answers: dict[str, messages.IdentityResponse]
    ) -> messages.Members | None:
        for answer in answers.values():
            if answer.members is not None and answer.members.voters:
                return answer.members
        return None

    async def _probe_all(self) -> dict[str, messages.IdentityResponse]:
        others = [a for a in self.seeds if a != self.own_record.address]
        found = await asyncio.gather(*(self._probe(a) for a in others))
        return {
            address: answer
            for address, answer in zip(others, found, strict=True)
            if answer is not None
        }

    async def _probe(self, address: str) -> messages.IdentityResponse | None:
        request = messages.IdentityRequest(
            self.own_record.address, self.own_record.replica_id, 0
        )
        try:
            answer: messages.IdentityResponse = await self.peers.call(
                address, peers.PROBE, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return None
        return answer

    async def _join(
        self, replica: replicarunner.ReplicaRunner, members: messages.Members
    ) -> None:
        if self.own_record.replica_id in members.voters and self.may_bootstrap:
            self._store_members(replica, members)
            return
        for address in [*members.voters.values(), *self.seeds]:
            if address == self.own_record.address:
                continue
            if await request_join(self.peers, address, self.own_record):
                return

    def _store_members(
        self, replica: replicarunner.ReplicaRunner, members: messages.Members
    ) -> None:
        identity = journal.Identity(self.own_record.replica_id, members)
        self.journal.save_identity(identity)
        replica.replica.bootstrap(members)
        self.log.emit("quorum-founded", voters=",".join(members.voters))


async def request_join(
    peer_client: peers.Client,
    address: str,
    own_record: controlmessages.ControlVm,
) -> bool:
    """Asks one control VM, and the leader that it names, to take us in."""
    for _ in range(2):
        try:
            answer: controlmessages.JoinResponse = await peer_client.call(
                address,
                controlmessages.JOIN,
                controlmessages.Join(own_record),
                CALL_TIMEOUT_SECONDS,
            )
        except errors.UnreachableError:
            return False
        if answer.is_leader:
            return True
        if not answer.leader or answer.leader == address:
            return False
        address = answer.leader
    return False


def add_learner(
    members: messages.Members, joining_vm: controlmessages.ControlVm
) -> messages.Members | None:
    """Returns the configuration with a replica taken in as a learner.

    None when it stands there already.
    """
    id = joining_vm.replica_id
    if id in members.voters or id in members.learners:
        return None
    learners = {
        known: address
        for known, address in members.learners.items()
        if address != joining_vm.address
    }
    return messages.Members(
        members.voters, {**learners, id: joining_vm.address}
    )


def replaced_voter(
    members: messages.Members,
    answered_at: dict[str, float],
    failure_domains: dict[str, str],
    now: float,
) -> str:
    """Returns a voter to remove because another one stands in for it, or "".

    That is one at whose address another replica answers now, or one that has
    been out of reach for ABSENT_SECONDS while another voter of the same
    failure domain is within reach.

    Args:
        members: The configuration.
        heard_at: Time of the last answer of each other replica, by id; the
            own replica is not in it.
        domains: Failure domain of each replica, by id, where known.
        now: Time of the caller.
    """
    for id, address in members.voters.items():
        if id not in answered_at or now - answered_at[id] < UNREACHABLE_SECONDS:
            continue
        for other, place in members.voters.items():
            if other == id:
                continue
            if now - answered_at.get(other, now) >= UNREACHABLE_SECONDS:
                continue
            domain = failure_domains.get(id)
            if place == address or (
                domain and domain == failure_domains.get(other)
            ):
                return id
    return ""
