"""An entry VM's shares of workspaces' rates: renewed, used, given back."""

import asyncio
import contextlib
from collections.abc import Callable

from pollenseam import buckets
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import leases
from pollenseam import lending
from pollenseam import messages
from pollenseam import peers
from pollenseam import replicarunner

CALL_TIMEOUT_SECONDS = 0.6
RENEW_SECONDS = 0.5
RENEW_RETRY_SECONDS = 0.1
# Demands that arrive together go out in one message: soon where a request
# waits, else later, as the leader answers all VMs.
URGENT_BATCH_SECONDS = 0.03
BATCH_SECONDS = 0.15
TOKEN_WAIT_SECONDS = 0.25
TOKEN_POLL_SECONDS = 0.01


class LeaseClient:
    """Holds shares under leases of the leader.

    Attributes:
        log: Event log.
        peers: Calls to other VMs.
        now: Returns the time in seconds.
        own: Returns this VM's record, which every renewal carries.
        book: The shares by workspace.
        leader: Address of the leader, or "" when not known.
        wake: Set to renew at once.
    """

    def __init__(
        self,
        log: events.EventLog,
        peer_client: peers.Client,
        now: replicarunner.Clock,
        own_record: Callable[[], controlmessages.EntryVm],
    ) -> None:
        self.log = log
        self.peers = peer_client
        self.now = now
        self.own_record = own_record
        self.lease_table = buckets.LeaseTable()
        self.leader = ""
        self.wake = asyncio.Event()
        self._synced_leader = ""

    async def run(self) -> None:
        """Renews until cancelled."""
        while True:
            is_done = await self._renew()
            period = RENEW_SECONDS if is_done else RENEW_RETRY_SECONDS
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await self.wake.wait()
            await self._batch()
            self.wake.clear()

    async def _batch(self) -> None:
        """Waits for more to report, until a request waits for the answer."""
        now = self.now()
        urgent_at = now + URGENT_BATCH_SECONDS
        report_at = now + BATCH_SECONDS
        while now < urgent_at or (
            now < report_at and not self.lease_table.is_urgent
        ):
            await asyncio.sleep(URGENT_BATCH_SECONDS)
            now = self.now()

    async def _renew(self) -> bool:
        sent_at = self.now()
        # A new leader lends once it knows what all VMs hold.
        is_whole = self.leader != self._synced_leader
        asks = lending.to_demands(
            self.lease_table.build_requests(sent_at, is_whole)
        )
        request = controlmessages.Renew(
            self.own_record(), asks, is_complete=is_whole
        )
        answer = await self._call_leader(request)
        if answer is None:
            return False
        if answer.ttl_ms <= 0:
            self.leader = answer.leader
            return False
        deadline = sent_at + answer.ttl_ms / 1000
        now = self.now()
        self._synced_leader = ""
        if answer.scarce_resources is not None:
            if not answer.is_learning:
                self._synced_leader = self.leader
            self.lease_table.update_scarce(answer.scarce_resources, now)
        for share in answer.shares:
            granted = lending.to_lease_share(share)
            if self.lease_table.renew(share.resource, granted, deadline, now):
                # Others wait for what this VM no longer holds.
                self.wake.set()
        return True

    async def _call_leader(
        self, request: controlmessages.Renew
    ) -> messages.LeaseResponse | None:
        if not self.leader:
            return None
        try:
            answer: messages.LeaseResponse = await self.peers.call(
                self.leader,
                controlmessages.RENEW,
                request,
                CALL_TIMEOUT_SECONDS,
            )
        except errors.UnreachableError as error:
            self.log.emit_often("leader-unreachable", why=str(error))
            self.leader = ""
            return None
        return answer

    async def release(self) -> None:
        """Gives all shares back before a planned stop."""
        self.lease_table.accounts.clear()
        await self._call_leader(controlmessages.Renew(self.own_record(), []))

    async def acquire(
        self,
        resource: str,
        limit: leases.Limit,
        overdraft_limits: buckets.OverdraftLimits,
        deadline: float,
    ) -> None:
        """Takes a token, waiting a short while for one.

        Args:
            resource: Name of the workspace.
            whole: What it may use over all VMs.
            most: What may be used beyond the share.
            deadline: Time until which a token is of use.

        Raises:
            RefusedError: None came.
        """
        account = self.lease_table.account(resource, self.now())
        account.demand.count += 1
        if account.waiting == 0 and account.take(overdraft_limits, self.now()):
            if account.overdraft > 0:
                self.wake.set()
            return
        account.waiting += 1
        self.wake.set()
        try:
            until = min(deadline, self.now() + TOKEN_WAIT_SECONDS)
            while self.now() < until:
                await asyncio.sleep(TOKEN_POLL_SECONDS)
                if account.take(overdraft_limits, self.now()):
                    return
        finally:
            account.waiting -= 1
        if not account.is_current(self.now()):
            raise errors.refuse(
                errors.Kind.NO_QUORUM, "no share of the rate is held"
            )
        share = account.bucket.held(self.now())
        raise errors.refuse(
            errors.Kind.OVER_RATE,
            f"over the rate: {account.demand.rate:.3g}/s here, share "
            f"{share.rate:.3g}/s and {share.burst:.3g} of "
            f"{limit.rate:g}/s and {limit.burst:g}",
            retry_after=max(0.2, 1 / limit.rate),
        )
