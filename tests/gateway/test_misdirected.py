"""Tests of addresses that another target has taken over."""

import asyncio
import dataclasses

import pytest

from bitternturn.standins.platform_target import Behaviour, PlatformTarget
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_shard_route,
    register,
    running,
    scripted,
)

QUERIES = 30


async def async_query(gateway, count, first=0):
    """Return the responses to so many queries, one after the other."""
    return [
        await gateway.async_handle(make_request(f'q{first + number}'))
        for number in range(count)
    ]


def set_window(gateway, seconds):
    """Set the window of the budget of repeats."""
    bounds = dataclasses.replace(
        gateway.settings.bounds, retry_window_s=seconds
    )
    gateway.settings = dataclasses.replace(gateway.settings, bounds=bounds)


class TestReusedAddress:
    async def test_target_that_took_over_is_left_alone(self):
        """Replays a crashed replica whose entry stays while the store is away.

        Every request that it refuses is load on a target of another service.
        """
        gone = scripted('gone', *[Behaviour.MISDIRECTED] * QUERIES)
        other = PlatformTarget(id='other')
        async with running(gone, other):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(gone, 's0'), make_entry(other, 's0'))
            # The other replica seems far worse than one that fails.
            gateway.targets['other'].record.note_latency(500, gateway.now())
            responses = await async_query(gateway, QUERIES)
        assert {response.status for response in responses} == {200}
        assert len(gone.seen) == 1

    async def test_service_without_any_other_target_is_refused_unsent(self):
        gone = scripted('gone', *[Behaviour.MISDIRECTED] * QUERIES)
        async with running(gone):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(gone, 's0'))
            responses = await async_query(gateway, QUERIES)
        assert {response.status for response in responses} == {503}
        assert len(gone.seen) == 1

    async def test_target_is_tried_again_after_one_window_of_repeats(self):
        """Replays targets that answered 421 by a fault of their own."""
        target = scripted('a', Behaviour.MISDIRECTED)
        async with running(target):
            gateway = make_gateway()
            set_window(gateway, 0.2)
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            await async_query(gateway, 2)
            assert len(target.seen) == 1
            await asyncio.sleep(0.25)
            responses = await async_query(gateway, 1, first=2)
        assert responses[0].status == 200

    async def test_new_entry_does_not_shorten_a_later_displacement(self):
        """A timer of the old entry let the target be tried too early."""
        target = scripted('a', *[Behaviour.MISDIRECTED] * 2)
        async with running(target):
            gateway = make_gateway()
            set_window(gateway, 0.4)
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            await async_query(gateway, 1)
            await asyncio.sleep(0.2)
            register(gateway, make_entry(target, 's0', born_ms=2))
            await async_query(gateway, 1, first=1)
            await asyncio.sleep(0.25)
            await async_query(gateway, 1, first=2)
        assert len(target.seen) == 2

    @pytest.mark.parametrize('changes', [{'born_ms': 2}, {'cold_left_s': 1.0}])
    async def test_new_entry_of_the_target_is_used(self, changes):
        target = scripted('a', Behaviour.MISDIRECTED)
        async with running(target):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            await async_query(gateway, 2)
            register(gateway, make_entry(target, 's0', **changes))
            responses = await async_query(gateway, 1, first=2)
        assert responses[0].status == 200
