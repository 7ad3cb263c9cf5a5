"""Tests of the quorum log under faults of network, processes and disks.

Messages are lost, reordered and duplicated, links blocked, replicas paused,
crashed, restarted and replaced.
"""

import random

import fakes
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from pollenseam import messages
from pollenseam import replica

IDS = ["a", "b", "c"]
NODES = st.sampled_from(IDS)


class Quorum(stateful.RuleBasedStateMachine):
    """Random faults on three replicas; `fakes.Cluster` checks the invariants.

    After each run all faults end, and all replicas must apply a new entry.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster = fakes.Cluster(IDS)

    @stateful.rule(seconds=st.sampled_from([0.01, 0.1, 0.6, 2.5]))
    def pass_time(self, seconds):
        self.cluster.now += seconds
        for id in IDS:
            self.cluster.tick(id)

    @stateful.rule(rounds=st.integers(1, 4))
    def run_in_order(self, rounds):
        for _ in range(rounds):
            for id in IDS:
                self.cluster.process_ready(id)
            for _ in range(len(self.cluster.in_flight)):
                self.cluster.deliver(0)

    @stateful.rule(id=NODES)
    def process_ready(self, id):
        self.cluster.process_ready(id)

    @stateful.rule(position=st.integers(0, 50), is_kept=st.booleans())
    def deliver_out_of_order(self, position, is_kept):
        self.cluster.deliver(position, is_kept)

    @stateful.rule()
    def lose_all_messages_in_flight(self):
        self.cluster.in_flight.clear()

    @stateful.rule(id=NODES)
    def propose(self, id):
        self.cluster.propose(id)

    @stateful.rule(a=NODES, b=NODES)
    def block_one_direction(self, a, b):
        self.cluster.blocked_links.add((a, b))

    @stateful.rule()
    def unblock_all_links(self):
        self.cluster.blocked_links.clear()

    @stateful.rule(id=NODES, point=st.sampled_from(["before", "after"]))
    def crash_at_a_sync(self, id, point):
        self.cluster.process_ready(id, crash=f"{point}-sync")

    @stateful.rule(id=NODES)
    def restart(self, id):
        self.cluster.restart(id)

    @stateful.rule(id=NODES, paused=st.booleans())
    def pause(self, id, paused):
        self.cluster.nodes[id].is_paused = paused

    @stateful.rule(id=NODES)
    def compact(self, id):
        self.cluster.compact(id)

    @stateful.rule(id=NODES)
    def transfer_leadership(self, id):
        node = self.cluster.nodes[id]
        if node.core is not None and not node.is_paused:
            node.core.transfer_leadership(self.cluster.now)

    def teardown(self):
        self.cluster.heal_and_run()
        leader = self.cluster.leader()
        assert leader is not None, "no leader after all faults ended"
        self.cluster.propose(leader.id)
        self.cluster.heal_and_run(2.0)
        applied = {n.core.applied_index for n in self.cluster.nodes.values()}
        assert applied == {max(self.cluster.applied_entries)}


TestQuorum = Quorum.TestCase


def elect(ids=IDS) -> fakes.Cluster:
    cluster = fakes.Cluster(list(ids))
    cluster.heal_and_run(5.0)
    assert cluster.leader() is not None
    return cluster


def commit(cluster: fakes.Cluster, count: int = 1) -> None:
    leader = cluster.leader()
    assert leader is not None
    for _ in range(count):
        cluster.propose(leader.id)
    cluster.heal_and_run(1.0)


def change(cluster: fakes.Cluster, members: messages.Members) -> None:
    leader = cluster.leader()
    assert leader is not None and leader.core is not None
    assert leader.core.change_members(members, cluster.now) is not None
    leader.core.flush(cluster.now)
    cluster.heal_and_run(2.0)


def test_an_isolated_leader_steps_down_and_confirms_nothing():
    cluster = elect()
    old = cluster.leader()
    others = [id for id in IDS if id != old.id]
    isolated_at = cluster.now
    cluster.blocked_links |= {(old.id, id) for id in others}
    cluster.blocked_links |= {(id, old.id) for id in others}
    for _ in range(100):
        cluster.step()
        if old.core.role == replica.LEADER:
            assert old.core.confirmed_at(cluster.now) <= isolated_at
    assert old.core.role != replica.LEADER
    assert cluster.leader().id in others


def test_a_paused_replica_does_not_disturb_the_leader_when_it_returns():
    cluster = elect()
    leader = cluster.leader()
    term = leader.core.hard_state.term
    paused = next(id for id in IDS if id != leader.id)
    cluster.nodes[paused].is_paused = True
    for _ in range(200):
        cluster.step()
    cluster.heal_and_run(5.0)
    assert cluster.leader().id == leader.id
    assert leader.core.hard_state.term == term


def test_a_replica_behind_the_leaders_log_catches_up_by_snapshot():
    cluster = elect()
    leader = cluster.leader()
    crashed = next(id for id in IDS if id != leader.id)
    cluster.crash(crashed)
    for _ in range(5):
        cluster.propose(leader.id)
        for _ in range(10):
            cluster.step()
    cluster.compact(leader.id)
    assert leader.core.log.base_index > 1
    cluster.heal_and_run(5.0)
    assert (
        cluster.nodes[crashed].core.applied_index == leader.core.applied_index
    )


def test_losing_the_leader_right_after_replacing_a_replica_loses_no_entry():
    cluster = elect()
    commit(cluster, 5)
    committed = dict(cluster.applied_entries)
    leader = cluster.leader()
    lost = next(id for id in IDS if id != leader.id)
    # One replica loses its disk and is replaced by one with a new id.
    del cluster.nodes[lost]
    others = {id: f"at-{id}" for id in IDS if id != lost}
    replacement = fakes.Node("fresh", messages.Members({}))
    cluster.nodes["fresh"] = replacement
    replacement.start(cluster.now)
    change(cluster, messages.Members(others))
    change(cluster, messages.Members(others, {"fresh": "at-fresh"}))
    assert replacement.core.synced_index == cluster.leader().core.log.last_index
    change(cluster, messages.Members({**others, "fresh": "at-fresh"}))
    # The leader is lost for good.
    del cluster.nodes[cluster.leader().id]
    cluster.heal_and_run(10.0)
    commit(cluster)
    assert cluster.leader() is not None
    for index, entry in committed.items():
        assert cluster.applied_entries[index] == entry


def test_a_wiped_replica_never_votes_under_its_old_id():
    cluster = elect()
    commit(cluster, 3)
    wiped = fakes.Node("c2", messages.Members({}))
    cluster.nodes["c2"] = wiped
    wiped.start(cluster.now)
    for _ in range(100):
        cluster.now += 0.1
        wiped.core.tick(cluster.now)
    assert not wiped.core.is_voter
    assert not wiped.core.take_ready().messages


def test_two_voters_or_two_changes_at_once_are_refused():
    cluster = elect()
    leader = cluster.leader()
    voters = {id: f"at-{id}" for id in IDS}
    two = messages.Members({**voters, "d": "at-d", "e": "at-e"})
    assert leader.core.change_members(two, cluster.now) is None
    one = messages.Members(voters, {"d": "at-d"})
    assert leader.core.change_members(one, cluster.now) is not None
    assert leader.core.change_members(one, cluster.now) is None


def test_a_leadership_transfer_completes_within_half_a_second():
    cluster = elect()
    old = cluster.leader()
    commit(cluster)
    assert old.core.transfer_leadership(cluster.now)
    assert old.core.propose(b"late", cluster.now) is None
    cluster.heal_and_run(0.5)
    assert cluster.leader().id != old.id


def test_committed_entries_are_never_overwritten():
    cluster = elect()
    commit(cluster, 3)
    leader = cluster.leader()
    follower = next(n for n in cluster.nodes.values() if n.id != leader.id)
    forged = messages.AppendEntries(
        leader.core.hard_state.term + 1,
        "x",
        0,
        0,
        0,
        cluster.now,
        [messages.Entry(1, leader.core.hard_state.term + 1)],
    )
    with pytest.raises(AssertionError):
        follower.core.receive(forged, cluster.now)


def test_a_new_leader_bounds_the_last_contact_with_the_old_one():
    cluster = fakes.Cluster(["a", "b", "c"])
    cluster.heal_and_run()
    old = cluster.leader()
    isolated_at = cluster.now
    for other in {"a", "b", "c"} - {old.id}:
        cluster.blocked_links |= {(old.id, other), (other, old.id)}
    while cluster.now < isolated_at + 8.0:
        cluster.step()
    new = cluster.leader()
    assert new.id != old.id
    # No lease of the old leader starts after the time of this contact, which
    # must be close to the time of the isolation.
    assert (
        isolated_at - 1.0
        <= new.core.quorum_leader_contact_at
        <= isolated_at + 0.2
    )


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count", [6, 9])
def test_two_lost_disks_while_all_others_lose_power_lose_no_entry(count, seed):
    """Guards against an acknowledgement that too few disks hold.

    Two of the disks that hold the newest entry are lost at the moment of its
    acknowledgement; all other replicas, learners too, lose power.
    """
    ids = [f"c{n}" for n in range(count)]
    cluster = fakes.Cluster(ids, seed)
    cluster.heal_and_run(5.0)
    add_learner(cluster, "learner")
    chance = random.Random(seed)
    leader = cluster.leader()
    for id in chance.sample(ids, 2):
        if id != leader.id:
            cluster.blocked_links |= {(leader.id, id), (id, leader.id)}
    cluster.propose(leader.id)
    index = leader.core.log.last_index
    while index not in cluster.applied_entries:
        cluster.step()
    entry = cluster.applied_entries[index]
    holders = [id for id in ids if index_on_disk(cluster, id) >= index]
    for id in cluster.nodes:
        cluster.crash(id)
    cluster.in_flight.clear()
    for id in chance.sample(holders, 2):
        del cluster.nodes[id]
    cluster.heal_and_run(10.0)
    assert cluster.leader() is not None
    assert cluster.leader().core.applied_index >= index
    assert cluster.applied_entries[index] == entry
    commit(cluster)


def add_learner(cluster, id):
    learner = fakes.Node(id, messages.Members({}))
    cluster.nodes[id] = learner
    learner.start(cluster.now)
    voters = dict(cluster.leader().core.members.voters)
    change(cluster, messages.Members(voters, {id: f"at-{id}"}))


def index_on_disk(cluster, id):
    return cluster.nodes[id].disk.log.last_index


def test_a_split_vote_costs_less_than_another_election_time_out():
    """Guards against seconds without a leader after a leader was killed.

    Of four replicas all three others must agree, so two that stand at the same
    time often fail both.
    """
    seconds = []
    for seed in range(200):
        cluster = fakes.Cluster(["a", "b", "c", "d"], seed)
        for node in cluster.nodes.values():
            node.core.random.seed(f"{node.id}/{seed}")
        cluster.heal_and_run(4.0)
        killed_at = cluster.now
        cluster.crash(cluster.leader().id)
        while cluster.leader() is None:
            cluster.step()
        seconds.append(cluster.now - killed_at)
    # A first election takes up to two time-outs, and its messages.
    slow = [s for s in seconds if s > 2.5 * replica.ELECTION_TIMEOUT_SECONDS]
    assert len(slow) <= len(seconds) // 20


def test_a_candidate_that_cannot_win_any_more_stands_again_soon():
    """Guards against a whole election time-out after each split vote."""
    cluster = fakes.Cluster(["a", "b", "c", "d"])
    core = cluster.nodes["a"].core
    now = core.election_deadline
    core.tick(now)
    for voter in ("b", "c"):
        core.receive(messages.VoteResponse(1, voter, True, True), now)
    assert core.role == replica.CANDIDATE and not core.is_pre_vote
    deadline = core.election_deadline
    # Votes for a rival; one is told twice, and one is of an earlier round.
    for voter, is_pre_vote in (("b", False), ("b", False), ("c", True)):
        refusal = messages.VoteResponse(1, voter, False, is_pre_vote)
        core.receive(refusal, now)
        assert core.election_deadline == deadline
    core.receive(messages.VoteResponse(1, "c", False, False), now)
    pause_seconds = core.election_deadline - now
    assert 0 <= pause_seconds <= replica.SPLIT_VOTE_PAUSE_SECONDS
    core.tick(core.election_deadline)
    assert core.is_pre_vote
    assert core.hard_state.term == 1
