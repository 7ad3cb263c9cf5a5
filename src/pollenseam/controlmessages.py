"""The messages by which VMs follow the registry, join and hold shares."""

import msgspec

from pollenseam import messages
from pollenseam import peers
from pollenseam import registry


class EntryVm(msgspec.Struct, array_like=True):
    """An entry VM as the directory names it.

    Attributes:
        name: Its name.
        started_ms: Unix milliseconds of its start.
        address: IP:PORT for callers.
        region: Its region.
        failure_domain: Its failure domain.
        is_serving: Whether callers should come.
    """

    name: str
    started_ms: int
    address: str
    region: str
    failure_domain: str
    is_serving: bool


class ControlVm(msgspec.Struct, array_like=True):
    """A control VM.

    Attributes:
        replica_id: Its replica.
        address: IP:PORT for other VMs.
        region: Its region.
        failure_domain: Its failure domain.
    """

    replica_id: str
    address: str
    region: str
    failure_domain: str


class Directory(msgspec.Struct, array_like=True):
    """Who is there, as the leader knows it.

    Attributes:
        term: Term of the leader.
        count: Counts the leader's changes of it.
    """

    term: int = 0
    revision: int = 0
    entries: list[EntryVm] = []
    controls: list[ControlVm] = []

    @property
    def version(self) -> tuple[int, int]:
        """Position among all directories."""
        return self.term, self.revision


class Watch(msgspec.Struct, array_like=True):
    """Asks for changes of the registry after `index`.

    Attributes:
        index: Index of the last change that the sender has; -1 wants none.
        wait_ms: How long the answer may wait for news.
        directory: Version of the directory that the sender has.
        control: The sender's record, when it is a control VM.
        heard: Upstreams that announced themselves to the sender lately.
    """

    index: int
    wait_ms: int
    directory: tuple[int, int]
    logical: int = 0
    control: ControlVm | None = None
    announced_ids: list[str] = []


class WatchResponse(msgspec.Struct, array_like=True):
    """Answers a Watch.

    Attributes:
        index: Index up to which the answer is complete.
        age_ms: Age of what it says at the moment of the answer; -1 when
            the sender does not know it.
        leader: Address of the leader, or "".
        changes: Changes after the asked index; None when `image` is whole.
        image: The whole registry, when changes would not do.
        directory: The directory, when the asker's is another.
        is_member: Whether the asking control VM's replica is in the quorum.
    """

    index: int
    age_ms: int
    leader: str
    logical: int = 0
    changes: list[registry.Change] | None = None
    image: registry.Image | None = None
    directory: Directory | None = None
    is_member: bool = True


class Renew(msgspec.Struct, array_like=True):
    """An entry VM's sign of life to the leader, with its demands.

    Attributes:
        entry: The sender's record.
        asks: Its demands.
        is_whole: Whether `asks` names all that the sender holds.
    """

    entry: EntryVm
    demands: list[messages.ResourceDemand]
    logical: int = 0
    is_complete: bool = False


class Join(msgspec.Struct, array_like=True):
    """Asks the leader to take a replica into the quorum."""

    control: ControlVm
    logical: int = 0


class JoinResponse(msgspec.Struct, array_like=True):
    """Answers a Join; `leader` is set when another replica leads."""

    is_leader: bool
    leader: str
    logical: int = 0


WATCH = peers.Method("Watch", Watch, WatchResponse)
RENEW = peers.Method("Renew", Renew, messages.LeaseResponse)
JOIN = peers.Method("Join", Join, JoinResponse)
