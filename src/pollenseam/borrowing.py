"""Client of an entry VM for tokens that control VMs keep in reserve."""

from collections.abc import Callable

from pollenseam import buckets
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import peers
from pollenseam import replicarunner
from pollenseam import reserves
from pollenseam import tasks

# A leader whose answer takes longer than this counts as silent.
SILENT_SECONDS = 0.15
CALL_TIMEOUT_SECONDS = 0.2
# Time after which a reserve that had too little is asked again.
EMPTY_SECONDS = 0.3
# The same if no keeper lent from it, as one may begin to at any time. A request
# waits shares.TOKEN_WAIT_SECONDS, and should be able to ask more than once.
QUIET_SECONDS = 0.1

FindControls = Callable[[], list[controlmessages.ControlVm]]


class Borrower:
    """Borrows tokens while the leader does not lend.

    That is while it is silent, and for a while after another leader has taken
    over, whose pools are empty at first.

    Attributes:
        log: Event log.
        peers: Client for calls to other VMs.
        now: Returns the time in seconds.
        find_controls: Returns the control VMs in the directory.
        on_leader: Called with the address of the leader that a control VM
            names.
        unanswered_since: Time in seconds at which the first renewal without an
            answer was sent; None if the last one was answered.
        borrows_until: Time in seconds until which to borrow although the
            leader answers.
        asks_again_at: Time in seconds at which the reserve of a workspace may
            be asked again, by workspace.
    """

    def __init__(
        self,
        log: events.EventLog,
        peer_client: peers.Client,
        now: replicarunner.Clock,
        find_controls: FindControls,
        on_leader: Callable[[str], None],
    ) -> None:
        self.log = log
        self.peers = peer_client
        self.now = now
        self.find_controls = find_controls
        self.on_leader = on_leader
        self.unanswered_since: float | None = None
        self.borrows_until = 0.0
        self.asks_again_at: dict[str, float] = {}
        self._leader = ""
        self._asked: set[str] = set()
        self._tasks = tasks.Group(log)

    def record_sent(self) -> None:
        """Records that a renewal is to be sent to the leader."""
        if self.unanswered_since is None:
            self.unanswered_since = self.now()

    def record_answer(self, leader: str) -> None:
        """Records that the leader has answered a renewal."""
        self.unanswered_since = None
        if self._leader not in ("", leader):
            self.borrows_until = self.now() + buckets.TAKEOVER_SECONDS
        self._leader = leader

    def ask(self, resource: str, account: buckets.Account) -> None:
        """Asks for the tokens that requests wait for, if now is the time."""
        now = self.now()
        if resource in self._asked or not self._is_time(account, now):
            return
        if self.asks_again_at.get(resource, 0.0) > now:
            return
        self._asked.add(resource)
        self._tasks.attempt(lambda: self._borrow(resource, account))

    def _is_time(self, account: buckets.Account, now: float) -> bool:
        """Returns whether the leader lends nothing, and did so lately."""
        if not account.is_current(now):
            return False
        return self._is_leader_silent(now) or now < self.borrows_until

    def _is_leader_silent(self, now: float) -> bool:
        since = self.unanswered_since
        return since is not None and now - since >= SILENT_SECONDS

    async def _borrow(self, resource: str, account: buckets.Account) -> None:
        try:
            await self._ask_keepers(resource, account)
        finally:
            self._asked.discard(resource)

    async def _ask_keepers(
        self, resource: str, account: buckets.Account
    ) -> None:
        wanted = float(account.waiting)
        request = controlmessages.Borrow(resource, wanted)
        is_empty = False
        for address in reserves.keepers(resource, self.find_controls()):
            if address == self._leader and self._is_leader_silent(self.now()):
                continue
            try:
                response: controlmessages.BorrowResponse = (
                    await self.peers.call(
                        address,
                        controlmessages.BORROW,
                        request,
                        CALL_TIMEOUT_SECONDS,
                    )
                )
            except errors.UnreachableError:
                continue
            self._receive(resource, account, wanted, response)
            if response.tokens > 0:
                return
            is_empty = is_empty or response.is_lending
        pause = EMPTY_SECONDS if is_empty else QUIET_SECONDS
        self.asks_again_at[resource] = self.now() + pause

    def _receive(
        self,
        resource: str,
        account: buckets.Account,
        wanted: float,
        response: controlmessages.BorrowResponse,
    ) -> None:
        tokens = usable_tokens(response.tokens, wanted)
        account.borrow(tokens)
        if tokens < wanted:
            self.asks_again_at[resource] = self.now() + EMPTY_SECONDS
        if response.leader and response.leader != self._leader:
            self.on_leader(response.leader)
        self.log.emit_often(
            "borrowed",
            workspace=resource,
            wanted=wanted,
            tokens=tokens,
            leader=response.leader,
        )

    def close(self) -> None:
        """Ends all calls."""
        self._tasks.cancel()


def usable_tokens(stated: float, wanted: float) -> float:
    """Returns how many of the stated tokens may be used.

    Never more than were asked for: a number that cannot be meant would lift
    the limit.
    """
    return min(stated, wanted) if stated > 0 else 0.0
