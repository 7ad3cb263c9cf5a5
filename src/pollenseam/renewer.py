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

PERIOD_SECONDS = 0.5
RETRY_SECONDS = 0.1
URGENT_SECONDS = 0.05
CALL_TIMEOUT_SECONDS = 1.0


class Renewer:
    """Runs the renewals of one VM.

    Attributes:
        vm: The VM's view.
        submitter: Knows the leader.
    """

    def __init__(self, own: vm.Vm, finder: submitter.Submitter) -> None:
        self.vm = own
        self.submitter = finder
        self._attempt = 0

    async def run(self) -> None:
        """Renews until cancelled."""
        while True:
            renewed = await self.renew()
            period = PERIOD_SECONDS if renewed else RETRY_SECONDS
            wake = self.vm.lease_wake
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await wake.wait()
            wake.clear()
            # Demands that arrive together go out in one message.
            await asyncio.sleep(URGENT_SECONDS)

    async def renew(self) -> bool:
        """Asks the leader once; False when it did not lend."""
        own = self.vm
        if not own.book.accounts:
            return True
        sent_at = own.now()
        request = self._request(sent_at)
        if not request.asks:
            return True
        answer = await self._send(request)
        if answer is None or answer.ttl_ms <= 0:
            return False
        self._take_in(answer, sent_at)
        return True

    def _request(self, now: float) -> messages.Lend:
        asks = lending.asks(self.vm.book.requests(now))
        return messages.Lend(self.vm.holder, asks, 0)

    async def _send(self, request: messages.Lend) -> messages.Lent | None:
        own = self.vm.control
        if own is not None and own.is_leader:
            return await self.answer(request)
        address = self.submitter.leader_address(self._attempt)
        if not address:
            return None
        try:
            answer: messages.Lent = await self.vm.peers.call(
                address, peers.LEND, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            self._note_failure("")
            return None
        if answer.ttl_ms <= 0:
            self._note_failure(answer.leader)
        return answer

    def _note_failure(self, leader: str) -> None:
        self._attempt += 1
        self.submitter.leader = leader

    def _take_in(self, answer: messages.Lent, sent_at: float) -> None:
        own = self.vm
        now = own.now()
        deadline = sent_at + answer.ttl_ms / 1000
        for share in answer.shares:
            granted = lending.granted(share)
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

    async def answer(self, request: messages.Lend) -> messages.Lent:
        """Answers a holder's demands while this VM leads.

        A lease ends LEASE_SECONDS after the time at which leadership was
        confirmed, so that the next leader knows when all have ended.
        """
        own = self.vm.control
        if own is None or own.failed:
            return messages.Lent(0, "", [], 0)
        confirmed = own.confirmed_at()
        now = self.vm.now()
        if confirmed is None:
            return messages.Lent(0, own.leader_address, [], 0)
        ttl_ms = int((leases.LEASE_SECONDS - (now - confirmed)) * 1000)
        if ttl_ms <= 0:
            return messages.Lent(0, "", [], 0)
        if not request.asks:
            own.lending.lender.give_back(request.holder, now)
        shares = own.lending.answer(
            request, own.state.tree, own.clock_ms(), now
        )
        return messages.Lent(ttl_ms, "", shares, 0)

    async def give_back(self) -> None:
        """Gives all shares back before a planned stop."""
        self.vm.book.keep((), self.vm.now())
        self.vm.book.accounts.clear()
        await self._send(messages.Lend(self.vm.holder, [], 0))
