"""Life cycle of upstreams: announcements and statements in any order, late."""

import msgspec
import test_steering
from hypothesis import stateful
from hypothesis import strategies as st

from pollenseam import observations
from pollenseam import registry
from pollenseam import requirements

VM_COUNT = 3
UPSTREAMS = ("i1", "i2")
STARTS = (1, 2, 3)
STATES = (registry.SERVING, registry.SERVING, registry.LEAVING)


class Upstreams(stateful.RuleBasedStateMachine):
    """Three entry VMs, their leader, and upstreams that start and leave.

    Guards against a request to a start of an upstream that has told the VM
    that it leaves, and against a later start that is held to what an earlier
    one said.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.registry = registry.Registry()
        self.board = observations.Board(lambda fingerprint: None)
        self.term = 1
        self.views = [observations.FleetView() for _ in range(VM_COUNT)]
        self.pools = []
        for view in self.views:
            pool = test_steering.pool_of({}, "a", "v1")
            pool.statements = view.statements
            self.pools.append(pool)
        self.heard = [set() for _ in range(VM_COUNT)]
        self.paused = [{} for _ in range(VM_COUNT)]

    @stateful.rule(
        id=st.sampled_from(UPSTREAMS),
        start=st.sampled_from(STARTS),
        sequence=st.integers(1, 9),
        state=st.sampled_from(STATES),
    )
    def announce(self, id, start, sequence, state):
        record = registry.Upstream(
            id, start, sequence, "s1", f"{id}:80", "a1", 3, state
        )
        self.registry.record_upstreams(
            self.registry.index + 1, int(self.now * 1000), [record]
        )

    @stateful.rule(vm=st.integers(0, VM_COUNT - 1))
    def follow(self, vm):
        """One VM receives the registry."""
        upstreams = {
            id: msgspec.structs.replace(record)
            for id, record in self.registry.upstreams.items()
        }
        serving = [u for u in upstreams.values() if u.state == registry.SERVING]
        self.pools[vm].update(serving, {"a1": "a"}, self.now)
        self.views[vm].statements.retain(self.registry.latest_start, self.now)

    @stateful.rule(
        vm=st.integers(0, VM_COUNT - 1),
        id=st.sampled_from(UPSTREAMS),
        start=st.sampled_from(STARTS),
        rate=st.sampled_from([-1.0, 2.0]),
    )
    def leave(self, vm, id, start, rate):
        """A VM reads a response which says that the upstream leaves."""
        table = self.views[vm].statements
        table.record(id, start, rate, self.now)
        table.record_leaving(id, start, self.now)
        self.heard[vm].add((id, start))

    @stateful.rule(
        vm=st.integers(0, VM_COUNT - 1),
        id=st.sampled_from(UPSTREAMS),
        start=st.sampled_from(STARTS),
        seconds=st.sampled_from([0.5, 2.0, 9.0]),
    )
    def pause(self, vm, id, start, seconds):
        """A VM reads a response that asks for a pause."""
        self.views[vm].statements.record_pause(id, start, seconds, self.now)
        until = self.now + seconds
        known = self.paused[vm].get((id, start), 0.0)
        self.paused[vm][id, start] = max(known, until)

    @stateful.rule(vm=st.integers(0, VM_COUNT - 1), is_full=st.booleans())
    def renew(self, vm, is_full):
        view = self.views[vm]
        report = view.build_report(is_full, self.now)
        update = self.board.answer(report, self.term, self.now)
        view.receive(report, update, self.now)

    @stateful.rule()
    def replace_leader(self):
        self.board = observations.Board(lambda fingerprint: None)
        self.term += 1

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def no_request_goes_where_it_is_not_wanted(self):
        for vm, pool in enumerate(self.pools):
            wanted = requirements.Requirements("r1", "7", (), ())
            choice = pool.choose(wanted, self.now)
            if choice is None:
                continue
            record = choice.upstream.record
            key = (record.id, record.started_ms)
            assert key not in self.heard[vm]
            assert self.paused[vm].get(key, 0.0) <= self.now

    @stateful.invariant()
    def a_start_that_said_nothing_is_not_held_to_an_earlier_one(self):
        said = set().union(*self.heard, *self.paused)
        for vm, pool in enumerate(self.pools):
            wanted = requirements.Requirements("r1", None, (), ())
            for id, upstream in pool.upstreams.items():
                key = (id, upstream.record.started_ms)
                is_over = any(s > key[1] for i, s in said if i == id)
                if is_over or key in said or key in self.paused[vm]:
                    continue
                wait = pool.seconds_until_allowed(upstream, wanted, self.now)
                assert wait is not None

    @stateful.invariant()
    def all_records_are_of_known_upstreams(self):
        for view in self.views:
            assert len(view.statements.records) <= len(UPSTREAMS)


TestUpstreams = Upstreams.TestCase
