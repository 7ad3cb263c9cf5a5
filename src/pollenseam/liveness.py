"""Liveness of entry VMs, control VMs and upstreams, tracked by the leader."""

from collections.abc import Iterable

from pollenseam import controlmessages
from pollenseam import leases
from pollenseam import messages
from pollenseam import registry

# Entry VMs renew every 0.5 s, so four renewals were missed by then.
ENTRY_TIMEOUT_SECONDS = 2.5
# Number of missed announcements after which an upstream expires.
MISSED_ANNOUNCEMENTS = 4
# Number of missed announcements up to which another upstream may not take its
# address. One may be late by the time until it is reported to the leader.
MISSED_BEFORE_REPLACEMENT = 2


class LivenessTracker:
    """The leader's directory of VMs, and deadlines of VMs and upstreams.

    Attributes:
        directory: Directory of VMs that is sent to all VMs.
        entry_deadlines: Time at which each entry VM expires, by name.
        upstream_deadlines: Time at which each upstream expires, by id.
        upstream_timeout: Seconds without an announcement after which an
            upstream expires.
        replacement_timeout: Seconds without an announcement after which
            another upstream may take the address.
    """

    __slots__ = (
        "directory",
        "entry_deadlines",
        "upstream_deadlines",
        "upstream_timeout",
        "replacement_timeout",
    )

    def __init__(self, announce_seconds: float) -> None:
        self.directory = controlmessages.Directory()
        self.entry_deadlines: dict[str, float] = {}
        self.upstream_deadlines: dict[str, float] = {}
        self.upstream_timeout = announce_seconds * MISSED_ANNOUNCEMENTS
        self.replacement_timeout = announce_seconds * MISSED_BEFORE_REPLACEMENT

    def start_term(
        self, term: int, upstreams: Iterable[registry.Upstream], now: float
    ) -> None:
        """Starts the directory and all deadlines of a new leader's term.

        Entry VMs in the directory of the previous leader get LEASE_SECONDS to
        renew, upstreams the full timeout to announce.
        """
        self.directory.term = term
        self.directory.revision = 1
        self.entry_deadlines = {
            entry.name: now + leases.LEASE_SECONDS
            for entry in self.directory.entries
        }
        self.upstream_deadlines = {
            record.id: now + self.upstream_timeout for record in upstreams
        }

    def adopt_directory(self, directory: controlmessages.Directory) -> None:
        """Replaces the directory if the one from the leader is newer."""
        if directory.replaces(self.directory):
            self.directory = directory

    def record_entry(self, entry: controlmessages.EntryVm, now: float) -> None:
        """Records an entry VM that renewed, and extends its deadline.

        The directory never replaces a record by one of an earlier start.
        """
        self.entry_deadlines[entry.name] = now + ENTRY_TIMEOUT_SECONDS
        entries = {known.name: known for known in self.directory.entries}
        known = entries.get(entry.name)
        if known == entry:
            return
        if known is not None and known.started_ms > entry.started_ms:
            return
        entries[entry.name] = entry
        self._update_directory(list(entries.values()), self.directory.controls)

    def record_control(self, control: controlmessages.ControlVm) -> None:
        """Records the current address and location of a control VM."""
        controls = {
            known.replica_id: known for known in self.directory.controls
        }
        if controls.get(control.replica_id) != control:
            controls[control.replica_id] = control
            self._update_directory(
                self.directory.entries, list(controls.values())
            )

    def record_upstreams(self, ids: Iterable[str], now: float) -> None:
        """Extends the deadlines of upstreams that announced themselves."""
        for id in ids:
            self.upstream_deadlines[id] = now + self.upstream_timeout

    def is_announcing(self, id: str, now: float) -> bool:
        """Returns whether an upstream announced itself lately.

        One that was just recorded may have no deadline yet.
        """
        deadline = self.upstream_deadlines.get(id)
        if deadline is None:
            return True
        silent_since = deadline - self.upstream_timeout
        return now - silent_since <= self.replacement_timeout

    def remove_expired(self, members: messages.Members, now: float) -> None:
        """Removes expired entry VMs, and control VMs outside the quorum."""
        expired = {n for n, d in self.entry_deadlines.items() if d <= now}
        replica_ids = members.voters.keys() | members.learners.keys()
        entries = [e for e in self.directory.entries if e.name not in expired]
        controls = [
            c for c in self.directory.controls if c.replica_id in replica_ids
        ]
        for name in expired:
            del self.entry_deadlines[name]
        old = self.directory
        if len(entries) < len(old.entries) or len(controls) < len(old.controls):
            self._update_directory(entries, controls)

    def expired_upstreams(
        self, upstreams: dict[str, registry.Upstream], now: float
    ) -> list[registry.Upstream]:
        """Returns the upstreams past their deadlines.

        Only upstreams in state SERVING or LEAVING are returned. Deadlines of
        upstreams that are not in `upstreams` are dropped.
        """
        expired: list[registry.Upstream] = []
        for id, record in upstreams.items():
            if record.state not in (registry.SERVING, registry.LEAVING):
                continue
            deadline = self.upstream_deadlines.setdefault(
                id, now + self.upstream_timeout
            )
            if deadline <= now:
                expired.append(record)
        for id in self.upstream_deadlines.keys() - upstreams.keys():
            del self.upstream_deadlines[id]
        return expired

    def _update_directory(
        self,
        entries: list[controlmessages.EntryVm],
        controls: list[controlmessages.ControlVm],
    ) -> None:
        old = self.directory
        self.directory = controlmessages.Directory(
            old.term, old.revision + 1, entries, controls
        )
