"""Leased shares of a rate and a burst, as the lender divides them.

The sum of what holders may use never exceeds the whole. A decrease counts
only once the holder has reported it or its lease has surely ended: a holder
counts its lease from its own send time, the lender from its answer, which is
later. A new lender first waits out all leases of the one before it and until
then only renews what holders report.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping

LEASE_SECONDS = 4.0
DRIFT_SECONDS = 0.5
IDLE_SPARE_RATIO = 0.4
BUSY_SPARE_RATIO = 0.4
# Part of a burst below which the lender's pool allows no overdraft.
SCARCE_RATIO = 0.05
# The same where holders draw on the pool alone: all of them may use a token
# beyond it before they hear that it is low.
POOLED_SCARCE_RATIO = 0.3
# How long the list of scarce resources holds before it is made anew.
SCARCE_LIST_SECONDS = 0.05


class Limit:
    """What a resource may use over the whole fleet.

    Attributes:
        rate: Per second.
        burst: Above the rate.
    """

    __slots__ = ("rate", "burst")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst


class Tolerance:
    """How far a rate over the whole fleet may be overdrawn.

    Attributes:
        window_seconds: Window over which it must hold.
        ratio: Part of what the window allows that may come on top.
        count: Requests in a window that may come on top as well.
    """

    __slots__ = ("window_seconds", "ratio", "count")

    def __init__(
        self, window_seconds: float, ratio: float, count: float
    ) -> None:
        self.window_seconds = window_seconds
        self.ratio = ratio
        self.count = count

    def max_overdraft(self, limit: Limit) -> float:
        """Returns the requests by which a window may be overdrawn."""
        allowed = limit.rate * self.window_seconds + limit.burst
        return self.ratio * allowed + self.count


class Request:
    """What a holder reports and wants.

    Attributes:
        held: What it counts as its own now.
        demand: Rate per second that it wants.
        returned: Tokens that it gives up for others.
        wanted: Tokens that it needs at once.
        overdraft: Tokens that it used beyond its share.
    """

    __slots__ = ("held", "demand", "returned", "wanted", "overdraft")

    def __init__(
        self,
        held: Limit,
        demand: float,
        returned: float = 0.0,
        wanted: float = 0.0,
        overdraft: float = 0.0,
    ) -> None:
        self.held = held
        self.demand = demand
        self.returned = returned
        self.wanted = wanted
        self.overdraft = overdraft


class Share:
    """What a holder may use until its lease ends.

    Attributes:
        rate: Per second.
        burst: Above the rate.
        tokens: Tokens handed over at once.
        is_scarce: Whether the lender has no tokens for overdrafts.
    """

    __slots__ = ("rate", "burst", "tokens", "is_scarce")

    def __init__(
        self,
        rate: float,
        burst: float,
        tokens: float = 0.0,
        is_scarce: bool = True,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = tokens
        self.is_scarce = is_scarce


class Grant:
    """What the lender must assume a holder may still use.

    Attributes:
        rate: Per second.
        burst: Above the rate.
        demand: Rate that the holder last asked for.
        deadline: Lender's time after which it has surely ended.
    """

    __slots__ = ("rate", "burst", "demand", "deadline")

    def __init__(
        self, rate: float, burst: float, demand: float, deadline: float
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.demand = demand
        self.deadline = deadline


class Account:
    """One resource at the lender.

    What no holder has is a bucket of its own, the pool: holders whose
    arrivals outrun their share draw on it within one round trip.

    Attributes:
        grants: By holder.
        pool: Tokens that no holder has, at `filled_at`.
        filled_at: Time of the last fill.
        whole: What the resource may use over the fleet, as last known.
        is_drawn: Whether holders draw on the pool, as a share would be too
            small to ever hold a token.
    """

    __slots__ = ("grants", "pool", "filled_at", "limit", "is_pooled")

    def __init__(self, now: float) -> None:
        self.grants: dict[str, Grant] = {}
        self.pool = 0.0
        self.filled_at = now
        self.limit = Limit(0.0, 0.0)
        self.is_pooled = False

    def free(self, limit: Limit, holder: str = "") -> Limit:
        """Returns what no holder but `holder` may be using."""
        others = [g for name, g in self.grants.items() if name != holder]
        rate = limit.rate - sum(grant.rate for grant in others)
        burst = limit.burst - sum(grant.burst for grant in others)
        return Limit(max(0.0, rate), max(0.0, burst))

    def refill_pool(self, limit: Limit, now: float) -> None:
        """Fills the pool at the free rate, then forgets ended grants."""
        elapsed = max(0.0, now - self.filled_at)
        self.pool += elapsed * self.free(limit).rate
        self.filled_at = now
        for name in [n for n, g in self.grants.items() if g.deadline <= now]:
            del self.grants[name]

    def cap_pool(self, limit: Limit) -> None:
        """Loses tokens that the free burst has no room for."""
        self.pool = min(self.pool, self.free(limit).burst)

    def is_scarce(self, earned: float = 0.0) -> bool:
        """Whether the pool, with what it earned, is too low for overdrafts."""
        ratio = POOLED_SCARCE_RATIO if self.is_pooled else SCARCE_RATIO
        return self.pool + earned < max(1.0, ratio * self.limit.burst)


class Lender:
    """Divides resources between holders; runs on the leader.

    Attributes:
        learning_deadline: Time until which leases of an earlier lender may
            be in use; only reported ones are renewed until then.
        unheard: Names of VMs that may hold leases of the lender before and
            have not reported; learning ends once all have.
        known: How many VMs there were in it at first.
        accounts: By resource.
        idle_spare: Part of what nobody demands that goes out evenly.
        busy_spare: Part of it that goes out by demand.
        drawn_burst: Burst for each holder below which a resource is not
            shared out: all draw on its pool, which `scarce` tells them of.
    """

    __slots__ = (
        "recovery_deadline",
        "unreported",
        "expected_count",
        "accounts",
        "idle_spare",
        "busy_spare",
        "min_share_burst",
        "_scarce",
        "_scarce_until",
    )

    def __init__(
        self,
        recovery_deadline: float,
        idle_spare: float = IDLE_SPARE_RATIO,
        busy_spare: float = BUSY_SPARE_RATIO,
    ) -> None:
        self.recovery_deadline = recovery_deadline
        self.idle_spare = idle_spare
        self.busy_spare = busy_spare
        self.min_share_burst = 0.0
        self.unreported: set[str] = set()
        self.expected_count = 0
        self.accounts: dict[str, Account] = {}
        self._scarce: list[str] = []
        self._scarce_until = 0.0

    def lend(
        self,
        resource: str,
        holder: str,
        request: Request,
        limit: Limit,
        now: float,
    ) -> Share:
        """Returns the share that `holder` may use for LEASE_SECONDS.

        Args:
            resource: Path of the resource.
            holder: VM and incarnation.
            request: What the holder reports and wants.
            whole: What the resource may use over the fleet now.
            now: Lender's time.
        """
        account = self.account(resource, limit, now)
        if self.is_recovering(now):
            return self._renew(account, holder, request, limit, now)
        account.refill_pool(limit, now)
        held = _confirmed_holding(request.held, account.grants.get(holder))
        deadline = now + LEASE_SECONDS + DRIFT_SECONDS
        grant = Grant(held.rate, held.burst, request.demand, deadline)
        account.grants[holder] = grant
        account.pool += max(0.0, request.returned)
        account.cap_pool(limit)
        account.pool -= max(0.0, request.overdraft)
        share = self._divide(account, holder, request, limit)
        # The answer may be lost: the holder may go on with what it held.
        grant.rate = max(share.rate, held.rate)
        grant.burst = max(share.burst, held.burst)
        account.pool -= share.tokens
        account.cap_pool(limit)
        share.is_scarce = account.is_scarce()
        return share

    def is_recovering(self, now: float) -> bool:
        """Whether leases of the lender before may be in use."""
        return now < self.recovery_deadline

    def account(self, resource: str, limit: Limit, now: float) -> Account:
        """Returns the account of a resource, making one with no tokens."""
        account = self.accounts.get(resource)
        if account is None:
            account = self.accounts[resource] = Account(now)
            if self.expected_count and self.is_recovering(now):
                # Nothing was lent since the lender before was heard of.
                span = LEASE_SECONDS + DRIFT_SECONDS
                account.filled_at = self.recovery_deadline - span
        account.limit = limit
        return account

    def scarce_resources(
        self, limits: Mapping[str, Limit], now: float
    ) -> list[str]:
        """Returns the resources whose pools have too little for overdrafts.

        While learning, pools have what VMs that reported leave of their part.

        Args:
            wholes: What each resource may use over the fleet now.
            now: Lender's time.
        """
        if now < self._scarce_until:
            return self._scarce
        self._scarce_until = now + SCARCE_LIST_SECONDS
        self._scarce = []
        for resource, whole in limits.items():
            account = self.account(resource, whole, now)
            earned = self._earned(account, whole, now)
            if not self.is_recovering(now):
                account.refill_pool(whole, now)
                account.cap_pool(whole)
            if account.is_scarce(earned):
                self._scarce.append(resource)
        return self._scarce

    def expect_reports(self, names: Iterable[str]) -> None:
        """Takes over from a lender that these VMs may hold leases of."""
        self.unreported = set(names)
        self.expected_count = len(self.unreported)

    def record_report(self, name: str, now: float) -> None:
        """Notes that a VM has reported all leases that it holds."""
        if name in self.unreported:
            self.unreported.discard(name)
            if not self.unreported:
                self.recovery_deadline = min(self.recovery_deadline, now)

    def _renew(
        self,
        account: Account,
        holder: str,
        request: Request,
        limit: Limit,
        now: float,
    ) -> Share:
        deadline = now + LEASE_SECONDS + DRIFT_SECONDS
        known = account.grants.get(holder)
        held = (
            request.held
            if known is None
            else _confirmed_holding(request.held, known)
        )
        grant = Grant(held.rate, held.burst, request.demand, deadline)
        account.grants[holder] = grant
        account.pool -= max(0.0, request.overdraft)
        earned = self._earned(account, limit, now)
        wanted = min(request.wanted, account.pool + earned)
        tokens = float(math.floor(max(0.0, wanted)))
        account.pool -= tokens
        grant.burst = max(held.burst, tokens)
        share = Share(held.rate, grant.burst, tokens)
        share.is_scarce = account.is_scarce(earned)
        return share

    def _earned(self, account: Account, limit: Limit, now: float) -> float:
        """Returns what a pool has earned that is not yet filled in.

        While learning, that is what VMs which reported leave of their part,
        since the lender before was last heard of.
        """
        if not self.is_recovering(now):
            return 0.0
        if not self.expected_count:
            account.filled_at = now
            return 0.0
        heard = 1 - len(self.unreported) / self.expected_count
        lent = sum(grant.rate for grant in account.grants.values())
        elapsed = max(0.0, now - account.filled_at)
        earned = elapsed * max(0.0, limit.rate * heard - lent)
        return min(earned, account.free(limit).burst)

    def _divide(
        self, account: Account, holder: str, request: Request, limit: Limit
    ) -> Share:
        demands = {name: grant.demand for name, grant in account.grants.items()}
        target = divide(demands, limit.rate, self.idle_spare, self.busy_spare)[
            holder
        ]
        free = account.free(limit, holder)
        rate = min(target, free.rate)
        burst = limit.burst * target / limit.rate if limit.rate > 0 else 0.0
        if limit.burst >= len(demands):
            # A bucket that holds less than one token never lets one out.
            burst = max(burst, 1.0)
        account.is_pooled = limit.burst < self.min_share_burst * len(demands)
        if account.is_pooled:
            # Shares would be too small to ever hold a token.
            rate = 0.0
            burst = 0.0
        tokens = min(request.wanted, account.pool)
        if account.is_pooled:
            # A part of a token would lie idle at its holder.
            tokens = float(math.floor(tokens))
        burst = min(max(burst, tokens), free.burst)
        return Share(rate, burst, max(0.0, min(tokens, burst)))

    def release(self, holder: str, now: float) -> None:
        """Forgets all leases of a holder that has stopped using them."""
        for account in self.accounts.values():
            account.grants.pop(holder, None)

    def total(self, resource: str, now: float) -> Limit:
        """Returns what all holders together may use at most."""
        account = self.accounts.get(resource)
        grants = account.grants.values() if account else ()
        live = [grant for grant in grants if grant.deadline > now]
        return Limit(sum(g.rate for g in live), sum(g.burst for g in live))


def _confirmed_holding(held: Limit, known: Grant | None) -> Limit:
    # A lease that the lender does not know has ended.
    if known is None:
        return Limit(0.0, 0.0)
    return Limit(min(held.rate, known.rate), min(held.burst, known.burst))


def divide(
    demands: Mapping[str, float],
    rate: float,
    idle_spare: float = IDLE_SPARE_RATIO,
    busy_spare: float = BUSY_SPARE_RATIO,
) -> dict[str, float]:
    """Divides a rate by demand, max-min fair, and lends out some spare.

    Where demand is below the rate, a part of the spare goes out evenly, so
    that an idle holder can take a first request at once, and a part by
    demand, so that a busy one can take a rise. The rest stays with the
    lender.
    """
    shares = dict.fromkeys(demands, 0.0)
    left = rate
    waiting = sorted(demands, key=lambda name: demands[name])
    for place, name in enumerate(waiting):
        equal = left / (len(waiting) - place)
        shares[name] = min(demands[name], equal)
        left -= shares[name]
    total = sum(shares.values())
    for name in shares:
        busy = shares[name] / total if total > 0 else 0.0
        shares[name] += left * busy_spare * busy
        shares[name] += left * idle_spare / len(shares)
    return shares
