"""Tests of the rate limit of sends to targets in cold start."""

import random

import pytest

from bitternturn.policy.cold_send_limit import ColdSendLimit


class TestColdSendLimit:
    @pytest.mark.parametrize(
        ('rate', 'instances'), [(2, 8), (10, 8), (2, 81), (50, 3)]
    )
    def test_all_instances_together_stay_within_the_limit_in_any_second(
        self, rate, instances
    ):
        """Guard against overload when a failure domain recovers under load."""
        rng = random.Random(5)
        cold_send_limits = [ColdSendLimit() for _ in range(instances)]
        for rank, cold_send_limit in enumerate(cold_send_limits):
            cold_send_limit.set_limit(
                rate=rate,
                factor=1.5,
                slack=5,
                instances=instances,
                rank=rank,
            )
        sent_at = []
        now = 0.0
        while now < 20:
            now += rng.expovariate(500)
            cold_send_limit = rng.choice(cold_send_limits)
            if cold_send_limit.allows(now):
                cold_send_limit.record_send(now)
                sent_at.append(now)
        total_limit = rate * 1.5 + 5
        window_starts = [time for time in sent_at if time > 5]
        max_sends_per_s = max(
            sum(window_start <= time < window_start + 1 for time in sent_at)
            for window_start in window_starts
        )
        assert sent_at
        assert max_sends_per_s <= total_limit

    def test_zero_rate_means_no_limit(self):
        cold_send_limit = ColdSendLimit()
        cold_send_limit.set_limit(
            rate=0, factor=1.5, slack=5, instances=8, rank=0
        )
        for _ in range(100):
            assert cold_send_limit.allows(1)
            cold_send_limit.record_send(1)
