"""What the control VM that leads does at regular intervals."""

import contextlib
import functools
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from pollenseam import commands
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import liveness
from pollenseam import messages
from pollenseam import observations
from pollenseam import registry
from pollenseam import renewals
from pollenseam import replacements
from pollenseam import replicarunner
from pollenseam import succession
from pollenseam import tasks
from pollenseam import waitingrecords

# Announcements in one log entry; each has about 150 bytes.
MAX_RECORDS_PER_ENTRY = 200


class LeaderDuties:
    """Records who is alive, and takes out VMs and upstreams that are not.

    Attributes:
        log: Event log.
        find_runner: Returns the runner of this VM's replica.
        find_registry: Returns the registry that the replica has applied.
        own_record: Returns this VM's record.
        find_tolerated_losses: Returns how many control VMs at a time may lose
            their disks, or None if that is not stated.
        liveness: Directory of VMs and deadlines of VMs and upstreams.
        board: What entry VMs observe at upstreams.
        renewals: Leases shares of rates to entry VMs.
        tasks: Background tasks of this VM.
        waiting: Announcements of upstreams whose service is not known yet.
        led_term: Latest term in which this VM led.
        kept_voters: Why each unreachable voter stays in the quorum, by id.
    """

    def __init__(
        self,
        log: events.EventLog,
        find_runner: Callable[[], replicarunner.ReplicaRunner],
        find_registry: Callable[[], registry.Registry],
        own_record: Callable[[], controlmessages.ControlVm],
        find_tolerated_losses: Callable[[], int | None],
        liveness_tracker: liveness.LivenessTracker,
        board: observations.Board,
        local_renewals: renewals.Renewals,
        background_tasks: tasks.Group,
    ) -> None:
        self.log = log
        self.find_runner = find_runner
        self.find_registry = find_registry
        self.own_record = own_record
        self.find_tolerated_losses = find_tolerated_losses
        self.liveness = liveness_tracker
        self.board = board
        self.renewals = local_renewals
        self.tasks = background_tasks
        self.waiting = waitingrecords.WaitingRecords(
            liveness_tracker.replacement_timeout
        )
        self.led_term = 0
        self.kept_voters: dict[str, str] = {}

    def do_once(self, announced_ids: Iterable[str], now: float) -> None:
        """Does what is due, while this VM leads.

        Args:
            announced_ids: Ids of upstreams that announced themselves to this
                VM since the last time.
            now: Time in seconds.
        """
        runner = self.find_runner()
        term = runner.replica.hard_state.term
        if term != self.led_term:
            self.start_leading(term, now)
            self.led_term = term
        self.liveness.record_control(self.own_record())
        self.liveness.record_upstreams(announced_ids, now)
        self.liveness.remove_expired(runner.replica.members, now)
        self._record_expired(now)
        self._record_waiting(now)
        self.board.statements.retain(self.find_registry().latest_start, now)
        self._record_failure_domains()
        self._remove_one_replica(now)

    def start_leading(self, term: int, now: float) -> None:
        """Begins with the records of a new leader.

        Args:
            term: Term in which this VM leads.
            now: Time in seconds.
        """
        upstreams = self.find_registry().upstreams.values()
        self.liveness.start_term(term, upstreams, now)
        self.kept_voters = {}
        self.renewals.start_leading()

    def _record_expired(self, now: float) -> None:
        expired = self.liveness.expired_upstreams(
            self.find_registry().upstreams, now
        )
        if not expired:
            return
        records = [
            msgspec.structs.replace(record, state=registry.EXPIRED)
            for record in expired
        ]
        self.log.emit("upstreams-lost", ids=",".join(r.id for r in records))
        self.liveness.record_upstreams([r.id for r in records], now)
        self.tasks.attempt(lambda: self._submit_if_leader(records))

    def _record_waiting(self, now: float) -> None:
        """Records announcements that came before their service."""
        current = self.find_registry()
        ready = [
            record
            for record in self.waiting.take_ready(current, now)
            if current.is_update(record)
            and succession.why_refused(
                record, current, self.find_runner().gate.is_announcing
            )
            is None
        ]
        if not ready:
            return
        self.log.emit("upstreams-recorded-late", count=len(ready))
        for first in range(0, len(ready), MAX_RECORDS_PER_ENTRY):
            self.tasks.attempt(
                functools.partial(
                    self._submit_if_leader,
                    ready[first : first + MAX_RECORDS_PER_ENTRY],
                )
            )

    async def _submit_if_leader(self, records: list[registry.Upstream]) -> None:
        with contextlib.suppress(errors.NotLeaderError):
            await self.find_runner().submit(commands.RecordUpstreams(records))

    def _record_failure_domains(self) -> None:
        """Adds the failure domains of VMs of an earlier build to the log.

        The directory is in memory alone: after a restart of all control VMs it
        does not have those that were lost meanwhile.
        """
        self.find_runner().record_failure_domains(
            {
                control.replica_id: control.failure_domain
                for control in self.liveness.directory.controls
            }
        )

    def _remove_one_replica(self, now: float) -> None:
        """Removes a voter that was replaced, or a learner that is gone."""
        runner = self.find_runner()
        members = runner.replica.members
        answered_at = {
            id: progress.confirmed_at
            for id, progress in runner.replica.progress.items()
        }
        kept_voters = replacements.kept_voters(
            members, answered_at, now, self.find_tolerated_losses()
        )
        self._log_kept_voters(members, kept_voters)
        replaced = [id for id, why in kept_voters.items() if not why]
        if not replaced:
            replaced = replacements.silent_learners(members, answered_at, now)
        if replaced:
            runner.remove(replaced[0])

    def _log_kept_voters(
        self, members: messages.Members, kept_voters: dict[str, str]
    ) -> None:
        for id, why in kept_voters.items():
            if self.kept_voters.get(id) != why:
                self.log.emit(
                    "voter-unreachable",
                    replica=id,
                    failure_domain=members.failure_domains.get(id),
                    voters=len(members.voters),
                    unreachable=len(kept_voters),
                    kept=why or None,
                )
        self.kept_voters = kept_voters
