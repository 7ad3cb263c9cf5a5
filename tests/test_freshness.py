"""Ages of settings: relays, loops and delays never make them younger."""

from hypothesis import stateful
from hypothesis import strategies as st

from pollenseam import freshness

VMS = ["a", "b", "c"]


class Relays(stateful.RuleBasedStateMachine):
    """VMs fetch from the leader and from each other, in any order.

    Each VM's clock has an offset of its own. The truth is kept in real
    time: the leader's settings as of a moment, carried along.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.offsets = {name: 37.0 * n for n, name in enumerate(VMS)}
        self.ages = {name: freshness.Freshness() for name in VMS}
        self.truth = dict.fromkeys(VMS, float("-inf"))
        self.leader_at = self.now
        self.under_way = []

    def clock(self, name):
        return self.now + self.offsets[name]

    @stateful.rule(seconds=st.floats(0, 5))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(seconds=st.floats(0, 3))
    def confirm(self, seconds):
        self.leader_at = max(self.leader_at, self.now - seconds)

    @stateful.rule(name=st.sampled_from(VMS), delay=st.floats(0, 10))
    def fetch_from_leader(self, name, delay):
        sent_at = self.clock(name)
        self.now += delay
        age_ms = int((self.now - self.leader_at) * 1000) + 1
        self.under_way.append((name, sent_at, age_ms, self.leader_at))

    @stateful.rule(
        name=st.sampled_from(VMS),
        source=st.sampled_from(VMS),
        delay=st.floats(0, 10),
    )
    def fetch_from_relay(self, name, source, delay):
        sent_at = self.clock(name)
        self.now += delay
        age_ms = self.ages[source].age_ms(self.clock(source))
        self.under_way.append((name, sent_at, age_ms, self.truth[source]))

    @stateful.rule(place=st.integers(0, 9), again=st.booleans())
    def answer(self, place, again):
        if not self.under_way:
            return
        place %= len(self.under_way)
        name, sent_at, age_ms, truth = self.under_way[place]
        if not again:
            del self.under_way[place]
        self.ages[name].record_age(sent_at, age_ms)
        if age_ms >= 0:
            self.truth[name] = max(self.truth[name], truth)

    @stateful.invariant()
    def nobody_believes_itself_younger_than_it_is(self):
        for name in VMS:
            real = self.now - self.truth[name]
            assert self.ages[name].age(self.clock(name)) >= real - 1e-6


TestRelays = Relays.TestCase


def test_an_unknown_age_is_infinite_and_never_taken_over():
    age = freshness.Freshness()
    age.record_age(10.0, -1)
    assert age.age(10.0) == float("inf")
    assert age.age_ms(10.0) == -1
    assert age.time_at_age(5.0) == float("-inf")


def test_the_end_agrees_with_the_age():
    age = freshness.Freshness()
    age.record_age(10.0, 500)
    end = age.time_at_age(5.0)
    assert age.age(end - 0.001) < 5.0 <= age.age(end + 0.001)
