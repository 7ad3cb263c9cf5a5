"""Leases of the leader: limits from the settings tree, and wire messages."""

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
    demand: messages.ResourceDemand,
    limit: leases.Limit,
    now: float,
) -> messages.Share:
    """Grants a share of one resource and returns it as a message.

    Args:
        lender: Lender that divides the limit.
        holder: Name and incarnation of the VM.
        demand: The holder's report on the resource and its demand.
        limit: Present limit of the resource over all VMs.
        now: Lender's time in seconds.
    """
    held = leases.Limit(demand.held_rate, demand.held_burst)
    request = leases.Request(
        held,
        demand.demanded_rate,
        demand.returned_tokens,
        demand.demanded_tokens,
        demand.overdrawn_tokens,
    )
    share = lender.lend(demand.resource, holder, request, limit, now)
    return messages.Share(
        demand.resource, share.rate, share.burst, share.tokens, share.is_scarce
    )


def to_demands(
    requests: Mapping[str, leases.Request],
) -> list[messages.ResourceDemand]:
    """Returns a holder's requests, given by resource, as messages."""
    return [
        messages.ResourceDemand(
            resource,
            request.held.rate,
            request.held.burst,
            request.demand,
            request.returned,
            request.demanded_tokens,
            request.overdrawn_tokens,
        )
        for resource, request in requests.items()
    ]


def to_lease_share(share: messages.Share) -> leases.Share:
    """Returns the share that a message of the lender grants."""
    return leases.Share(share.rate, share.burst, share.tokens, share.is_scarce)


class LeaseServer:
    """Answers VMs' lease requests with limits from the settings tree.

    Attributes:
        lender: Lender that divides the limits between VMs.
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
            request: The holder's reports and demands.
            settings_tree: The settings in force.
            clock_ms: State clock at `now`, in ms.
            now: Lender's time in seconds.
        """
        return [
            lend(
                self.lender,
                request.holder,
                demand,
                self.limit(demand.resource, settings_tree, clock_ms),
                now,
            )
            for demand in request.demands
        ]

    def limit(
        self, resource: str, settings_tree: tree.Tree, clock_ms: int
    ) -> leases.Limit:
        """Returns the present limit of a resource over all VMs.

        The limit is zero if the settings have none for the resource.

        Args:
            resource: Path of a workspace, shift or region.
            settings_tree: The settings in force.
            clock_ms: State clock in ms.
        """
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
