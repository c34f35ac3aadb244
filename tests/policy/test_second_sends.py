"""Tests of the budget of further sends."""

import random

from bitternturn.policy.second_sends import SecondSends, SendReason

INSTANCES = 8
RATIO = 0.2
SLACK = 56
WINDOW_S = 10.0


def fail_all(budget, now, requests, further):
    """Send a request, and twice again where the budget allows it."""
    budget.note_request(now)
    requests.append(now)
    for _ in range(2):
        if budget.try_spend(SendReason.RETRY, now):
            further.append(now)


def check_windows(requests, further):
    """Check the bound in windows over a minute."""
    for start in range(100):
        begin = start / 2
        end = begin + WINDOW_S
        asked = sum(begin <= at < end for at in requests)
        repeated = sum(begin <= at < end for at in further)
        assert repeated <= RATIO * asked + SLACK


class TestBudget:
    def test_all_instances_together_keep_every_window(self):
        """Replays an outage in which every request is sent again."""
        rng = random.Random(3)
        budgets = [
            SecondSends(ratio=RATIO, slack=SLACK / INSTANCES, window_s=WINDOW_S)
            for _ in range(INSTANCES)
        ]
        requests, further = [], []
        now = 0.0
        while now < 60:
            now += rng.expovariate(45)
            budget = budgets[min(rng.randrange(12), INSTANCES - 1)]
            fail_all(budget, now, requests, further)
        check_windows(requests, further)

    def test_hedges_leave_room_for_retries(self):
        budget = SecondSends(ratio=0.0, slack=10, window_s=WINDOW_S)
        while budget.try_spend(SendReason.HEDGE, 1):
            pass
        assert budget.further == 6
        assert budget.try_spend(SendReason.RETRY, 1)

    def test_instances_that_restart_keep_every_window(self):
        """Replays kills of all instances while every request is sent again.

        A restarted process does not know what the one before it has sent.
        """
        rng = random.Random(5)
        requests, further = [], []
        now = 0.0
        budgets = []
        kills = [0.0, 18.0, 40.0]
        while now < 60:
            now += rng.expovariate(45)
            if kills and now >= kills[0]:
                restarted = bool(budgets)
                since = kills.pop(0)
                budgets = [
                    SecondSends(
                        ratio=RATIO,
                        slack=SLACK / INSTANCES,
                        window_s=WINDOW_S,
                        restarted_at=since if restarted else None,
                    )
                    for _ in range(INSTANCES)
                ]
            budget = budgets[rng.randrange(INSTANCES)]
            fail_all(budget, now, requests, further)
        check_windows(requests, further)

    def test_restarted_instance_has_the_whole_slack_after_a_window(self):
        budget = SecondSends(
            ratio=0.0, slack=10, window_s=WINDOW_S, restarted_at=5.0
        )
        spent = 0
        while budget.try_spend(SendReason.RETRY, 6.0):
            spent += 1
        assert spent == 2
        while budget.try_spend(SendReason.RETRY, 15.1):
            spent += 1
        assert spent == 8

    def test_room_comes_back_after_the_window(self):
        budget = SecondSends(ratio=0.0, slack=2, window_s=WINDOW_S)
        assert budget.try_spend(SendReason.RETRY, 0)
        assert not budget.try_spend(SendReason.RETRY, 9.9)
        assert budget.try_spend(SendReason.RETRY, 11)
