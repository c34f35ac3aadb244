"""Tests of when a second replica is asked."""

import pytest

from bitternturn.policy.hedging import are_stragglers


class TestStragglers:
    @pytest.mark.parametrize(
        ('still_open', 'fan_out', 'expected'),
        [(1, 1, True), (1, 20, True), (2, 20, True), (3, 20, False)],
    )
    def test_only_the_last_shards_are(self, still_open, fan_out, expected):
        found = are_stragglers(still_open=still_open, fan_out=fan_out)
        assert found is expected
