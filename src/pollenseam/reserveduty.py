"""Decides which of the two keepers of a reserve may lend from it.

What a keeper has lent is known to nobody else, and not to itself after a
restart. So at most one of the two lends in any window: the first, or the second
in place of a first that has led, and so has lent nothing, for a window. Whoever
may have been replaced so stays quiet until the window of the other has passed.
"""

import math
from collections.abc import Iterable
from collections.abc import Sequence

from pollenseam import buckets
from pollenseam import controlmessages

# A VM that is cut off notices after this time that it may be replaced.
NOTICE_SECONDS = buckets.TAKEOVER_SECONDS
# Time for which a new leader still lends as the first keeper, and for which the
# second lends after the first was last seen leading.
HANDOVER_SECONDS = buckets.TAKEOVER_SECONDS


class _Lead:
    """The time for which a VM has led.

    Attributes:
        since: Time in seconds at which it was first seen leading.
        until: Time in seconds at which it was last seen leading.
    """

    __slots__ = ("since", "until")

    def __init__(self, now: float) -> None:
        self.since = now
        self.until = now


class Duty:
    """The part of one control VM in lending reserves.

    Attributes:
        address: Address of this VM.
        window_seconds: Length of the window in which a reserve is lent once.
        controls: Addresses of the control VMs in the directory.
        quiet_until: Time in seconds until which this VM lends nothing.
        leads: VMs that were seen leading lately, by address.
    """

    __slots__ = (
        "address",
        "window_seconds",
        "controls",
        "quiet_until",
        "leads",
    )

    def __init__(self, address: str, window_seconds: float) -> None:
        self.address = address
        self.window_seconds = window_seconds
        self.controls: frozenset[str] = frozenset()
        self.quiet_until = math.inf
        self.leads: dict[str, _Lead] = {}

    def observe(
        self,
        leader: str,
        is_recent: bool,
        controls: Iterable[controlmessages.ControlVm],
        now: float,
    ) -> None:
        """Records the present leader and directory; called all the time.

        Args:
            leader: Address of the leader, or "" if unknown.
            is_recent: Whether a leader was heard from in NOTICE_SECONDS.
            controls: Records of the control VMs in the directory.
            now: Time in seconds.
        """
        known = frozenset(control.address for control in controls)
        if known != self.controls:
            # Also after a start. Other VMs may have kept reserves until now.
            self.controls = known
            self._stay_quiet(now)
        oldest = now - HANDOVER_SECONDS
        self.leads = {
            address: lead
            for address, lead in self.leads.items()
            if lead.until > oldest
        }
        if leader and (is_recent or leader == self.address):
            self.leads.setdefault(leader, _Lead(now)).until = now
        if leader == self.address:
            if now - self.leads[leader].since >= HANDOVER_SECONDS:
                self._stay_quiet(now)

    def may_lend(self, keepers: Sequence[str], now: float) -> bool:
        """Returns whether this VM may lend from a reserve now.

        Args:
            keepers: Addresses of the keepers, in order.
            now: Time in seconds.
        """
        if now < self.quiet_until or self.address not in keepers:
            return False
        first = keepers[0]
        if first == self.address:
            return True
        lead = self.leads.get(first)
        if lead is None or lead.until <= now - HANDOVER_SECONDS:
            return False
        silent_seconds = lead.until - lead.since - HANDOVER_SECONDS
        return silent_seconds >= self.window_seconds

    def _stay_quiet(self, now: float) -> None:
        quiet_seconds = NOTICE_SECONDS + HANDOVER_SECONDS + self.window_seconds
        self.quiet_until = now + quiet_seconds
