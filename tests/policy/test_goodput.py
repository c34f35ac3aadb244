"""Tests of the limit that follows what an index answers."""

import pytest

from bitternturn.policy.goodput import GoodputLimit
from bitternturn.schema import config_pb2

CAPACITY = 20
STEP_S = 0.01


def run(limit, *, offered, seconds, start=0.0, priority):
    """Offer queries to a service that fails all above its capacity."""
    admitted, done, tokens, due = 0, 0, 1.0, 0.0
    for step in range(int(seconds / STEP_S)):
        now = start + step * STEP_S
        tokens = min(2.0, tokens + CAPACITY * STEP_S)
        due += offered * STEP_S
        while due >= 1:
            due -= 1
            if limit.offer(priority, now) is not None:
                continue
            admitted += 1
            if tokens < 1:
                # What was begun in vain uses up capacity too.
                tokens -= 0.5
                limit.on_overload(now)
                continue
            tokens -= 1
            done += 1
            limit.on_done(now)
    return admitted, done


class TestGoodputLimit:
    def test_no_limit_below_capacity(self):
        limit = GoodputLimit()
        admitted, done = run(
            limit,
            offered=CAPACITY / 2,
            seconds=10,
            priority=config_pb2.PRIORITY_BACKGROUND,
        )
        assert limit.rate is None
        assert admitted == done

    @pytest.mark.parametrize('overload', [1.5, 3, 10])
    def test_keeps_goodput_under_overload(self, overload):
        limit = GoodputLimit()
        _, done = run(
            limit,
            offered=CAPACITY * overload,
            seconds=30,
            priority=config_pb2.PRIORITY_URGENT,
        )
        assert done >= 0.8 * CAPACITY * 30

    def test_limit_ends_with_the_overload(self):
        limit = GoodputLimit()
        urgent = config_pb2.PRIORITY_URGENT
        run(limit, offered=CAPACITY * 3, seconds=10, priority=urgent)
        assert limit.rate is not None
        run(limit, offered=1, seconds=60, start=10, priority=urgent)
        assert limit.rate is None

    def test_urgent_goes_before_background(self):
        limit = GoodputLimit()
        limit.on_done(0)
        limit.on_overload(0)
        taken = 0
        while limit.offer(config_pb2.PRIORITY_BACKGROUND, 0) is None:
            taken += 1
        assert taken
        assert limit.offer(config_pb2.PRIORITY_URGENT, 0) is None

    def test_refusal_tells_when_a_token_is_there(self):
        limit = GoodputLimit()
        limit.on_overload(0)
        urgent = config_pb2.PRIORITY_URGENT
        while (refusal := limit.offer(urgent, 0)) is None:
            continue
        assert limit.offer(urgent, refusal.retry_after_ms / 1000) is None
