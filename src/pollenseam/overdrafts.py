"""How far one entry VM may overdraw its share of a workspace's rate."""

from pollenseam import buckets
from pollenseam import leases

# Part of a rate's tolerated overdraft that entry VMs may use before they
# report it; the lender grants another part.
OVERDRAFT_RATIO = 0.4
# Part of a rate's tolerated overdraft that entry VMs may use while no lender
# answers.
OUTAGE_OVERDRAFT_RATIO = 0.2


def overdraft(
    limit: leases.Limit, tolerated: float, vms: int, random_fraction: float
) -> buckets.OverdraftLimits:
    """Returns how far one VM may overdraw its share of a rate.

    While no lender answers, all VMs together may use the tokens that the rate
    yields within `buckets.TAKEOVER_SECONDS`, and OUTAGE_OVERDRAFT_RATIO of the
    tolerated overdraft. Each VM has an equal part. Adding the random fraction
    rounds a fraction of a token up on some VMs and down on others.

    Args:
        limit: Rate and burst of all VMs together.
        tolerated: Requests by which all VMs together may exceed the limit.
        vms: Number of entry VMs.
        random_fraction: Random number from 0 to 1, drawn for each request.
    """
    connected = max(1.0, OVERDRAFT_RATIO * tolerated / vms)
    outage = (
        limit.rate * buckets.TAKEOVER_SECONDS
        + OUTAGE_OVERDRAFT_RATIO * tolerated
    )
    return buckets.OverdraftLimits(connected, outage / vms + random_fraction)
