"""Division of a limited rate into leased shares, on the side of the lender.

The leader runs the lender; entry VMs are the holders. The shares of all
holders together never exceed the limit of a resource.

The lender counts a decrease only once the holder has reported it or the old
lease has certainly expired. The holder measures a lease from the time at which
it sent the request, the lender from the time of its answer. As the answer is
later, the lease expires at the holder first.

A new lender recovers until all leases of its predecessor have expired or have
been reported. Until then it renews the shares that holders report, and grants
tokens only from the part of the limit that belongs to VMs that have reported.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping

LEASE_SECONDS = 4.0
# Allowance for clock drift between holder and lender during one lease.
DRIFT_SECONDS = 0.5
IDLE_SPARE_RATIO = 0.4
BUSY_SPARE_RATIO = 0.4
# Part of a burst below which the lender's pool allows no overdraft.
SCARCE_RATIO = 0.05
# The same for resources that are used from the pool only. Every holder may use
# one more token before it learns that the pool is low.
POOLED_SCARCE_RATIO = 0.3
# Time for which the list of scarce resources is cached.
SCARCE_LIST_SECONDS = 0.05


class Limit:
    """A rate with a burst: a limit of all VMs together or a part of it.

    Attributes:
        rate: Tokens per second.
        burst: Tokens that may be used at once, above the rate.
    """

    __slots__ = ("rate", "burst")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst


class Tolerance:
    """How far all VMs together may exceed a limit.

    Attributes:
        window_seconds: Length of the window in which requests are counted.
        ratio: Excess allowed in a window, as a fraction of the requests that
            the limit allows in it.
        count: Requests allowed in a window in addition to that excess.
    """

    __slots__ = ("window_seconds", "ratio", "count")

    def __init__(
        self, window_seconds: float, ratio: float, count: float
    ) -> None:
        self.window_seconds = window_seconds
        self.ratio = ratio
        self.count = count

    def max_overdraft(self, limit: Limit) -> float:
        """Returns the requests by which one window may exceed `limit`."""
        allowed = limit.rate * self.window_seconds + limit.burst
        return self.ratio * allowed + self.count


class Request:
    """A holder's report of its share of a resource and its demand.

    Attributes:
        held: Rate and burst that the holder may use at present.
        demand: Tokens per second that the holder would use.
        returned: Tokens that the holder returns to the pool.
        demanded_tokens: Tokens that the holder needs at once.
        overdrawn_tokens: Tokens that the holder used beyond its share.
    """

    __slots__ = (
        "held",
        "demand",
        "returned",
        "demanded_tokens",
        "overdrawn_tokens",
    )

    def __init__(
        self,
        held: Limit,
        demand: float,
        returned: float = 0.0,
        demanded_tokens: float = 0.0,
        overdrawn_tokens: float = 0.0,
    ) -> None:
        self.held = held
        self.demand = demand
        self.returned = returned
        self.demanded_tokens = demanded_tokens
        self.overdrawn_tokens = overdrawn_tokens


class Share:
    """The part of a limit that a holder may use until its lease expires.

    Attributes:
        rate: Tokens per second.
        burst: Tokens that may be used at once, above the rate.
        tokens: Tokens from the pool that come with the share.
        is_scarce: Whether the pool is too low for overdrafts.
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
    """The lender's record of the most that a holder may be using.

    Attributes:
        rate: Tokens per second.
        burst: Tokens above the rate.
        demand: Tokens per second that the holder last asked for.
        deadline: Lender's time in seconds by which the lease has certainly
            expired at the holder.
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
    """The lender's state of one resource: its grants and its token pool.

    The pool is a token bucket for the part of the limit that is not granted.
    Holders with more arrivals than their share get tokens from the pool within
    one round trip.

    Attributes:
        grants: Grants by holder.
        pool: Tokens in the pool at `filled_at`.
        filled_at: Time of the last refill in seconds.
        limit: Latest limit of the resource over all VMs.
        is_pooled: Whether holders get all tokens from the pool because shares
            would be too small (see `Lender.min_share_burst`).
    """

    __slots__ = ("grants", "pool", "filled_at", "limit", "is_pooled")

    def __init__(self, now: float) -> None:
        self.grants: dict[str, Grant] = {}
        self.pool = 0.0
        self.filled_at = now
        self.limit = Limit(0.0, 0.0)
        self.is_pooled = False

    def free(self, limit: Limit, holder: str = "") -> Limit:
        """Returns `limit` less the grants of all holders except `holder`."""
        others = [g for name, g in self.grants.items() if name != holder]
        rate = limit.rate - sum(grant.rate for grant in others)
        burst = limit.burst - sum(grant.burst for grant in others)
        return Limit(max(0.0, rate), max(0.0, burst))

    def refill_pool(self, limit: Limit, now: float) -> None:
        """Refills the pool at the free rate, then drops expired grants."""
        elapsed = max(0.0, now - self.filled_at)
        self.pool += elapsed * self.free(limit).rate
        self.filled_at = now
        for name in [n for n, g in self.grants.items() if g.deadline <= now]:
            del self.grants[name]

    def cap_pool(self, limit: Limit) -> None:
        """Drops the pool's tokens above the free burst."""
        self.pool = min(self.pool, self.free(limit).burst)

    def is_scarce(self, earned: float = 0.0) -> bool:
        """Whether the pool is too low for overdrafts.

        Args:
            earned: Tokens that the pool has earned but that are not added to
                it yet.
        """
        ratio = POOLED_SCARCE_RATIO if self.is_pooled else SCARCE_RATIO
        return self.pool + earned < max(1.0, ratio * self.limit.burst)


class Lender:
    """Divides the limits of resources between holders; runs on the leader.

    Attributes:
        recovery_deadline: Time in seconds until which leases of an earlier
            lender may be in use. Until then, only reported shares are renewed.
        unreported: Names of VMs that may hold leases of the previous lender
            and have not reported them. Recovery ends once all have reported.
        expected_count: Number of VMs in `unreported` at the start.
        accounts: Accounts by resource.
        idle_spare: Part of the rate left over by demand that is divided
            evenly.
        busy_spare: Part of the rate left over by demand that is divided in
            proportion to demand.
        min_share_burst: Burst per holder below which a resource is not divided
            into shares: all holders use its pool, and `scarce_resources` lists
            the resource when the pool is low.
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
            holder: Name and incarnation of the VM.
            request: The holder's report and demand.
            limit: Present limit of the resource over all VMs.
            now: Lender's time in seconds.
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
        account.pool -= max(0.0, request.overdrawn_tokens)
        share = self._divide(account, holder, request, limit)
        # The answer may be lost, and the holder then keeps its old share.
        grant.rate = max(share.rate, held.rate)
        grant.burst = max(share.burst, held.burst)
        account.pool -= share.tokens
        account.cap_pool(limit)
        share.is_scarce = account.is_scarce()
        return share

    def is_recovering(self, now: float) -> bool:
        """Whether leases of the previous lender may be in use."""
        return now < self.recovery_deadline

    def account(self, resource: str, limit: Limit, now: float) -> Account:
        """Returns the account of a resource; a new one has an empty pool."""
        account = self.accounts.get(resource)
        if account is None:
            account = self.accounts[resource] = Account(now)
            if self.expected_count and self.is_recovering(now):
                # Nothing has been lent since the last contact with the previous
                # lender, so the pool has earned tokens from then on.
                span = LEASE_SECONDS + DRIFT_SECONDS
                account.filled_at = self.recovery_deadline - span
        account.limit = limit
        return account

    def scarce_resources(
        self, limits: Mapping[str, Limit], now: float
    ) -> list[str]:
        """Returns the resources whose pools are too low for overdrafts.

        During recovery, a pool earns the part of the limit that belongs to the
        VMs that have reported, less what they hold.

        Args:
            limits: Present limit of each resource over all VMs.
            now: Lender's time in seconds.
        """
        if now < self._scarce_until:
            return self._scarce
        self._scarce_until = now + SCARCE_LIST_SECONDS
        self._scarce = []
        for resource, limit in limits.items():
            account = self.account(resource, limit, now)
            earned = self._earned(account, limit, now)
            if not self.is_recovering(now):
                account.refill_pool(limit, now)
                account.cap_pool(limit)
            if account.is_scarce(earned):
                self._scarce.append(resource)
        return self._scarce

    def expect_reports(self, names: Iterable[str]) -> None:
        """Sets the VMs that may hold leases of the previous lender."""
        self.unreported = set(names)
        self.expected_count = len(self.unreported)

    def record_report(self, name: str, now: float) -> None:
        """Records that a VM has reported all leases that it holds."""
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
        previous = account.grants.get(holder)
        held = (
            request.held
            if previous is None
            else _confirmed_holding(request.held, previous)
        )
        grant = Grant(held.rate, held.burst, request.demand, deadline)
        account.grants[holder] = grant
        account.pool -= max(0.0, request.overdrawn_tokens)
        earned = self._earned(account, limit, now)
        wanted = min(request.demanded_tokens, account.pool + earned)
        tokens = float(math.floor(max(0.0, wanted)))
        account.pool -= tokens
        grant.burst = max(held.burst, tokens)
        share = Share(held.rate, grant.burst, tokens)
        share.is_scarce = account.is_scarce(earned)
        return share

    def _earned(self, account: Account, limit: Limit, now: float) -> float:
        """Returns tokens that a pool has earned but that are not added yet.

        Only during recovery: the part of the limit that belongs to the VMs
        that have reported, less their grants, for the time since the last
        contact with the previous lender.
        """
        if not self.is_recovering(now):
            return 0.0
        if not self.expected_count:
            account.filled_at = now
            return 0.0
        reported = 1 - len(self.unreported) / self.expected_count
        lent = sum(grant.rate for grant in account.grants.values())
        elapsed = max(0.0, now - account.filled_at)
        earned = elapsed * max(0.0, limit.rate * reported - lent)
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
            # A bucket with a burst below one token could never serve a request.
            burst = max(burst, 1.0)
        account.is_pooled = limit.burst < self.min_share_burst * len(demands)
        if account.is_pooled:
            # Shares could be too small to ever fill up to a whole token.
            rate = 0.0
            burst = 0.0
        tokens = min(request.demanded_tokens, account.pool)
        if account.is_pooled:
            # The holder could not use a fraction of a token.
            tokens = float(math.floor(tokens))
        burst = min(max(burst, tokens), free.burst)
        return Share(rate, burst, max(0.0, min(tokens, burst)))

    def release(self, holder: str, now: float) -> None:
        """Drops all grants of a holder that has stopped using them."""
        for account in self.accounts.values():
            account.grants.pop(holder, None)

    def total(self, resource: str, now: float) -> Limit:
        """Returns the most that all holders of a resource may use together."""
        account = self.accounts.get(resource)
        grants = account.grants.values() if account else ()
        live = [grant for grant in grants if grant.deadline > now]
        return Limit(sum(g.rate for g in live), sum(g.burst for g in live))


def _confirmed_holding(held: Limit, grant: Grant | None) -> Limit:
    # Without a grant, the lease has expired at the lender.
    if grant is None:
        return Limit(0.0, 0.0)
    return Limit(min(held.rate, grant.rate), min(held.burst, grant.burst))


def divide(
    demands: Mapping[str, float],
    rate: float,
    idle_spare: float = IDLE_SPARE_RATIO,
    busy_spare: float = BUSY_SPARE_RATIO,
) -> dict[str, float]:
    """Divides a rate between holders, max-min fair by demand.

    If the demands add up to less than the rate, a part of the spare rate is
    divided evenly, so that an idle holder can serve a first request at once,
    and a part in proportion to demand, so that a busy holder can serve a rise.
    The lender keeps the rest.

    Args:
        demands: Tokens per second that each holder asks for, by holder.
        rate: Tokens per second to divide.
        idle_spare: Part of the spare rate that is divided evenly.
        busy_spare: Part of the spare rate that is divided by demand.

    Returns:
        Tokens per second by holder.
    """
    shares = dict.fromkeys(demands, 0.0)
    left = rate
    ascending = sorted(demands, key=lambda name: demands[name])
    for index, name in enumerate(ascending):
        equal = left / (len(ascending) - index)
        shares[name] = min(demands[name], equal)
        left -= shares[name]
    total = sum(shares.values())
    for name in shares:
        busy = shares[name] / total if total > 0 else 0.0
        shares[name] += left * busy_spare * busy
        shares[name] += left * idle_spare / len(shares)
    return shares
