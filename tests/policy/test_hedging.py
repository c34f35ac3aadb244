"""Tests of the decision when to hedge."""

import pytest

from bitternturn.policy.hedging import are_stragglers


class TestStragglers:
    @pytest.mark.parametrize(
        ('still_open', 'fan_out', 'waited_s', 'expected'),
        [
            (1, 1, 0.01, True),
            (2, 20, 0.01, True),
            (3, 20, 0.01, False),
            (20, 20, 0.05, True),
        ],
    )
    def test_only_the_last_shards_or_after_a_long_delay(
        self, still_open, fan_out, waited_s, expected
    ):
        result = are_stragglers(
            pending=still_open,
            fan_out=fan_out,
            waited_s=waited_s,
            delay_s=0.01,
        )
        assert result is expected
