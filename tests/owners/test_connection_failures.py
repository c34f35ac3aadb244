"""Tests of the owner with silent and lost connections."""

import asyncio

from bitternturn.core.errors import ErrorCode
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
)
from tests.owners.helpers import OwnerHarness


class TestSilentConnections:
    async def test_repeatable_sub_request_is_retried_once(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            owner.fake.requests_to_silence = 1
            result = await owner.submit(remaining_ms=5000)
            assert result.outcome == OUTCOME_ANSWERED
            assert owner.service.counts.retried == 1
            first, second = owner.fake.requests
            assert first.peer != second.peer

    async def test_second_silence_is_in_doubt(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            await owner.submit()
            owner.fake.requests_to_silence = 2
            result = await owner.submit(remaining_ms=1000)
            assert result.outcome == OUTCOME_IN_DOUBT
            assert len(owner.fake.requests) == 3

    async def test_refusal_of_a_retry_is_in_doubt(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            await owner.submit()
            owner.fake.requests_to_silence = 1
            owner.fake.overrides = [{'status': 429, 'body': {'code': 'shed'}}]
            result = await owner.submit(remaining_ms=5000)
            assert len(owner.fake.requests) == 3
            assert result.outcome == OUTCOME_IN_DOUBT
            assert result.code == ErrorCode.SHED.value

    async def test_non_repeatable_sub_request_is_not_retried(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            await owner.submit()
            owner.fake.requests_to_silence = 1
            result = await owner.submit(remaining_ms=800, repeatable=False)
            assert result.outcome == OUTCOME_IN_DOUBT
            assert result.code == ErrorCode.DEADLINE.value
            assert len(owner.fake.requests) == 2
            assert owner.service.counts.silent == 1

    async def test_silent_request_in_cold_start_is_not_retried(self):
        async with OwnerHarness() as owner:
            owner.fake.hold_searches = True
            future = owner.submit(remaining_ms=2000)
            while not owner.service.counts.silent:
                await asyncio.sleep(0.001)
            owner.fake.release()
            assert (await future).outcome == OUTCOME_ANSWERED
            assert len(owner.fake.requests) == 1

    async def test_sibling_connections_are_checked_before_use(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
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


class TestIdleConnections:
    async def test_send_that_is_not_written_does_not_renew_the_idle_time(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            await owner.submit()
            pool = owner.owned.pool
            while not pool.idle:
                await asyncio.sleep(0.001)
            returned_at = {it: it.last_returned_at for it in pool.idle}
            owner.clock_offset_s += 0.1
            result = await owner.submit(remaining_ms=1)
            assert result.outcome == OUTCOME_NOT_RUN
            assert len(owner.fake.requests) == 1
            assert (
                returned_at.items()
                <= {it: it.last_returned_at for it in pool.idle}.items()
            )


class TestConnectionLoss:
    async def test_connection_lost_in_flight_is_in_doubt(self):
        async with OwnerHarness() as owner:
            owner.fake.hold_searches = True
            future = owner.submit(repeatable=False)
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            await owner.fake.server.async_stop()
            result = await future
            assert result.outcome == OUTCOME_IN_DOUBT
            assert result.code == ErrorCode.CONNECTION_LOST.value

    async def test_refused_connection_is_not_run(self):
        async with OwnerHarness() as owner:
            await owner.fake.server.async_stop()
            result = await owner.submit()
            assert result.outcome == OUTCOME_NOT_RUN
            assert result.code == ErrorCode.TARGET_UNAVAILABLE.value

    async def test_lost_connections_reset_a_warm_target_to_cold(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            await owner.submit()
            for connection in list(owner.fake.server.connections):
                connection.abort()
            while owner.owned.limits.warm:
                await asyncio.sleep(0)
            assert (await owner.submit()).outcome == OUTCOME_ANSWERED
