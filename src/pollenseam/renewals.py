"""Answers renewals of entry VMs: shares of rates, and what others observed."""

from collections.abc import Callable

from pollenseam import controlmessages
from pollenseam import events
from pollenseam import items
from pollenseam import leases
from pollenseam import lending
from pollenseam import liveness
from pollenseam import messages
from pollenseam import metrics
from pollenseam import observations
from pollenseam import registry
from pollenseam import replicarunner

# Parts of the undemanded rate that are lent: evenly, and in proportion to
# demand. Both are small because the lender keeps the rest for overdrafts.
IDLE_SPARE_RATIO = 0.05
BUSY_SPARE_RATIO = 0.05
# Burst per entry VM below which a workspace's burst is not split into shares:
# smaller shares run out by chance.
MIN_SHARE_BURST = 3.0
# Part of the permitted overdraft that is lent.
LENT_OVERDRAFT_RATIO = 0.4
# Nothing is lent of a resource without a limit.
ZERO_LIMIT = leases.Limit(0.0, 0.0)


class Renewals:
    """Leases shares of the workspaces' rates to entry VMs.

    Attributes:
        log: Event log.
        now: Returns the time since boot in seconds.
        find_runner: Returns the runner of this VM's replica.
        find_registry: Returns the registry that the replica has applied.
        find_tolerance: Returns how far a workspace's rate may be overdrawn.
        liveness: Directory of VMs.
        board: What entry VMs observe at upstreams.
        counter: Counts renewals by outcome.
    """

    def __init__(
        self,
        log: events.EventLog,
        now: Callable[[], float],
        find_runner: Callable[[], replicarunner.ReplicaRunner],
        find_registry: Callable[[], registry.Registry],
        find_tolerance: Callable[[], leases.Tolerance],
        liveness_tracker: liveness.LivenessTracker,
        board: observations.Board,
        counter: metrics.Counter,
    ) -> None:
        self.log = log
        self.now = now
        self.find_runner = find_runner
        self.find_registry = find_registry
        self.find_tolerance = find_tolerance
        self.liveness = liveness_tracker
        self.board = board
        self.counter = counter
        self._limits_index = -1
        self._cached_limits: dict[str, leases.Limit] = {}

    def start_leading(self) -> None:
        """Prepares the lender of a replica that has just become the leader."""
        lender = self.find_runner().lending.lender
        lender.idle_spare = IDLE_SPARE_RATIO
        lender.busy_spare = BUSY_SPARE_RATIO
        lender.min_share_burst = MIN_SHARE_BURST
        entries = self.liveness.directory.entries
        lender.expect_reports(entry.name for entry in entries)

    async def answer(
        self, request: controlmessages.Renew
    ) -> messages.LeaseResponse:
        """Leases shares of workspaces' rates to an entry VM.

        A lease ends LEASE_SECONDS after the time at which leadership was
        confirmed, so that the next leader knows when all leases have ended.
        """
        controlmessages.check_record(request.entry)
        runner = self.find_runner()
        confirmed_at = runner.confirmed_at()
        if confirmed_at is None:
            self.counter.add("not-leader")
            return messages.LeaseResponse(0, runner.leader_address, [], 0)
        now = self.now()
        self.liveness.record_entry(request.entry, now)
        ttl_ms = int((leases.LEASE_SECONDS - (now - confirmed_at)) * 1000)
        if ttl_ms <= 0:
            return messages.LeaseResponse(0, "", [], 0)
        holder = f"{request.entry.name}/{request.entry.started_ms}"
        lender = runner.lending.lender
        if not request.entry.is_serving and not request.demands:
            lender.release(holder, now)
        limits = self._limits()
        shares = [
            lending.lend(
                lender,
                holder,
                demand,
                limits.get(demand.resource, ZERO_LIMIT),
                now,
            )
            for demand in self._valid_demands(request)
        ]
        if request.is_complete:
            lender.record_report(request.entry.name, now)
        is_recovering = lender.is_recovering(now)
        self.counter.add("learning" if is_recovering else "lent")
        scarce = lender.scarce_resources(limits, now)
        term = runner.replica.hard_state.term
        entry = request.entry
        sender = observations.Sender(entry.name, entry.region)
        return messages.LeaseResponse(
            ttl_ms,
            "",
            shares,
            0,
            scarce,
            is_recovering,
            self.board.answer(request.observed, term, now, sender),
        )

    def _valid_demands(
        self, request: controlmessages.Renew
    ) -> list[messages.ResourceDemand]:
        valid: list[messages.ResourceDemand] = []
        for demand in request.demands:
            if controlmessages.is_valid_demand(demand):
                valid.append(demand)
            else:
                self.log.emit_often(
                    "demand-refused",
                    entry=request.entry.name,
                    resource=demand.resource,
                )
        return valid

    def _limits(self) -> dict[str, leases.Limit]:
        """Returns the fleet-wide limit of each limited workspace, by name.

        The burst of each limit includes the part of the permitted overdraft
        that is lent.
        """
        index = self.find_registry().index
        if index != self._limits_index:
            self._limits_index = index
            self._cached_limits = {
                name: self._limit_of(item.body)
                for (_, name), item in self.find_registry().items.items()
                if isinstance(item.body, items.Workspace) and item.body.rate > 0
            }
        return self._cached_limits

    def _limit_of(self, workspace: items.Workspace) -> leases.Limit:
        limit = leases.Limit(workspace.rate, workspace.burst)
        overdraft = self.find_tolerance().max_overdraft(limit)
        limit.burst += LENT_OVERDRAFT_RATIO * overdraft
        return limit
