"""Tests of requests that crash the targets that run them."""

import asyncio

import pytest

from bitternturn.standins.crashing_request import CrashingRequest
from bitternturn.standins.platform_target import ScriptedBehaviour
from tests.platform.documents import configuration_document
from tests.platform.fleet import DaemonFleet, async_wait_until

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

    async def test_instance_that_starts_later_refuses_it_at_once(self, fleet):
        await async_repeat(fleet)
        crashing = fleet.targets[0].crashing
        for _ in range(3):
            await fleet.async_add_target('s', crashing=crashing)
        started = await fleet.async_add_instance('late')
        await fleet.async_settle()
        await async_wait_until(lambda: started.gateway.crash_suspects.crashing)
        arrived = len(crashing.arrivals)
        response = await fleet.async_ask(CRASHING_PATH, started)
        assert (response.status, response.body) == (503, b'crashes_targets')
        assert float(response.headers['retry-after']) > 1
        assert len(crashing.arrivals) == arrived


class TestOrdinaryRequests:
    async def test_they_are_served_beside_it(self, fleet):
        await async_repeat(fleet)
        response = await fleet.async_ask('/split/ordinary')
        assert response.status == 200

    async def test_popular_one_is_not_refused_when_targets_crash(self, fleet):
        """Targets crash by themselves with the same request under way."""
        for target in fleet.targets:
            target.delay_s = 0.05
        responses = []
        for target in fleet.targets[:6]:
            asked = [
                asyncio.ensure_future(fleet.async_ask('/split/popular'))
                for _ in range(2 * TARGETS)
            ]
            await asyncio.sleep(0.03)
            await target.async_stop()
            responses.extend(await asyncio.gather(*asked))
            await asyncio.sleep(INTERVAL_S)
        refused = [it for it in responses if it.body == b'crashes_targets']
        ends = sum(
            daemon.gateway.decisions.counts['target_ended']
            for daemon in fleet.daemons
        )
        assert ends >= 6
        assert not refused

    async def test_reset_connections_are_no_ends(self, fleet):
        """The targets still accept connections."""
        for target in fleet.targets:
            target.script = lambda _count: ScriptedBehaviour.RESET
        for _ in range(10):
            await fleet.async_ask('/split/reset')
        for target in fleet.targets:
            target.script = lambda _count: ScriptedBehaviour.ANSWER
        response = await fleet.async_ask('/split/reset')
        assert response.status == 200
        assert not any(
            daemon.gateway.crash_suspects.evidence for daemon in fleet.daemons
        )
