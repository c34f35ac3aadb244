"""Short soak tests with one regular seed and those that have failed."""

import pytest

from bench.soak.__main__ import async_soak

# Seeds that have failed, each with the cause.
REGRESSIONS = [
    # SIGHUP during start-up ended the process; bitternturn/platform/__main__.py
    # ignores the signal until the daemon handles it.
    pytest.param(2, id='reload_during_start'),
]
SECONDS = 6.0


class TestSoak:
    @pytest.mark.parametrize('seed', [1, *REGRESSIONS])
    async def test_no_violations(self, seed, tmp_path):
        report = await async_soak(seed, SECONDS, folder=tmp_path)
        assert not report['broken']
        assert report['requests'] > 100
