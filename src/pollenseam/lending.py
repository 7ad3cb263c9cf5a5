"""What the leader lends: the wholes of all resources, from the tree."""

from collections.abc import Mapping

from pollenseam import catalog
from pollenseam import leases
from pollenseam import messages
from pollenseam import settings
from pollenseam import shifts
from pollenseam import tree

ZERO_LIMIT = leases.Limit(0.0, 0.0)


def lend(
    lender: leases.Lender,
    holder: str,
    ask: messages.ResourceDemand,
    limit: leases.Limit,
    now: float,
) -> messages.Share:
    """Returns a lender's answer to one ask, as it is sent.

    Args:
        lender: The division between holders.
        holder: VM and incarnation.
        ask: The holder's demand.
        whole: What the resource may use over the fleet now.
        now: Lender's time in seconds.
    """
    held = leases.Limit(ask.held_rate, ask.held_burst)
    wants = leases.Request(
        held,
        ask.demanded_rate,
        ask.returned_tokens,
        ask.demanded_tokens,
        ask.overdrawn_tokens,
    )
    share = lender.lend(ask.resource, holder, wants, limit, now)
    return messages.Share(
        ask.resource, share.rate, share.burst, share.tokens, share.is_scarce
    )


def to_demands(
    requests: Mapping[str, leases.Request],
) -> list[messages.ResourceDemand]:
    """Returns a holder's requests by resource, as they are sent."""
    return [
        messages.ResourceDemand(
            resource,
            asked.held.rate,
            asked.held.burst,
            asked.demand,
            asked.returned,
            asked.wanted,
            asked.overdraft,
        )
        for resource, asked in requests.items()
    ]


def to_lease_share(share: messages.Share) -> leases.Share:
    """Returns the share that a lender's answer grants."""
    return leases.Share(share.rate, share.burst, share.tokens, share.is_scarce)


class LeaseServer:
    """Answers VMs' demands from the settings tree.

    Attributes:
        lender: The division between holders.
    """

    __slots__ = ("lender",)

    def __init__(self, lender: leases.Lender) -> None:
        self.lender = lender

    def answer(
        self,
        request: messages.LeaseRequest,
        settings_tree: tree.Tree,
        clock_ms: int,
        now: float,
    ) -> list[messages.Share]:
        """Returns the shares that a holder may use.

        Args:
            request: The holder's demands.
            settings_tree: The settings in force.
            clock_ms: State clock, moved on to now.
            now: Lender's time in seconds.
        """
        return [
            lend(
                self.lender,
                request.holder,
                ask,
                self.limit(ask.resource, settings_tree, clock_ms),
                now,
            )
            for ask in request.demands
        ]

    def limit(
        self, resource: str, settings_tree: tree.Tree, clock_ms: int
    ) -> leases.Limit:
        """Returns what a resource may use over the whole fleet now."""
        node = settings_tree.nodes.get(resource)
        if isinstance(node, settings.Workspace):
            return leases.Limit(node.rate, node.burst)
        if isinstance(node, settings.Shift):
            return shifts.shift_limit(node, clock_ms - node.started_ms)
        prefix, _, name = resource.rpartition("/")
        region = settings_tree.fleet().regions.get(name)
        if region is not None and resource == catalog.region_path(name):
            return shifts.region_limit(region.accept_rate)
        return ZERO_LIMIT
