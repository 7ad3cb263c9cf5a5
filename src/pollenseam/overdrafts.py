"""How far one entry VM may overdraw its share of a workspace's rate."""

from pollenseam import buckets
from pollenseam import leases
from pollenseam import reserves

# Part of a rate's tolerated overdraft that entry VMs may use before they
# report it; the lender grants another part.
OVERDRAFT_RATIO = 0.4


def overdraft(
    limit: leases.Limit, tolerated: float, vms: int, random_fraction: float
) -> buckets.OverdraftLimits:
    """Returns how far one VM may overdraw its share of a rate.

    While no lender answers, each VM has an equal part of what `reserves`
    divides. Adding the random fraction rounds a fraction of a token up on some
    VMs and down on others.

    Args:
        limit: Rate and burst of all VMs together.
        tolerated: Requests by which all VMs together may exceed the limit.
        vms: Number of entry VMs.
        random_fraction: Random number from 0 to 1, drawn for each request.
    """
    connected = max(1.0, OVERDRAFT_RATIO * tolerated / vms)
    outage = reserves.DIVIDED_RATIO * reserves.outage_tokens(limit, tolerated)
    return buckets.OverdraftLimits(connected, outage / vms + random_fraction)
