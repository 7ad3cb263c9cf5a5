"""Who is ended when the bytes held for callers exceed their budget."""

import hypothesis
from hypothesis import strategies

from pollenseam import budgets

MAX_BYTES = 1_000_000


def hold(budget, size, address="a", now=0.0, phase=budgets.Phase.RECEIVING):
    holder = budgets.Holder(address, now)
    holder.phase = phase
    budget.update(holder, size)
    return holder


def test_nobody_is_ended_within_the_budget():
    budget = budgets.Budget(MAX_BYTES)
    hold(budget, MAX_BYTES)
    assert budget.make_room(100.0) == []


def test_a_stalled_body_is_ended_before_a_newer_one():
    budget = budgets.Budget(MAX_BYTES)
    stalled = hold(budget, 600_000, "a", now=0.0)
    newer = hold(budget, 600_000, "b", now=4.9)
    assert budget.make_room(5.0) == [stalled]
    assert not newer.is_ending


def test_a_body_that_drips_is_stalled():
    holder = budgets.Holder("a", 0.0)
    for second in range(5):
        holder.record_moved(100, float(second))
    assert holder.is_stalled(5.0)
    holder.record_moved(budgets.PROGRESS_BYTES, 5.0)
    assert not holder.is_stalled(5.5)


def test_the_caller_that_uses_most_is_ended_before_others():
    budget = budgets.Budget(MAX_BYTES)
    greedy = [hold(budget, 300_000, "a") for _ in range(3)]
    hold(budget, 300_000, "b", now=0.5)
    [ended] = budget.make_room(0.6)
    assert ended in greedy


def test_the_first_of_several_bodies_can_finish():
    budget = budgets.Budget(MAX_BYTES)
    first, second, third = (
        hold(budget, 450_000, f"{n}", now=n / 10) for n in range(3)
    )
    assert budget.make_room(0.5) == [third]
    assert not first.is_ending
    assert not second.is_ending


def test_a_small_body_is_ended_last():
    budget = budgets.Budget(MAX_BYTES)
    large = hold(budget, MAX_BYTES, "a", now=0.0)
    small = hold(budget, 1000, "b", now=0.1)
    assert budget.make_room(0.2) == [large]
    assert not small.is_ending


def test_a_request_that_an_upstream_has_is_not_ended():
    budget = budgets.Budget(MAX_BYTES)
    hold(budget, 2 * MAX_BYTES, phase=budgets.Phase.SERVING)
    assert budget.make_room(100.0) == []


def test_a_reply_is_cut_only_if_it_is_not_read():
    budget = budgets.Budget(MAX_BYTES)
    holder = hold(budget, 2 * MAX_BYTES, phase=budgets.Phase.WRITING)
    assert budget.make_room(0.5) == []
    assert budget.make_room(2.0) == [holder]


def test_a_new_phase_begins_with_progress():
    holder = budgets.Holder("a", 0.0)
    holder.enter(budgets.Phase.WRITING, 10.0)
    assert not holder.is_stalled(10.5)
    holder.enter(budgets.Phase.WRITING, 12.0)
    assert holder.is_stalled(12.0)


operations = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.integers(0, MAX_BYTES),
        strategies.sampled_from(list(budgets.Phase)),
        strategies.booleans(),
    ),
    max_size=60,
)


@hypothesis.given(operations)
def test_what_may_be_ended_never_exceeds_the_budget(steps):
    budget = budgets.Budget(MAX_BYTES)
    holders = [budgets.Holder(f"{n % 3}", 0.0) for n in range(10)]
    for now, (number, size, phase, releases) in enumerate(steps):
        holder = holders[number]
        holder.phase = phase
        budget.update(holder, size)
        for ended in budget.make_room(float(now)):
            assert ended.phase is not budgets.Phase.SERVING
            if releases:
                budget.update(ended, 0)
                ended.is_ending = False
        left = [h for h in budget.holders if h.may_end(float(now))]
        assert budget.excess_bytes <= 0 or not left
        held = sum(h.held_bytes for h in holders)
        assert held == budget.total_bytes
        assert held == sum(budget.bytes_by_address.values())
        ending = sum(h.held_bytes for h in holders if h.is_ending)
        assert ending == budget.ending_bytes
