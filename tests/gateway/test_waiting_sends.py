"""Tests of new information about requests that wait for a connection.

A target has one connection, on which a first request takes some time; the others
wait behind it. A caller that is not hedged would stay with a target that must not
be used any longer until all requests before its own are answered.
"""

import asyncio

import pytest

from bitternturn.core.ids import FailureDomain, ServiceName
from bitternturn.gateway.models import (
    RepeatPolicy,
    TargetState,
    WeightedService,
)
from bitternturn.policy.crash_evidence import CrashEvidence
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_shard_route,
    register,
    running_targets,
)
from tests.platform.test_mirror import async_until

LEFT_MS = 9000
FIELDS = {
    'repeat_policy': RepeatPolicy.AT_MOST_ONCE,
    'latency_objective_s': 5.0,
    'timeout_s': 9.0,
}
ROUTE = make_route(**FIELDS)
SOUTH = FailureDomain('south')


def make_waiting_request(number):
    """Return a request that can wait for long."""
    return make_request(f'q{number}', path='/a/x/y', left_ms=LEFT_MS)


class Waiting:
    """A gateway with one target; three requests, of which two wait."""

    def __init__(self, gateway, busy, other, asked):
        self.gateway = gateway
        self.busy = busy
        self.other = other
        self.asked = asked

    def drain(self, *others):
        """Let the target be listed as draining, beside others."""
        register(
            self.gateway,
            make_entry(self.busy, state=TargetState.DRAINING),
            *others,
        )

    def remove(self, *others):
        """List only other targets."""
        register(self.gateway, *others)

    def replace(self, *others):
        """Let a new life of the target be listed that is not ready."""
        register(
            self.gateway,
            make_entry(self.busy, started_at_ms=2, state=TargetState.DRAINING),
            *others,
        )

    def take_domain_out(self, *others):
        """Take the domain of the target out of service."""
        self.gateway.fleet_state.set_domains_out(['north'])
        register(self.gateway, make_entry(self.busy), *others)

    def displace(self, *others):
        """Let another target answer at the address."""
        register(self.gateway, make_entry(self.busy), *others)
        self.gateway.displace(self.gateway.targets['busy'])


CHANGES = [
    Waiting.drain,
    Waiting.remove,
    Waiting.replace,
    Waiting.take_domain_out,
    Waiting.displace,
]


@pytest.fixture
async def waiting():
    """Return a gateway with requests that wait for a target."""
    busy = PlatformTarget(id='busy', delay_s=0.3)
    other = PlatformTarget(id='other')
    async with running_targets(busy, other):
        gateway = make_gateway()
        configure(gateway, ROUTE)
        register(gateway, make_entry(busy))
        gateway.targets['busy'].connections.max_count = 1
        asked = []
        for number in range(3):
            asked.append(
                asyncio.create_task(
                    gateway.async_handle(make_waiting_request(number))
                )
            )
            await async_until(lambda: busy.requests)
        await async_until(lambda: len(gateway.targets['busy'].queued) == 2)
        yield Waiting(gateway, busy, other, asked)
        await asyncio.gather(*asked, return_exceptions=True)


async def async_finish(waiting):
    """Return the statuses of the first request and of those that waited.

    Those that waited end before the first one, which is in flight.
    """
    late = await asyncio.gather(*waiting.asked[1:])
    assert not waiting.asked[0].done()
    first = await waiting.asked[0]
    return first.status, {response.status for response in late}


class TestTargetOutOfUse:
    @pytest.mark.parametrize('change', CHANGES)
    async def test_waiting_requests_move(self, waiting, change):
        change(waiting, make_entry(waiting.other, failure_domain=SOUTH))
        assert await async_finish(waiting) == (200, {200})
        assert [it.id for it in waiting.busy.requests] == ['q0']
        assert sorted(it.id for it in waiting.other.requests) == ['q1', 'q2']

    @pytest.mark.parametrize('change', CHANGES)
    async def test_without_another_target_they_are_not_run(
        self, waiting, change
    ):
        change(waiting)
        assert await async_finish(waiting) == (200, {503})
        assert [it.id for it in waiting.busy.requests] == ['q0']

    async def test_missing_entry_in_an_outage_keeps_them(self, waiting):
        """The target may only have been unable to renew its entry."""
        gateway = waiting.gateway
        gateway.fleet_state.store_failed_at = gateway.now()
        waiting.remove()
        gateway.targets['busy'].connections.max_count = 1
        responses = await asyncio.gather(*waiting.asked)
        assert {response.status for response in responses} == {200}
        assert len(waiting.busy.requests) == 3

    async def test_state_is_checked_when_a_request_is_written(self, waiting):
        """The state is known before the targets are assigned anew."""
        waiting.gateway.fleet_state.set_domains_out(['north'])
        responses = await asyncio.gather(*waiting.asked)
        assert [response.status for response in responses] == [200, 503, 503]
        assert [it.id for it in waiting.busy.requests] == ['q0']


def route_to(service, **changes):
    """Return the route with another service."""
    shares = (WeightedService(service=ServiceName(service), weight=1),)
    return make_route(**{**FIELDS, 'services': shares, **changes})


def split_away():
    """Return the route with all of its weight on another service."""
    shares = (
        WeightedService(service=ServiceName('s'), weight=0),
        WeightedService(service=ServiceName('z'), weight=1),
    )
    return make_route(**{**FIELDS, 'services': shares})


class TestNewConfiguration:
    @pytest.mark.parametrize(
        'routes',
        [
            [],
            [route_to('z')],
            [split_away()],
            [route_to('s', prefix='/b/')],
            [ROUTE, route_to('z', prefix='/a/x/')],
        ],
        ids=['no_route', 'service', 'weight', 'prefix', 'longer_prefix'],
    )
    async def test_requests_without_their_service_are_not_run(
        self, waiting, routes
    ):
        configure(waiting.gateway, *routes, version=2)
        assert await async_finish(waiting) == (200, {503})
        assert [it.id for it in waiting.busy.requests] == ['q0']

    async def test_requests_keep_waiting_for_a_service_that_they_may_use(
        self, waiting
    ):
        configure(waiting.gateway, route_to('s', max_targets=3), version=2)
        waiting.gateway.targets['busy'].connections.max_count = 1
        responses = await asyncio.gather(*waiting.asked)
        assert {response.status for response in responses} == {200}

    async def test_no_retry_follows_under_the_old_route(self):
        """The target fails after the route has gone."""
        busy = PlatformTarget(id='busy', delay_s=0.3)
        other = PlatformTarget(id='other')
        async with running_targets(busy, other):
            gateway = make_gateway()
            configure(gateway, make_route(latency_objective_s=5.0))
            register(gateway, make_entry(busy))
            asked = asyncio.create_task(
                gateway.async_handle(make_waiting_request(0))
            )
            await async_until(lambda: busy.requests)
            register(gateway, make_entry(busy), make_entry(other))
            configure(gateway, version=2)
            await busy.async_stop()
            response = await asked
        assert response.status == 502
        assert not other.requests

    async def test_no_retry_follows_once_the_route_runs_once(self):
        busy = PlatformTarget(id='busy', delay_s=0.3)
        other = PlatformTarget(id='other')
        async with running_targets(busy, other):
            gateway = make_gateway()
            configure(gateway, make_route(latency_objective_s=5.0))
            register(gateway, make_entry(busy))
            asked = asyncio.create_task(
                gateway.async_handle(make_waiting_request(0))
            )
            await async_until(lambda: busy.requests)
            register(gateway, make_entry(busy), make_entry(other))
            configure(gateway, ROUTE, version=2)
            await busy.async_stop()
            response = await asked
        assert response.status == 502
        assert not other.requests

    async def test_part_whose_shard_is_gone_is_left_out(self):
        """The other parts are answered without waiting for it."""
        busy = PlatformTarget(id='busy', delay_s=0.3)
        other = PlatformTarget(id='other')
        fields = {'latency_objective_s': 5.0, 'timeout_s': 9.0}
        async with running_targets(busy, other):
            gateway = make_gateway()
            configure(gateway, make_shard_route(2, **fields))
            register(gateway, make_entry(other, 's0'), make_entry(busy, 's1'))
            gateway.targets['busy'].connections.max_count = 1
            asked = []
            for number in range(2):
                asked.append(
                    asyncio.create_task(
                        gateway.async_handle(make_waiting_request(number))
                    )
                )
                await async_until(lambda: busy.requests)
            await async_until(lambda: len(other.requests) == 2)
            configure(gateway, make_shard_route(1, **fields), version=2)
            late = await asked[1]
            assert not asked[0].done()
            first = await asked[0]
        assert [it.status for it in (first, late)] == [200, 200]
        assert first.headers['x-missing-parts'] == '0'
        assert late.headers['x-missing-parts'] == '1'
        assert [it.id for it in busy.requests] == ['q0']

    async def test_route_that_goes_during_a_check_is_not_used(
        self, monkeypatch
    ):
        """A request that may crash targets waits before it is sent."""
        target = PlatformTarget(id='t')
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_route())
            register(gateway, make_entry(target))

            async def async_check(_caller):
                configure(gateway, version=2)

            gateway.crash_suspects.evidence['another'] = CrashEvidence()
            monkeypatch.setattr(gateway, '_async_check_suspicion', async_check)
            response = await gateway.async_handle(make_request())
        assert response.status == 404
        assert not target.requests


class TestOrder:
    """Urgent requests must not wait behind others for a connection."""

    async def test_urgent_requests_are_sent_first(self):
        busy = PlatformTarget(id='busy', delay_s=0.1)
        async with running_targets(busy):
            gateway = make_gateway()
            configure(
                gateway,
                make_route(**FIELDS, priority=2),
                make_route(**FIELDS, name='r-2', prefix='/b/', priority=0),
            )
            register(gateway, make_entry(busy))
            gateway.targets['busy'].connections.max_count = 1
            requests = [
                make_waiting_request(0),
                make_waiting_request(1),
                make_request('q2', path='/a/x/y', left_ms=LEFT_MS // 2),
                make_request('q3', path='/b/x', left_ms=LEFT_MS),
            ]
            asked = []
            for request in requests:
                asked.append(asyncio.create_task(gateway.async_handle(request)))
                await async_until(lambda: busy.requests)
            responses = await asyncio.gather(*asked)
        assert {response.status for response in responses} == {200}
        assert [it.id for it in busy.requests] == ['q0', 'q3', 'q2', 'q1']
