"""Tests of crashed targets whose entries are still in the store."""

import pytest

from bitternturn.gateway import target_connections
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_shard_route,
    register,
    running_targets,
)

# Ratio to the typical latency that costs more than repeated failures.
VERY_SLOW = 500


async def async_make_crashed_target(name):
    """Return a target that has stopped, so that its address is unreachable."""
    target = PlatformTarget(id=name)
    await target.async_start()
    await target.async_stop()
    return target


class TestCrashedReplicas:
    @pytest.mark.parametrize('crashed', [1, 2, 4])
    async def test_every_request_reaches_the_remaining_replica(self, crashed):
        """More replicas have crashed than the targets a request may reach."""
        crashed_targets = [
            await async_make_crashed_target(f'gone{it}')
            for it in range(crashed)
        ]
        remaining = PlatformTarget(id='left')
        async with running_targets(remaining):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1, max_targets=2))
            register(
                gateway,
                *(
                    make_entry(target, 's0')
                    for target in (*crashed_targets, remaining)
                ),
            )
            record = gateway.targets['left'].record
            for number in range(10):
                record.record_latency_ratio(VERY_SLOW, gateway.now())
                request = make_request(f'q{number}')
                response = await gateway.async_handle(request)
                assert response.status == 200

    async def test_only_target_is_retried(self):
        """A busy target may drop the first SYN packet of a connection."""
        target = PlatformTarget(id='a')
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            opened = []
            connect = target_connections.async_connect

            async def async_fail_once(**address):
                opened.append(address)
                if len(opened) == 1:
                    raise TimeoutError
                return await connect(**address)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(
                    target_connections, 'async_connect', async_fail_once
                )
                response = await gateway.async_handle(make_request())
        assert response.status == 200

    async def test_connection_that_a_pause_let_time_out_is_no_failure(
        self, monkeypatch
    ):
        target = PlatformTarget(id='a')
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_shard_route(1))
            register(gateway, make_entry(target, 's0'))
            connect = target_connections.async_connect

            async def async_pause_once(**address):
                if not gateway.pauses.count:
                    gateway.pauses.record_gap(2.0, gateway.now())
                    raise TimeoutError
                return await connect(**address)

            monkeypatch.setattr(
                target_connections, 'async_connect', async_pause_once
            )
            response = await gateway.async_handle(make_request())
        assert response.status == 200
        assert gateway.targets['a'].record.failure_share == 0

    async def test_no_remaining_replica_is_refused(self):
        crashed_targets = [
            await async_make_crashed_target(f'gone{it}') for it in range(3)
        ]
        gateway = make_gateway()
        configure(gateway, make_shard_route(1, max_targets=2))
        register(
            gateway, *(make_entry(target, 's0') for target in crashed_targets)
        )
        response = await gateway.async_handle(make_request())
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
