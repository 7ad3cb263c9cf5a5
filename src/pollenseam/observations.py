"""What entry VMs observe at upstreams, exchanged through the leader.

Each renewal of an entry VM carries what it observed since the last one; the
leader's answer carries what other VMs observed. All VMs have the same records
within about two renewals. A new leader receives the records that the VMs have.
"""

import msgspec

from pollenseam import statedlimits


class Report(msgspec.Struct, array_like=True, frozen=True):
    """Observations that an entry VM sends to the leader.

    Attributes:
        known_term: Term of the leader whose update was received last.
        known_revision: Revision of the update that was received last.
        stated_limits: Rates stated by upstreams.
    """

    known_term: int = 0
    known_revision: int = 0
    stated_limits: tuple[statedlimits.StatedLimit, ...] = ()


class Update(msgspec.Struct, array_like=True):
    """Observations of all VMs that the leader sends to an entry VM.

    Attributes:
        term: Term of the leader.
        revision: Revision of the leader's records.
        stated_limits: Rates stated by upstreams that changed after the
            revision that the VM knows.
    """

    term: int
    revision: int
    stated_limits: list[statedlimits.StatedLimit]


class Exchange:
    """An entry VM's side of the exchange.

    Attributes:
        stated_limits: Rates stated by upstreams.
        known_term: Term of the last update.
        known_revision: Revision of the last update.
    """

    __slots__ = ("stated_limits", "known_term", "known_revision")

    def __init__(self) -> None:
        self.stated_limits = statedlimits.Table()
        self.known_term = 0
        self.known_revision = 0

    def build_report(self, is_full: bool, now: float) -> Report:
        """Returns the report of the next renewal.

        Args:
            is_full: Whether to send all records, as the leader may be new.
            now: Time in seconds.
        """
        return Report(
            self.known_term,
            self.known_revision,
            tuple(self.stated_limits.unreported(is_full, now)),
        )

    def receive(self, report: Report, update: Update, now: float) -> None:
        """Adopts the leader's answer to a report."""
        self.known_term = update.term
        self.known_revision = update.revision
        self.stated_limits.mark_reported(report.stated_limits)
        self.stated_limits.adopt(update.stated_limits, now)


class Board:
    """The leader's side of the exchange.

    Attributes:
        stated_limits: Rates stated by upstreams.
    """

    __slots__ = ("stated_limits",)

    def __init__(self) -> None:
        self.stated_limits = statedlimits.Table()

    def answer(self, report: Report, term: int, now: float) -> Update:
        """Adopts an entry VM's report and returns what it does not know."""
        self.stated_limits.adopt(report.stated_limits, now)
        since = report.known_revision if report.known_term == term else 0
        return Update(
            term,
            self.stated_limits.revision,
            self.stated_limits.changes_since(since, now),
        )
