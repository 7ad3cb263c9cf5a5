"""The messages between replicas and between VMs, and their encoding.

All messages are encoded as MessagePack arrays: the wire format has the order
of the fields and the tags, not the names. `logical` in any message is the
sender's logical time (Lamport clock).
"""

import msgspec

from pollenseam import observations
from pollenseam import settings
from pollenseam import tree


class Message(msgspec.Struct, tag=True, array_like=True):
    """Base class of the messages between replicas of the quorum log."""


class Entry(msgspec.Struct, array_like=True):
    """One entry of the quorum log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        elapsed_ms: Leader's time since its previous entry, in milliseconds.
        members: New configuration, or None.
        command: Encoded command; b"" without one.
    """

    index: int
    term: int
    elapsed_ms: int = 0
    members: "Members | None" = None
    command: bytes = b""


class Members(msgspec.Struct, array_like=True):
    """A configuration of the quorum.

    Attributes:
        voters: Peer addresses of the replicas that vote and count towards a
            majority, by replica id.
        learners: Peer addresses of the replicas that only receive the log, by
            replica id.
        failure_domains: Failure domains of the replicas, by replica id. Those
            of VMs of an earlier build may be missing.
    """

    voters: dict[str, str]
    learners: dict[str, str] = {}
    failure_domains: dict[str, str] = {}

    def without(self, id: str) -> "Members":
        """Returns the configuration without one replica."""
        return Members(
            _without(self.voters, id),
            _without(self.learners, id),
            _without(self.failure_domains, id),
        )

    def with_learner(self, id: str, address: str) -> "Members":
        """Returns the configuration with one more learner."""
        learners = {**self.learners, id: address}
        return Members(self.voters, learners, self.failure_domains)

    def with_promoted(self, id: str) -> "Members":
        """Returns the configuration with a learner as a voter."""
        learners = dict(self.learners)
        voters = {**self.voters, id: learners.pop(id)}
        return Members(voters, learners, self.failure_domains)

    def with_failure_domains(self, known: dict[str, str]) -> "Members":
        """Returns the configuration with the failure domains of its replicas.

        Args:
            known: Failure domains of any replicas, by replica id.
        """
        failure_domains = {
            id: known.get(id) or self.failure_domains.get(id, "")
            for id in [*self.voters, *self.learners]
        }
        return Members(
            self.voters,
            self.learners,
            {id: domain for id, domain in failure_domains.items() if domain},
        )


def _without(values: dict[str, str], id: str) -> dict[str, str]:
    return {k: v for k, v in values.items() if k != id}


class VoteRequest(Message, tag="v"):
    """Asks for a vote (Raft RequestVote).

    Attributes:
        term: Term of the election.
        candidate: Replica id of the sender.
        last_index: Index of the candidate's last log entry.
        last_term: Term of that entry.
        is_pre_vote: Whether this only asks if the vote would be granted.
        is_transfer: Whether the leader started this election, to transfer its
            leadership.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool = False


class VoteResponse(Message, tag="va"):
    """Answers a VoteRequest.

    Attributes:
        term: Term of the request when granted, else the voter's own term.
        voter: Replica id of the sender.
        granted: Whether the vote is granted.
        is_pre_vote: Copied from the request.
        seconds_since_contact: Seconds since the voter last heard from a
            leader or stopped being the leader.
    """

    term: int
    voter: str
    granted: bool
    is_pre_vote: bool
    seconds_since_contact: float = 0.0


class AppendEntries(Message, tag="a"):
    """Carries log entries; without entries, a heartbeat.

    Attributes:
        term: The leader's term.
        leader: Replica id of the sender.
        previous_index: Index of the entry before `entries`.
        previous_term: Term of that entry.
        commit_index: Last index that the leader knows to be committed.
        sent_at: Leader's monotonic time in seconds, copied to the response.
        entries: Entries to append.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    commit_index: int
    sent_at: float
    entries: list[Entry] = []


class AppendResponse(Message, tag="aa"):
    """Answers an AppendEntries.

    Attributes:
        term: The follower's term.
        follower: Replica id of the sender.
        accepted: Whether the follower's log matched at `previous_index`.
        index: If accepted, the last index known to match the leader's log and
            to be synced; otherwise, a hint for the index to try next.
        sent_at: Copied from the request.
    """

    term: int
    follower: str
    accepted: bool
    index: int
    sent_at: float


class InstallSnapshot(Message, tag="i"):
    """One chunk of a snapshot.

    Attributes:
        term: The leader's term.
        leader: Replica id of the sender.
        index: Index of the last entry that the snapshot covers.
        last_term: Term of that entry.
        members: Configuration in force at that index.
        offset: Position of `data` in the snapshot, in bytes.
        size: Size of the whole snapshot in bytes.
        data: Bytes of the chunk.
        sent_at: Leader's monotonic time in seconds, copied to the response.
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
    """Answers an InstallSnapshot.

    Attributes:
        term: The follower's term.
        follower: Replica id of the sender.
        index: Copied from the request.
        offset: Position, in bytes, of the chunk to send next.
        sent_at: Copied from the request.
    """

    term: int
    follower: str
    index: int
    offset: int
    sent_at: float


class TimeoutNow(Message, tag="t"):
    """Asks a follower to start an election at once, to become the leader."""

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
    """Messages from one replica to another, in sending order.

    Attributes:
        sender: Replica id of the sender.
        address: Peer address of the sender, which a new learner does not have
            in its configuration.
        receiver: Replica id of the receiver.
        messages: The messages.
    """

    sender: str
    address: str
    receiver: str
    logical: int
    messages: list[AnyMessage]


class Fetch(msgspec.Struct, array_like=True):
    """Asks for changes of the settings.

    Attributes:
        vm: Name of the asking VM.
        index: Index of the settings that it has.
        wait_ms: Longest wait for a change, in milliseconds, when there is
            none after `index`.
    """

    vm: str
    index: int
    wait_ms: int
    logical: int


class FetchResponse(msgspec.Struct, array_like=True):
    """Answers a Fetch.

    Attributes:
        index: Index of the sender's settings.
        age_ms: Age of the settings when the response was sent; -1 when the
            sender does not know it.
        deltas: Writes after the index of the request, or None when `nodes` is
            set.
        nodes: The complete tree, when the index of the request is 0 or too
            old for `deltas`; otherwise None.
        changed_index: Index of the last change in `nodes`.
    """

    index: int
    age_ms: int
    logical: int
    deltas: list[tree.Delta] | None = None
    nodes: dict[str, settings.AnyNode] | None = None
    changed_index: int = 0


class Submit(msgspec.Struct, array_like=True):
    """Submits a command to the leader, directly or through another replica.

    Attributes:
        command: Encoded command.
        hops: How many times replicas may still forward the request.
    """

    command: bytes
    hops: int
    logical: int


class SubmitResponse(msgspec.Struct, array_like=True):
    """Answers a Submit or a ReplicaChange.

    Attributes:
        outcome: Encoded outcome of the command.
        kind: Kind of error when there is no outcome, otherwise "".
        detail: Text of that error. When the sender does not lead, the
            leader's address, or "" when unknown.
    """

    outcome: bytes
    kind: str
    detail: str
    logical: int


class ResourceDemand(msgspec.Struct, array_like=True):
    """A VM's demand for one leased resource.

    Attributes:
        resource: Path of the workspace, shift or region.
        held_rate: Rate of the holder's present share, per second.
        held_burst: Burst of the holder's present share, in tokens.
        demanded_rate: Rate that the holder needs, per second.
        returned_tokens: Tokens that the holder gives back for others.
        demanded_tokens: Tokens that the holder needs at once.
        overdrawn_tokens: Tokens that the holder used beyond its share.
    """

    resource: str
    held_rate: float
    held_burst: float
    demanded_rate: float
    returned_tokens: float = 0.0
    demanded_tokens: float = 0.0
    overdrawn_tokens: float = 0.0


class LeaseRequest(msgspec.Struct, array_like=True):
    """Asks the leader for leases.

    Attributes:
        holder: Name of the asking VM.
        demands: One demand for each resource.
        observed: What the asking VM observed at upstreams.
    """

    holder: str
    demands: list[ResourceDemand]
    logical: int
    observed: observations.Report = observations.Report()


class Share(msgspec.Struct, array_like=True):
    """The part of one resource that a holder may use under its lease.

    Attributes:
        resource: Path of the workspace, shift or region.
        rate: Rate per second.
        burst: Burst in tokens.
        tokens: Tokens granted at once.
        is_scarce: Whether nothing may be used beyond the share, as the lender
            has no tokens for overdrafts.
    """

    resource: str
    rate: float
    burst: float
    tokens: float = 0.0
    is_scarce: bool = True


class LeaseResponse(msgspec.Struct, array_like=True):
    """Answers a LeaseRequest.

    Attributes:
        ttl_ms: Validity in milliseconds, counted by the holder from the time
            at which it sent the request; 0 when the sender cannot lend.
        leader: Address of the leader, if another replica was asked.
        shares: Shares of the resources in the request.
        scarce_resources: Resources of which nothing may be used beyond a
            share, as opposed to all others; None when the sender does not
            report them.
        is_recovering: Whether the sender, a new leader, does not have a record
            of all leases in force yet.
        observed: What other VMs observed at upstreams; None when the
            sender does not exchange it.
    """

    ttl_ms: int
    leader: str
    shares: list[Share]
    logical: int
    scarce_resources: list[str] | None = None
    is_recovering: bool = False
    observed: observations.Update | None = None


class Vm(msgspec.Struct, array_like=True):
    """A VM's record in the membership, written by the VM itself.

    Attributes:
        name: Name, unique in the fleet.
        incarnation: Start time; a later start overrides an earlier one.
        heartbeat_count: Number of heartbeats in this incarnation.
        state: starting, serving, leaving or gone.
        region: The VM's region.
        failure_domain: The VM's failure domain.
        caller_address: Address for callers.
        peer_address: Address for other VMs.
        replica_id: Id of the VM's replica, or "" without one.
        settings_age_ms: Age of the VM's settings when it wrote the record.
        settings_index: Index of the settings in force on the VM.
        load: Requests in flight, divided by the upstreams' slots in the VM's
            region; 1.0 at most.
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
        incarnation: Chosen by the upstream; a later one overrides an earlier
            one.
        heartbeat_count: Number of announcements in this incarnation.
        state: starting, serving, leaving or gone.
        address: IP:PORT.
        region: The upstream's region.
        failure_domain: The upstream's failure domain.
        slots: Requests that the upstream runs at a time.
        connections: Connections that the upstream accepts.
        load: Requests that the upstream reported to be running.
        ttl_ms: Time to live that was left when the record was sent.
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

    @property
    def path(self) -> str:
        """Path of the service and name, unique in the fleet."""
        return f"{self.service}/{self.name}"


class VmHeartbeat(msgspec.Struct, array_like=True):
    """A heartbeat of a VM whose record the receiver already has.

    Attributes:
        name: Name of the VM.
        incarnation: Incarnation of the record.
        heartbeat_count: Number of heartbeats in this incarnation.
        settings_age_ms: Age of the VM's settings at the heartbeat.
        settings_index: Index of the settings in force on the VM.
        load: The VM's load, as in `Vm`.
    """

    name: str
    incarnation: int
    heartbeat_count: int
    settings_age_ms: int
    settings_index: int
    load: float


class UpstreamHeartbeat(msgspec.Struct, array_like=True):
    """A heartbeat of an upstream whose record the receiver already has.

    Attributes:
        name: Name of the upstream.
        incarnation: Incarnation of the record.
        heartbeat_count: Number of announcements in this incarnation.
        left_ms: Time to live that was left when the heartbeat was sent.
        load: Requests that the upstream reported to be running.
    """

    name: str
    incarnation: int
    heartbeat_count: int
    left_ms: int
    load: int


class ServiceHeartbeats(msgspec.Struct, array_like=True):
    """Heartbeats of the upstreams of one service.

    Attributes:
        service: Path of the service.
        heartbeats: The heartbeats.
    """

    service: str
    heartbeats: list[UpstreamHeartbeat]


class ReachReport(msgspec.Struct, array_like=True):
    """Services that a VM does not reach although others do.

    Attributes:
        vm: Name of the VM, which is the author.
        incarnation: Incarnation of the VM.
        number: Number of the report in this incarnation, ascending.
        services: Paths of the services; none if the VM reaches all again.
        left_ms: Time in milliseconds for which the report counted when it was
            sent.
    """

    vm: str
    incarnation: int
    number: int
    services: list[str]
    left_ms: int


class Gossip(msgspec.Struct, array_like=True):
    """Updates of the membership; each VM forwards an update a few times only.

    Attributes:
        sender: Name of the sending VM.
        vms: The sender's own record, and records of VMs that are new or whose
            state changed.
        vm_heartbeats: Heartbeats of VMs.
        upstreams: Records of upstreams that are new or changed.
        upstream_heartbeats: Heartbeats of upstreams, by service.
        wants_all_records: Whether the sender asks for all records of the
            receiver in return.
        reach_reports: Reports of VMs that do not reach a service. VMs of
            earlier versions ignore them.
    """

    sender: str
    logical: int
    vms: list[Vm]
    vm_heartbeats: list[VmHeartbeat]
    upstreams: list[Upstream]
    upstream_heartbeats: list[ServiceHeartbeats] = []
    wants_all_records: bool = False
    reach_reports: list[ReachReport] = []


class ReadIndex(msgspec.Struct, array_like=True):
    """Asks the leader for the index that a linearizable read waits for."""

    logical: int


class ReplicaRecord(msgspec.Struct, array_like=True):
    """State of one replica, as another one reports it.

    Attributes:
        id: Replica id.
        address: Peer address.
        role: leader, voter or learner.
        match: Last index known to be synced on the replica; -1 when unknown.
    """

    id: str
    address: str
    role: str
    match: int


class ReadIndexResponse(msgspec.Struct, array_like=True):
    """Answers a ReadIndex.

    Attributes:
        index: The index, or -1 when the sender is not a confirmed leader.
        replicas: The replicas in the leader's configuration.
    """

    index: int
    logical: int
    replicas: list[ReplicaRecord] = []


class ReplicaChange(msgspec.Struct, array_like=True):
    """Asks the leader to add or remove a replica.

    Attributes:
        token_digest: Digest of the operator's token.
        name: Name of the VM to add, or id of the replica to remove.
        address: Peer address of the replica to add, or "" to remove one.
    """

    token_digest: str
    name: str
    address: str
    logical: int


class IdentityRequest(msgspec.Struct, array_like=True):
    """Asks a replica for its id and configuration.

    Sent to create or find the quorum, and to add a replica to it.

    Attributes:
        name: Name or address of the asking VM.
        replica_id: Replica id of the asking VM.
    """

    name: str
    replica_id: str
    logical: int


class IdentityResponse(msgspec.Struct, array_like=True):
    """Answers an IdentityRequest.

    Attributes:
        replica_id: Replica id of the sender, or "" without a replica.
        members: Configuration of the quorum, or None when the sender has none
            yet.
        failure_domain: Failure domain of the sender, or "" if it is an earlier
            build or does not need it.
    """

    replica_id: str
    members: Members | None
    logical: int
    failure_domain: str = ""


def encode(message: msgspec.Struct) -> bytes:
    """Returns a message encoded as MessagePack."""
    return _encoder.encode(message)


_encoder = msgspec.msgpack.Encoder()
