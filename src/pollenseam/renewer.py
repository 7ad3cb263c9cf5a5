"""Renewal of a VM's leased shares, and the leader's answers to renewals."""

import asyncio
import contextlib

from pollenseam import errors
from pollenseam import leases
from pollenseam import lending
from pollenseam import messages
from pollenseam import peers
from pollenseam import statementwatch
from pollenseam import submitter
from pollenseam import traces
from pollenseam import upstreamstatements
from pollenseam import vm

RENEW_SECONDS = 0.5
RENEW_RETRY_SECONDS = 0.1
# Reports that come up within this time go into one message.
BATCH_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 1.0


class Renewer:
    """Renews the leases of one VM.

    Attributes:
        vm: State of this VM.
        submitter: Submitter of commands, which has the leader's address.
    """

    def __init__(
        self, local_vm: vm.Vm, command_submitter: submitter.Submitter
    ) -> None:
        self.vm = local_vm
        self.submitter = command_submitter
        self._attempt = 0
        self._is_full_report_due = True

    async def run(self) -> None:
        """Renews leases until cancelled."""
        while True:
            self.vm.statement_watch.end_pauses()
            renewed = await self.renew()
            period = RENEW_SECONDS if renewed else RENEW_RETRY_SECONDS
            wake = self.vm.lease_wake
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await wake.wait()
            wake.clear()
            await asyncio.sleep(BATCH_SECONDS)

    async def renew(self) -> bool:
        """Sends the reports that are due to the leader.

        Returns:
            Whether the leader renewed the leases or no report was due.
        """
        local_vm = self.vm
        if not local_vm.lease_table.accounts:
            return True
        sent_at = local_vm.now()
        request = self._request(sent_at)
        if not request.demands:
            return True
        answer = await self._send(request)
        if answer is None or answer.ttl_ms <= 0:
            return False
        self._apply(answer, sent_at)
        self._exchange_observations(request, answer)
        return True

    def _request(self, now: float) -> messages.LeaseRequest:
        demands = lending.to_demands(self.vm.lease_table.build_requests(now))
        report = self.vm.fleet_view.build_report(self._is_full_report_due, now)
        return messages.LeaseRequest(self.vm.lease_holder, demands, 0, report)

    def _exchange_observations(
        self, request: messages.LeaseRequest, answer: messages.LeaseResponse
    ) -> None:
        """Adopts what other VMs observed.

        A leader of a new term gets all observations with the next request.
        """
        update = answer.observed
        if update is None:
            return
        fleet_view = self.vm.fleet_view
        known_term = fleet_view.known.term
        self._is_full_report_due = update.revisions.term != known_term
        changed = fleet_view.receive(request.observed, update, self.vm.now())
        for statement in changed:
            if statement.is_leaving:
                self._log_leaving(statement)

    def _log_leaving(self, statement: upstreamstatements.Statement) -> None:
        """Logs that another VM heard an upstream say that it leaves."""
        path = statement.upstream
        service = path.rpartition("/")[0]
        speaker = statementwatch.Speaker(path, statement.started_ms, service, 0)
        self.vm.statement_watch.log_leaving(
            speaker, statement.age_ms, "other-vm"
        )

    async def _send(
        self, request: messages.LeaseRequest
    ) -> messages.LeaseResponse | None:
        control = self.vm.replica_runner
        if control is not None and control.is_leader:
            return await self.answer(request)
        address = self.submitter.leader_address(self._attempt)
        if not address:
            return None
        try:
            answer: messages.LeaseResponse = await self.vm.peers.call(
                address, peers.LEND, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            self._record_failure("")
            return None
        if answer.ttl_ms <= 0:
            self._record_failure(answer.leader)
        return answer

    def _record_failure(self, leader: str) -> None:
        self._attempt += 1
        self.submitter.leader = leader

    def _apply(self, answer: messages.LeaseResponse, sent_at: float) -> None:
        local_vm = self.vm
        now = local_vm.now()
        deadline = sent_at + answer.ttl_ms / 1000
        for message in answer.shares:
            share = lending.to_lease_share(message)
            if local_vm.trace.is_on:
                local_vm.trace.add(
                    traces.Renewed(
                        now,
                        message.resource,
                        message.rate,
                        message.burst,
                        message.tokens,
                        deadline,
                    )
                )
            if local_vm.lease_table.renew(
                message.resource, share, deadline, now
            ):
                # Other VMs wait for the part that this VM no longer has.
                local_vm.lease_wake.set()

    async def answer(
        self, request: messages.LeaseRequest
    ) -> messages.LeaseResponse:
        """Answers a holder's reports and demands while this VM leads.

        A lease ends LEASE_SECONDS after the time at which leadership was
        confirmed, so that the next leader can tell when all leases have
        expired. A request without demands releases all shares of the holder.
        """
        control = self.vm.replica_runner
        if control is None or control.failure_reason:
            return messages.LeaseResponse(0, "", [], 0)
        confirmed = control.confirmed_at()
        now = self.vm.now()
        if confirmed is None:
            return messages.LeaseResponse(0, control.leader_address, [], 0)
        ttl_ms = int((leases.LEASE_SECONDS - (now - confirmed)) * 1000)
        if ttl_ms <= 0:
            return messages.LeaseResponse(0, "", [], 0)
        if not request.demands:
            control.lending.lender.release(request.holder, now)
        shares = control.lending.answer(
            request, control.state.tree, control.clock_ms(), now
        )
        board = self.vm.board
        term = control.replica.hard_state.term
        update = board.answer(request.observed, term, now)
        return messages.LeaseResponse(ttl_ms, "", shares, 0, observed=update)

    async def release(self) -> None:
        """Returns all shares to the leader before a planned stop."""
        self.vm.lease_table.set_resources((), self.vm.now())
        self.vm.lease_table.accounts.clear()
        await self._send(messages.LeaseRequest(self.vm.lease_holder, [], 0))
