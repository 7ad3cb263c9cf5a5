"""Client of an entry VM for leased shares of workspaces' rates."""

import asyncio
import contextlib
import copy
import random
from collections.abc import Callable

from pollenseam import borrowing
from pollenseam import buckets
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import leases
from pollenseam import lending
from pollenseam import links
from pollenseam import messages
from pollenseam import observations
from pollenseam import options
from pollenseam import overrates
from pollenseam import peers
from pollenseam import rankorder
from pollenseam import replicarunner
from pollenseam import upstreamstatements

CALL_TIMEOUT_SECONDS = 0.6
RENEW_SECONDS = 0.5
RENEW_RETRY_SECONDS = 0.1
# Reports are batched into one message. The batch is short if a request waits
# for a token, and longer otherwise, as the leader answers all VMs.
URGENT_BATCH_SECONDS = 0.03
BATCH_SECONDS = 0.15
TOKEN_WAIT_SECONDS = 0.25
TOKEN_POLL_SECONDS = 0.01


class LeaseClient:
    """Leases shares of workspaces' rates from the leader.

    Attributes:
        log: Event log.
        peers: Client for calls to other VMs.
        now: Returns the time in seconds.
        own_record: Returns this VM's record, which every renewal carries.
        fleet_view: Observations at upstreams that renewals carry.
        on_statements: Called with the statements of other VMs that changed
            the rate in force of an upstream.
        order: Order of requests where room is scarce; its loads go with the
            renewals.
        lease_table: Accounts by workspace.
        borrower: Borrows tokens while the leader does not lend.
        link: Network link of this VM.
        leader: Address of the leader, or "" if unknown.
        wake: Event that starts a renewal at once when it is set.
    """

    def __init__(
        self,
        log: events.EventLog,
        peer_client: peers.Client,
        now: replicarunner.Clock,
        own_record: Callable[[], controlmessages.EntryVm],
        fleet_view: observations.FleetView,
        on_statements: Callable[[list[upstreamstatements.Statement]], None],
        find_controls: borrowing.FindControls,
        order: rankorder.RankOrder | None = None,
    ) -> None:
        self.log = log
        self.peers = peer_client
        self.now = now
        self.own_record = own_record
        self.fleet_view = fleet_view
        self.on_statements = on_statements
        self.order = order or rankorder.RankOrder(options.Options(), now)
        self.lease_table = buckets.LeaseTable()
        self.borrower = borrowing.Borrower(
            log, peer_client, now, find_controls, self._adopt_leader
        )
        self.link = links.Link()
        self.leader = ""
        self.wake = asyncio.Event()
        self._synced_leader = ""

    def _adopt_leader(self, address: str) -> None:
        """Renews at once with a leader that a control VM names."""
        if not self.leader:
            self.leader = address
            self.wake.set()

    async def renew_once(self) -> None:
        """Renews leases, and returns when they are to be renewed again."""
        is_renewed = await self._renew()
        period = RENEW_SECONDS if is_renewed else RENEW_RETRY_SECONDS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(period):
                await self.wake.wait()
        await self._batch()
        self.wake.clear()

    async def _batch(self) -> None:
        """Waits for more reports to send in the same message.

        The wait ends after URGENT_BATCH_SECONDS if a request waits for the
        answer or a decrease is to be reported, else after BATCH_SECONDS.
        """
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
        # A new leader lends once all VMs have reported all their shares.
        is_full = self.leader != self._synced_leader
        demands = lending.to_demands(
            self.lease_table.build_requests(sent_at, is_full)
        )
        request = controlmessages.Renew(
            self.own_record(),
            demands,
            is_complete=is_full,
            observed=self.fleet_view.build_report(
                is_full, sent_at, self.order.build_report()
            ),
        )
        self.borrower.record_sent()
        answer = await self._call_leader(request)
        if answer is None:
            return False
        if answer.ttl_ms <= 0:
            self.leader = answer.leader
            return False
        deadline = sent_at + answer.ttl_ms / 1000
        now = self.now()
        if answer.observed is not None:
            changed = self.fleet_view.receive(
                request.observed, answer.observed, now
            )
            self.on_statements(changed)
            self.order.adopt(answer.observed.rooms, sent_at)
            self._log_observations(answer.observed)
        self.borrower.record_answer(self.leader)
        self._synced_leader = ""
        if answer.scarce_resources is not None:
            if not answer.is_recovering:
                self._synced_leader = self.leader
            self.lease_table.update_scarce(answer.scarce_resources, now)
        for message in answer.shares:
            share = lending.to_lease_share(message)
            if self.lease_table.renew(message.resource, share, deadline, now):
                # Other VMs wait for the part that this VM no longer has.
                self.wake.set()
        return True

    def _log_observations(self, update: observations.Update) -> None:
        if update.statements or update.suspicions:
            self.log.emit_often(
                "observations-received",
                stated_limits=len(update.statements),
                suspicions=len(update.suspicions),
                blocked=sum(s.blocked_ms > 0 for s in update.suspicions),
            )

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
                CALL_TIMEOUT_SECONDS + self.link.wait_seconds(self.now()),
            )
        except errors.UnreachableError as error:
            self.log.emit_often("leader-unreachable", why=str(error))
            self.leader = ""
            return None
        return answer

    async def release(self) -> None:
        """Returns all shares to the leader before a planned stop."""
        self.borrower.close()
        self.lease_table.accounts.clear()
        await self._call_leader(controlmessages.Renew(self.own_record(), []))

    def preview(
        self, resource: str, overdraft_limits: buckets.OverdraftLimits
    ) -> bool:
        """Returns whether `acquire` would take a token at once.

        Args:
            resource: Name of the workspace.
            overdraft_limits: The most tokens that may be used beyond the share.
        """
        account = copy.deepcopy(self.lease_table.accounts.get(resource))
        if account is None or account.waiting:
            return False
        return account.take(overdraft_limits, self.now())

    async def acquire(
        self,
        resource: str,
        limit: leases.Limit,
        overdraft_limits: buckets.OverdraftLimits,
        deadline: float,
    ) -> None:
        """Takes a token, waiting at most TOKEN_WAIT_SECONDS for one.

        Args:
            resource: Name of the workspace.
            limit: Limit of the workspace over all VMs.
            overdraft_limits: The most tokens that may be used beyond the share.
            deadline: Time in seconds at which to stop waiting.

        Raises:
            RefusedError: No token became available in time.
        """
        account = self.lease_table.account(resource, self.now())
        account.demand.count += 1
        if account.waiting == 0 and account.take(overdraft_limits, self.now()):
            if account.overdraft > 0:
                self.wake.set()
            return
        if self.order.is_on and overrates.is_hopeless(
            account, TOKEN_WAIT_SECONDS, self.now()
        ):
            raise self._over_rate(account, limit)
        account.waiting += 1
        self.wake.set()
        try:
            until = min(deadline, self.now() + TOKEN_WAIT_SECONDS)
            while self.now() < until:
                self.borrower.ask(resource, account)
                await asyncio.sleep(TOKEN_POLL_SECONDS)
                if account.take(overdraft_limits, self.now()):
                    return
        finally:
            account.waiting -= 1
        if not account.is_current(self.now()):
            raise errors.refuse(
                errors.Kind.NO_QUORUM,
                "this VM has no leased share of the workspace's rate",
            )
        raise self._over_rate(account, limit)

    def _over_rate(
        self, account: buckets.Account, limit: leases.Limit
    ) -> errors.RefusedError:
        """Returns the refusal of a request over its workspace's rate."""
        now = self.now()
        share = account.bucket.held(now)
        spread = 0.0
        if self.order.is_on:
            position = random.random()
            spread = overrates.spread_seconds(account, position, now)
        return errors.refuse(
            errors.Kind.OVER_RATE,
            f"over the rate: {account.demand.rate:.3g}/s here, share "
            f"{share.rate:.3g}/s and {share.burst:.3g} of "
            f"{limit.rate:g}/s and {limit.burst:g}",
            retry_after=max(0.2, 1 / limit.rate) + spread,
        )
