"""The messages between replicas and between VMs, and their codec."""

import msgspec

from pollenseam import settings
from pollenseam import tree


class Message(msgspec.Struct, tag=True, array_like=True):
    """Base of every message."""


class Entry(msgspec.Struct, array_like=True):
    """One entry of the quorum log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        elapsed_ms: Leader's time since its previous entry.
        members: The configuration, on a configuration entry.
        command: Encoded command, on any other entry.
    """

    index: int
    term: int
    elapsed_ms: int = 0
    members: "Members | None" = None
    command: bytes = b""


class Members(msgspec.Struct, array_like=True):
    """A configuration of the quorum: addresses by replica id.

    Attributes:
        voters: Replicas that vote and count.
        learners: Replicas that only receive the log.
    """

    voters: dict[str, str]
    learners: dict[str, str] = {}


class VoteRequest(Message, tag="v"):
    """Asks for a vote; `pre` asks whether one would be given.

    Attributes:
        transfer: Set when the leader itself asked for this election.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool = False


class VoteResponse(Message, tag="va"):
    """Answers a Vote; `term` is the one asked about when granted.

    Attributes:
        silence: Seconds since the voter last heard of a leader.
    """

    term: int
    voter: str
    granted: bool
    is_pre_vote: bool
    seconds_since_contact: float = 0.0


class AppendEntries(Message, tag="a"):
    """Carries entries, or none as a heartbeat.

    Attributes:
        sent_at: Leader's monotonic time in seconds, echoed in the answer.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    entries: list[Entry] = []


class AppendResponse(Message, tag="aa"):
    """Answers an Append.

    Attributes:
        index: Last index known to match and synced, or a hint on refusal.
    """

    term: int
    follower: str
    accepted: bool
    index: int
    sent_at: float


class InstallSnapshot(Message, tag="i"):
    """One chunk of a snapshot.

    Attributes:
        offset: Position of `data` in the snapshot.
        size: Size of the whole snapshot in bytes.
    """

    term: int
    leader: str
    index: int
    last_term: int
    members: Members
    offset: int
    size: int
    data: bytes
    sent_at: float


class InstallResponse(Message, tag="ia"):
    """Answers a chunk; `offset` is where the follower wants the next one."""

    term: int
    follower: str
    index: int
    offset: int
    sent_at: float


class TimeoutNow(Message, tag="t"):
    """Asks a follower to stand for election at once."""

    term: int
    leader: str


AnyMessage = (
    VoteRequest
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | InstallSnapshot
    | InstallResponse
    | TimeoutNow
)


class Batch(msgspec.Struct, array_like=True):
    """Replica messages in sending order, with the sender's logical time.

    Attributes:
        address: Peer address of the sender, which a new learner cannot know.
    """

    sender: str
    address: str
    receiver: str
    logical: int
    messages: list[AnyMessage]


class Fetch(msgspec.Struct, array_like=True):
    """Asks for settings after `index`, waiting up to `wait_ms` for news."""

    vm: str
    index: int
    wait_ms: int
    logical: int


class FetchResponse(msgspec.Struct, array_like=True):
    """Answers a Fetch.

    Attributes:
        index: Index that the receiver is at afterwards.
        age_ms: Age of the settings at the moment of the answer; -1 when
            the sender does not know it.
        deltas: Writes after the asked index; None when `nodes` is whole.
        nodes: The whole tree, when deltas would not do.
        changed_index: Index of the last change in `nodes`.
    """

    index: int
    age_ms: int
    logical: int
    deltas: list[tree.Delta] | None = None
    nodes: dict[str, settings.AnyNode] | None = None
    changed_index: int = 0


class Submit(msgspec.Struct, array_like=True):
    """Hands a command to the leader, directly or through another replica."""

    command: bytes
    hops: int
    logical: int


class SubmitResponse(msgspec.Struct, array_like=True):
    """Answers a Submit; `kind` is set when nothing was decided."""

    outcome: bytes
    kind: str
    detail: str
    logical: int


class ResourceDemand(msgspec.Struct, array_like=True):
    """A VM's demand for one leased resource.

    Attributes:
        resource: Path of the workspace, shift or region.
        held_rate: Rate per second the holder counts as its own now.
        held_burst: Burst the holder counts as its own now.
        demand: Rate per second wanted.
        returned: Tokens given up for others.
        wanted: Tokens needed at once.
        overdraft: Tokens used beyond the share.
    """

    resource: str
    held_rate: float
    held_burst: float
    demanded_rate: float
    returned_tokens: float = 0.0
    demanded_tokens: float = 0.0
    overdrawn_tokens: float = 0.0


class LeaseRequest(msgspec.Struct, array_like=True):
    """A VM's demands, sent to the leader."""

    holder: str
    demands: list[ResourceDemand]
    logical: int


class Share(msgspec.Struct, array_like=True):
    """What a holder may use of one resource.

    Attributes:
        tokens: Tokens handed over at once.
        is_scarce: Whether nothing may be used beyond that.
    """

    resource: str
    rate: float
    burst: float
    tokens: float = 0.0
    is_scarce: bool = True


class LeaseResponse(msgspec.Struct, array_like=True):
    """Answers a Lend.

    Attributes:
        ttl_ms: Validity, counted by the holder from its own send time;
            0 when the sender cannot lend.
        leader: Address of the leader, if another replica was asked.
        scarce: Resources that allow no use beyond a share, all others do;
            None when the sender does not say.
        is_learning: Whether the sender does not know all leases yet.
    """

    ttl_ms: int
    leader: str
    shares: list[Share]
    logical: int
    scarce_resources: list[str] | None = None
    is_learning: bool = False


class Vm(msgspec.Struct, array_like=True):
    """A VM's own record in the membership.

    Attributes:
        name: Name, unique in the fleet.
        incarnation: Start time; a later start overrides an earlier one.
        beat: Counts up while the VM lives.
        state: starting, serving, leaving or gone.
        region: Its region.
        failure_domain: Its failure domain.
        caller_address: Where callers reach it.
        peer_address: Where VMs reach it.
        replica_id: Its replica id, or "".
        age_ms: Age of its settings when it wrote the record.
        index: Index of the settings that it has in force.
        load: Requests in flight over the slots it knows.
    """

    name: str
    incarnation: int
    heartbeat_count: int
    state: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    replica_id: str
    settings_age_ms: int
    settings_index: int
    load: float


class Upstream(msgspec.Struct, array_like=True):
    """An upstream's record in the membership.

    Attributes:
        service: Path of the service.
        name: Name, unique in the service.
        incarnation: Chosen by the upstream; a later one overrides.
        beat: Counts announcements of this incarnation.
        state: starting, serving, leaving or gone.
        address: IP:PORT.
        region: Its region.
        failure_domain: Its failure domain.
        slots: Requests it runs at a time.
        connections: Connections it accepts.
        load: Requests it said it was running.
        ttl_ms: What is left of its time to live at sending.
    """

    service: str
    name: str
    incarnation: int
    heartbeat_count: int
    state: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    load: float
    ttl_ms: int


class VmHeartbeat(msgspec.Struct, array_like=True):
    """A sign of life of a VM whose record the receiver already has."""

    name: str
    incarnation: int
    heartbeat_count: int
    settings_age_ms: int
    settings_index: int
    load: float


class UpstreamHeartbeat(msgspec.Struct, array_like=True):
    """A sign of life of an upstream whose record the receiver has.

    Attributes:
        left_ms: What is left of its time to live at sending.
        load: Requests it said it was running.
    """

    name: str
    incarnation: int
    heartbeat_count: int
    left_ms: int
    load: int


class ServiceHeartbeats(msgspec.Struct, array_like=True):
    """Signs of life of upstreams of one service."""

    service: str
    heartbeats: list[UpstreamHeartbeat]


class Gossip(msgspec.Struct, array_like=True):
    """News of the membership; each piece is passed on a few times only.

    Attributes:
        vms: Records that are new or whose state changed.
        beats: Signs of life.
        upstreams: Records that are new or changed.
        renewals: Signs of life of upstreams.
        whole: Asks the receiver for all of its records in return.
    """

    sender: str
    logical: int
    vms: list[Vm]
    vm_heartbeats: list[VmHeartbeat]
    upstreams: list[Upstream]
    upstream_heartbeats: list[ServiceHeartbeats] = []
    wants_all_records: bool = False


class ReadIndex(msgspec.Struct, array_like=True):
    """Asks for an index that a linearizable read has to wait for."""

    logical: int


class ReplicaRecord(msgspec.Struct, array_like=True):
    """One replica as the leader sees it.

    Attributes:
        id: Replica id.
        address: Peer address.
        role: leader, voter or learner.
        match: Last index known to be synced there; -1 when not known.
    """

    id: str
    address: str
    role: str
    match: int


class ReadIndexResponse(msgspec.Struct, array_like=True):
    """Answers a ReadIndex; `index` is -1 when the receiver cannot tell."""

    index: int
    logical: int
    replicas: list[ReplicaRecord] = []


class ReplicaChange(msgspec.Struct, array_like=True):
    """Asks the leader to add or remove a replica.

    Attributes:
        token_digest: Digest of the operator's token.
        name: VM name, or replica id when removing.
        address: Peer address when adding; "" removes.
    """

    token_digest: str
    name: str
    address: str
    logical: int


class IdentityRequest(msgspec.Struct, array_like=True):
    """Asks a replica who it is, before the first start of the quorum."""

    name: str
    replica_id: str
    logical: int


class IdentityResponse(msgspec.Struct, array_like=True):
    """Answers a ProbeReplica; `members` is None before the first start."""

    replica_id: str
    members: Members | None
    logical: int


def encode(message: msgspec.Struct) -> bytes:
    """Returns the bytes of a message."""
    return _encoder.encode(message)


_encoder = msgspec.msgpack.Encoder()
