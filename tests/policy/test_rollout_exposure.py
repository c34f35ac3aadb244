"""Tests of the share of requests that goes to a version under test."""

import random

import pytest

from tests.policy.rollout_simulation import SHARE, SLACK, make_budget


def spend(budget, requests):
    """Send requests, to the version whenever it is allowed; return how many."""
    sent = 0
    for _ in range(requests):
        canary = budget.allows()
        budget.record(canary=canary)
        sent += canary
    return sent


class TestExposureBudget:
    @pytest.mark.parametrize('instances', [1, 8, 72, 124, 440])
    @pytest.mark.parametrize('requests', [0, 1, 2, 3, 5, 8, 11, 100])
    def test_sum_over_instances_is_bounded(self, instances, requests):
        """Each instance gets the same number of requests, the worst case."""
        rng = random.Random(1)
        for _ in range(40):
            budgets = [
                make_budget(rng, instances, it) for it in range(instances)
            ]
            sent = sum(spend(budget, requests) for budget in budgets)
            assert sent <= SHARE * requests * instances + SLACK

    @pytest.mark.parametrize('instances', [8, 72, 440])
    def test_restarts_add_nothing(self, instances):
        """Initial permits were used by the earlier process."""
        rng = random.Random(2)
        for _ in range(20):
            sent = total = 0
            for rank in range(instances):
                for life in range(6):
                    requests = rng.randrange(30)
                    budget = make_budget(
                        rng, instances, rank, restarted=bool(life)
                    )
                    sent += spend(budget, requests)
                    total += requests
            assert sent <= SHARE * total + SLACK

    @pytest.mark.parametrize('instances', [8, 72, 124, 440])
    def test_slow_services_give_evidence(self, instances):
        """10 requests a second for 12 s, spread over all instances."""
        rng = random.Random(3)
        budgets = [make_budget(rng, instances, it) for it in range(instances)]
        sent = sum(spend(rng.choice(budgets), 1) for _ in range(120))
        assert sent >= 10

    def test_requests_that_are_not_written_are_withdrawn(self):
        budget = make_budget(random.Random(4), 8, 0)
        before = (budget.requests, budget.canaries)
        budget.record(canary=True)
        budget.withdraw(canary=True)
        assert (budget.requests, budget.canaries) == before
