"""Tests of the owner of targets when answers do not come."""

import asyncio

from bitternturn.core.errors import ErrorCode
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
)
from tests.owners.helpers import Owner


class TestSilence:
    async def test_repeatable_work_moves_once(self):
        async with Owner() as owner:
            owner.adopt_warm()
            owner.fake.silence_next = 1
            result = await owner.submit(remaining_ms=5000)
            assert result.outcome == OUTCOME_ANSWERED
            assert owner.service.counts.moved == 1
            first, second = owner.fake.requests
            assert first.peer != second.peer

    async def test_silent_twice_is_in_doubt(self):
        async with Owner() as owner:
            owner.adopt_warm()
            await owner.submit()
            owner.fake.silence_next = 2
            result = await owner.submit(remaining_ms=1000)
            assert result.outcome == OUTCOME_IN_DOUBT
            assert len(owner.fake.requests) == 3

    async def test_refusal_of_the_second_try_is_in_doubt(self):
        async with Owner() as owner:
            owner.adopt_warm()
            await owner.submit()
            owner.fake.silence_next = 1
            owner.fake.overrides = [{'status': 429, 'body': {'code': 'shed'}}]
            result = await owner.submit(remaining_ms=5000)
            assert len(owner.fake.requests) == 3
            assert result.outcome == OUTCOME_IN_DOUBT
            assert result.code == ErrorCode.SHED.value

    async def test_work_not_to_be_repeated_stays(self):
        async with Owner() as owner:
            owner.adopt_warm()
            await owner.submit()
            owner.fake.silence_next = 1
            result = await owner.submit(remaining_ms=800, repeatable=False)
            assert result.outcome == OUTCOME_IN_DOUBT
            assert result.code == ErrorCode.DEADLINE.value
            assert len(owner.fake.requests) == 2
            assert owner.service.counts.silent == 1

    async def test_slow_cold_target_is_waited_for(self):
        async with Owner() as owner:
            owner.fake.hold = True
            future = owner.submit(remaining_ms=2000)
            while not owner.service.counts.silent:
                await asyncio.sleep(0.001)
            owner.fake.release()
            assert (await future).outcome == OUTCOME_ANSWERED
            assert len(owner.fake.requests) == 1

    async def test_siblings_are_checked_before_use(self):
        async with Owner() as owner:
            owner.adopt_warm()
            await owner.submit()
            pool = owner.owned.pool
            while len(pool.idle) < 6:
                await asyncio.sleep(0.001)
            owner.fake.silent = {
                ':'.join(map(str, it.http.transport.get_extra_info('sockname')))
                for it in pool.idle
            }
            old = set(pool.idle)
            result = await owner.submit(remaining_ms=5000)
            assert result.outcome == OUTCOME_ANSWERED
            assert owner.service.counts.silent == 1
            assert old.isdisjoint(pool.idle)


class TestLost:
    async def test_written_and_lost_is_in_doubt(self):
        async with Owner() as owner:
            owner.fake.hold = True
            future = owner.submit(repeatable=False)
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            await owner.fake.server.async_stop()
            result = await future
            assert result.outcome == OUTCOME_IN_DOUBT
            assert result.code == ErrorCode.CONNECTION_LOST.value

    async def test_refused_connections_are_not_run(self):
        async with Owner() as owner:
            await owner.fake.server.async_stop()
            result = await owner.submit()
            assert result.outcome == OUTCOME_NOT_RUN
            assert result.code == ErrorCode.TARGET_UNAVAILABLE.value

    async def test_restart_of_a_warm_target_is_cold(self):
        async with Owner() as owner:
            owner.adopt_warm()
            await owner.submit()
            for connection in list(owner.fake.server.connections):
                connection.abort()
            while owner.owned.limits.warm:
                await asyncio.sleep(0)
            assert (await owner.submit()).outcome == OUTCOME_ANSWERED
