"""The part of each rate that control VMs lend while no leader does.

A few requests for a workspace arrive at some of many entry VMs. Divided
between all of them, what may be used until the next leader lends is a fraction
of a token each. So a control VM keeps a part of it for all, the reserve of the
workspace. Tokens of a reserve count as used beyond a share: entry VMs report
them to the next leader.
"""

import math
from collections.abc import Iterable

from pollenseam import buckets
from pollenseam import controlmessages
from pollenseam import hashing
from pollenseam import leases

# Parts of what a rate yields until another leader lends: kept in reserve, and
# divided evenly between the entry VMs. Both parts may be used while a leader
# lends on the other side of a partition.
RESERVE_RATIO = 0.3
DIVIDED_RATIO = 0.1
# Part of a rate's tolerated overdraft that may be used while no lender answers.
OUTAGE_OVERDRAFT_RATIO = 0.2
# Control VMs that may be asked for the reserve of a workspace. The second is
# asked while the first is the leader or does not answer.
KEEPER_COUNT = 2


def outage_tokens(limit: leases.Limit, tolerated: float) -> float:
    """Returns the tokens that all VMs may use while no lender answers.

    That is what the rate yields within `buckets.TAKEOVER_SECONDS`, and a part
    of the tolerated overdraft.

    Args:
        limit: Rate and burst of all VMs together.
        tolerated: Requests by which all VMs together may exceed the limit.
    """
    earned = limit.rate * buckets.TAKEOVER_SECONDS
    return earned + OUTAGE_OVERDRAFT_RATIO * tolerated


def keepers(
    resource: str, controls: Iterable[controlmessages.ControlVm]
) -> list[str]:
    """Returns the addresses of the control VMs that keep a reserve.

    All VMs with the same directory get the same ones, in the same order
    (rendezvous hashing).

    Args:
        resource: Name of the workspace.
        controls: Records of the control VMs.
    """
    resource_hash = hashing.hash64(resource)
    addresses = sorted(
        (control.address for control in controls),
        key=lambda a: hashing.mix(resource_hash, hashing.hash64(a)),
    )
    return addresses[:KEEPER_COUNT]


class _Account:
    """What is left of one reserve.

    Attributes:
        tokens: Tokens that may still be lent.
        lent_at: Time in seconds at which some were last lent.
    """

    __slots__ = ("tokens", "lent_at")

    def __init__(self, tokens: float, lent_at: float) -> None:
        self.tokens = tokens
        self.lent_at = lent_at


class Reserve:
    """The reserves that one control VM keeps.

    Attributes:
        accounts: Reserves of which tokens were lent lately, by workspace.
    """

    __slots__ = ("accounts",)

    def __init__(self) -> None:
        self.accounts: dict[str, _Account] = {}

    def lend(
        self,
        resource: str,
        wanted: float,
        limit: leases.Limit,
        tolerance: leases.Tolerance,
        now: float,
    ) -> float:
        """Returns whole tokens of a workspace's reserve, as many as are left.

        A reserve is full again once nothing was lent for a window of the
        tolerance.

        Args:
            resource: Name of the workspace.
            wanted: Tokens that are needed.
            limit: Rate and burst of all VMs together.
            tolerance: How far all VMs together may exceed the limit.
            now: Time in seconds.
        """
        self._forget_full(tolerance, now)
        account = self.accounts.get(resource)
        if account is None:
            tolerated = tolerance.max_overdraft(limit)
            size = RESERVE_RATIO * outage_tokens(limit, tolerated)
            account = self.accounts[resource] = _Account(size, now)
        lent = float(math.floor(min(wanted, account.tokens)))
        if lent <= 0:
            return 0.0
        account.tokens -= lent
        account.lent_at = now
        return lent

    def _forget_full(self, tolerance: leases.Tolerance, now: float) -> None:
        oldest = now - tolerance.window_seconds
        self.accounts = {
            resource: account
            for resource, account in self.accounts.items()
            if account.lent_at > oldest
        }
