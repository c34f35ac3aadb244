"""Tests of targets that have crashed while their entries are still there."""

import pytest

from bitternturn.gateway import target as target_module
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_shard_route,
    register,
    running,
)

# Slower than a target that fails seems to be.
VERY_SLOW = 500


async def async_crashed(name):
    """Return a target at whose address nobody listens any more."""
    target = PlatformTarget(id=name)
    await target.async_start()
    await target.async_stop()
    return target


class TestCrashedReplicas:
    @pytest.mark.parametrize('crashed', [1, 2, 4])
    async def test_every_request_finds_the_one_that_is_left(self, crashed):
        """Replays a crash of most replicas, more of them than attempts."""
        gone = [await async_crashed(f'gone{it}') for it in range(crashed)]
        left = PlatformTarget(id='left')
        async with running(left):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1, attempts=2))
            register(
                gateway,
                *(make_entry(target, 's0') for target in (*gone, left)),
            )
            record = gateway.targets['left'].record
            for number in range(10):
                record.note_latency(VERY_SLOW, gateway.now())
                request = make_request(f'q{number}')
                response = await gateway.async_handle(request)
                assert response.status == 200

    async def test_only_target_is_tried_again(self):
        """Replays a busy target that drops the first opening packet."""
        target = PlatformTarget(id='a')
        async with running(target):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            opened = []
            connect = target_module.async_connect

            async def async_fail_once(**address):
                opened.append(address)
                if len(opened) == 1:
                    raise TimeoutError
                return await connect(**address)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(target_module, 'async_connect', async_fail_once)
                response = await gateway.async_handle(make_request())
        assert response.status == 200

    async def test_none_left_is_a_true_refusal_at_once(self):
        gone = [await async_crashed(f'gone{it}') for it in range(3)]
        gateway = make_gateway()
        configure(gateway, make_shard_route(1, attempts=2))
        register(gateway, *(make_entry(target, 's0') for target in gone))
        response = await gateway.async_handle(make_request())
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
