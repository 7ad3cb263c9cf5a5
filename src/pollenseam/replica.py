"""The quorum log: a replica's decisions, without input or output.

After Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections with
pre-vote and check-quorum, single-server changes, learners, leadership
transfer. The shell feeds messages, time and proposals in and carries out what
`take` returns: it syncs first, then sends `messages` and calls `synced`.
"""

import functools
import random

from pollenseam import messages
from pollenseam import quorumlog

HEARTBEAT_INTERVAL_SECONDS = 0.1
ELECTION_TIMEOUT_SECONDS = 1.0
MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_ENTRIES = 512
MAX_INFLIGHT_ENTRIES = 4096
MAX_PROMOTION_LAG_ENTRIES = 64

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"


class Replica:
    """One replica of the quorum log.

    Attributes:
        id: Replica id; a lost disk comes back under a new one.
        hard: Term and vote.
        log: Entries after the last snapshot.
        members: Latest configuration in the log, committed or not.
        members_index: Index of that configuration.
        base_members: Configuration at the snapshot.
        role: FOLLOWER, CANDIDATE or LEADER.
        leader: Id of the leader, or "".
        commit: Last index known to be committed.
        applied: Last index handed to the state machine.
        synced_index: Last index known to be synced here.
        election_deadline: Time at which an election starts.
        heard_deadline: Time until which a vote is denied to others, because
            a leader was heard of.
        heard_at: Time at which a leader was last heard of, or led here.
        quorum_heard_at: Latest time at which any voter of this election can
            have heard of the leader before.
        heartbeat_deadline: Leader's time of the next heartbeat.
        term_start: Index of the leader's first entry of its term.
        elected_at: Leader's time of its election.
        entry_at: Leader's time of its last entry.
        progress: Other replicas by id, on the leader.
        votes: Answers to the current election by voter.
        transferee: Replica that leadership is being handed to, or "".
        transfer_deadline: Time at which that attempt is given up.
    """

    __slots__ = (
        "id",
        "hard_state",
        "log",
        "members",
        "members_index",
        "base_members",
        "role",
        "leader",
        "commit_index",
        "applied_index",
        "synced_index",
        "election_deadline",
        "vote_denial_deadline",
        "leader_contact_at",
        "quorum_leader_contact_at",
        "heartbeat_deadline",
        "term_start",
        "elected_at",
        "last_entry_at",
        "progress",
        "votes",
        "is_pre_vote",
        "transferee",
        "transfer_deadline",
        "random",
        "_ready",
        "_taken_hard_state",
        "_first_unsynced_index",
    )

    def __init__(
        self,
        id: str,
        hard_state: quorumlog.HardState,
        log: quorumlog.Log,
        members: messages.Members,
        now: float,
        seed: int,
    ) -> None:
        self.id = id
        self.hard_state = hard_state
        self.log = log
        self.base_members = members
        self.members = members
        self.members_index = log.base_index
        self.role = FOLLOWER
        self.leader = ""
        self.commit_index = log.base_index
        self.applied_index = log.base_index
        self.synced_index = log.last_index
        self.vote_denial_deadline = now + ELECTION_TIMEOUT_SECONDS
        # What was heard before a restart is not known.
        self.leader_contact_at = now
        self.quorum_leader_contact_at = now
        self.heartbeat_deadline = now
        self.term_start = 0
        self.elected_at = now
        self.last_entry_at = now
        self.progress: dict[str, quorumlog.Progress] = {}
        self.votes: dict[str, bool] = {}
        self.is_pre_vote = False
        self.transferee = ""
        self.transfer_deadline = now
        self.random = random.Random(f"{id}/{seed}")
        self.election_deadline = now
        self._ready = quorumlog.Ready()
        self._taken_hard_state = quorumlog.HardState(
            hard_state.term, hard_state.vote
        )
        self._first_unsynced_index = log.last_index + 1
        self._reload_members()
        self._reset_election(now)

    # Questions.

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes in the current configuration."""
        return self.id in self.members.voters

    @property
    def is_ready_leader(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return self.role == LEADER and self.commit_index >= self.term_start

    def confirmed_at(self, now: float) -> float:
        """Returns the latest time at which leadership is known to have held.

        Every change accepted before then is in this leader's log. The time
        is the sending of messages that a majority has answered.
        """
        times = [
            now if voter == self.id else self.progress[voter].confirmed_at
            for voter in self.members.voters
        ]
        times.sort(reverse=True)
        return times[len(times) // 2]

    def address(self, id: str) -> str:
        """Returns the address of a replica, or "" when unknown."""
        members = self.members
        return members.voters.get(id) or members.learners.get(id, "")

    def next_tick_at(self) -> float:
        """Returns the time at which `tick` has something to do."""
        if self.role == LEADER:
            return self.heartbeat_deadline
        return float("-inf") if self._is_alone() else self.election_deadline

    # Events.

    def bootstrap(self, members: messages.Members) -> None:
        """Sets the configuration that a new quorum starts with."""
        if self.log.last_index == 0:
            self.base_members = members
            self.members = members

    def tick(self, now: float) -> None:
        """Sends heartbeats, checks the quorum or starts an election."""
        if self.role == LEADER:
            self._tick_leader(now)
        elif now >= self.election_deadline or self._is_alone():
            self._reset_election(now)
            if self.is_voter:
                self._campaign(now, is_pre_vote=True)

    def _is_alone(self) -> bool:
        # The only voter has nobody to wait for.
        return self.members.voters.keys() == {self.id}

    def _tick_leader(self, now: float) -> None:
        removed = not self.is_voter and self.commit_index >= self.members_index
        if removed or now - self.confirmed_at(now) > ELECTION_TIMEOUT_SECONDS:
            self._become_follower(self.hard_state.term, "", now)
            return
        if self.transferee and now >= self.transfer_deadline:
            self.transferee = ""
        if now >= self.heartbeat_deadline:
            self.heartbeat_deadline = now + HEARTBEAT_INTERVAL_SECONDS
            self._broadcast(now, heartbeat=True)

    def receive(self, message: messages.AnyMessage, now: float) -> None:
        """Takes in a message of another replica."""
        handle(message, self, now)

    def propose(
        self,
        command: bytes,
        now: float,
        members: messages.Members | None = None,
    ) -> messages.Entry | None:
        """Appends a command on the leader; returns its entry, or None."""
        if self.role != LEADER or self.transferee:
            return None
        elapsed_ms = int((now - self.last_entry_at) * 1000)
        self.last_entry_at += elapsed_ms / 1000
        entry = messages.Entry(
            self.log.last_index + 1,
            self.hard_state.term,
            elapsed_ms,
            members,
            command,
        )
        self._append([entry])
        return entry

    def change_members(
        self, members: messages.Members, now: float
    ) -> messages.Entry | None:
        """Proposes a configuration that differs by one replica.

        Returns:
            The entry, or None when not leading, when the previous change is
            not committed, or when more than one voter would change.
        """
        if not self.is_ready_leader or self.members_index > self.commit_index:
            return None
        if not is_single_change(self.members, members):
            return None
        return self.propose(b"", now, members)

    def flush(self, now: float) -> None:
        """Sends what was proposed; call once after a batch of proposals."""
        if self.role == LEADER:
            self._broadcast(now, heartbeat=False)

    def transfer_leadership(self, now: float) -> bool:
        """Hands leadership to the voter that is furthest; False if none."""
        if self.role != LEADER:
            return False
        others = [v for v in self.members.voters if v != self.id]
        if not others:
            return False
        best = max(others, key=lambda v: self.progress[v].match_index)
        self.transferee = best
        self.transfer_deadline = now + ELECTION_TIMEOUT_SECONDS
        if self.progress[best].match_index == self.log.last_index:
            message = messages.TimeoutNow(self.hard_state.term, self.id)
            self._send(best, message)
        return True

    def mark_synced(self, index: int, term: int) -> None:
        """Notes that entries up to `index` of `term` are synced here."""
        if self.log.term_at(index) == term:
            self.synced_index = max(self.synced_index, index)
        if self.role == LEADER:
            self._advance_commit()
        self._collect_committed()

    def compact(self, index: int) -> None:
        """Drops entries up to `index`, which a synced snapshot now holds."""
        if index > self.applied_index:
            raise ValueError(f"index {index} is not applied")
        self.base_members = self.members_at(index)
        self.log.compact(index)

    def members_at(self, index: int) -> messages.Members:
        """Returns the configuration in force at `index`."""
        found = self.base_members
        for entry in self.log.slice(self.log.base_index + 1, index + 1):
            found = entry.members or found
        return found

    def restore(self, index: int, term: int, members: messages.Members) -> bool:
        """Replaces the log by a synced snapshot; False if it is older."""
        if index <= self.commit_index:
            return False
        if self.log.term_at(index) == term:
            self.base_members = members
            self.log.compact(index)
        else:
            self.log = quorumlog.Log(index, term)
            self.base_members = members
            self._first_unsynced_index = index + 1
        self._ready.committed_entries = []
        self._reload_members()
        self.commit_index = max(self.commit_index, index)
        self.applied_index = max(self.applied_index, index)
        self.synced_index = max(self.synced_index, index)
        return True

    def mark_snapshot_sent(self, id: str, index: int, now: float) -> None:
        """Notes that a replica has the snapshot at `index`."""
        progress = self.progress.get(id)
        if self.role != LEADER or progress is None:
            return
        progress.snapshot_index = 0
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, index + 1)
        self._send_entries(id, now, heartbeat=False)

    def mark_snapshot_failed(self, id: str) -> None:
        """Lets a snapshot be tried again at the next heartbeat."""
        progress = self.progress.get(id)
        if progress is not None:
            progress.snapshot_index = 0

    def take_ready(self) -> quorumlog.Ready:
        """Returns what the shell has to carry out now."""
        ready = self._ready
        self._ready = quorumlog.Ready()
        if self.hard_state != self._taken_hard_state:
            ready.hard_state = quorumlog.HardState(
                self.hard_state.term, self.hard_state.vote
            )
            self._taken_hard_state = ready.hard_state
        if self._first_unsynced_index <= self.log.last_index:
            ready.entries = self.log.slice(
                self._first_unsynced_index, self.log.last_index + 1
            )
            self._first_unsynced_index = self.log.last_index + 1
        return ready

    # Elections.

    def _reset_election(self, now: float) -> None:
        factor = 1 + self.random.random()
        self.election_deadline = now + ELECTION_TIMEOUT_SECONDS * factor

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.hard_state.term:
            self.hard_state = quorumlog.HardState(term)
        if self.role == LEADER or leader:
            self._reset_election(now)
        if self.role == LEADER:
            self.leader_contact_at = now
        self.role = FOLLOWER
        self.leader = leader
        self.progress = {}
        self.votes = {}
        self.transferee = ""

    def _campaign(
        self, now: float, is_pre_vote: bool, is_transfer: bool = False
    ) -> None:
        self.role = CANDIDATE
        self.leader = ""
        self.is_pre_vote = is_pre_vote
        if not is_pre_vote:
            self.hard_state = quorumlog.HardState(
                self.hard_state.term + 1, self.id
            )
        self.votes = {self.id: True}
        self.quorum_leader_contact_at = self.leader_contact_at
        term = self.hard_state.term + 1 if is_pre_vote else self.hard_state.term
        for voter in self.members.voters:
            if voter != self.id:
                message = messages.VoteRequest(
                    term,
                    self.id,
                    self.log.last_index,
                    self.log.last_term,
                    is_pre_vote,
                    is_transfer,
                )
                self._send(voter, message)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        granted = [v for v in self.members.voters if self.votes.get(v)]
        if len(granted) <= len(self.members.voters) // 2:
            return
        if self.is_pre_vote:
            self._campaign(now, is_pre_vote=False)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = LEADER
        self.leader = self.id
        self.elected_at = now
        self.last_entry_at = now
        self.transferee = ""
        self.progress = {}
        self._track_members(now)
        self.heartbeat_deadline = now + HEARTBEAT_INTERVAL_SECONDS
        self.term_start = self.log.last_index + 1
        self.propose(b"", now)
        self._broadcast(now, heartbeat=True)

    def _respond_to_vote(self, vote: messages.VoteRequest, now: float) -> None:
        granted = self._can_grant(vote, now)
        if granted and not vote.is_pre_vote:
            self.hard_state = quorumlog.HardState(vote.term, vote.candidate)
            self._reset_election(now)
        term = vote.term if granted else self.hard_state.term
        silence = now - self.leader_contact_at
        answer = messages.VoteResponse(
            term, self.id, granted, vote.is_pre_vote, silence
        )
        self._send(vote.candidate, answer)

    def _can_grant(self, vote: messages.VoteRequest, now: float) -> bool:
        current = (self.log.last_term, self.log.last_index)
        if (vote.last_term, vote.last_index) < current:
            return False
        if vote.is_pre_vote:
            return vote.term > self.hard_state.term
        free = self.hard_state.vote in ("", vote.candidate)
        return vote.term == self.hard_state.term and free

    def _has_recent_leader(self, now: float) -> bool:
        if self.role == LEADER:
            return now - self.confirmed_at(now) <= ELECTION_TIMEOUT_SECONDS
        return bool(self.leader) and now < self.vote_denial_deadline

    # Replication.

    def _append(self, entries: list[messages.Entry]) -> None:
        self.log.entries.extend(entries)
        for entry in entries:
            if entry.members is not None:
                self.members = entry.members
                self.members_index = entry.index
        if self.role == LEADER and any(e.members for e in entries):
            self._track_members(self.last_entry_at)

    def _track_members(self, now: float) -> None:
        known = self.members.voters.keys() | self.members.learners.keys()
        for id in known - {self.id}:
            if id not in self.progress:
                self.progress[id] = quorumlog.Progress(
                    self.log.last_index + 1, now
                )
        for id in self.progress.keys() - known:
            del self.progress[id]

    def _reload_members(self) -> None:
        self.members = self.base_members
        self.members_index = self.log.base_index
        for entry in self.log.entries:
            if entry.members is not None:
                self.members = entry.members
                self.members_index = entry.index

    def _broadcast(self, now: float, heartbeat: bool) -> None:
        for id in self.progress:
            self._send_entries(id, now, heartbeat)

    def _send_entries(self, id: str, now: float, heartbeat: bool) -> None:
        progress = self.progress[id]
        if progress.next_index <= self.log.base_index:
            self._send_snapshot(id, progress, now, heartbeat)
            return
        sent = False
        while progress.next_index <= self.log.last_index:
            if (
                progress.next_index - progress.match_index
                > MAX_INFLIGHT_ENTRIES
            ):
                break
            entries = _batch(
                self.log.slice(
                    progress.next_index, progress.next_index + MAX_BATCH_ENTRIES
                )
            )
            self._send_append(id, progress, entries, now)
            sent = True
        if heartbeat and not sent:
            self._send_append(id, progress, [], now)

    def _send_append(
        self,
        id: str,
        progress: quorumlog.Progress,
        entries: list[messages.Entry],
        now: float,
    ) -> None:
        previous = progress.next_index - 1
        term = self.log.term_at(previous)
        assert term is not None
        message = messages.AppendEntries(
            self.hard_state.term,
            self.id,
            previous,
            term,
            self.commit_index,
            now,
            entries,
        )
        # A leader may send entries while it syncs them itself: it counts
        # itself only once synced (Ongaro, section 10.2.1).
        self._ready.messages_before_sync.append(quorumlog.Outbound(id, message))
        progress.next_index += len(entries)

    def _send_snapshot(
        self, id: str, progress: quorumlog.Progress, now: float, heartbeat: bool
    ) -> None:
        if progress.snapshot_index == 0:
            progress.snapshot_index = self.log.base_index
            self._ready.snapshot_receivers.append(id)
        if heartbeat:
            # An empty append at the snapshot keeps the follower from
            # standing for election; its refusal changes nothing.
            message = messages.AppendEntries(
                self.hard_state.term,
                self.id,
                self.log.base_index,
                self.log.base_term,
                min(self.commit_index, self.log.base_index),
                now,
            )
            self._ready.messages_before_sync.append(
                quorumlog.Outbound(id, message)
            )

    def _accept_append(
        self, append: messages.AppendEntries, now: float
    ) -> None:
        index = append.previous_index
        entries = append.entries
        if index < self.log.base_index:
            entries = [e for e in entries if e.index > self.log.base_index]
            index = self.log.base_index
        elif self.log.term_at(index) != append.previous_term:
            hint = min(self.log.last_index, index - 1)
            self._respond_to_append(append, False, max(hint, self.commit_index))
            return
        for place, entry in enumerate(entries):
            if self.log.term_at(entry.index) != entry.term:
                self._overwrite(entries[place:])
                break
        last = entries[-1].index if entries else index
        self._respond_to_append(append, True, last)
        self.commit_index = max(
            self.commit_index, min(append.commit_index, last)
        )
        self._collect_committed()

    def _overwrite(self, entries: list[messages.Entry]) -> None:
        first = entries[0].index
        if first <= self.log.last_index:
            if first <= self.commit_index:
                raise AssertionError(f"committed entry {first} would be lost")
            self.log.truncate(first)
            self._first_unsynced_index = min(self._first_unsynced_index, first)
            self.synced_index = min(self.synced_index, first - 1)
            self._reload_members()
        self._append(entries)

    def _respond_to_append(
        self, append: messages.AppendEntries, accepted: bool, index: int
    ) -> None:
        answer = messages.AppendResponse(
            self.hard_state.term, self.id, accepted, index, append.sent_at
        )
        self._send(append.leader, answer)

    def _record_append_response(
        self, answer: messages.AppendResponse, now: float
    ) -> None:
        progress = self.progress.get(answer.follower)
        if progress is None:
            return
        progress.confirmed_at = max(progress.confirmed_at, answer.sent_at)
        if not answer.accepted:
            if answer.index >= progress.match_index:
                progress.next_index = min(progress.next_index, answer.index + 1)
                self._send_entries(answer.follower, now, heartbeat=False)
            return
        if answer.index > progress.match_index:
            progress.match_index = answer.index
            progress.next_index = max(progress.next_index, answer.index + 1)
            self._advance_commit()
        self._send_entries(answer.follower, now, heartbeat=False)
        caught_up = progress.match_index == self.log.last_index
        if self.transferee == answer.follower and caught_up:
            message = messages.TimeoutNow(self.hard_state.term, self.id)
            self._send(answer.follower, message)

    def _advance_commit(self) -> None:
        matches = [
            self.synced_index if v == self.id else self.progress[v].match_index
            for v in self.members.voters
        ]
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        # Only entries of the own term commit by counting (Ongaro, 3.6.2).
        if (
            index > self.commit_index
            and self.log.term_at(index) == self.hard_state.term
        ):
            self.commit_index = index
            self._collect_committed()

    def _collect_committed(self) -> None:
        last = min(self.commit_index, self.synced_index)
        if last > self.applied_index:
            self._ready.committed_entries += self.log.slice(
                self.applied_index + 1, last + 1
            )
            self.applied_index = last

    def _send(self, receiver: str, message: messages.AnyMessage) -> None:
        self._ready.messages.append(quorumlog.Outbound(receiver, message))


def _batch(entries: list[messages.Entry]) -> list[messages.Entry]:
    size = 0
    for count, entry in enumerate(entries):
        size += len(entry.command)
        if size > MAX_BATCH_BYTES and count:
            return entries[:count]
    return entries


def is_single_change(old: messages.Members, new: messages.Members) -> bool:
    """Tells whether two configurations differ by at most one voter."""
    voters = old.voters.keys() ^ new.voters.keys()
    return len(voters) <= 1 and bool(new.voters)


@functools.singledispatch
def handle(message: object, replica: Replica, now: float) -> None:
    """Takes one message in."""
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: messages.VoteRequest, replica: Replica, now: float) -> None:
    # A replica that hears a leader keeps its term (Ongaro, section 4.2.3).
    if replica._has_recent_leader(now) and not message.is_transfer:
        return
    if message.term > replica.hard_state.term and not message.is_pre_vote:
        replica._become_follower(message.term, "", now)
    replica._respond_to_vote(message, now)


@handle.register
def _(message: messages.VoteResponse, replica: Replica, now: float) -> None:
    if not message.granted:
        if message.term > replica.hard_state.term:
            replica._become_follower(message.term, "", now)
        return
    asked = (
        replica.hard_state.term + 1
        if replica.is_pre_vote
        else replica.hard_state.term
    )
    current = (
        message.term == asked and message.is_pre_vote == replica.is_pre_vote
    )
    if replica.role == CANDIDATE and current:
        replica.votes[message.voter] = True
        heard_at = now - message.seconds_since_contact
        replica.quorum_leader_contact_at = max(
            replica.quorum_leader_contact_at, heard_at
        )
        replica._count_votes(now)


@handle.register
def _(message: messages.AppendEntries, replica: Replica, now: float) -> None:
    if message.term < replica.hard_state.term:
        replica._respond_to_append(message, False, replica.log.last_index)
        return
    if (
        message.term > replica.hard_state.term
        or replica.leader != message.leader
    ):
        replica._become_follower(message.term, message.leader, now)
    replica._reset_election(now)
    replica.vote_denial_deadline = now + ELECTION_TIMEOUT_SECONDS
    replica.leader_contact_at = now
    replica._accept_append(message, now)


@handle.register
def _(message: messages.AppendResponse, replica: Replica, now: float) -> None:
    if message.term > replica.hard_state.term:
        replica._become_follower(message.term, "", now)
    elif replica.role == LEADER and message.term == replica.hard_state.term:
        replica._record_append_response(message, now)


@handle.register
def _(message: messages.InstallSnapshot, replica: Replica, now: float) -> None:
    if (
        message.term > replica.hard_state.term
        or replica.leader != message.leader
    ):
        if message.term >= replica.hard_state.term:
            replica._become_follower(message.term, message.leader, now)
    if message.term == replica.hard_state.term:
        replica._reset_election(now)
        replica.vote_denial_deadline = now + ELECTION_TIMEOUT_SECONDS
        replica.leader_contact_at = now


@handle.register
def _(message: messages.InstallResponse, replica: Replica, now: float) -> None:
    if message.term > replica.hard_state.term:
        replica._become_follower(message.term, "", now)
        return
    progress = replica.progress.get(message.follower)
    if progress is not None and message.term == replica.hard_state.term:
        progress.confirmed_at = max(progress.confirmed_at, message.sent_at)


@handle.register
def _(message: messages.TimeoutNow, replica: Replica, now: float) -> None:
    if message.term == replica.hard_state.term and replica.is_voter:
        replica._campaign(now, is_pre_vote=False, is_transfer=True)


def create_replica(
    id: str,
    hard_state: quorumlog.HardState,
    log: quorumlog.Log,
    members: messages.Members,
    now: float,
    seed: int,
) -> Replica:
    """Returns a replica as it stands after reading its data folder."""
    return Replica(id, hard_state, log, members, now, seed)
