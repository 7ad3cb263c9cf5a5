"""Renews a VM's leased shares, and answers renewals on the leader."""

import asyncio
import contextlib

from pollenseam import errors
from pollenseam import leases
from pollenseam import lending
from pollenseam import messages
from pollenseam import peers
from pollenseam import submitter
from pollenseam import traces
from pollenseam import vm

RENEW_SECONDS = 0.5
RENEW_RETRY_SECONDS = 0.1
BATCH_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 1.0


class Renewer:
    """Runs the renewals of one VM.

    Attributes:
        vm: The VM's view.
        submitter: Knows the leader.
    """

    def __init__(
        self, local_vm: vm.Vm, command_submitter: submitter.Submitter
    ) -> None:
        self.vm = local_vm
        self.submitter = command_submitter
        self._attempt = 0

    async def run(self) -> None:
        """Renews until cancelled."""
        while True:
            renewed = await self.renew()
            period = RENEW_SECONDS if renewed else RENEW_RETRY_SECONDS
            wake = self.vm.lease_wake
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await wake.wait()
            wake.clear()
            # Demands that arrive together go out in one message.
            await asyncio.sleep(BATCH_SECONDS)

    async def renew(self) -> bool:
        """Asks the leader once; False when it did not lend."""
        own = self.vm
        if not own.book.accounts:
            return True
        sent_at = own.now()
        request = self._request(sent_at)
        if not request.demands:
            return True
        answer = await self._send(request)
        if answer is None or answer.ttl_ms <= 0:
            return False
        self._apply(answer, sent_at)
        return True

    def _request(self, now: float) -> messages.LeaseRequest:
        asks = lending.to_demands(self.vm.book.build_requests(now))
        return messages.LeaseRequest(self.vm.holder, asks, 0)

    async def _send(
        self, request: messages.LeaseRequest
    ) -> messages.LeaseResponse | None:
        own = self.vm.control
        if own is not None and own.is_leader:
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
        own = self.vm
        now = own.now()
        deadline = sent_at + answer.ttl_ms / 1000
        for share in answer.shares:
            granted = lending.to_lease_share(share)
            if own.trace.is_on:
                own.trace.add(
                    traces.Renewed(
                        now,
                        share.resource,
                        share.rate,
                        share.burst,
                        share.tokens,
                        deadline,
                    )
                )
            if own.book.renew(share.resource, granted, deadline, now):
                # Others wait for what this VM no longer holds.
                own.lease_wake.set()

    async def answer(
        self, request: messages.LeaseRequest
    ) -> messages.LeaseResponse:
        """Answers a holder's demands while this VM leads.

        A lease ends LEASE_SECONDS after the time at which leadership was
        confirmed, so that the next leader knows when all have ended.
        """
        own = self.vm.control
        if own is None or own.failure_reason:
            return messages.LeaseResponse(0, "", [], 0)
        confirmed = own.confirmed_at()
        now = self.vm.now()
        if confirmed is None:
            return messages.LeaseResponse(0, own.leader_address, [], 0)
        ttl_ms = int((leases.LEASE_SECONDS - (now - confirmed)) * 1000)
        if ttl_ms <= 0:
            return messages.LeaseResponse(0, "", [], 0)
        if not request.demands:
            own.lending.lender.release(request.holder, now)
        shares = own.lending.answer(
            request, own.state.tree, own.clock_ms(), now
        )
        return messages.LeaseResponse(ttl_ms, "", shares, 0)

    async def release(self) -> None:
        """Gives all shares back before a planned stop."""
        self.vm.book.set_resources((), self.vm.now())
        self.vm.book.accounts.clear()
        await self._send(messages.LeaseRequest(self.vm.holder, [], 0))
