"""Messages from entry VMs and control VMs to control VMs.

VMs use them to follow the registry, to renew leases and to join the quorum.
Every struct is an array on the wire, so the order of fields is fixed.
"""

import msgspec

from pollenseam import bounds
from pollenseam import messages
from pollenseam import observations
from pollenseam import peers
from pollenseam import registry


class EntryVm(msgspec.Struct, array_like=True):
    """Record of an entry VM in the directory.

    Attributes:
        name: Name of the VM.
        started_ms: Start of the VM in Unix milliseconds.
        address: IP:PORT for callers.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        is_serving: Whether callers should send requests to the VM.
        relay_port: Port, at the IP of `address`, at which the VM sends calls of
            other VMs; 0 if it does not.
        is_cut_off: Whether other VMs reach upstreams that the VM does not.
    """

    name: str
    started_ms: int
    address: str
    region: str
    failure_domain: str
    is_serving: bool
    relay_port: int = 0
    is_cut_off: bool = False

    @property
    def relay_address(self) -> str:
        """IP:PORT at which the VM sends calls of other VMs, or ""."""
        if not self.relay_port:
            return ""
        return f"{self.address.rpartition(':')[0]}:{self.relay_port}"


class ControlVm(msgspec.Struct, array_like=True):
    """Record of a control VM in the directory.

    Attributes:
        replica_id: Id of the VM's replica.
        address: IP:PORT for other VMs.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
    """

    replica_id: str
    address: str
    region: str
    failure_domain: str


class Directory(msgspec.Struct, array_like=True):
    """The VMs of the fleet, as tracked by the leader.

    Attributes:
        term: Term of the leader.
        revision: Number of changes to the directory in that term.
        entries: Records of the entry VMs.
        controls: Records of the control VMs.
    """

    term: int = 0
    revision: int = 0
    entries: list[EntryVm] = []
    controls: list[ControlVm] = []

    @property
    def version(self) -> tuple[int, int]:
        """Term and revision; a newer directory has a higher version."""
        return self.term, self.revision

    def replaces(self, other: "Directory") -> bool:
        """Returns whether this directory is newer than another one.

        A version that no leader can reach would keep all later ones out.
        """
        is_possible = max(self.version) <= bounds.MAX_INTEGER
        return is_possible and self.version > other.version


class Watch(msgspec.Struct, array_like=True):
    """Request for changes of the registry.

    Attributes:
        index: Index as of which the sender knew everything when the transfer
            in progress began; -1 requests no changes.
        wait_ms: Milliseconds that the receiver may wait for a change.
        directory: Version of the directory that the sender has.
        logical: Logical clock of the sender.
        control: Record of the sender if it is a control VM.
        announced_ids: Ids of upstreams that announced themselves to the
            sender since its last report.
        after: Position of the last record that the sender has received.
    """

    index: int
    wait_ms: int
    directory: tuple[int, int]
    logical: int = 0
    control: ControlVm | None = None
    announced_ids: list[str] = []
    after: registry.Position = registry.Position()


class WatchResponse(msgspec.Struct, array_like=True):
    """Response to a Watch.

    Attributes:
        index: Index of the sender's state.
        age_ms: Age in milliseconds of the sender's state at the time of the
            response; -1 if unknown.
        leader: Address of the leader, or "" if unknown.
        logical: Logical clock of the sender.
        page: Records after the requested position; None if no changes were
            requested.
        directory: The directory, if its version differs from the requested
            one.
        is_member: Whether the replica of the control VM that sent the request
            is in the quorum. Always true for entry VMs.
    """

    index: int
    age_ms: int
    leader: str
    logical: int = 0
    page: registry.Page | None = None
    directory: Directory | None = None
    is_member: bool = True


class Renew(msgspec.Struct, array_like=True):
    """Heartbeat of an entry VM to the leader, with its demands.

    Attributes:
        entry: Record of the sender.
        demands: Demands of the sender for workspaces' rates.
        logical: Logical clock of the sender.
        is_complete: Whether `demands` includes all shares of the sender.
        observed: What the sender observed at upstreams.
    """

    entry: EntryVm
    demands: list[messages.ResourceDemand]
    logical: int = 0
    is_complete: bool = False
    observed: observations.Report = observations.Report()


class Join(msgspec.Struct, array_like=True):
    """Request to the leader to add a replica to the quorum.

    Attributes:
        control: Record of the control VM that runs the replica.
        logical: Logical clock of the sender.
    """

    control: ControlVm
    logical: int = 0


class JoinResponse(msgspec.Struct, array_like=True):
    """Response to a Join.

    Attributes:
        is_leader: Whether the sender leads and handled the request.
        leader: Address of the leader if another replica leads, or "".
        logical: Logical clock of the sender.
    """

    is_leader: bool
    leader: str
    logical: int = 0


class Borrow(msgspec.Struct, array_like=True):
    """Request for tokens of a workspace's reserve.

    Attributes:
        resource: Name of the workspace.
        tokens: Tokens that the sender needs at once.
        logical: Logical clock of the sender.
    """

    resource: str
    tokens: float
    logical: int = 0


class BorrowResponse(msgspec.Struct, array_like=True):
    """Response to a Borrow.

    Attributes:
        tokens: Whole tokens that the receiver may use.
        leader: Address of the leader, or "" if unknown.
        logical: Logical clock of the sender.
        is_lending: Whether the sender lends from this reserve now; without
            tokens, its reserve is empty.
    """

    tokens: float
    leader: str
    logical: int = 0
    is_lending: bool = True


def check_record(record: EntryVm | ControlVm) -> None:
    """Checks the record of a VM before it becomes part of the directory.

    Raises:
        RefusedError: A value is out of bounds.
    """
    bounds.check("record of a VM", record)


def is_valid_demand(demand: messages.ResourceDemand) -> bool:
    """Returns whether all parts of a demand are amounts.

    The demands of one VM count for the shares of all others.
    """
    amounts = (
        demand.returned_tokens,
        demand.demanded_tokens,
        demand.overdrawn_tokens,
    )
    return 0 <= demand.demanded_rate <= bounds.MAX_FLOAT and all(
        abs(amount) <= bounds.MAX_FLOAT for amount in amounts
    )


WATCH = peers.Method("Watch", Watch, WatchResponse)
RENEW = peers.Method("Renew", Renew, messages.LeaseResponse)
JOIN = peers.Method("Join", Join, JoinResponse)
BORROW = peers.Method("Borrow", Borrow, BorrowResponse)
