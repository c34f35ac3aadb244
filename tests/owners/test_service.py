"""Tests of the owner of targets against a target that misbehaves."""

import asyncio

import pytest

from bitternturn.core.clock import monotonic
from bitternturn.core.errors import ErrorCode
from bitternturn.policy.coldstart import ColdState
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
)
from bitternturn.timeline.models import EventKind
from tests.owners.helpers import Owner


async def async_all(*futures):
    return await asyncio.gather(*futures)


class TestExchange:
    async def test_answer_carries_what_the_target_said(self):
        async with Owner() as owner:
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
        async with Owner() as owner:
            await async_all(*(owner.submit() for _ in range(5)))
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
        async with Owner() as owner:
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
    async def test_other_answers_leave_doubt(self, override):
        async with Owner() as owner:
            owner.fake.overrides = [override]
            result = await owner.submit()
            assert result.outcome == OUTCOME_IN_DOUBT
            assert not result.body

    async def test_crossed_answer_closes_the_connection(self):
        async with Owner() as owner:
            await owner.submit()
            peer = owner.fake.requests[0].peer
            owner.fake.overrides = [{'headers': {'x-request-id': 'other'}}]
            result = await owner.submit()
            assert result.code == ErrorCode.BAD_ANSWER.value
            assert owner.service.counts.crossed == 1
            await owner.submit()
            assert owner.fake.requests[2].peer != peer


class TestColdStart:
    async def test_limit_holds_until_warm(self):
        async with Owner() as owner:
            owner.fake.hold = True
            futures = [owner.submit() for _ in range(6)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            assert owner.owned.pool.size == 1
            owner.fake.release()
            await async_all(*futures)
            assert owner.fake.most == 1
            assert owner.fake.most_connections == 1

    async def test_fall_in_flight_counts(self):
        async with Owner() as owner:
            owner.adopt_warm()
            owner.fake.hold = True
            futures = [owner.submit(repeatable=False) for _ in range(4)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 2)
            owner.owned.limits.cold.on_lost(owner.service.context.now())
            owner.fake.release(1)
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
            assert len(owner.owned.flights.flights) == 1
            owner.fake.release(1)
            await owner.fake.async_until(lambda: len(owner.fake.requests) == 3)
            assert owner.fake.in_flight == 1
            owner.fake.release()
            await async_all(*futures)
            assert owner.owned.limits.cold.state is ColdState.COLD
            assert EventKind.TARGET_COLD in [kind for kind, _ in owner.events]

    async def test_cancelled_request_keeps_its_cold_slot(self):
        async with Owner() as owner:
            owner.fake.hold = True
            first = owner.submit(remaining_ms=300)
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            first.cancel()
            second = owner.submit()
            assert not owner.owned.flights.flights
            assert len(owner.owned.queue) == 1
            owner.fake.release()
            assert (await second).outcome == OUTCOME_ANSWERED
            now = owner.service.context.now()
            assert owner.owned.flights.held.count(now, strict=True) == 0

    async def test_warm_target_is_used_to_its_slots(self):
        async with Owner() as owner:
            owner.adopt_warm()
            owner.fake.hold = True
            futures = [owner.submit() for _ in range(6)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 2)
            owner.fake.release()
            await async_all(*futures)
            assert owner.fake.most == 2
            assert owner.owned.pool.size <= 25


class TestOwnership:
    async def test_waits_for_the_hand_over(self):
        async with Owner() as owner:
            owner.lease = False
            future = owner.submit()
            await asyncio.sleep(0)
            assert not owner.fake.server.connections
            owner.lease = True
            owner.adopt_warm()
            assert (await future).outcome == OUTCOME_ANSWERED

    async def test_refuses_at_once_what_the_wait_outlasts(self):
        async with Owner() as owner:
            owner.lease = False
            owner.starts_at = monotonic() + 30
            refused = owner.submit(remaining_ms=20000)
            assert refused.done()
            assert refused.result().outcome == OUTCOME_NOT_RUN
            assert refused.result().code == ErrorCode.NOT_OWNER.value
            assert not owner.submit(remaining_ms=60000).done()

    async def test_lapsed_lease_sends_nothing(self):
        async with Owner() as owner:
            await owner.submit()
            owner.lease = False
            result = await owner.submit(remaining_ms=30)
            assert result.outcome == OUTCOME_NOT_RUN
            assert result.code == ErrorCode.DEADLINE.value
            assert len(owner.fake.requests) == 1

    async def test_moved_away_while_queued(self):
        async with Owner() as owner:
            owner.fake.hold = True
            running = owner.submit()
            queued = owner.submit()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            owner.owns = False
            owner.service.wake()
            assert (await queued).code == ErrorCode.NOT_OWNER.value
            assert (await owner.submit()).code == ErrorCode.NOT_OWNER.value
            owner.fake.release()
            assert (await running).outcome == OUTCOME_ANSWERED

    async def test_out_refuses_what_is_queued(self):
        async with Owner() as owner:
            owner.fake.hold = True
            running = owner.submit()
            queued = owner.submit()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            owner.out = True
            owner.service.wake()
            result = await queued
            assert result.outcome == OUTCOME_NOT_RUN
            assert result.code == ErrorCode.TARGET_OUT.value
            owner.fake.release()
            assert (await running).outcome == OUTCOME_ANSWERED

    async def test_release_waits_for_what_is_in_flight(self):
        async with Owner() as owner:
            owner.adopt_warm()
            owner.fake.hold = True
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

    async def test_release_of_an_unused_target(self):
        async with Owner() as owner:
            (state,) = await owner.service.async_release(['t'])
            assert not state.warm

    async def test_forgets_what_nobody_releases(self):
        async with Owner() as owner:
            await owner.submit()
            owner.owns = False
            owner.service.maintain(owner.service.context.now())
            assert owner.service.targets
            owner.skew = 20
            owner.service.maintain(owner.service.context.now())
            assert not owner.service.targets
            while owner.fake.server.connections:
                await asyncio.sleep(0.001)


class TestDraining:
    async def test_no_new_work_until_health_says_so(self):
        async with Owner() as owner:
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
    async def test_closes_the_connection_and_counts(self):
        async with Owner() as owner:
            owner.adopt_warm()
            owner.fake.hold = True
            future = owner.submit(hedge=True)
            await owner.fake.async_until(lambda: owner.fake.in_flight == 1)
            future.cancel()
            await owner.fake.async_until(lambda: owner.fake.in_flight == 0)
            assert owner.service.counts.hedges_cancelled == 1
            kinds = [kind for kind, _ in owner.events]
            assert EventKind.SUB_REQUEST_CANCELLED in kinds

    async def test_queued_work_is_never_sent(self):
        async with Owner() as owner:
            owner.fake.hold = True
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
        async with Owner(check_after_idle_s=5) as owner:
            await owner.submit()
            owner.fake.silent = {owner.fake.requests[0].peer}
            owner.skew = 10
            assert (await owner.submit()).outcome == OUTCOME_ANSWERED
            assert len(owner.fake.requests) == 2

    async def test_old_connections_are_replaced(self):
        async with Owner(max_age_s=50) as owner:
            await owner.submit()
            owner.skew = 60
            await owner.submit()
            first, second = owner.fake.requests
            assert first.peer != second.peer

    async def test_spares_within_the_targets_connections(self):
        async with Owner() as owner:
            owner.target.connections = 3
            owner.adopt_warm()
            owner.fake.hold = True
            futures = [owner.submit() for _ in range(4)]
            await owner.fake.async_until(lambda: owner.fake.in_flight == 2)
            futures[0].cancel()
            owner.fake.release()
            await async_all(*futures[1:])
            owner.service.maintain(owner.service.context.now())
            while owner.owned.pool.connecting:
                await asyncio.sleep(0)
            assert owner.owned.pool.size <= 3

    async def test_changed_address(self):
        async with Owner() as owner:
            await owner.submit()
            other = Owner().fake
            await other.server.async_start(host='127.0.0.1', port=0)
            changed = type(owner.target)()
            changed.CopyFrom(owner.target)
            changed.port = other.server.port
            owner.target = changed
            owner.service.maintain(owner.service.context.now())
            assert (await owner.submit()).outcome == OUTCOME_ANSWERED
            assert len(other.requests) == 1
            await other.server.async_stop()
