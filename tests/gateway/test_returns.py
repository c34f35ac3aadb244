"""Tests of the Retry-After of requests that targets did not run.

With one constant time, all callers that an overload refuses return together and
repeat it.
"""

import asyncio

import pytest

from bitternturn.standins.platform_target import (
    PlatformTarget,
    ScriptedBehaviour,
)
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

CALLERS = 40


def make_shedding_target(name='t'):
    """Return a target that rejects every request as not run."""
    return PlatformTarget(
        id=name, script=lambda _count: ScriptedBehaviour.NOT_RUN
    )


async def async_ask(gateway, count, path='/a/x', left_ms=1500):
    """Return the Retry-After times of requests at the same time."""
    responses = await asyncio.gather(
        *(
            gateway.async_handle(
                make_request(f'{path}{number}', path=path, left_ms=left_ms)
            )
            for number in range(count)
        )
    )
    assert {response.status for response in responses} == {503}
    return [response.headers['retry-after'] for response in responses]


class TestRetryAfter:
    @pytest.mark.parametrize('left_ms', [100, 1000])
    async def test_single_refusal_states_the_minimum(self, left_ms):
        """Deployments without load keep the time that they had."""
        target = make_shedding_target()
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_route())
            register(gateway, make_entry(target))
            waits = await async_ask(gateway, 1, left_ms=left_ms)
        assert waits == ['0.100']

    async def test_refusals_at_once_are_spread(self):
        target = make_shedding_target()
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_route())
            register(gateway, make_entry(target))
            waits = [float(it) for it in await async_ask(gateway, CALLERS)]
        assert len(set(waits)) > CALLERS / 4
        assert all(0.1 <= wait_s <= 0.5 for wait_s in waits)

    async def test_urgent_callers_are_not_delayed_by_others(self):
        """Routes share the room of their services."""
        target = make_shedding_target()
        async with running_targets(target):
            gateway = make_gateway()
            configure(
                gateway,
                make_route(priority=2),
                make_route(name='r-2', prefix='/b/', priority=0),
            )
            register(gateway, make_entry(target))
            late = [float(it) for it in await async_ask(gateway, CALLERS)]
            urgent = await async_ask(gateway, 1, path='/b/x')
        assert urgent == ['0.100']
        assert max(late) > 0.2

    async def test_refusals_of_wide_requests_are_spread(self):
        targets = [make_shedding_target('s0'), make_shedding_target('s1')]
        async with running_targets(*targets):
            gateway = make_gateway()
            configure(gateway, make_shard_route(2))
            register(gateway, *(make_entry(it, it.id) for it in targets))
            waits = [float(it) for it in await async_ask(gateway, CALLERS)]
        assert len(set(waits)) > CALLERS / 4
