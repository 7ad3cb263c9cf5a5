"""Token buckets filled by leased shares, on the side of the holder."""

from collections.abc import Iterable

from pollenseam import leases

# Weight of the latest period in a demand that does not rise.
DEMAND_WEIGHT = 0.2
MAX_RESOURCES = 4096
# An idle holder renews a lease when less than this is left of it.
RENEW_BEFORE_SECONDS = 2.5
# Arrivals per second up to which a demand alone is no reason for a report.
IDLE_RATE = 0.05
MIN_DEMAND_WINDOW_SECONDS = 0.4
MIN_RISE_ARRIVALS = 4
# A lender that has not answered for this long may have run out of tokens. From
# then on, overdrafts are limited by `OverdraftLimits.outage`.
LENDER_TIMEOUT_SECONDS = 0.9
# Another lender takes over within this time. Until then, the last update of the
# lender stays valid and a VM may use its part of the limit.
TAKEOVER_SECONDS = 2.5


class Lease:
    """A holder's share of one resource for a limited time.

    Attributes:
        rate: Tokens per second.
        burst: Tokens that may be used at once, above the rate.
        deadline: Holder's time in seconds after which the share is void.
    """

    __slots__ = ("rate", "burst", "deadline")

    def __init__(self, rate: float, burst: float, deadline: float) -> None:
        self.rate = rate
        self.burst = burst
        self.deadline = deadline


class Bucket:
    """A token bucket that fills at the rate of a lease and starts empty.

    Attributes:
        lease: The present lease, or None before the first one.
        tokens: Tokens at `filled_at`.
        filled_at: Time of the last refill in seconds.
        surplus: Tokens above a reduced burst, to be returned to the lender.
    """

    __slots__ = ("lease", "tokens", "filled_at", "surplus")

    def __init__(self, now: float) -> None:
        self.lease: Lease | None = None
        self.tokens = 0.0
        self.surplus = 0.0
        self.filled_at = now

    def renew(self, share: leases.Share, deadline: float, now: float) -> None:
        """Applies a new share; tokens above its burst become surplus."""
        self._fill(now)
        self.lease = Lease(share.rate, share.burst, deadline)
        tokens = self.tokens + share.tokens
        self.tokens = min(tokens, share.burst)
        self.surplus = tokens - self.tokens

    def pop_surplus(self) -> float:
        """Removes the surplus from the bucket and returns it."""
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
        """Returns the time in seconds at which `count` tokens are available.

        The time is infinite if the lease is too small or expires earlier.
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
        """Returns the leased rate and burst; both 0 if the lease expired."""
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
        rate: Arrivals per second.
        count: Arrivals since `since`.
        since: Time of the last update in seconds.
    """

    __slots__ = ("rate", "count", "since")

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.count = 0
        self.since = now

    def update(self, now: float, weight: float) -> float:
        """Adds the arrivals since the last update to the rate.

        Args:
            now: Time in seconds.
            weight: Weight of these arrivals, from 0 to 1, unless they raise
                the rate.

        Returns:
            Arrivals per second.
        """
        elapsed = now - self.since
        if elapsed < MIN_DEMAND_WINDOW_SECONDS:
            # A few arrivals shortly after a renewal are not a high rate.
            return self.rate
        recent = self.count / elapsed
        # A rise counts at once and a fall slowly: keeping a share for a second
        # too long costs less than refusing a request. A few arrivals are not
        # yet a rise, or all VMs together would ask for too much.
        if recent > self.rate and self.count >= MIN_RISE_ARRIVALS:
            self.rate = recent
        else:
            self.rate += (recent - self.rate) * weight
        self.count = 0
        self.since = now
        return self.rate


class OverdraftLimits:
    """The most tokens that a VM may use beyond its share.

    Attributes:
        connected: The most such tokens not acknowledged by the lender, while
            it answers.
        outage: The most such tokens not acknowledged by a lender, while none
            answers.
    """

    __slots__ = ("connected", "outage")

    def __init__(self, connected: float, outage: float) -> None:
        self.connected = connected
        self.outage = outage


class Account:
    """One VM's share of a resource, its demand and its overdraft.

    Attributes:
        bucket: Token bucket of the share.
        demand: Rate of requests for tokens.
        waiting: Number of requests that wait for a token.
        has_shrunk: Whether the last share was a decrease that has not been
            reported to the lender yet.
        borrowed: Tokens of the reserve that were not used yet.
        overdraft: Tokens used beyond the share and not reported yet.
        unacknowledged: Tokens used beyond the share that are in reports
            without an answer.
        overdraft_until: Time in seconds until which the lender allows
            overdrafts.
        update_valid_until: Time in seconds until which the lender's last
            update of scarce resources is valid, also without a share.
        updated_at: Time of that update in seconds.
    """

    __slots__ = (
        "bucket",
        "demand",
        "waiting",
        "has_shrunk",
        "borrowed",
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
        self.borrowed = 0.0
        self.overdraft = 0.0
        self.unacknowledged = 0.0
        self.overdraft_until = now
        self.update_valid_until = now
        self.updated_at = now

    def take(self, limits: OverdraftLimits, now: float) -> bool:
        """Takes a token of the share, or one beyond it while that is allowed.

        Args:
            limits: The most tokens that may be used beyond the share.
            now: Time in seconds.

        Returns:
            Whether a token was taken.
        """
        if self.bucket.take(now):
            return True
        if self.borrowed >= 1.0:
            self.borrowed -= 1.0
            self.overdraft += 1
            return True
        if not self.is_current(now) or now >= self.overdraft_until:
            return False
        is_outage = now >= self.updated_at + LENDER_TIMEOUT_SECONDS
        allowed = limits.outage if is_outage else limits.connected
        if self.overdraft + self.unacknowledged + 1 > allowed:
            return False
        self.overdraft += 1
        return True

    def borrow(self, tokens: float) -> None:
        """Adds tokens of the reserve; they count as overdraft once used."""
        self.borrowed += tokens

    def is_due(self, now: float) -> bool:
        """Whether the account should be reported to the lender now."""
        lease = self.bucket.lease
        if self.has_share(now) or self.update_valid_until <= now:
            if lease is None or lease.deadline - now < RENEW_BEFORE_SECONDS:
                return True
        if self.has_shrunk or self.bucket.surplus > 0 or self.overdraft > 0:
            return True
        if self.demand.count > 0 or self.waiting > 0:
            return True
        # Without a share, a demand that has ended needs no further report.
        return self.has_share(now) and self.demand.rate > IDLE_RATE

    def is_urgent(self) -> bool:
        """Whether the lender should get a report without delay."""
        return self.waiting > 0 or self.has_shrunk

    def has_share(self, now: float) -> bool:
        """Whether the VM has a share that has not expired."""
        held = self.bucket.held(now)
        return held.rate > 0 or held.burst > 0

    def build_request(self, now: float) -> leases.Request:
        """Returns the next report to the lender.

        Removes the surplus from the bucket and counts the overdraft as
        reported.
        """
        bucket = self.bucket
        held = bucket.held(now)
        rate = self.demand.update(now, DEMAND_WEIGHT)
        wanted = max(0.0, self.waiting - bucket.tokens)
        self.has_shrunk = False
        # If the answer is lost, the overdraft is reported again, and the
        # lender may count it twice.
        self.unacknowledged += self.overdraft
        self.overdraft = 0.0
        return leases.Request(
            held, rate, bucket.pop_surplus(), wanted, self.unacknowledged
        )

    def is_current(self, now: float) -> bool:
        """Whether the VM has a share or a valid update from the lender."""
        return self.bucket.held(now).rate > 0 or self.update_valid_until > now


class LeaseTable:
    """The accounts of one VM.

    Attributes:
        accounts: Accounts by resource.
    """

    __slots__ = ("accounts",)

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}

    def account(self, resource: str, now: float) -> Account:
        """Returns the account of a resource, or a new one without a share."""
        account = self.accounts.get(resource)
        if account is None:
            account = self.accounts[resource] = Account(now)
        return account

    def set_resources(self, resources: Iterable[str], now: float) -> None:
        """Adds accounts of these resources and drops all others.

        At most MAX_RESOURCES accounts are added. An account with waiting
        requests is not dropped.
        """
        wanted = set(resources)
        for resource in self.accounts.keys() - wanted:
            if self.accounts[resource].waiting == 0:
                del self.accounts[resource]
        for resource in sorted(wanted)[:MAX_RESOURCES]:
            self.account(resource, now)

    @property
    def is_urgent(self) -> bool:
        """Whether the lender should get a report without delay."""
        return any(account.is_urgent() for account in self.accounts.values())

    def is_complete(self, now: float) -> bool:
        """Whether `Account.is_current` is true of every account."""
        return all(a.is_current(now) for a in self.accounts.values())

    def build_requests(
        self, now: float, is_full: bool = False
    ) -> dict[str, leases.Request]:
        """Returns the reports that are due, by resource.

        Surplus tokens are removed from the buckets: if the message is lost,
        they are lost too.

        Args:
            now: Time in seconds.
            is_full: Whether to add all shares that the VM has, due or not.
        """
        return {
            resource: account.build_request(now)
            for resource, account in self.accounts.items()
            if account.is_due(now) or (is_full and account.has_share(now))
        }

    def update_scarce(self, scarce: Iterable[str], now: float) -> None:
        """Applies the lender's list of resources without overdrafts.

        Args:
            scarce: Resources whose pools are too low; all others allow
                overdrafts for TAKEOVER_SECONDS.
            now: Time in seconds.
        """
        low = set(scarce)
        for resource, account in self.accounts.items():
            account.updated_at = now
            account.update_valid_until = now + TAKEOVER_SECONDS
            account.overdraft_until = now
            if resource not in low:
                account.overdraft_until = now + TAKEOVER_SECONDS

    def renew(
        self, resource: str, share: leases.Share, deadline: float, now: float
    ) -> bool:
        """Applies a new share to its account.

        Returns:
            Whether the share is a decrease, which should be reported to the
            lender at once.
        """
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
            account.overdraft_until = now + TAKEOVER_SECONDS
        return shrunk
