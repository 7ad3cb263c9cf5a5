"""Answers requests of entry VMs for reserve tokens, on every control VM."""

from collections.abc import Callable

from pollenseam import bounds
from pollenseam import controlmessages
from pollenseam import events
from pollenseam import items
from pollenseam import leases
from pollenseam import metrics
from pollenseam import registry
from pollenseam import replicarunner
from pollenseam import reserveduty
from pollenseam import reserves


class ReserveKeeper:
    """Lends from the reserves of workspaces while no leader lends.

    Attributes:
        log: Event log.
        now: Returns the time since boot in seconds.
        find_runner: Returns the runner of this VM's replica.
        find_registry: Returns the registry that the replica has applied.
        find_tolerance: Returns how far a workspace's rate may be overdrawn.
        find_controls: Returns the control VMs in the directory.
        age_ms: Returns the age of the local state in ms; -1 if unknown.
        counter: Counts requests by outcome.
        reserve: The reserves.
        duty: Decides whether this VM or the other keeper lends.
    """

    def __init__(
        self,
        address: str,
        log: events.EventLog,
        now: Callable[[], float],
        find_runner: Callable[[], replicarunner.ReplicaRunner],
        find_registry: Callable[[], registry.Registry],
        find_tolerance: Callable[[], leases.Tolerance],
        find_controls: Callable[[], list[controlmessages.ControlVm]],
        age_ms: Callable[[], int],
        counter: metrics.Counter,
    ) -> None:
        self.log = log
        self.now = now
        self.find_runner = find_runner
        self.find_registry = find_registry
        self.find_tolerance = find_tolerance
        self.find_controls = find_controls
        self.age_ms = age_ms
        self.counter = counter
        self.reserve = reserves.Reserve()
        window_seconds = find_tolerance().window_seconds
        self.duty = reserveduty.Duty(address, window_seconds)

    def observe(self) -> None:
        """Records who leads, and who else keeps reserves; call it often."""
        self.duty.observe(
            self.find_runner().leader_address,
            self._is_recent(),
            self.find_controls(),
            self.now(),
        )

    def _is_recent(self) -> bool:
        return 0 <= self.age_ms() <= reserveduty.NOTICE_SECONDS * 1000

    async def answer(
        self, request: controlmessages.Borrow
    ) -> controlmessages.BorrowResponse:
        """Lends tokens of a workspace's reserve.

        A VM that has heard from no leader for a while may be cut off from one
        that lends elsewhere, and lends nothing. Nor does it while the other
        keeper may lend.
        """
        runner = self.find_runner()
        self.observe()
        keepers = reserves.keepers(request.resource, self.find_controls())
        may_lend = self.duty.may_lend(keepers, self.now())
        is_lent = may_lend and self._is_recent()
        tokens = self._lend(request) if is_lent else 0.0
        self.counter.add("lent" if tokens else "empty")
        self.log.emit_often(
            "reserve-asked",
            workspace=request.resource,
            wanted=request.tokens,
            tokens=tokens,
            may_lend=may_lend,
            age_ms=self.age_ms(),
        )
        return controlmessages.BorrowResponse(
            tokens, runner.leader_address, is_lending=is_lent
        )

    def _lend(self, request: controlmessages.Borrow) -> float:
        item = self.find_registry().items.get(
            (items.WORKSPACE, request.resource)
        )
        if item is None or not isinstance(item.body, items.Workspace):
            return 0.0
        if not 0 < request.tokens <= bounds.MAX_FLOAT or item.body.rate <= 0:
            return 0.0
        return self.reserve.lend(
            request.resource,
            request.tokens,
            leases.Limit(item.body.rate, item.body.burst),
            self.find_tolerance(),
            self.now(),
        )
