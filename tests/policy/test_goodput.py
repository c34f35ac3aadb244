"""Tests of the adaptive rate limit of an index."""

import pytest

from bitternturn.policy.goodput import GoodputLimit
from bitternturn.schema import config_pb2

CAPACITY = 20
STEP_S = 0.01


def run_load(limit, *, offered, seconds, start=0.0, priority):
    """Offer queries to a service that fails those above its capacity.

    Return the numbers of admitted and answered queries.
    """
    admitted, answered, tokens, pending = 0, 0, 1.0, 0.0
    for step in range(int(seconds / STEP_S)):
        now = start + step * STEP_S
        tokens = min(2.0, tokens + CAPACITY * STEP_S)
        pending += offered * STEP_S
        while pending >= 1:
            pending -= 1
            if limit.try_admit(priority, now) is not None:
                continue
            admitted += 1
            if tokens < 1:
                # Failed queries use capacity as well.
                tokens -= 0.5
                limit.on_overload(now)
                continue
            tokens -= 1
            answered += 1
            limit.on_answered(now)
    return admitted, answered


class TestGoodputLimit:
    def test_no_limit_below_capacity(self):
        limit = GoodputLimit()
        admitted, answered = run_load(
            limit,
            offered=CAPACITY / 2,
            seconds=10,
            priority=config_pb2.PRIORITY_BACKGROUND,
        )
        assert limit.rate is None
        assert admitted == answered

    @pytest.mark.parametrize('overload', [1.5, 3, 10])
    def test_goodput_is_kept_under_overload(self, overload):
        limit = GoodputLimit()
        _, answered = run_load(
            limit,
            offered=CAPACITY * overload,
            seconds=30,
            priority=config_pb2.PRIORITY_URGENT,
        )
        assert answered >= 0.8 * CAPACITY * 30

    def test_limit_is_removed_after_the_overload(self):
        limit = GoodputLimit()
        urgent = config_pb2.PRIORITY_URGENT
        run_load(limit, offered=CAPACITY * 3, seconds=10, priority=urgent)
        assert limit.rate is not None
        run_load(limit, offered=1, seconds=60, start=10, priority=urgent)
        assert limit.rate is None

    def test_urgent_queries_are_admitted_before_background_ones(self):
        limit = GoodputLimit()
        limit.on_answered(0)
        limit.on_overload(0)
        admitted_count = 0
        while limit.try_admit(config_pb2.PRIORITY_BACKGROUND, 0) is None:
            admitted_count += 1
        assert admitted_count
        assert limit.try_admit(config_pb2.PRIORITY_URGENT, 0) is None

    def test_retry_hint_is_the_time_until_the_next_token(self):
        limit = GoodputLimit()
        limit.on_overload(0)
        urgent = config_pb2.PRIORITY_URGENT
        while (refusal := limit.try_admit(urgent, 0)) is None:
            continue
        assert limit.try_admit(urgent, refusal.retry_after_ms / 1000) is None
