"""The retry budget is kept over all VMs together."""

import random

from pollenseam import retries


def test_retries_of_all_vms_stay_within_the_budget_if_all_requests_fail():
    generator = random.Random(7)
    budgets = [retries.Budget(0.2, 62.0, 10.0) for _ in range(11)]
    request_times: list[float] = []
    retry_times: list[float] = []
    for step in range(3000):
        now = step / 100
        for budget in budgets:
            if generator.random() < 0.15:
                budget.record_request(now)
                request_times.append(now)
                if budget.try_spend(11, now):
                    retry_times.append(now)
    for start in range(0, 20):
        request_count = sum(start <= t < start + 10 for t in request_times)
        retry_count = sum(start <= t < start + 10 for t in retry_times)
        assert retry_count <= 0.2 * request_count + 62
    assert len(retry_times) > 100


def test_the_slack_is_divided_between_vms():
    budget = retries.Budget(0.2, 60.0, 10.0)
    count = 0
    while budget.try_spend(6, 1.0):
        count += 1
    assert count == int(60 / 6 * retries.SPENDABLE_RATIO)
    assert not budget.can_spend(6, 5.0)
    assert budget.can_spend(6, 13.0)
