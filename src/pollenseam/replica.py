"""Raft consensus of one replica of the quorum log, without input or output.

Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014): elections
with pre-vote and check-quorum, single-server membership changes, learners and
leadership transfer. The caller, see `replicarunner`, passes in messages, the
time and proposals, and carries out what `take_ready` returns: it syncs term,
vote and entries, calls `mark_synced`, and only then sends `messages`. All
times are in seconds of the caller's monotonic clock.
"""

import functools
import random

from pollenseam import messages
from pollenseam import quorumlog

HEARTBEAT_INTERVAL_SECONDS = 0.1
ELECTION_TIMEOUT_SECONDS = 1.0
# Longest time until a candidate that cannot win any more stands again. Random
# parts of it keep those of one split vote apart.
SPLIT_VOTE_PAUSE_SECONDS = 0.25
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
        id: Replica id. A replica whose disk was lost gets a new one.
        hard_state: Current term and the vote in it.
        log: Entries after the last snapshot.
        members: Latest configuration in the log, committed or not.
        members_index: Index of the entry with that configuration.
        base_members: Configuration at the last snapshot.
        role: FOLLOWER, CANDIDATE or LEADER.
        leader: Id of the leader, or "" when unknown.
        commit_index: Last index known to be committed.
        applied_index: Last index passed on to the state machine.
        synced_index: Last index known to be synced to this replica's disk.
        election_deadline: Time at which this replica starts an election.
        vote_denial_deadline: Time until which this replica ignores vote
            requests, because it has recently heard from a leader.
        leader_contact_at: Time at which this replica last heard from a leader
            or stopped being the leader.
        quorum_leader_contact_at: Latest time at which any voter that granted
            its vote in the current election can have heard from the previous
            leader.
        heartbeat_deadline: Time at which the leader sends its next heartbeat.
        term_start: Index of the leader's first entry of its term.
        elected_at: Time at which this replica last became the leader.
        last_entry_at: Time of the leader's last entry, rounded down to whole
            milliseconds since the entry before.
        progress: The leader's replication state of the other replicas, by id.
        votes: Whether each voter that answered in the current election granted
            its vote, by voter id.
        is_pre_vote: Whether the current election is a pre-vote.
        transferee: Id of the replica that leadership is being transferred to,
            or "".
        transfer_deadline: Time at which the transfer is given up.
        random: Source of the random part of election time-outs.
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
        # Contacts before a restart are not stored; now is the latest possible
        # time of one.
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

    # Queries.

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes in the current configuration."""
        return self.id in self.members.voters

    @property
    def is_ready_leader(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return self.role == LEADER and self.commit_index >= self.term_start

    def confirmed_at(self, now: float) -> float:
        """Returns the latest time at which this replica surely was the leader.

        That is the send time of the latest messages that a majority of voters
        has answered. Every change accepted before then is in this leader's
        log.
        """
        times = [
            now if voter == self.id else self.progress[voter].confirmed_at
            for voter in self.members.voters
        ]
        times.sort(reverse=True)
        return times[len(times) // 2]

    def address(self, id: str) -> str:
        """Returns the peer address of a member, or "" for other ids."""
        members = self.members
        return members.voters.get(id) or members.learners.get(id, "")

    def next_tick_at(self) -> float:
        """Returns the time at which `tick` must be called next.

        The result is -inf for a single voter that does not lead yet.
        """
        if self.role == LEADER:
            return self.heartbeat_deadline
        return float("-inf") if self._is_alone() else self.election_deadline

    # Events.

    def bootstrap(self, members: messages.Members) -> None:
        """Sets the initial configuration, unless one is known.

        The log may have entries already, if other replicas knew it earlier.
        """
        if self.log.base_index == 0 and not self.base_members.voters:
            self.base_members = members
            self._reload_members()

    def tick(self, now: float) -> None:
        """Performs what is due at `now`.

        A leader sends heartbeats, and steps down when it has lost contact
        with a majority (check-quorum) or when a configuration in which it is
        not a voter is committed. Any other voter starts an election when its
        election deadline has passed, or at once if it is the only voter.
        """
        if self.role == LEADER:
            self._tick_leader(now)
        elif now >= self.election_deadline or self._is_alone():
            self._reset_election(now)
            if self.is_voter:
                self._campaign(now, is_pre_vote=True)

    def _is_alone(self) -> bool:
        # A single voter needs no votes of others and does not wait for its
        # election deadline.
        return self.members.voters.keys() == {self.id}

    def _tick_leader(self, now: float) -> None:
        is_removed = (
            not self.is_voter and self.commit_index >= self.members_index
        )
        if (
            is_removed
            or now - self.confirmed_at(now) > ELECTION_TIMEOUT_SECONDS
        ):
            self._become_follower(self.hard_state.term, "", now)
            return
        if self.transferee and now >= self.transfer_deadline:
            self.transferee = ""
        if now >= self.heartbeat_deadline:
            self.heartbeat_deadline = now + HEARTBEAT_INTERVAL_SECONDS
            self._broadcast(now, heartbeat=True)

    def receive(self, message: messages.AnyMessage, now: float) -> None:
        """Handles a message from another replica."""
        handle(message, self, now)

    def propose(
        self,
        command: bytes,
        now: float,
        members: messages.Members | None = None,
    ) -> messages.Entry | None:
        """Appends an entry to the leader's log; `flush` sends it.

        Args:
            command: Encoded command; b"" for an entry without one.
            now: The time.
            members: New configuration, or None.

        Returns:
            The entry; None when this replica does not lead or is transferring
            its leadership.
        """
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
        """Proposes a configuration that differs by at most one voter.

        Returns:
            The entry; None when this replica does not lead, when the previous
            change is not committed, when more than one voter would change, or
            when no voter would be left.
        """
        if not self.is_ready_leader or self.members_index > self.commit_index:
            return None
        if not is_single_change(self.members, members):
            return None
        return self.propose(b"", now, members)

    def flush(self, now: float) -> None:
        """Sends proposed entries; call once after a batch of proposals."""
        if self.role == LEADER:
            self._broadcast(now, heartbeat=False)

    def transfer_leadership(self, now: float) -> bool:
        """Starts a leadership transfer to the most up-to-date other voter.

        Returns:
            False when this replica does not lead or there is no other voter.
        """
        if self.role != LEADER:
            return False
        others = [v for v in self.members.voters if v != self.id]
        if not others:
            return False
        target = max(others, key=lambda v: self.progress[v].match_index)
        self.transferee = target
        self.transfer_deadline = now + ELECTION_TIMEOUT_SECONDS
        if self.progress[target].match_index == self.log.last_index:
            message = messages.TimeoutNow(self.hard_state.term, self.id)
            self._send(target, message)
        return True

    def mark_synced(self, index: int, term: int) -> None:
        """Records that entries up to `index` are synced to the disk.

        Args:
            index: Index of the last synced entry.
            term: Term of that entry. The index is not recorded when the log
                has an entry of another term there by now.
        """
        if self.log.term_at(index) == term:
            self.synced_index = max(self.synced_index, index)
        if self.role == LEADER:
            self._advance_commit()
        self._collect_committed()

    def compact(self, index: int) -> None:
        """Drops entries up to `index`, which a synced snapshot covers.

        Raises:
            ValueError: The entry at `index` is not applied yet.
        """
        if index > self.applied_index:
            raise ValueError(f"index {index} is not applied")
        self.base_members = self.members_at(index)
        self.log.compact(index)

    def members_at(self, index: int) -> messages.Members:
        """Returns the configuration in force at `index`."""
        members = self.base_members
        for entry in self.log.slice(self.log.base_index + 1, index + 1):
            members = entry.members or members
        return members

    def restore(self, index: int, term: int, members: messages.Members) -> bool:
        """Replaces the log up to `index` by a synced snapshot.

        Entries after `index` are kept if the log has the entry of `term` at
        `index`.

        Args:
            index: Index of the last entry that the snapshot covers.
            term: Term of that entry.
            members: Configuration in force at `index`.

        Returns:
            False when the log is committed up to `index` already; nothing is
            changed then.
        """
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
        """Records that replica `id` has installed the snapshot at `index`."""
        progress = self.progress.get(id)
        if self.role != LEADER or progress is None:
            return
        progress.snapshot_index = 0
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, index + 1)
        self._send_entries(id, now, heartbeat=False)

    def mark_snapshot_failed(self, id: str) -> None:
        """Lets the next heartbeat ask for another snapshot for `id`."""
        progress = self.progress.get(id)
        if progress is not None:
            progress.snapshot_index = 0

    def take_ready(self) -> quorumlog.Ready:
        """Returns and clears the work that the caller has to carry out."""
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

    def _record_refusal(
        self, response: messages.VoteResponse, now: float
    ) -> None:
        """Lets a candidate stand again soon once it cannot win any more.

        The voters have just reset their election deadlines: after a split vote
        nobody else would stand for ELECTION_TIMEOUT_SECONDS.
        """
        is_current = (
            self.role == CANDIDATE
            and not self.is_pre_vote
            and not response.is_pre_vote
            and response.term == self.hard_state.term
        )
        if not is_current or response.voter in self.votes:
            return
        self.votes[response.voter] = False
        voters = self.members.voters
        refused = [v for v in voters if self.votes.get(v) is False]
        if len(voters) - len(refused) <= len(voters) // 2:
            pause_seconds = SPLIT_VOTE_PAUSE_SECONDS * self.random.random()
            self.election_deadline = min(
                self.election_deadline, now + pause_seconds
            )

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
        seconds_since_contact = now - self.leader_contact_at
        response = messages.VoteResponse(
            term, self.id, granted, vote.is_pre_vote, seconds_since_contact
        )
        self._send(vote.candidate, response)

    def _yields_to(self, vote: messages.VoteRequest) -> bool:
        """Whether this replica gives up its pre-vote for a rival's.

        Of two that stand at the same time, one has to, or both may fail.
        """
        is_pre_vote = self.is_pre_vote and vote.is_pre_vote
        if self.role != CANDIDATE or not is_pre_vote:
            return False
        own_rank = (self.log.last_term, self.log.last_index, self.id)
        return (vote.last_term, vote.last_index, vote.candidate) > own_rank

    def _can_grant(self, vote: messages.VoteRequest, now: float) -> bool:
        own_last = (self.log.last_term, self.log.last_index)
        if (vote.last_term, vote.last_index) < own_last:
            return False
        if vote.is_pre_vote:
            return vote.term > self.hard_state.term
        is_vote_free = self.hard_state.vote in ("", vote.candidate)
        return vote.term == self.hard_state.term and is_vote_free

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
        # Not a set: its order, and so that of the messages, would differ from
        # process to process.
        ids = [*self.members.voters, *self.members.learners]
        for id in ids:
            if id != self.id and id not in self.progress:
                self.progress[id] = quorumlog.Progress(
                    self.log.last_index + 1, now
                )
        for id in self.progress.keys() - ids:
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
        is_sent = False
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
            is_sent = True
        if heartbeat and not is_sent:
            self._send_append(id, progress, [], now)

    def _send_append(
        self,
        id: str,
        progress: quorumlog.Progress,
        entries: list[messages.Entry],
        now: float,
    ) -> None:
        previous_index = progress.next_index - 1
        term = self.log.term_at(previous_index)
        assert term is not None
        message = messages.AppendEntries(
            self.hard_state.term,
            self.id,
            previous_index,
            term,
            self.commit_index,
            now,
            entries,
        )
        # The leader may send entries before they are synced to its own disk,
        # as it counts itself only after the sync (Ongaro, section 10.2.1).
        self._ready.messages_before_sync.append(quorumlog.Outbound(id, message))
        progress.next_index += len(entries)

    def _send_snapshot(
        self, id: str, progress: quorumlog.Progress, now: float, heartbeat: bool
    ) -> None:
        if progress.snapshot_index == 0:
            progress.snapshot_index = self.log.base_index
            self._ready.snapshot_receivers.append(id)
        if heartbeat:
            # An empty append at the snapshot's index keeps the follower from
            # starting an election. The follower may refuse it: that changes
            # nothing.
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
        for position, entry in enumerate(entries):
            if self.log.term_at(entry.index) != entry.term:
                self._overwrite(entries[position:])
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
        response = messages.AppendResponse(
            self.hard_state.term, self.id, accepted, index, append.sent_at
        )
        self._send(append.leader, response)

    def _record_append_response(
        self, response: messages.AppendResponse, now: float
    ) -> None:
        progress = self.progress.get(response.follower)
        if progress is None:
            return
        progress.confirmed_at = max(progress.confirmed_at, response.sent_at)
        if not response.accepted:
            if response.index >= progress.match_index:
                progress.next_index = min(
                    progress.next_index, response.index + 1
                )
                self._send_entries(response.follower, now, heartbeat=False)
            return
        if response.index > progress.match_index:
            progress.match_index = response.index
            progress.next_index = max(progress.next_index, response.index + 1)
            self._advance_commit()
        self._send_entries(response.follower, now, heartbeat=False)
        is_caught_up = progress.match_index == self.log.last_index
        if self.transferee == response.follower and is_caught_up:
            message = messages.TimeoutNow(self.hard_state.term, self.id)
            self._send(response.follower, message)

    def _advance_commit(self) -> None:
        matches = [
            self.synced_index if v == self.id else self.progress[v].match_index
            for v in self.members.voters
        ]
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        # Only entries of the leader's own term are committed by counting
        # replicas (Ongaro, section 3.6.2).
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
    """Returns whether a change of configuration is safe in one step.

    The configurations may differ by at most one voter, and the new one must
    have a voter. Learners may differ freely.
    """
    changed = old.voters.keys() ^ new.voters.keys()
    return len(changed) <= 1 and bool(new.voters)


@functools.singledispatch
def handle(message: object, replica: Replica, now: float) -> None:
    """Handles a message from another replica, by its type.

    Raises:
        TypeError: There is no handler for the type.
    """
    raise TypeError(f"no handler for {type(message).__name__}")


@handle.register
def _(message: messages.VoteRequest, replica: Replica, now: float) -> None:
    # A replica in contact with a leader ignores vote requests and keeps its
    # term, so that removed servers cannot disrupt the quorum (Ongaro, section
    # 4.2.3).
    if replica._has_recent_leader(now) and not message.is_transfer:
        return
    if message.term > replica.hard_state.term and not message.is_pre_vote:
        replica._become_follower(message.term, "", now)
    elif replica._yields_to(message):
        replica._become_follower(replica.hard_state.term, "", now)
    replica._respond_to_vote(message, now)


@handle.register
def _(message: messages.VoteResponse, replica: Replica, now: float) -> None:
    if not message.granted:
        if message.term > replica.hard_state.term:
            replica._become_follower(message.term, "", now)
        else:
            replica._record_refusal(message, now)
        return
    expected_term = (
        replica.hard_state.term + 1
        if replica.is_pre_vote
        else replica.hard_state.term
    )
    is_current = (
        message.term == expected_term
        and message.is_pre_vote == replica.is_pre_vote
    )
    if replica.role == CANDIDATE and is_current:
        replica.votes[message.voter] = True
        contact_at = now - message.seconds_since_contact
        replica.quorum_leader_contact_at = max(
            replica.quorum_leader_contact_at, contact_at
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
    """Returns a replica that starts from the contents of its data folder.

    Args:
        id: Replica id.
        hard_state: Term and vote that were synced last.
        log: Entries after the last snapshot.
        members: Configuration at that snapshot, or the initial one.
        now: The time in seconds.
        seed: Seed of the random part of election time-outs.
    """
    return Replica(id, hard_state, log, members, now, seed)
