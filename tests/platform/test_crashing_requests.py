"""Tests of requests that crash the targets that run them."""

import asyncio

import pytest

from bitternturn.standins.crashing_request import CrashingRequest
from tests.platform.documents import configuration_document
from tests.platform.fleet import DaemonFleet

INSTANCES = 4
# Targets of the service `s`, to which the route `split` leads.
TARGETS = 12
CRASHING_PATH = '/split/crash'
# Arrivals of the crashing request, and the time between two of them.
ARRIVALS = 16
INTERVAL_S = 0.3
# Retries that targets may get in all after the third of them has ended.
MAX_LATE_ARRIVALS = 3


@pytest.fixture
async def fleet(tmp_path):
    """Provide a fleet of which one request ends the targets."""
    fleet = DaemonFleet(tmp_path)
    crashing = CrashingRequest(request_target=CRASHING_PATH)
    for _ in range(TARGETS):
        await fleet.async_add_target('s', crashing=crashing)
    await fleet.async_start(
        instances=INSTANCES,
        configuration=configuration_document(
            routes=[
                {
                    'name': 'split',
                    'hostname': 'search.example',
                    'path-prefix': '/split/',
                    'type': 'idempotent',
                    'timeout-ms': 3000,
                    'target-latency-ms': 500,
                    'priority': 2,
                    'service': 's',
                    'attempts': 1,
                },
            ],
        ),
    )
    yield fleet
    await fleet.async_stop()


async def async_repeat(fleet, arrivals=ARRIVALS):
    """Let callers send the crashing request again and again."""
    responses = []
    for _ in range(arrivals):
        responses.append(await fleet.async_ask(CRASHING_PATH))
        await asyncio.sleep(INTERVAL_S)
    return responses


class TestCrashingRequest:
    async def test_request_that_crashed_three_targets_reaches_few_more(
        self, fleet
    ):
        await async_repeat(fleet)
        crashing = fleet.targets[0].crashing
        assert len(crashing.ends) >= 3
        assert crashing.count_late_arrivals() <= MAX_LATE_ARRIVALS
