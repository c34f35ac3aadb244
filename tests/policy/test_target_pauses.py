"""Tests of the decisions about targets that ask for a pause."""

import random

import pytest

from bitternturn.policy.target_pauses import (
    MAX_PAUSE_S,
    MAX_RETURN_SPREAD_S,
    RETURN_SPREAD,
    choose_return_at,
    find_soonest_return,
    spread_return,
)


class TestReturn:
    def test_instances_come_back_at_different_times(self):
        """A third of the targets has asked 60 instances for 2 s."""
        returns = sorted(
            choose_return_at(2, now=100, uniform=random.Random(seed).uniform)
            for seed in range(60)
        )
        assert returns[0] >= 102
        assert returns[-1] <= 102 + 2 * RETURN_SPREAD
        # No tenth of the spread holds a quarter of the instances.
        step_s = 2 * RETURN_SPREAD / 10
        assert all(
            sum(at <= one < at + step_s for one in returns) < 15
            for at in returns
        )

    @pytest.mark.parametrize(
        ('asked_s', 'least_s'),
        [(-5, 0), (0, 0), (0.25, 0.25), (9e99, MAX_PAUSE_S)],
    )
    def test_pause_is_bounded(self, asked_s, least_s):
        found = choose_return_at(
            asked_s, now=0, uniform=random.Random(1).uniform
        )
        assert least_s <= found <= least_s + MAX_RETURN_SPREAD_S

    def test_soonest_return_is_that_of_the_last_service_needed(self):
        assert find_soonest_return([7, 3, 5], needed=2) == 5
        assert find_soonest_return([7, 3, 5], needed=4) is None


class TestCallersReturn:
    def test_callers_do_not_return_for_one_permit_together(self):
        """Twenty callers are refused while all wait for the same permit."""
        waits = sorted(
            spread_return(2, uniform=random.Random(seed).uniform)
            for seed in range(20)
        )
        assert waits[0] >= 2
        assert waits[-1] <= 3
        assert waits[-1] - waits[0] > 0.5
