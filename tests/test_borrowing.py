"""Borrowing of reserve tokens, on both sides."""

import asyncio
import math

import pytest

from pollenseam import borrowing
from pollenseam import buckets
from pollenseam import controlmessages
from pollenseam import events
from pollenseam import leases
from pollenseam import reserves

LIMIT = leases.Limit(8.0, 8.0)
TOLERANCE = leases.Tolerance(5.0, 0.1, 20.0)
# Of what the rate yields in a takeover, and of the tolerated overdraft.
RESERVE = 0.3 * (8.0 * buckets.TAKEOVER_SECONDS + 0.2 * 24.8)
OVERDRAFTS = buckets.OverdraftLimits(0.0, 0.0)


def controls(count):
    return [
        controlmessages.ControlVm(f"c{n}.1", f"127.0.0.1:{n + 1}", "r", f"d{n}")
        for n in range(count)
    ]


@pytest.mark.parametrize(
    ("stated", "usable"),
    [
        (2.0, 2.0),
        (5.0, 3.0),
        (math.inf, 3.0),
        (math.nan, 0.0),
        (-math.inf, 0.0),
        (-1.0, 0.0),
    ],
)
def test_no_more_tokens_are_used_than_were_asked_for(stated, usable):
    """Guards against an odd answer that lifts the limit of a workspace."""
    assert borrowing.usable_tokens(stated, 3.0) == usable


def test_a_reserve_is_lent_once_and_is_full_again_after_a_window():
    reserve = reserves.Reserve()

    def lend(wanted, now):
        return reserve.lend("w", wanted, LIMIT, TOLERANCE, now)

    assert lend(2.5, 100.0) == 2.0
    assert lend(50.0, 101.0) == math.floor(RESERVE - 2.0)
    assert lend(1.0, 105.9) == 0.0
    assert lend(1.0, 106.1) == 1.0


def test_a_borrowed_token_is_reported_as_overdraft():
    account = buckets.Account(0.0)
    account.borrow(1.0)
    assert account.take(OVERDRAFTS, 1.0)
    assert not account.take(OVERDRAFTS, 1.0)
    assert account.build_request(1.0).overdrawn_tokens == 1.0


def test_all_vms_find_the_same_keepers_and_spread_the_workspaces():
    known = controls(9)
    found = {w: reserves.keepers(w, known) for w in map(str, range(200))}
    assert found == {w: reserves.keepers(w, known[::-1]) for w in found}
    assert {len(set(two)) for two in found.values()} == {2}
    firsts = [two[0] for two in found.values()]
    assert max(firsts.count(c.address) for c in known) < 2.5 * 200 / 9


def test_a_lost_keeper_changes_only_the_workspaces_that_it_kept():
    known = controls(9)
    lost, *left = known
    for workspace in map(str, range(200)):
        before = reserves.keepers(workspace, known)
        if lost.address not in before:
            assert reserves.keepers(workspace, left) == before


class NoLog:
    """A log that nobody reads."""

    def info(self, line):
        pass


class Keepers:
    """Stands in for `peers.Client`: keepers with no tokens.

    Attributes:
        is_lending: Whether each lends, by address.
        asked: Addresses that were asked.
    """

    def __init__(self, is_lending):
        self.is_lending = is_lending
        self.asked = []

    async def call(self, address, method, request, timeout_seconds):
        self.asked.append(address)
        return controlmessages.BorrowResponse(
            0.0, "", is_lending=self.is_lending[address]
        )


@pytest.mark.parametrize(
    ("is_lending", "asked_at"),
    [
        ((False, False), [0.0, 0.1, 0.2]),
        ((False, True), [0.0]),
        ((True, False), [0.0]),
    ],
)
async def test_keepers_that_do_not_lend_yet_are_asked_again_in_time(
    is_lending, asked_at
):
    """Guards against requests refused as a keeper began to lend too late.

    They wait a quarter of a second, and an empty reserve is asked again after
    more than that.
    """
    addresses = reserves.keepers("w", controls(2))
    keepers = Keepers(dict(zip(addresses, is_lending, strict=True)))
    now = 0.0
    borrower = borrowing.Borrower(
        events.EventLog("e", events.LogicalClock(), NoLog()),
        keepers,
        lambda: now,
        lambda: controls(2),
        lambda leader: None,
    )
    account = buckets.Account(now)
    account.update_valid_until = 10.0
    account.waiting = 1
    borrower.borrows_until = 10.0
    times = []
    for step in range(25):
        now = step / 100
        keepers.asked.clear()
        borrower.ask("w", account)
        for _ in range(5):
            await asyncio.sleep(0)
        if keepers.asked:
            assert keepers.asked == addresses
            times.append(now)
    borrower.close()
    assert times == asked_at
