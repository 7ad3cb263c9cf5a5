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

HEARTBEAT_SECONDS = 0.1
ELECTION_SECONDS = 1.0
MAX_BATCH_BYTES = 256 * 1024
MAX_BATCH_ENTRIES = 512
MAX_INFLIGHT_ENTRIES = 4096
CAUGHT_UP_ENTRIES = 64

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
        "hard",
        "log",
        "members",
        "members_index",
        "base_members",
        "role",
        "leader",
        "commit",
        "applied",
        "synced_index",
        "election_deadline",
        "heard_deadline",
        "heard_at",
        "quorum_heard_at",
        "heartbeat_deadline",
        "term_start",
        "elected_at",
        "entry_at",
        "progress",
        "votes",
        "pre",
        "transferee",
        "transfer_deadline",
        "random",
        "_ready",
        "_hard_taken",
        "_unsynced",
    )

    def __init__(
        self,
        id: str,
        hard: quorumlog.HardState,
        log: quorumlog.Log,
        members: messages.Members,
        now: float,
        seed: int,
    ) -> None:
        self.id = id
        self.hard = hard
        self.log = log
        self.base_members = members
        self.members = members
        self.members_index = log.base_index
        self.role = FOLLOWER
        self.leader = ""
        self.commit = log.base_index
        self.applied = log.base_index
        self.synced_index = log.last_index
        self.heard_deadline = now + ELECTION_SECONDS
        # What was heard before a restart is not known.
        self.heard_at = now
        self.quorum_heard_at = now
        self.heartbeat_deadline = now
        self.term_start = 0
        self.elected_at = now
        self.entry_at = now
        self.progress: dict[str, quorumlog.Progress] = {}
        self.votes: dict[str, bool] = {}
        self.pre = False
        self.transferee = ""
        self.transfer_deadline = now
        self.random = random.Random(f"{id}/{seed}")
        self.election_deadline = now
        self._ready = quorumlog.Ready()
        self._hard_taken = quorumlog.HardState(hard.term, hard.vote)
        self._unsynced = log.last_index + 1
        self._find_members()
        self._reset_election(now)

    # Questions.

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes in the current configuration."""
        return self.id in self.members.voters

    @property
    def is_ready_leader(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return self.role == LEADER and self.commit >= self.term_start

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

    def wake_at(self) -> float:
        """Returns the time at which `tick` has something to do."""
        if self.role == LEADER:
            return self.heartbeat_deadline
        return float("-inf") if self._is_alone() else self.election_deadline

    # Events.

    def found(self, members: messages.Members) -> None:
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
                self._campaign(now, pre=True)

    def _is_alone(self) -> bool:
        # The only voter has nobody to wait for.
        return self.members.voters.keys() == {self.id}

    def _tick_leader(self, now: float) -> None:
        removed = not self.is_voter and self.commit >= self.members_index
        if removed or now - self.confirmed_at(now) > ELECTION_SECONDS:
            self._follow(self.hard.term, "", now)
            return
        if self.transferee and now >= self.transfer_deadline:
            self.transferee = ""
        if now >= self.heartbeat_deadline:
            self.heartbeat_deadline = now + HEARTBEAT_SECONDS
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
        elapsed_ms = int((now - self.entry_at) * 1000)
        self.entry_at += elapsed_ms / 1000
        entry = messages.Entry(
            self.log.last_index + 1,
            self.hard.term,
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
        if not self.is_ready_leader or self.members_index > self.commit:
            return None
        if not is_single_change(self.members, members):
            return None
        return self.propose(b"", now, members)

    def flush(self, now: float) -> None:
        """Sends what was proposed; call once after a batch of proposals."""
        if self.role == LEADER:
            self._broadcast(now, heartbeat=False)

    def transfer(self, now: float) -> bool:
        """Hands leadership to the voter that is furthest; False if none."""
        if self.role != LEADER:
            return False
        others = [v for v in self.members.voters if v != self.id]
        if not others:
            return False
        best = max(others, key=lambda v: self.progress[v].match)
        self.transferee = best
        self.transfer_deadline = now + ELECTION_SECONDS
        if self.progress[best].match == self.log.last_index:
            message = messages.TimeoutNow(self.hard.term, self.id)
            self._send(best, message)
        return True

    def synced(self, index: int, term: int) -> None:
        """Notes that entries up to `index` of `term` are synced here."""
        if self.log.term(index) == term:
            self.synced_index = max(self.synced_index, index)
        if self.role == LEADER:
            self._advance_commit()
        self._collect_committed()

    def compact(self, index: int) -> None:
        """Drops entries up to `index`, which a synced snapshot now holds."""
        if index > self.applied:
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
        if index <= self.commit:
            return False
        if self.log.term(index) == term:
            self.base_members = members
            self.log.compact(index)
        else:
            self.log = quorumlog.Log(index, term)
            self.base_members = members
            self._unsynced = index + 1
        self._ready.committed = []
        self._find_members()
        self.commit = max(self.commit, index)
        self.applied = max(self.applied, index)
        self.synced_index = max(self.synced_index, index)
        return True

    def snapshot_sent(self, id: str, index: int, now: float) -> None:
        """Notes that a replica has the snapshot at `index`."""
        progress = self.progress.get(id)
        if self.role != LEADER or progress is None:
            return
        progress.snapshot_index = 0
        progress.match = max(progress.match, index)
        progress.next = max(progress.next, index + 1)
        self._send_entries(id, now, heartbeat=False)

    def snapshot_failed(self, id: str) -> None:
        """Lets a snapshot be tried again at the next heartbeat."""
        progress = self.progress.get(id)
        if progress is not None:
            progress.snapshot_index = 0

    def take(self) -> quorumlog.Ready:
        """Returns what the shell has to carry out now."""
        ready = self._ready
        self._ready = quorumlog.Ready()
        if self.hard != self._hard_taken:
            ready.hard_state = quorumlog.HardState(
                self.hard.term, self.hard.vote
            )
            self._hard_taken = ready.hard_state
        if self._unsynced <= self.log.last_index:
            ready.entries = self.log.slice(
                self._unsynced, self.log.last_index + 1
            )
            self._unsynced = self.log.last_index + 1
        return ready

    # Elections.

    def _reset_election(self, now: float) -> None:
        factor = 1 + self.random.random()
        self.election_deadline = now + ELECTION_SECONDS * factor

    def _follow(self, term: int, leader: str, now: float) -> None:
        if term > self.hard.term:
            self.hard = quorumlog.HardState(term)
        if self.role == LEADER or leader:
            self._reset_election(now)
        if self.role == LEADER:
            self.heard_at = now
        self.role = FOLLOWER
        self.leader = leader
        self.progress = {}
        self.votes = {}
        self.transferee = ""

    def _campaign(self, now: float, pre: bool, transfer: bool = False) -> None:
        self.role = CANDIDATE
        self.leader = ""
        self.pre = pre
        if not pre:
            self.hard = quorumlog.HardState(self.hard.term + 1, self.id)
        self.votes = {self.id: True}
        self.quorum_heard_at = self.heard_at
        term = self.hard.term + 1 if pre else self.hard.term
        for voter in self.members.voters:
            if voter != self.id:
                message = messages.Vote(
                    term,
                    self.id,
                    self.log.last_index,
                    self.log.last_term,
                    pre,
                    transfer,
                )
                self._send(voter, message)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        granted = [v for v in self.members.voters if self.votes.get(v)]
        if len(granted) <= len(self.members.voters) // 2:
            return
        if self.pre:
            self._campaign(now, pre=False)
        else:
            self._lead(now)

    def _lead(self, now: float) -> None:
        self.role = LEADER
        self.leader = self.id
        self.elected_at = now
        self.entry_at = now
        self.transferee = ""
        self.progress = {}
        self._track_members(now)
        self.heartbeat_deadline = now + HEARTBEAT_SECONDS
        self.term_start = self.log.last_index + 1
        self.propose(b"", now)
        self._broadcast(now, heartbeat=True)

    def _answer_vote(self, vote: messages.Vote, now: float) -> None:
        granted = self._grants(vote, now)
        if granted and not vote.pre:
            self.hard = quorumlog.HardState(vote.term, vote.candidate)
            self._reset_election(now)
        term = vote.term if granted else self.hard.term
        silence = now - self.heard_at
        answer = messages.VoteAnswer(term, self.id, granted, vote.pre, silence)
        self._send(vote.candidate, answer)

    def _grants(self, vote: messages.Vote, now: float) -> bool:
        current = (self.log.last_term, self.log.last_index)
        if (vote.last_term, vote.last_index) < current:
            return False
        if vote.pre:
            return vote.term > self.hard.term
        free = self.hard.vote in ("", vote.candidate)
        return vote.term == self.hard.term and free

    def _hears_leader(self, now: float) -> bool:
        if self.role == LEADER:
            return now - self.confirmed_at(now) <= ELECTION_SECONDS
        return bool(self.leader) and now < self.heard_deadline

    # Replication.

    def _append(self, entries: list[messages.Entry]) -> None:
        self.log.entries.extend(entries)
        for entry in entries:
            if entry.members is not None:
                self.members = entry.members
                self.members_index = entry.index
        if self.role == LEADER and any(e.members for e in entries):
            self._track_members(self.entry_at)

    def _track_members(self, now: float) -> None:
        known = self.members.voters.keys() | self.members.learners.keys()
        for id in known - {self.id}:
            if id not in self.progress:
                self.progress[id] = quorumlog.Progress(
                    self.log.last_index + 1, now
                )
        for id in self.progress.keys() - known:
            del self.progress[id]

    def _find_members(self) -> None:
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
        if progress.next <= self.log.base_index:
            self._send_snapshot(id, progress, now, heartbeat)
            return
        sent = False
        while progress.next <= self.log.last_index:
            if progress.next - progress.match > MAX_INFLIGHT_ENTRIES:
                break
            entries = _batch(
                self.log.slice(progress.next, progress.next + MAX_BATCH_ENTRIES)
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
        previous = progress.next - 1
        term = self.log.term(previous)
        assert term is not None
        message = messages.Append(
            self.hard.term, self.id, previous, term, self.commit, now, entries
        )
        # A leader may send entries while it syncs them itself: it counts
        # itself only once synced (Ongaro, section 10.2.1).
        self._ready.early.append(quorumlog.Outbound(id, message))
        progress.next += len(entries)

    def _send_snapshot(
        self, id: str, progress: quorumlog.Progress, now: float, heartbeat: bool
    ) -> None:
        if progress.snapshot_index == 0:
            progress.snapshot_index = self.log.base_index
            self._ready.snapshots.append(id)
        if heartbeat:
            # An empty append at the snapshot keeps the follower from
            # standing for election; its refusal changes nothing.
            message = messages.Append(
                self.hard.term,
                self.id,
                self.log.base_index,
                self.log.base_term,
                min(self.commit, self.log.base_index),
                now,
            )
            self._ready.early.append(quorumlog.Outbound(id, message))

    def _accept(self, append: messages.Append, now: float) -> None:
        index = append.previous_index
        entries = append.entries
        if index < self.log.base_index:
            entries = [e for e in entries if e.index > self.log.base_index]
            index = self.log.base_index
        elif self.log.term(index) != append.previous_term:
            hint = min(self.log.last_index, index - 1)
            self._answer_append(append, False, max(hint, self.commit))
            return
        for place, entry in enumerate(entries):
            if self.log.term(entry.index) != entry.term:
                self._overwrite(entries[place:])
                break
        last = entries[-1].index if entries else index
        self._answer_append(append, True, last)
        self.commit = max(self.commit, min(append.commit, last))
        self._collect_committed()

    def _overwrite(self, entries: list[messages.Entry]) -> None:
        first = entries[0].index
        if first <= self.log.last_index:
            if first <= self.commit:
                raise AssertionError(f"committed entry {first} would be lost")
            self.log.cut(first)
            self._unsynced = min(self._unsynced, first)
            self.synced_index = min(self.synced_index, first - 1)
            self._find_members()
        self._append(entries)

    def _answer_append(
        self, append: messages.Append, accepted: bool, index: int
    ) -> None:
        answer = messages.AppendAnswer(
            self.hard.term, self.id, accepted, index, append.sent_at
        )
        self._send(append.leader, answer)

    def _note_answer(self, answer: messages.AppendAnswer, now: float) -> None:
        progress = self.progress.get(answer.follower)
        if progress is None:
            return
        progress.confirmed_at = max(progress.confirmed_at, answer.sent_at)
        if not answer.accepted:
            if answer.index >= progress.match:
                progress.next = min(progress.next, answer.index + 1)
                self._send_entries(answer.follower, now, heartbeat=False)
            return
        if answer.index > progress.match:
            progress.match = answer.index
            progress.next = max(progress.next, answer.index + 1)
            self._advance_commit()
        self._send_entries(answer.follower, now, heartbeat=False)
        caught_up = progress.match == self.log.last_index
        if self.transferee == answer.follower and caught_up:
            message = messages.TimeoutNow(self.hard.term, self.id)
            self._send(answer.follower, message)

    def _advance_commit(self) -> None:
        matches = [
            self.synced_index if v == self.id else self.progress[v].match
            for v in self.members.voters
        ]
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        # Only entries of the own term commit by counting (Ongaro, 3.6.2).
        if index > self.commit and self.log.term(index) == self.hard.term:
            self.commit = index
            self._collect_committed()

    def _collect_committed(self) -> None:
        last = min(self.commit, self.synced_index)
        if last > self.applied:
            self._ready.committed += self.log.slice(self.applied + 1, last + 1)
            self.applied = last

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
def _(message: messages.Vote, replica: Replica, now: float) -> None:
    # A replica that hears a leader keeps its term (Ongaro, section 4.2.3).
    if replica._hears_leader(now) and not message.transfer:
        return
    if message.term > replica.hard.term and not message.pre:
        replica._follow(message.term, "", now)
    replica._answer_vote(message, now)


@handle.register
def _(message: messages.VoteAnswer, replica: Replica, now: float) -> None:
    if not message.granted:
        if message.term > replica.hard.term:
            replica._follow(message.term, "", now)
        return
    asked = replica.hard.term + 1 if replica.pre else replica.hard.term
    current = message.term == asked and message.pre == replica.pre
    if replica.role == CANDIDATE and current:
        replica.votes[message.voter] = True
        heard_at = now - message.silence
        replica.quorum_heard_at = max(replica.quorum_heard_at, heard_at)
        replica._count_votes(now)


@handle.register
def _(message: messages.Append, replica: Replica, now: float) -> None:
    if message.term < replica.hard.term:
        replica._answer_append(message, False, replica.log.last_index)
        return
    if message.term > replica.hard.term or replica.leader != message.leader:
        replica._follow(message.term, message.leader, now)
    replica._reset_election(now)
    replica.heard_deadline = now + ELECTION_SECONDS
    replica.heard_at = now
    replica._accept(message, now)


@handle.register
def _(message: messages.AppendAnswer, replica: Replica, now: float) -> None:
    if message.term > replica.hard.term:
        replica._follow(message.term, "", now)
    elif replica.role == LEADER and message.term == replica.hard.term:
        replica._note_answer(message, now)


@handle.register
def _(message: messages.Install, replica: Replica, now: float) -> None:
    if message.term > replica.hard.term or replica.leader != message.leader:
        if message.term >= replica.hard.term:
            replica._follow(message.term, message.leader, now)
    if message.term == replica.hard.term:
        replica._reset_election(now)
        replica.heard_deadline = now + ELECTION_SECONDS
        replica.heard_at = now


@handle.register
def _(message: messages.InstallAnswer, replica: Replica, now: float) -> None:
    if message.term > replica.hard.term:
        replica._follow(message.term, "", now)
        return
    progress = replica.progress.get(message.follower)
    if progress is not None and message.term == replica.hard.term:
        progress.confirmed_at = max(progress.confirmed_at, message.sent_at)


@handle.register
def _(message: messages.TimeoutNow, replica: Replica, now: float) -> None:
    if message.term == replica.hard.term and replica.is_voter:
        replica._campaign(now, pre=False, transfer=True)


def start(
    id: str,
    hard: quorumlog.HardState,
    log: quorumlog.Log,
    members: messages.Members,
    now: float,
    seed: int,
) -> Replica:
    """Returns a replica as it stands after reading its data folder."""
    return Replica(id, hard, log, members, now, seed)
