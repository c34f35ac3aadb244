"""Tests of targets whose address another target has taken over."""

import asyncio
import dataclasses

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
    make_scripted_target,
    make_shard_route,
    register,
    running_targets,
)

QUERIES = 30


async def async_query(gateway, count, first=0):
    """Send a number of queries in sequence and return the responses."""
    return [
        await gateway.async_handle(make_request(f'q{first + number}'))
        for number in range(count)
    ]


def set_window(gateway, seconds):
    """Set the window of the retry budget."""
    global_limits = dataclasses.replace(
        gateway.settings.global_limits, retry_window_s=seconds
    )
    gateway.settings = dataclasses.replace(
        gateway.settings, global_limits=global_limits
    )


class TestReusedAddress:
    async def test_misdirected_target_is_displaced(self):
        """A crashed target's entry stays in the store during a store outage.

        Its address may be reused, so each request that is sent there loads a
        target of another service.
        """
        replaced = make_scripted_target(
            'gone', *[ScriptedBehaviour.MISDIRECTED] * QUERIES
        )
        other = PlatformTarget(id='other')
        async with running_targets(replaced, other):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(
                gateway, make_entry(replaced, 's0'), make_entry(other, 's0')
            )
            # Makes the other replica cost more than one that fails.
            gateway.targets['other'].record.record_latency_ratio(
                500, gateway.now()
            )
            responses = await async_query(gateway, QUERIES)
        assert {response.status for response in responses} == {200}
        assert len(replaced.requests) == 1

    async def test_service_without_other_targets_is_refused_without_sends(self):
        replaced = make_scripted_target(
            'gone', *[ScriptedBehaviour.MISDIRECTED] * QUERIES
        )
        async with running_targets(replaced):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(replaced, 's0'))
            responses = await async_query(gateway, QUERIES)
        assert {response.status for response in responses} == {503}
        assert len(replaced.requests) == 1

    async def test_target_is_tried_again_after_one_retry_window(self):
        """A target may answer 421 through a fault of its own."""
        target = make_scripted_target('a', ScriptedBehaviour.MISDIRECTED)
        async with running_targets(target):
            gateway = make_gateway()
            set_window(gateway, 0.2)
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            await async_query(gateway, 2)
            assert len(target.requests) == 1
            await asyncio.sleep(0.25)
            responses = await async_query(gateway, 1, first=2)
        assert responses[0].status == 200

    async def test_new_entry_does_not_shorten_a_later_displacement(self):
        """The timer of the old entry must not end the new displacement."""
        target = make_scripted_target('a', *[ScriptedBehaviour.MISDIRECTED] * 2)
        async with running_targets(target):
            gateway = make_gateway()
            set_window(gateway, 0.4)
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            await async_query(gateway, 1)
            await asyncio.sleep(0.2)
            register(gateway, make_entry(target, 's0', started_at_ms=2))
            await async_query(gateway, 1, first=1)
            await asyncio.sleep(0.25)
            await async_query(gateway, 1, first=2)
        assert len(target.requests) == 2

    @pytest.mark.parametrize(
        'changes', [{'started_at_ms': 2}, {'cold_remaining_s': 1.0}]
    )
    async def test_new_entry_ends_displacement(self, changes):
        target = make_scripted_target('a', ScriptedBehaviour.MISDIRECTED)
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            await async_query(gateway, 2)
            register(gateway, make_entry(target, 's0', **changes))
            responses = await async_query(gateway, 1, first=2)
        assert responses[0].status == 200
