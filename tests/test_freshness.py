"""Tests of the age of settings, which must never be underestimated."""

from hypothesis import stateful
from hypothesis import strategies as st

from pollenseam import freshness

VMS = ["a", "b", "c"]


class Relays(stateful.RuleBasedStateMachine):
    """VMs fetch from the leader and from each other, in any order.

    Each VM's clock has its own offset. `leader_time` is the real time at which
    the leader last confirmed its settings. `true_times` has, for each VM, the
    real time of the confirmation on which its settings are based. Responses
    may be delayed, reordered and duplicated.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.offsets = {name: 37.0 * n for n, name in enumerate(VMS)}
        self.ages = {name: freshness.Freshness() for name in VMS}
        self.true_times = dict.fromkeys(VMS, float("-inf"))
        self.leader_time = self.now
        self.pending_responses = []

    def clock(self, name):
        return self.now + self.offsets[name]

    @stateful.rule(seconds=st.floats(0, 5))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.rule(seconds=st.floats(0, 3))
    def confirm(self, seconds):
        self.leader_time = max(self.leader_time, self.now - seconds)

    @stateful.rule(name=st.sampled_from(VMS), delay=st.floats(0, 10))
    def fetch_from_leader(self, name, delay):
        sent_at = self.clock(name)
        self.now += delay
        age_ms = int((self.now - self.leader_time) * 1000) + 1
        self.pending_responses.append((name, sent_at, age_ms, self.leader_time))

    @stateful.rule(
        name=st.sampled_from(VMS),
        source=st.sampled_from(VMS),
        delay=st.floats(0, 10),
    )
    def fetch_from_relay(self, name, source, delay):
        sent_at = self.clock(name)
        self.now += delay
        age_ms = self.ages[source].age_ms(self.clock(source))
        self.pending_responses.append(
            (name, sent_at, age_ms, self.true_times[source])
        )

    @stateful.rule(place=st.integers(0, 9), again=st.booleans())
    def answer(self, place, again):
        if not self.pending_responses:
            return
        place %= len(self.pending_responses)
        name, sent_at, age_ms, true_time = self.pending_responses[place]
        if not again:
            del self.pending_responses[place]
        self.ages[name].record_age(sent_at, age_ms)
        if age_ms >= 0:
            self.true_times[name] = max(self.true_times[name], true_time)

    @stateful.invariant()
    def no_vm_underestimates_its_age(self):
        for name in VMS:
            real_age = self.now - self.true_times[name]
            assert self.ages[name].age(self.clock(name)) >= real_age - 1e-6


TestRelays = Relays.TestCase


def test_an_unknown_age_is_infinite_and_is_not_recorded():
    age = freshness.Freshness()
    age.record_age(10.0, -1)
    assert age.age(10.0) == float("inf")
    assert age.age_ms(10.0) == -1
    assert age.time_at_age(5.0) == float("-inf")


def test_time_at_age_agrees_with_the_age():
    age = freshness.Freshness()
    age.record_age(10.0, 500)
    end = age.time_at_age(5.0)
    assert age.age(end - 0.001) < 5.0 <= age.age(end + 0.001)
