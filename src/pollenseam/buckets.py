"""Token buckets that leases fill: the holder's side of leased shares."""

from collections.abc import Iterable

from pollenseam import leases

DEMAND_WEIGHT = 0.2
MAX_RESOURCES = 4096
RENEW_BEFORE_SECONDS = 2.5
IDLE_RATE = 0.05
MIN_DEMAND_WINDOW_SECONDS = 0.4
MIN_RISE_ARRIVALS = 4
# A lender that has not answered for this long may have run out of tokens.
LENDER_TIMEOUT_SECONDS = 0.9
# Another lender takes over within this time; meanwhile a VM uses its part.
UPDATE_VALID_SECONDS = 2.5


class Lease:
    """A holder's share of one resource.

    Attributes:
        rate: Per second.
        burst: Above the rate.
        deadline: Holder's time after which it may use nothing.
    """

    __slots__ = ("rate", "burst", "deadline")

    def __init__(self, rate: float, burst: float, deadline: float) -> None:
        self.rate = rate
        self.burst = burst
        self.deadline = deadline


class Bucket:
    """A token bucket that is filled by a lease; it starts empty.

    Attributes:
        lease: What fills it, or None before the first lease.
        tokens: Tokens at `filled_at`.
        filled_at: Time of the last fill.
        surplus: Tokens that a smaller burst had no room for; to be returned.
    """

    __slots__ = ("lease", "tokens", "filled_at", "surplus")

    def __init__(self, now: float) -> None:
        self.lease: Lease | None = None
        self.tokens = 0.0
        self.surplus = 0.0
        self.filled_at = now

    def renew(self, share: leases.Share, deadline: float, now: float) -> None:
        """Takes a new share; tokens above its burst become surplus."""
        self._fill(now)
        self.lease = Lease(share.rate, share.burst, deadline)
        tokens = self.tokens + share.tokens
        self.tokens = min(tokens, share.burst)
        self.surplus = tokens - self.tokens

    def pop_surplus(self) -> float:
        """Returns the surplus, which is then no longer the holder's."""
        surplus = self.surplus
        self.surplus = 0.0
        return surplus

    def take(self, now: float) -> bool:
        """Takes one token; False when there is none."""
        self._fill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def available_at(self, count: float, now: float) -> float:
        """Returns the time at which `count` tokens will be there.

        Infinite when the lease is too small or ends before then.
        """
        self._fill(now)
        lease = self.lease
        if lease is None or lease.deadline <= now:
            return float("inf")
        if self.tokens >= count:
            return now
        if lease.rate <= 0 or lease.burst < 1.0:
            return float("inf")
        at = now + (count - self.tokens) / lease.rate
        return at if at < lease.deadline else float("inf")

    def held(self, now: float) -> leases.Limit:
        """Returns what the holder counts as its own now."""
        lease = self.lease
        if lease is None or lease.deadline <= now:
            return leases.Limit(0.0, 0.0)
        return leases.Limit(lease.rate, lease.burst)

    def _fill(self, now: float) -> None:
        lease = self.lease
        until = now
        if lease is None:
            self.filled_at = now
            return
        until = min(now, lease.deadline)
        elapsed = max(0.0, until - self.filled_at)
        self.tokens = min(lease.burst, self.tokens + elapsed * lease.rate)
        self.filled_at = now
        if now >= lease.deadline:
            self.tokens = 0.0
            self.surplus = 0.0


class Demand:
    """A smoothed rate of arrivals.

    Attributes:
        rate: Per second.
        count: Arrivals since `since`.
        since: Time of the last update.
    """

    __slots__ = ("rate", "count", "since")

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.count = 0
        self.since = now

    def update(self, now: float, weight: float) -> float:
        """Folds the arrivals since the last update in; returns the rate."""
        elapsed = now - self.since
        if elapsed < MIN_DEMAND_WINDOW_SECONDS:
            # A few arrivals right after a renewal are no high rate.
            return self.rate
        recent = self.count / elapsed
        # A rise counts at once, a fall slowly: it is cheaper to hold a
        # share for a second too long than to refuse a request. A few
        # arrivals are no rise yet: all VMs together would ask for too much.
        if recent > self.rate and self.count >= MIN_RISE_ARRIVALS:
            self.rate = recent
        else:
            self.rate += (recent - self.rate) * weight
        self.count = 0
        self.since = now
        return self.rate


class OverdraftLimits:
    """Tokens that a VM may use beyond a share.

    Attributes:
        informed: Tokens that the lender may not know of.
        outage: Tokens that it may use while no lender answers.
    """

    __slots__ = ("connected", "outage")

    def __init__(self, connected: float, outage: float) -> None:
        self.connected = connected
        self.outage = outage


class Account:
    """What one VM holds and wants of one resource.

    Attributes:
        bucket: What it may use.
        demand: How much it is asked for.
        waiting: Requests that wait for a token now.
        has_shrunk: Whether the lender has not heard of the last decrease.
        overdraft: Tokens used beyond the share, not yet reported.
        reported: Overdraft in a report that has not been answered.
        overdraft_until: Time until which the lender allows overdrafts.
        informed_until: Time until which the lender's last word on the
            resource holds, whether or not a share is held.
        informed_at: Time of that word.
    """

    __slots__ = (
        "bucket",
        "demand",
        "waiting",
        "has_shrunk",
        "overdraft",
        "unacknowledged",
        "overdraft_until",
        "update_valid_until",
        "updated_at",
    )

    def __init__(self, now: float) -> None:
        self.bucket = Bucket(now)
        self.demand = Demand(now)
        self.waiting = 0
        self.has_shrunk = False
        self.overdraft = 0.0
        self.unacknowledged = 0.0
        self.overdraft_until = now
        self.update_valid_until = now
        self.updated_at = now

    def take(self, limits: OverdraftLimits, now: float) -> bool:
        """Takes a token of the share, or one beyond it while that is allowed.

        Args:
            most: What may be used beyond the share.
            now: Time in seconds.
        """
        if self.bucket.take(now):
            return True
        if not self.is_current(now) or now >= self.overdraft_until:
            return False
        is_outage = now >= self.updated_at + LENDER_TIMEOUT_SECONDS
        allowed = limits.outage if is_outage else limits.connected
        if self.overdraft + self.unacknowledged + 1 > allowed:
            return False
        self.overdraft += 1
        return True

    def is_due(self, now: float) -> bool:
        """Whether the lender should hear of it now."""
        lease = self.bucket.lease
        if self.has_share(now) or self.update_valid_until <= now:
            if lease is None or lease.deadline - now < RENEW_BEFORE_SECONDS:
                return True
        if self.has_shrunk or self.bucket.surplus > 0 or self.overdraft > 0:
            return True
        if self.demand.count > 0 or self.waiting > 0:
            return True
        # Where nothing is held, a demand that has ended is told of no more.
        return self.has_share(now) and self.demand.rate > IDLE_RATE

    def is_urgent(self) -> bool:
        """Whether requests wait for the lender's answer."""
        return self.waiting > 0 or self.has_shrunk

    def has_share(self, now: float) -> bool:
        """Whether a share of it may be used now."""
        held = self.bucket.held(now)
        return held.rate > 0 or held.burst > 0

    def build_request(self, now: float) -> leases.Request:
        """Returns what to report and ask for; takes the surplus out."""
        bucket = self.bucket
        held = bucket.held(now)
        rate = self.demand.update(now, DEMAND_WEIGHT)
        wanted = max(0.0, self.waiting - bucket.tokens)
        self.has_shrunk = False
        # A report that was lost may have been taken in: it counts twice then.
        self.unacknowledged += self.overdraft
        self.overdraft = 0.0
        return leases.Request(
            held, rate, bucket.pop_surplus(), wanted, self.unacknowledged
        )

    def is_current(self, now: float) -> bool:
        """Whether a share of it is held now, or the lender's word on it."""
        return self.bucket.held(now).rate > 0 or self.update_valid_until > now


class LeaseTable:
    """All resources that one VM holds shares of.

    Attributes:
        accounts: By resource.
    """

    __slots__ = ("accounts",)

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}

    def account(self, resource: str, now: float) -> Account:
        """Returns the account of a resource, making an empty one."""
        account = self.accounts.get(resource)
        if account is None:
            account = self.accounts[resource] = Account(now)
        return account

    def set_resources(self, resources: Iterable[str], now: float) -> None:
        """Keeps accounts for exactly these resources."""
        wanted = set(resources)
        for resource in self.accounts.keys() - wanted:
            if self.accounts[resource].waiting == 0:
                del self.accounts[resource]
        for resource in sorted(wanted)[:MAX_RESOURCES]:
            self.account(resource, now)

    @property
    def is_urgent(self) -> bool:
        """Whether requests wait for the lender's answer."""
        return any(account.is_urgent() for account in self.accounts.values())

    def is_complete(self, now: float) -> bool:
        """Whether a share of every resource is held now."""
        return all(a.is_current(now) for a in self.accounts.values())

    def build_requests(
        self, now: float, is_full: bool = False
    ) -> dict[str, leases.Request]:
        """Returns what to report and ask for, by resource.

        Surplus tokens go out with it: if the message is lost, so are they.

        Args:
            now: Time in seconds.
            is_whole: Whether to report all that is held, due or not.
        """
        return {
            resource: account.build_request(now)
            for resource, account in self.accounts.items()
            if account.is_due(now) or (is_full and account.has_share(now))
        }

    def update_scarce(self, scarce: Iterable[str], now: float) -> None:
        """Takes in which resources allow no overdrafts; all others do."""
        low = set(scarce)
        for resource, account in self.accounts.items():
            account.updated_at = now
            account.update_valid_until = now + UPDATE_VALID_SECONDS
            account.overdraft_until = now
            if resource not in low:
                account.overdraft_until = now + UPDATE_VALID_SECONDS

    def renew(
        self, resource: str, share: leases.Share, deadline: float, now: float
    ) -> bool:
        """Takes a share in; True when it shrank, which should be reported."""
        account = self.accounts.get(resource)
        if account is None:
            return False
        before = account.bucket.held(now)
        account.bucket.renew(share, deadline, now)
        shrunk = share.rate < before.rate or share.burst < before.burst
        account.has_shrunk = shrunk
        account.unacknowledged = 0.0
        account.overdraft_until = now
        if not share.is_scarce:
            account.overdraft_until = now + UPDATE_VALID_SECONDS
        return shrunk
