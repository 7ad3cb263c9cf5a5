"""Chooses the entry VM that sends a call for this one; does no I/O."""

import random
from collections.abc import Container

from pollenseam import controlmessages

# For this long a helper is not chosen again after a failure, by what failed.
UNCONNECTED_SECONDS = 2.0
BROKEN_SECONDS = 1.0
NOT_REACHED_SECONDS = 1.0
NO_CAPACITY_SECONDS = 0.3
# Calls of this VM that one helper may have at a time: half of what it lends.
MAX_HELD_CALLS = 24
# After a call for which no helper reached the service, no helper is asked for
# this long, doubled up to the maximum as long as none does.
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0


class Helpers:
    """The entry VMs that may send calls for this one.

    All times are in seconds.

    Attributes:
        name: Name of this VM.
        region: Region of this VM.
        entries: Records of the entry VMs, by name.
        in_flight: Calls of this VM that a helper is sending, by its name.
        avoided_until: Time until which a helper is not chosen, by its name and
            the service; for all services by its name and "".
        doubted: Names of helpers that gave no answer lately. While they are
            avoided, they get one call at a time if there is no other helper.
        paused_until: Time until which no helper is asked, by service.
        pauses: Pauses in a row, by service.
    """

    __slots__ = (
        "name",
        "region",
        "entries",
        "in_flight",
        "avoided_until",
        "doubted",
        "paused_until",
        "pauses",
    )

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.region = region
        self.entries: dict[str, controlmessages.EntryVm] = {}
        self.in_flight: dict[str, int] = {}
        self.avoided_until: dict[tuple[str, str], float] = {}
        self.doubted: set[str] = set()
        self.paused_until: dict[str, float] = {}
        self.pauses: dict[str, int] = {}

    def update(self, entries: list[controlmessages.EntryVm]) -> None:
        """Replaces the records of the entry VMs."""
        self.entries = {e.name: e for e in entries if e.name != self.name}
        self.avoided_until = {
            key: until
            for key, until in self.avoided_until.items()
            if key[0] in self.entries
        }
        self.doubted &= self.entries.keys()

    def choose(
        self,
        service: str,
        regions: Container[str],
        asked: Container[str],
        is_last: bool,
        now: float,
    ) -> controlmessages.EntryVm | None:
        """Returns the helper for a call, or None if there is none.

        Helpers in the region of this VM come first, except for the last one
        that is asked for a call, because the whole region may be cut off. Of
        two random ones, the one with fewer calls of this VM is chosen. If there
        is none, one that is in doubt is tried.

        Args:
            service: Name of the service that handles the call.
            regions: Regions that may serve the call; all if empty.
            asked: Names of helpers that were asked for the call already.
            is_last: Whether no other helper will be asked for the call.
            now: Time in seconds.
        """
        allowed = [
            entry
            for entry in self.entries.values()
            if entry.name not in asked
            and self._lends(entry)
            and (not regions or entry.region in regions)
        ]
        usable = [e for e in allowed if self._is_usable(e, service, now)]
        usable = usable or [
            e for e in allowed if self._may_try(e, service, now)
        ]
        near = [e for e in usable if (e.region == self.region) != is_last]
        group = near or usable
        if not group:
            return None
        pair = random.sample(group, min(2, len(group)))
        return min(pair, key=lambda e: self.in_flight.get(e.name, 0))

    def may_reach(
        self, service: str, regions: Container[str], now: float
    ) -> bool:
        """Returns whether a helper has not said that it reaches no upstream.

        Helpers that cannot be asked for the moment count.

        Args:
            service: Name of the service.
            regions: Regions that may serve the call; all if empty.
            now: Time in seconds.
        """
        return any(
            self._lends(entry)
            and self.avoided_until.get((entry.name, service), 0.0) <= now
            and (not regions or entry.region in regions)
            for entry in self.entries.values()
        )

    def seconds_until_usable(self, service: str, now: float) -> float:
        """Returns the time until a helper may be asked; 0 if none may be.

        A helper that has as many calls as it may have counts as one without
        capacity.
        """
        waits = []
        for entry in self.entries.values():
            if not self._lends(entry):
                continue
            until = max(
                self.avoided_until.get((entry.name, ""), 0.0),
                self.avoided_until.get((entry.name, service), 0.0),
            )
            if self.in_flight.get(entry.name, 0) >= MAX_HELD_CALLS:
                until = max(until, now + NO_CAPACITY_SECONDS)
            waits.append(max(0.0, until - now))
        return min(waits, default=0.0)

    def are_mostly_cut_off(self) -> bool:
        """Returns whether callers are likely to meet another VM cut off."""
        serving = [e for e in self.entries.values() if e.is_serving]
        cut_off = sum(entry.is_cut_off for entry in serving)
        return cut_off * 2 >= len(serving)

    def _lends(self, entry: controlmessages.EntryVm) -> bool:
        """Returns whether a helper may lend, by its record."""
        return (
            entry.is_serving and not entry.is_cut_off and entry.relay_port > 0
        )

    def _is_usable(
        self, entry: controlmessages.EntryVm, service: str, now: float
    ) -> bool:
        if self.in_flight.get(entry.name, 0) >= MAX_HELD_CALLS:
            return False
        avoided = self.avoided_until
        return (
            avoided.get((entry.name, ""), 0.0) <= now
            and avoided.get((entry.name, service), 0.0) <= now
        )

    def _may_try(
        self, entry: controlmessages.EntryVm, service: str, now: float
    ) -> bool:
        """Returns whether a helper in doubt may get one call."""
        if entry.name not in self.doubted or entry.name in self.in_flight:
            return False
        return self.avoided_until.get((entry.name, service), 0.0) <= now

    def doubt(self, name: str, seconds: float, now: float) -> None:
        """Avoids a helper that gave no answer, if there is another one.

        Args:
            name: Name of the helper.
            seconds: Time for which it is avoided.
            now: Time in seconds.
        """
        self.doubted.add(name)
        self.avoid(name, seconds, now)

    def trust(self, name: str) -> None:
        """Ends the doubt about a helper that answered."""
        if name in self.doubted:
            self.doubted.remove(name)
            self.avoided_until.pop((name, ""), None)

    def avoid(
        self, name: str, seconds: float, now: float, service: str = ""
    ) -> None:
        """Does not choose a helper for some time.

        Args:
            name: Name of the helper.
            seconds: Time for which it is not chosen.
            now: Time in seconds.
            service: The service for which it is not chosen; all if "".
        """
        self.avoided_until[name, service] = now + seconds

    def is_avoided(self, name: str, now: float) -> bool:
        """Returns whether a helper is not chosen for any service now."""
        return self.avoided_until.get((name, ""), 0.0) > now

    def begin(self, name: str) -> None:
        """Records that a call is given to a helper."""
        self.in_flight[name] = self.in_flight.get(name, 0) + 1

    def end(self, name: str) -> None:
        """Records that a call that was given to a helper ended."""
        count = self.in_flight.pop(name) - 1
        if count:
            self.in_flight[name] = count

    def is_paused(self, service: str, now: float) -> bool:
        """Returns whether no helper is to be asked for a service now."""
        return self.paused_until.get(service, 0.0) > now

    def record_help(self, service: str) -> None:
        """Records that a helper reached an upstream of a service."""
        self.pauses.pop(service, None)
        self.paused_until.pop(service, None)

    def record_no_help(self, service: str, now: float) -> None:
        """Records that no helper that was asked reached a service."""
        count = self.pauses.get(service, 0)
        self.pauses[service] = count + 1
        seconds = min(MIN_PAUSE_SECONDS * 2**count, MAX_PAUSE_SECONDS)
        self.paused_until[service] = now + seconds
