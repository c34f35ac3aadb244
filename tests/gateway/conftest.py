"""End of the gateways that a test makes."""

import pytest

from tests.gateway.helpers import MADE_GATEWAYS, async_stop_gateways


@pytest.fixture(autouse=True)
async def stopped_gateways():
    """Stop the tasks of a test's gateways.

    Probes of links to targets that end with the test are started at its end,
    and would be destroyed before they run.
    """
    MADE_GATEWAYS.clear()
    yield
    await async_stop_gateways()
