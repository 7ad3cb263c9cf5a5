"""What entry VMs observe at upstreams, exchanged through the leader.

Each renewal of an entry VM carries what it observed since the last one; the
leader's answer carries what other VMs observed. All VMs have the same records
within about two renewals. A new leader receives the records that the VMs have.
"""

from collections.abc import Callable

import msgspec

from pollenseam import crashes
from pollenseam import demands
from pollenseam import scarcityboard
from pollenseam import scarcitymessages
from pollenseam import suspects
from pollenseam import upstreamstatements


class Revisions(msgspec.Struct, array_like=True, frozen=True):
    """Which of a leader's records an entry VM has received.

    Attributes:
        term: Term of the leader.
        statements: Revision of the upstreams' statements.
        crashes: Revision of the record of crashes.
        demands: Revision of the regions' shares of the demand.
    """

    term: int = 0
    statements: int = 0
    crashes: int = 0
    demands: int = 0


class Report(msgspec.Struct, array_like=True, frozen=True):
    """Observations that an entry VM sends to the leader.

    Attributes:
        known: What the VM has received.
        statements: What upstreams stated in their responses.
        crashed_runs: Requests that an upstream had when it ended.
        succeeded: Fingerprints of suspects that ran successfully.
        blocks: Blocks that the VM knows, if the leader may be new.
        loads: What the VM saw of services that may be short of room.
        rates: Requests that the VM gets.
    """

    known: Revisions = Revisions()
    statements: tuple[upstreamstatements.Statement, ...] = ()
    crashed_runs: tuple[crashes.CrashReport, ...] = ()
    succeeded: tuple[bytes, ...] = ()
    blocks: tuple[crashes.Suspicion, ...] = ()
    loads: tuple[scarcitymessages.ServiceLoad, ...] = ()
    rates: tuple[demands.Rate, ...] = ()


class Update(msgspec.Struct, array_like=True):
    """Observations of all VMs that the leader sends to an entry VM.

    Attributes:
        revisions: What the VM has received with this update.
        statements: Statements of upstreams that changed since.
        suspicions: Suspected requests that changed since.
        rooms: Services that may be short of room in the VM's region.
        demand_shares: Regions' shares of the demand that changed since.
    """

    revisions: Revisions
    statements: list[upstreamstatements.Statement]
    suspicions: list[crashes.Suspicion]
    rooms: list[scarcitymessages.ServiceRoom] = []
    demand_shares: list[demands.Shares] = []


class Sender:
    """The entry VM that sends a report.

    Attributes:
        name: Name of the VM.
        region: Region of the VM.
    """

    __slots__ = ("name", "region")

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.region = region


class FleetView:
    """What one entry VM knows of the observations of all VMs.

    Attributes:
        statements: What upstreams stated in their responses.
        watchlist: Requests that may crash upstreams.
        demand_meter: Counts the requests that this VM gets.
        demand_view: What each region asks for.
        shares_demand: Whether this VM reports its requests.
        known: What was received from the leader.
    """

    __slots__ = (
        "statements",
        "watchlist",
        "demand_meter",
        "demand_view",
        "shares_demand",
        "known",
    )

    def __init__(self) -> None:
        self.statements = upstreamstatements.Table()
        self.watchlist = suspects.Watchlist()
        self.demand_meter = demands.Meter()
        self.demand_view = demands.View()
        self.shares_demand = False
        self.known = Revisions()

    def build_report(
        self,
        is_full: bool,
        now: float,
        loads: tuple[scarcitymessages.ServiceLoad, ...] = (),
    ) -> Report:
        """Returns the report of the next renewal.

        Args:
            is_full: Whether to send all records, as the leader may be new.
            now: Time in seconds.
            loads: Loads of services that may be short of room.
        """
        watchlist = self.watchlist
        watchlist.expire(now)
        return Report(
            self.known,
            tuple(self.statements.unreported(is_full, now)),
            tuple(watchlist.reports(is_full, now)),
            tuple(watchlist.succeeded),
            tuple(watchlist.blocks(now)) if is_full else (),
            loads,
            tuple(self.demand_meter.rates(now)) if self.shares_demand else (),
        )

    def receive(
        self, report: Report, update: Update, now: float
    ) -> list[upstreamstatements.Statement]:
        """Adopts the leader's answer to a report.

        Returns:
            Statements of other VMs that changed the rate in force.
        """
        self.known = update.revisions
        self.statements.mark_reported(report.statements)
        changed = self.statements.adopt(update.statements, now)
        self.watchlist.mark_reported(report.crashed_runs, report.succeeded)
        self.watchlist.adopt(update.suspicions, now)
        self.demand_view.adopt(update.demand_shares, now)
        return changed


class Board:
    """What the leader knows of the observations of all VMs.

    Attributes:
        statements: What upstreams stated in their responses.
        blocklist: Requests that may crash upstreams.
        on_block: Called with the fingerprint of each request that is
            blocked.
        scarcity_board: Loads of services that may be short of room.
        demand_board: What each region asks for.
    """

    __slots__ = (
        "statements",
        "blocklist",
        "on_block",
        "scarcity_board",
        "demand_board",
    )

    def __init__(self, on_block: Callable[[bytes], None]) -> None:
        self.statements = upstreamstatements.Table()
        self.blocklist = crashes.Blocklist()
        self.on_block = on_block
        self.scarcity_board = scarcityboard.Board()
        self.demand_board = demands.Board()

    def answer(
        self,
        report: Report,
        term: int,
        now: float,
        sender: Sender | None = None,
    ) -> Update:
        """Adopts a VM's report and returns what the VM does not know.

        Args:
            report: What the VM observed.
            term: Term of this leader.
            now: Time in seconds.
            sender: The entry VM; None if the VM shares no room.
        """
        self.statements.adopt(report.statements, now)
        self._adopt_crashes(report, now)
        known = report.known if report.known.term == term else Revisions()
        demand_shares: list[demands.Shares] = []
        if sender is not None:
            board = self.demand_board
            board.record(sender.name, sender.region, report.rates, now)
            demand_shares = board.changes_since(known.demands, now)
        revisions = Revisions(
            term,
            self.statements.records.revision,
            self.blocklist.suspects.revision,
            self.demand_board.revision,
        )
        return Update(
            revisions,
            self.statements.changes_since(known.statements, now),
            self.blocklist.changes_since(known.crashes, now),
            self._exchange_loads(report, sender, now),
            demand_shares,
        )

    def _exchange_loads(
        self, report: Report, sender: Sender | None, now: float
    ) -> list[scarcitymessages.ServiceRoom]:
        if sender is None:
            return []
        board = self.scarcity_board
        board.record(sender.name, sender.region, report.loads, now)
        return board.rooms(sender.region, now)

    def _adopt_crashes(self, report: Report, now: float) -> None:
        blocklist = self.blocklist
        blocklist.expire(now)
        for suspicion in report.blocks:
            blocklist.restore(suspicion, now)
        for crashed_run in report.crashed_runs:
            blocklist.record_crash(crashed_run, now)
        for fingerprint in report.succeeded:
            blocklist.record_success(fingerprint, now)
        for fingerprint in blocklist.block(now):
            self.on_block(fingerprint)
