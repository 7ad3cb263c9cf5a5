"""How a control VM finds or founds the quorum, and how lost ones leave it."""

import asyncio

from pollenseam import control
from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import messages
from pollenseam import news
from pollenseam import peers

RETRY_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 0.5
# A voter this long out of reach is replaced once another one stands in for it.
ABSENT_SECONDS = 3.0


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
        own: news.ControlVm,
        folder: journal.Journal,
        seeds: list[str],
        may_found: bool,
        caller: peers.Peers,
        log: events.EventLog,
    ) -> None:
        self.own = own
        self.journal = folder
        self.seeds = seeds
        self.may_found = may_found
        self.peers = caller
        self.log = log

    async def run(self, replica: control.Control) -> None:
        """Returns once this replica knows a configuration that has it."""
        while not replica.failed and not replica.is_member:
            try:
                await self._try(replica)
            except OSError as error:
                self.log.emit("disk-refuses", reason=str(error))
            await asyncio.sleep(RETRY_SECONDS)

    async def _try(self, replica: control.Control) -> None:
        answers = await self._probe_all()
        members = self._founded(answers)
        if members is not None:
            await self._enter(replica, members)
        elif self._founds(answers):
            ids = {a: p.replica_id for a, p in answers.items()}
            ids[self.own.address] = self.own.replica_id
            found = {ids[address]: address for address in sorted(ids)}
            self._keep(replica, messages.Members(found))

    def _founds(self, answers: dict[str, messages.ReplicaProbed]) -> bool:
        is_seed = self.own.address in self.seeds
        return (
            self.may_found
            and is_seed
            and len(answers) == len(self.seeds) - 1
            and all(answer.replica_id for answer in answers.values())
        )

    def _founded(
        self, answers: dict[str, messages.ReplicaProbed]
    ) -> messages.Members | None:
        for answer in answers.values():
            if answer.members is not None and answer.members.voters:
                return answer.members
        return None

    async def _probe_all(self) -> dict[str, messages.ReplicaProbed]:
        others = [a for a in self.seeds if a != self.own.address]
        found = await asyncio.gather(*(self._probe(a) for a in others))
        return {
            address: answer
            for address, answer in zip(others, found, strict=True)
            if answer is not None
        }

    async def _probe(self, address: str) -> messages.ReplicaProbed | None:
        request = messages.ProbeReplica(
            self.own.address, self.own.replica_id, 0
        )
        try:
            answer: messages.ReplicaProbed = await self.peers.call(
                address, peers.PROBE, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return None
        return answer

    async def _enter(
        self, replica: control.Control, members: messages.Members
    ) -> None:
        if self.own.replica_id in members.voters and self.may_found:
            self._keep(replica, members)
            return
        for address in [*members.voters.values(), *self.seeds]:
            if address == self.own.address:
                continue
            if await ask_to_join(self.peers, address, self.own):
                return

    def _keep(
        self, replica: control.Control, members: messages.Members
    ) -> None:
        identity = journal.Identity(self.own.replica_id, members)
        self.journal.save_identity(identity)
        replica.replica.found(members)
        self.log.emit("quorum-founded", voters=",".join(members.voters))


async def ask_to_join(
    caller: peers.Peers, address: str, own: news.ControlVm
) -> bool:
    """Asks one control VM, and the leader that it names, to take us in."""
    for _ in range(2):
        try:
            answer: news.Joined = await caller.call(
                address, news.JOIN, news.Join(own), CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return False
        if answer.is_leader:
            return True
        if not answer.leader or answer.leader == address:
            return False
        address = answer.leader
    return False


def admit(
    members: messages.Members, joining: news.ControlVm
) -> messages.Members | None:
    """Returns the configuration with a replica taken in as a learner.

    None when it stands there already.
    """
    id = joining.replica_id
    if id in members.voters or id in members.learners:
        return None
    learners = {
        known: address
        for known, address in members.learners.items()
        if address != joining.address
    }
    return messages.Members(members.voters, {**learners, id: joining.address})


def obsolete(
    members: messages.Members,
    heard_at: dict[str, float],
    domains: dict[str, str],
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
        if id not in heard_at or now - heard_at[id] < ABSENT_SECONDS:
            continue
        for other, place in members.voters.items():
            if other == id:
                continue
            if now - heard_at.get(other, now) >= ABSENT_SECONDS:
                continue
            domain = domains.get(id)
            if place == address or (domain and domain == domains.get(other)):
                return id
    return ""
