"""Who is alive, as the leader hears it: entry VMs, control VMs, upstreams."""

from collections.abc import Iterable

from pollenseam import controlmessages
from pollenseam import leases
from pollenseam import messages
from pollenseam import registry

# An entry VM that renews every half second has missed four by then.
ENTRY_TIMEOUT_SECONDS = 2.5
# Announcements that may be missed before an upstream counts as lost.
MISSED_ANNOUNCEMENTS = 4


class LivenessTracker:
    """The leader's directory and the deadlines behind it.

    Attributes:
        directory: What is passed on to all VMs.
        entry_deadlines: Time at which an entry VM counts as gone, by name.
        upstream_deadlines: Time at which an upstream counts as lost, by id.
        upstream_seconds: Silence after which an upstream counts as lost.
    """

    __slots__ = (
        "directory",
        "entry_deadlines",
        "upstream_deadlines",
        "upstream_timeout",
    )

    def __init__(self, announce_seconds: float) -> None:
        self.directory = controlmessages.Directory()
        self.entry_deadlines: dict[str, float] = {}
        self.upstream_deadlines: dict[str, float] = {}
        self.upstream_timeout = announce_seconds * MISSED_ANNOUNCEMENTS

    def start_term(
        self, term: int, upstreams: Iterable[registry.Upstream], now: float
    ) -> None:
        """Starts counting anew, from what the leader before passed on."""
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
        """Takes over a later directory from the leader."""
        if directory.version > self.directory.version:
            self.directory = directory

    def record_entry(self, entry: controlmessages.EntryVm, now: float) -> None:
        """Notes a sign of life of an entry VM."""
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
        """Notes where a control VM stands."""
        controls = {
            known.replica_id: known for known in self.directory.controls
        }
        if controls.get(control.replica_id) != control:
            controls[control.replica_id] = control
            self._update_directory(
                self.directory.entries, list(controls.values())
            )

    def record_upstreams(self, ids: Iterable[str], now: float) -> None:
        """Notes signs of life of upstreams."""
        for id in ids:
            self.upstream_deadlines[id] = now + self.upstream_timeout

    def remove_expired(self, members: messages.Members, now: float) -> None:
        """Takes out entry VMs that fell silent and replicas that left."""
        ended = {n for n, d in self.entry_deadlines.items() if d <= now}
        known = members.voters.keys() | members.learners.keys()
        entries = [e for e in self.directory.entries if e.name not in ended]
        controls = [c for c in self.directory.controls if c.replica_id in known]
        for name in ended:
            del self.entry_deadlines[name]
        old = self.directory
        if len(entries) < len(old.entries) or len(controls) < len(old.controls):
            self._update_directory(entries, controls)

    def expired_upstreams(
        self, upstreams: dict[str, registry.Upstream], now: float
    ) -> list[registry.Upstream]:
        """Returns upstreams in use that have been silent for too long."""
        found: list[registry.Upstream] = []
        for id, record in upstreams.items():
            if record.state not in (registry.SERVING, registry.LEAVING):
                continue
            deadline = self.upstream_deadlines.setdefault(
                id, now + self.upstream_timeout
            )
            if deadline <= now:
                found.append(record)
        for id in self.upstream_deadlines.keys() - upstreams.keys():
            del self.upstream_deadlines[id]
        return found

    def _update_directory(
        self,
        entries: list[controlmessages.EntryVm],
        controls: list[controlmessages.ControlVm],
    ) -> None:
        old = self.directory
        self.directory = controlmessages.Directory(
            old.term, old.revision + 1, entries, controls
        )
