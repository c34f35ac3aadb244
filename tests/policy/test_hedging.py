"""Tests of when a second replica is asked."""

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
    def test_the_last_shards_or_a_lasting_cause(
        self, still_open, fan_out, waited_s, expected
    ):
        found = are_stragglers(
            still_open=still_open,
            fan_out=fan_out,
            waited_s=waited_s,
            delay_s=0.01,
        )
        assert found is expected
