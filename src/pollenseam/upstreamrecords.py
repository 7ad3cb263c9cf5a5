"""Records what upstreams announce of themselves to a control VM."""

from collections.abc import Callable

from pollenseam import commands
from pollenseam import errors
from pollenseam import events
from pollenseam import proposer
from pollenseam import registry
from pollenseam import succession
from pollenseam import validity


class UpstreamRecords:
    """Answers the announcements of upstreams and the notices of their stops.

    Attributes:
        log: Event log.
        proposer: Submits commands to the leader.
        find_registry: Returns the registry that this VM's replica has applied.
        is_leader_reachable: Whether the leader confirmed it recently enough.
        unreported_ids: Ids of upstreams that announced themselves to this VM
            and are not yet reported to the leader.
    """

    __slots__ = (
        "log",
        "proposer",
        "find_registry",
        "is_leader_reachable",
        "unreported_ids",
    )

    def __init__(
        self,
        log: events.EventLog,
        command_proposer: proposer.Proposer,
        find_registry: Callable[[], registry.Registry],
        is_leader_reachable: Callable[[], bool],
    ) -> None:
        self.log = log
        self.proposer = command_proposer
        self.find_registry = find_registry
        self.is_leader_reachable = is_leader_reachable
        self.unreported_ids: set[str] = set()

    async def announce(
        self, record: registry.Upstream, deadline: float
    ) -> None:
        """Records an announcement; see `ControlVm.announce`."""
        command = commands.RecordUpstreams([record])
        commands.check(command)
        if self.find_registry().is_update(record):
            outcome = await self.proposer.submit(command, deadline)
            self._raise_refused(record, outcome)
            self.log.emit(
                "upstream",
                id=record.id,
                state=record.state,
                service=record.service,
                address=record.address,
                cold_ms=record.cold_ms,
                sequence=record.sequence,
            )
        elif not self.is_leader_reachable():
            raise errors.UnreachableError("the leader is unreachable")
        else:
            refusal = succession.why_unused(record, self.find_registry())
            if refusal is not None:
                outcome = commands.Outcome(refusal.kind, refusal.detail)
                self._raise_refused(record, outcome)
        self.unreported_ids.add(record.id)

    async def leave(self, id: str, started_ms: int, deadline: float) -> None:
        """Records that an upstream has stopped; see `ControlVm.leave`."""
        validity.check(registry.ended_record(id, started_ms))
        known = self.find_registry().upstreams.get(id)
        if known is None or not started_ms:
            # This replica may not have applied the latest start yet.
            await self.proposer.read_barrier(deadline)
            known = self.find_registry().upstreams.get(id)
        record = registry.stop_record(id, started_ms, known)
        if record is None or not self.find_registry().is_update(record):
            return
        command = commands.RecordUpstreams([record])
        outcome = await self.proposer.submit(command, deadline)
        self._raise_refused(record, outcome)
        self.log.emit("upstream", id=id, state=record.state)

    def _raise_refused(
        self, record: registry.Upstream, outcome: commands.Outcome
    ) -> None:
        """Raises a RefusedError, and logs it, if a record is not used."""
        if not outcome.kind:
            return
        self.log.emit_often(
            "upstream-refused",
            id=record.id,
            state=record.state,
            started_ms=record.started_ms,
            reason=outcome.detail,
        )
        raise errors.refuse(errors.Kind(outcome.kind), outcome.detail)
