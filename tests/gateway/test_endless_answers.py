"""Tests of targets that send bytes until the gateway closes."""

import asyncio
import tracemalloc

import pytest

from bitternturn.gateway import const
from bitternturn.standins.platform_target import (
    ENDLESS_ANSWERS,
    PlatformTarget,
)
from tests.gateway.helpers import (
    SETTINGS,
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_scripted_target,
    make_shard_route,
    register,
    running_targets,
)
from tests.gateway.test_gather import (
    answering_targets,
    async_gather,
    make_patient_request,
)

ANSWERS_AT_ONCE = 64
MEGABYTE = 1_000_000
# Memory of the stand-ins, which share the process with the gateway: what they
# write and what their transports buffer.
STANDIN_BYTES = ANSWERS_AT_ONCE * 256 * 1024

endless = pytest.mark.parametrize('behaviour', list(ENDLESS_ANSWERS))


class TestSingleRequests:
    @endless
    async def test_target_is_charged_and_avoided(self, behaviour):
        targets = [
            make_scripted_target('t1', *[behaviour] * 99),
            PlatformTarget(id='t2', body=b'a record of text'),
        ]
        async with running_targets(*targets):
            gateway = make_gateway()
            configure(gateway, make_route(timeout_s=20.0))
            register(gateway, make_entry(targets[0]))
            alone = await gateway.async_handle(
                make_request('q0', left_ms=20_000)
            )
            bad = gateway.targets['t1']
            assert alone.status == 502
            assert bad.record.failure_share > 0
            register(gateway, *map(make_entry, targets))
            for number in range(1, 5):
                response = await gateway.async_handle(
                    make_request(f'q{number}', left_ms=20_000)
                )
                assert response.status == 200
                assert response.headers['x-server-stamp'].startswith('t2.')

    @endless
    async def test_memory_is_bounded(self, behaviour):
        target = make_scripted_target('t1', *[behaviour] * 999)
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_route(timeout_s=30.0))
            register(gateway, make_entry(target))
            gateway.targets['t1'].connections.max_count = ANSWERS_AT_ONCE
            tracemalloc.start()
            try:
                responses = await asyncio.gather(
                    *(
                        gateway.async_handle(
                            make_request(f'q{number}', left_ms=30_000)
                        )
                        for number in range(ANSWERS_AT_ONCE)
                    )
                )
                _, peak_bytes = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
        assert {response.status for response in responses} == {502}
        allowed_bytes = (
            SETTINGS.memory_mb * MEGABYTE * const.ANSWER_MEMORY_SHARE
        )
        # A complete body exists twice for a moment, in pieces and joined.
        assert peak_bytes < 2 * allowed_bytes + STANDIN_BYTES
        assert not gateway.answer_buffers.total_bytes


class TestParts:
    @endless
    async def test_part_is_left_out(self, behaviour):
        response = await async_gather(
            make_shard_route(2),
            [
                [make_scripted_target('a', *[behaviour] * 9)],
                [PlatformTarget(id='b')],
            ],
            make_patient_request(),
        )
        assert response.status == 200
        assert answering_targets(response) == ['b']
