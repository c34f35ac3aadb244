"""Tests of the owner against a scripted target."""

import asyncio

import pytest

from bitternturn.core.clock import monotonic
from bitternturn.core.errors import ErrorCode
from bitternturn.policy.cold_start import ColdState
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
)
from bitternturn.timeline.models import EventKind
from tests.owners.helpers import OwnerHarness


async def async_gather(*futures):
    return await asyncio.gather(*futures)


class TestExchange:
    async def test_answer_reports_the_target_state(self):
        async with OwnerHarness() as owner:
            owner.fake.state = 'cold'
            result = await owner.submit()
            assert result.outcome == OUTCOME_ANSWERED
            assert result.id == 7
            assert list(result.held_snapshots) == [4, 5]
            assert result.cold
            headers = owner.fake.requests[0].headers
            assert headers['x-snapshot'] == '5'
            assert 0 < int(headers['x-deadline-ms']) <= 60000

    async def test_request_ids_differ(self):
        async with OwnerHarness() as owner:
            await async_gather(*(owner.submit() for _ in range(5)))
            ids = {it.headers['x-request-id'] for it in owner.fake.requests}
            assert len(ids) == 5

    @pytest.mark.parametrize(
        ('status', 'code'),
        [
            (409, ErrorCode.SNAPSHOT_GONE),
            (429, ErrorCode.SHED),
            (503, ErrorCode.COLD),
            (503, ErrorCode.DRAINING),
            (504, ErrorCode.DEADLINE),
        ],
    )
    async def test_refusals_are_not_run(self, status, code):
        async with OwnerHarness() as owner:
            owner.fake.overrides = [
                {'status': status, 'body': {'code': code.value}}
            ]
            result = await owner.submit()
            assert result.outcome == OUTCOME_NOT_RUN
            assert result.code == code.value

    @pytest.mark.parametrize(
        'override',
        [
            {'headers': {'x-request-id': 'other'}},
            {'headers': {'x-shard': 'other'}},
            {'headers': {'x-snapshot': '4'}},
            {'headers': {'x-index': 'other'}},
            {'body': {'hits': [], 'complete': False}},
            {'body': {'complete': True}},
            {'body': ['no object']},
            {'status': 500, 'body': {'code': 'target_error'}},
            {'status': 503, 'body': {'code': 'shed'}},
            {'status': 429, 'body': 'nothing'},
        ],
    )
    async def test_invalid_answers_are_in_doubt(self, override):
        async with OwnerHarness() as owner:
            owner.fake.overrides = [override]
            result = await owner.submit()
            assert result.outcome == OUTCOME_IN_DOUBT
            assert not result.body

    async def test_mismatched_answer_closes_the_connection(self):
        async with OwnerHarness() as owner:
            await owner.submit()
            peer = owner.fake.requests[0].peer
            owner.fake.overrides = [{'headers': {'x-request-id': 'other'}}]
            result = await owner.submit()
            assert result.code == ErrorCode.BAD_ANSWER.value
            assert owner.service.counts.mismatched == 1
            await owner.submit()
            assert owner.fake.requests[2].peer != peer


class TestColdStart:
    async def test_cold_limit_applies_until_warm(self):
        async with OwnerHarness() as owner:
            owner.fake.hold_searches = True
            futures = [owner.submit() for _ in range(6)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            assert owner.owned.pool.size == 1
            owner.fake.release()
            await async_gather(*futures)
            assert owner.fake.max_in_flight == 1
            assert owner.fake.max_connections == 1

    async def test_requests_in_flight_count_after_reset_to_cold(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            owner.fake.hold_searches = True
            futures = [owner.submit(repeatable=False) for _ in range(4)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 2)
            owner.owned.limits.cold.on_connection_lost(
                owner.service.context.now()
            )
            owner.fake.release(1)
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
            assert len(owner.owned.sender.in_flight) == 1
            owner.fake.release(1)
            await owner.fake.async_until(lambda: len(owner.fake.requests) == 3)
            assert owner.fake.in_flight == 1
            owner.fake.release()
            await async_gather(*futures)
            assert owner.owned.limits.cold.state is ColdState.COLD
            assert EventKind.TARGET_COLD in [kind for kind, _ in owner.events]

    async def test_cancelled_request_keeps_its_cold_slot(self):
        async with OwnerHarness() as owner:
            owner.fake.hold_searches = True
            first = owner.submit(remaining_ms=300)
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            first.cancel()
            second = owner.submit()
            assert not owner.owned.sender.in_flight
            assert len(owner.owned.queue) == 1
            owner.fake.release()
            assert (await second).outcome == OUTCOME_ANSWERED
            now = owner.service.context.now()
            assert owner.owned.sender.held.count(now, strict=True) == 0

    async def test_warm_target_is_limited_by_its_slots(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            owner.fake.hold_searches = True
            futures = [owner.submit() for _ in range(6)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 2)
            owner.fake.release()
            await async_gather(*futures)
            assert owner.fake.max_in_flight == 2
            assert owner.owned.pool.size <= 25


class TestOwnership:
    async def test_waits_for_the_handover(self):
        async with OwnerHarness() as owner:
            owner.lease = False
            future = owner.submit()
            await asyncio.sleep(0)
            assert not owner.fake.server.connections
            owner.lease = True
            owner.restore_warm()
            assert (await future).outcome == OUTCOME_ANSWERED

    async def test_refuses_if_sending_starts_after_the_deadline(self):
        async with OwnerHarness() as owner:
            owner.lease = False
            owner.starts_at = monotonic() + 30
            refused = owner.submit(remaining_ms=20000)
            assert refused.done()
            assert refused.result().outcome == OUTCOME_NOT_RUN
            assert refused.result().code == ErrorCode.NOT_OWNER.value
            assert not owner.submit(remaining_ms=60000).done()

    async def test_expired_lease_sends_nothing(self):
        async with OwnerHarness() as owner:
            await owner.submit()
            owner.lease = False
            result = await owner.submit(remaining_ms=30)
            assert result.outcome == OUTCOME_NOT_RUN
            assert result.code == ErrorCode.DEADLINE.value
            assert len(owner.fake.requests) == 1

    async def test_lost_ownership_refuses_queued_requests(self):
        async with OwnerHarness() as owner:
            owner.fake.hold_searches = True
            running = owner.submit()
            queued = owner.submit()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            owner.owns = False
            owner.service.process_queues()
            assert (await queued).code == ErrorCode.NOT_OWNER.value
            assert (await owner.submit()).code == ErrorCode.NOT_OWNER.value
            owner.fake.release()
            assert (await running).outcome == OUTCOME_ANSWERED

    async def test_switched_out_target_refuses_queued_requests(self):
        async with OwnerHarness() as owner:
            owner.fake.hold_searches = True
            running = owner.submit()
            queued = owner.submit()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            owner.switched_out = True
            owner.service.process_queues()
            result = await queued
            assert result.outcome == OUTCOME_NOT_RUN
            assert result.code == ErrorCode.TARGET_OUT.value
            owner.fake.release()
            assert (await running).outcome == OUTCOME_ANSWERED

    async def test_release_waits_for_requests_in_flight(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            owner.fake.hold_searches = True
            running = owner.submit()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            release = asyncio.create_task(owner.service.async_release(['t']))
            await asyncio.sleep(0)
            assert (await owner.submit()).code == ErrorCode.NOT_OWNER.value
            assert not release.done()
            owner.fake.release()
            assert (await running).outcome == OUTCOME_ANSWERED
            (state,) = await release
            assert state.target == 't'
            assert state.warm
            assert list(state.held_snapshots) == [4, 5]
            assert not owner.service.targets

    async def test_unused_target_is_released_as_cold(self):
        async with OwnerHarness() as owner:
            (state,) = await owner.service.async_release(['t'])
            assert not state.warm

    async def test_drops_a_target_after_the_handover_timeout(self):
        async with OwnerHarness() as owner:
            await owner.submit()
            owner.owns = False
            owner.service.maintain(owner.service.context.now())
            assert owner.service.targets
            owner.clock_offset_s = 20
            owner.service.maintain(owner.service.context.now())
            assert not owner.service.targets
            while owner.fake.server.connections:
                await asyncio.sleep(0.001)


class TestDraining:
    async def test_refuses_requests_until_health_is_ready(self):
        async with OwnerHarness() as owner:
            await owner.submit()
            owner.fake.health = 'draining'
            owner.fake.overrides = [
                {
                    'status': 503,
                    'headers': {'x-state': 'draining'},
                    'body': {'code': 'draining'},
                }
            ]
            assert (await owner.submit()).code == ErrorCode.DRAINING.value
            sent = len(owner.fake.requests)
            assert (await owner.submit()).code == ErrorCode.DRAINING.value
            assert len(owner.fake.requests) == sent
            owner.fake.health = 'ready'
            owner.service.maintain(owner.service.context.now())
            while (await owner.submit()).outcome != OUTCOME_ANSWERED:
                await asyncio.sleep(0.001)


class TestCancel:
    async def test_cancelled_hedge_closes_its_connection(self):
        async with OwnerHarness() as owner:
            owner.restore_warm()
            owner.fake.hold_searches = True
            future = owner.submit(hedge=True)
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            future.cancel()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 0)
            assert owner.service.counts.hedges_cancelled == 1
            kinds = [kind for kind, _ in owner.events]
            assert EventKind.SUB_REQUEST_CANCELLED in kinds

    async def test_cancelled_queued_request_is_never_sent(self):
        async with OwnerHarness() as owner:
            owner.fake.hold_searches = True
            running = owner.submit()
            queued = owner.submit()
            queued.cancel()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            owner.fake.release()
            await running
            assert not len(owner.owned.queue)
            assert len(owner.fake.requests) == 1


class TestPool:
    async def test_idle_connections_are_checked_before_reuse(self):
        async with OwnerHarness(check_after_idle_s=5) as owner:
            await owner.submit()
            owner.fake.silent = {owner.fake.requests[0].peer}
            owner.clock_offset_s = 10
            assert (await owner.submit()).outcome == OUTCOME_ANSWERED
            assert len(owner.fake.requests) == 2

    async def test_old_connections_are_replaced(self):
        async with OwnerHarness(max_age_s=50) as owner:
            await owner.submit()
            owner.clock_offset_s = 60
            await owner.submit()
            first, second = owner.fake.requests
            assert first.peer != second.peer

    async def test_spare_connections_respect_the_limit(self):
        async with OwnerHarness() as owner:
            owner.target.connections = 3
            owner.restore_warm()
            owner.fake.hold_searches = True
            futures = [owner.submit() for _ in range(4)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 2)
            futures[0].cancel()
            owner.fake.release()
            await async_gather(*futures[1:])
            owner.service.maintain(owner.service.context.now())
            while owner.owned.pool.connecting:
                await asyncio.sleep(0)
            assert owner.owned.pool.size <= 3

    async def test_changed_address_is_used(self):
        async with OwnerHarness() as owner:
            await owner.submit()
            other = OwnerHarness().fake
            await other.server.async_start(host='127.0.0.1', port=0)
            changed = type(owner.target)()
            changed.CopyFrom(owner.target)
            changed.port = other.server.port
            owner.target = changed
            owner.service.maintain(owner.service.context.now())
            assert (await owner.submit()).outcome == OUTCOME_ANSWERED
            assert len(other.requests) == 1
            await other.server.async_stop()
