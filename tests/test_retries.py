"""The retry budget holds over all VMs, whatever fails."""

import random

from pollenseam import retries


def test_a_storm_of_failures_stays_within_the_budget_of_all():
    generator = random.Random(7)
    budgets = [retries.Budget(0.2, 62.0, 10.0) for _ in range(11)]
    requests: list[float] = []
    repeats: list[float] = []
    for step in range(3000):
        now = step / 100
        for budget in budgets:
            if generator.random() < 0.15:
                budget.record_request(now)
                requests.append(now)
                if budget.try_spend(11, now):
                    repeats.append(now)
    for start in range(0, 20):
        asked = sum(start <= t < start + 10 for t in requests)
        again = sum(start <= t < start + 10 for t in repeats)
        assert again <= 0.2 * asked + 62
    assert len(repeats) > 100


def test_the_slack_is_divided_between_vms():
    budget = retries.Budget(0.2, 60.0, 10.0)
    count = 0
    while budget.try_spend(6, 1.0):
        count += 1
    assert count == int(60 / 6 * retries.SPENDABLE_RATIO)
    assert not budget.can_spend(6, 5.0)
    assert budget.can_spend(6, 13.0)
