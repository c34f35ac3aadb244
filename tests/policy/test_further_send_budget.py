"""Tests of the budget of hedges and retries."""

import random

import pytest

from bitternturn.policy.further_send_budget import (
    DELEGATE_RANK_SHARES,
    FurtherSendBudget,
    SendReason,
    delegate_slack,
    instance_slack,
)

INSTANCES = 8
RATIO = 0.2
SLACK = 56
WINDOW_S = 10.0


def send_and_retry(budget, now, requests, further):
    """Record a request and up to two retries within the budget."""
    budget.record_request(now)
    requests.append(now)
    for _ in range(2):
        if budget.try_spend(SendReason.RETRY, now):
            further.append(now)


def check_windows(requests, further):
    """Check the budget in sliding windows over a minute."""
    for start in range(100):
        begin = start / 2
        end = begin + WINDOW_S
        request_count = sum(begin <= time < end for time in requests)
        further_count = sum(begin <= time < end for time in further)
        assert further_count <= RATIO * request_count + SLACK


class TestBudget:
    def test_all_instances_together_stay_within_the_budget(self):
        """Guard against a retry storm when every request is sent again."""
        rng = random.Random(3)
        budgets = [
            FurtherSendBudget(
                ratio=RATIO, slack=SLACK / INSTANCES, window_s=WINDOW_S
            )
            for _ in range(INSTANCES)
        ]
        requests, further = [], []
        now = 0.0
        while now < 60:
            now += rng.expovariate(45)
            budget = budgets[min(rng.randrange(12), INSTANCES - 1)]
            send_and_retry(budget, now, requests, further)
        check_windows(requests, further)

    def test_hedges_leave_room_for_retries(self):
        budget = FurtherSendBudget(ratio=0.0, slack=10, window_s=WINDOW_S)
        while budget.try_spend(SendReason.HEDGE, 1):
            pass
        assert budget.further_sends == 6
        assert budget.try_spend(SendReason.RETRY, 1)

    def test_restarted_instances_stay_within_the_budget(self):
        """Guard against an exceeded budget when all instances are killed.

        Every request is retried, and a restarted process does not know what
        the previous one has sent.
        """
        rng = random.Random(5)
        requests, further = [], []
        now = 0.0
        budgets = []
        restart_times = [0.0, 18.0, 40.0]
        while now < 60:
            now += rng.expovariate(45)
            if restart_times and now >= restart_times[0]:
                restarted = bool(budgets)
                killed_at = restart_times.pop(0)
                budgets = [
                    FurtherSendBudget(
                        ratio=RATIO,
                        slack=SLACK / INSTANCES,
                        window_s=WINDOW_S,
                        restarted_at=killed_at if restarted else None,
                    )
                    for _ in range(INSTANCES)
                ]
            budget = budgets[rng.randrange(INSTANCES)]
            send_and_retry(budget, now, requests, further)
        check_windows(requests, further)

    def test_restarted_instance_has_its_full_slack_after_one_window(self):
        budget = FurtherSendBudget(
            ratio=0.0, slack=10, window_s=WINDOW_S, restarted_at=5.0
        )
        spent = 0
        while budget.try_spend(SendReason.RETRY, 6.0):
            spent += 1
        assert spent == 2
        while budget.try_spend(SendReason.RETRY, 15.1):
            spent += 1
        assert spent == 8

    def test_budget_is_restored_after_the_window(self):
        budget = FurtherSendBudget(ratio=0.0, slack=2, window_s=WINDOW_S)
        assert budget.try_spend(SendReason.RETRY, 0)
        assert not budget.try_spend(SendReason.RETRY, 9.9)
        assert budget.try_spend(SendReason.RETRY, 11)


class TestDelegates:
    @pytest.mark.parametrize('domains', [1, 2, 6])
    def test_instances_and_delegates_stay_within_the_budget(self, domains):
        """Guards against the same slack being spent in two places.

        Instances may disagree on the ranks while one joins or leaves, so each
        rank is held by two of them.
        """
        now = 100.0
        slacks = [
            instance_slack(SLACK, instances=200, delegated=True)
            for _ in range(200)
        ]
        slacks += [
            delegate_slack(SLACK, domains=domains, rank=rank)
            for rank in range(len(DELEGATE_RANK_SHARES))
            for _ in range(2 * domains)
        ]
        spent = 0
        for slack in slacks:
            budget = FurtherSendBudget(ratio=0, slack=slack, window_s=WINDOW_S)
            while budget.try_spend(SendReason.RETRY, now):
                spent += 1
        assert spent <= SLACK

    def test_slack_of_services_without_delegates_is_not_reduced(self):
        assert instance_slack(SLACK, instances=8, delegated=False) == 7

    def test_further_ranks_spend_nothing(self):
        assert not delegate_slack(
            SLACK, domains=1, rank=len(DELEGATE_RANK_SHARES)
        )
