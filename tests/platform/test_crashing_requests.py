"""Tests of requests that crash the targets that run them."""

import asyncio
import contextlib

import pytest

from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.gateway.identity import identify_request
from bitternturn.platform.http_messages import read_request
from bitternturn.platform.wire_names import KIND_SUSPECTS
from bitternturn.policy.crash_evidence import CrashEvidence, TargetEnd
from bitternturn.standins.crashing_request import CrashingRequest
from bitternturn.standins.platform_target import ScriptedBehaviour
from tests.gateway.helpers import make_request
from tests.platform.documents import configuration_document
from tests.platform.fleet import DaemonFleet, async_wait_until

INSTANCES = 4
# Targets of the service `s`, to which the route `split` leads.
TARGETS = 12
CRASHING_PATH = '/split/crash'
WIDE_PATH = '/all/crash'
# Arrivals of the crashing request, and the time between two of them.
ARRIVALS = 16
INTERVAL_S = 0.3
# Retries that targets may get in all after the third of them has ended.
MAX_LATE_ARRIVALS = 3


SHARDS = tuple(f's{number}' for number in range(8))


def make_route(**fields):
    """Return a route of the configuration."""
    return {
        'hostname': 'search.example',
        'type': 'idempotent',
        'timeout-ms': 3000,
        'target-latency-ms': 500,
        'priority': 2,
        'attempts': 1,
        **fields,
    }


ROUTES = [
    make_route(name='one', **{'path-prefix': '/split/', 'service': 's'}),
    make_route(
        name='all',
        gather=SHARDS,
        attempts=2,
        **{'path-prefix': '/all/', 'top-k': 5, 'min-coverage': 0.5},
    ),
]


@contextlib.asynccontextmanager
async def running_fleet(folder, services, crashing_path):
    """Provide a fleet with a target for each service, and a crashing request."""
    fleet = DaemonFleet(folder)
    crashing = CrashingRequest(request_target=crashing_path)
    for service in services:
        await fleet.async_add_target(service, crashing=crashing)
    await fleet.async_start(
        instances=INSTANCES,
        configuration=configuration_document(routes=ROUTES),
    )
    try:
        yield fleet
    finally:
        await fleet.async_stop()


@pytest.fixture
async def fleet(tmp_path):
    """Provide a fleet of which one request ends the targets of a service."""
    services = ['s'] * TARGETS
    async with running_fleet(tmp_path, services, CRASHING_PATH) as running:
        yield running


@pytest.fixture
async def wide_fleet(tmp_path):
    """Provide a fleet of which one request ends the targets of all shards."""
    async with running_fleet(tmp_path, SHARDS * 3, WIDE_PATH) as running:
        yield running


async def async_repeat(fleet, path=CRASHING_PATH, *, interval_s=INTERVAL_S):
    """Let callers send the crashing request again and again."""
    responses = []
    for _ in range(ARRIVALS):
        responses.append(await fleet.async_ask(path))
        await asyncio.sleep(interval_s)
    return responses


class TestCrashingRequest:
    async def test_request_that_crashed_three_targets_reaches_few_more(
        self, fleet
    ):
        await async_repeat(fleet)
        crashing = fleet.targets[0].crashing
        assert len(crashing.ends) >= 3
        assert len(crashing.late_arrivals()) <= MAX_LATE_ARRIVALS

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
        assert started.gateway.decisions.counts['refused'] == 1
        assert len(crashing.arrivals) == arrived

    async def test_restart_of_all_instances_does_not_forget_it(self, fleet):
        await async_repeat(fleet)
        crashing = fleet.targets[0].crashing
        await async_wait_until(
            lambda: any(
                kind == KIND_SUSPECTS for kind, _ in fleet.store.objects
            )
        )
        for daemon in list(fleet.daemons):
            await fleet.async_remove_instance(daemon)
        for number in range(INSTANCES):
            await fleet.async_add_instance(f'new{number}')
        await fleet.async_settle()
        await async_wait_until(
            lambda: all(
                daemon.gateway.crash_suspects.crashing
                for daemon in fleet.daemons
            )
        )
        arrived = len(crashing.arrivals)
        await async_repeat(fleet)
        assert len(crashing.arrivals) == arrived


class TestDoubtedRequest:
    """The ends of a request may all have had one other cause."""

    def doubt(self, fleet, path):
        """Let all instances know of three ends at the same time."""
        key = identify_request(read_request(make_request(path=path)))
        for daemon in fleet.daemons:
            now = daemon.gateway.now()
            known = CrashEvidence()
            for number in range(3):
                known.add_end(
                    TargetEnd(
                        life=(TargetId(f'ended{number}'), 1),
                        service=ServiceName('s'),
                        at=now - 5,
                    )
                )
            daemon.gateway.crash_suspects.merge({key: known}, now)

    async def test_attempts_at_the_same_time_reach_few_targets(self, fleet):
        self.doubt(fleet, CRASHING_PATH)
        crashing = fleet.targets[0].crashing
        responses = await asyncio.gather(
            *(
                fleet.async_ask(CRASHING_PATH, daemon)
                for daemon in fleet.daemons * 3
            )
        )
        assert 1 <= len(crashing.arrivals) <= MAX_LATE_ARRIVALS
        assert {it.status for it in responses} == {502, 503}

    async def test_ordinary_ones_are_all_served_after_the_first(self, fleet):
        self.doubt(fleet, '/split/popular')
        responses = await asyncio.gather(
            *(
                fleet.async_ask('/split/popular', daemon)
                for daemon in fleet.daemons * 3
            )
        )
        assert {it.status for it in responses} == {200}


class TestSuspectedRequest:
    async def test_it_is_refused_before_any_send_though_others_answered(
        self, fleet
    ):
        """It may end the targets of one shard only, and get the others."""
        gateway = fleet.daemons[0].gateway
        caller = read_request(make_request(path=CRASHING_PATH))
        now = gateway.now()
        known = CrashEvidence()
        for number in range(3):
            known.add_end(
                TargetEnd(
                    life=(TargetId(f'ended{number}'), 1),
                    service=ServiceName('s'),
                    at=now - 5 + number,
                )
            )
        known.add_answer(ServiceName('other'), now - 1)
        gateway.crash_suspects.merge({identify_request(caller): known}, now)
        response = await fleet.async_ask(CRASHING_PATH, fleet.daemons[0])
        assert response.body == b'crashes_targets'
        assert gateway.decisions.counts['refused'] == 1


class TestCrashingWideRequest:
    """The parts of a request run at the same time, each at one target."""

    async def test_it_reaches_few_targets_when_it_comes_again(self, wide_fleet):
        await async_repeat(wide_fleet, WIDE_PATH)
        crashing = wide_fleet.targets[0].crashing
        assert len(crashing.ends) >= len(SHARDS)
        late = crashing.late_arrivals(grace_s=INTERVAL_S / 2)
        assert len(late) <= MAX_LATE_ARRIVALS

    async def test_first_attempt_leaves_the_other_replicas(self, wide_fleet):
        await wide_fleet.async_ask(WIDE_PATH)
        crashing = wide_fleet.targets[0].crashing
        assert len(SHARDS) <= len(crashing.ends) <= len(SHARDS) + 3


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
