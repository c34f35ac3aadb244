"""Tests of answers that belong to another request than the one in flight."""

import asyncio

import pytest

from bitternturn.gateway.models import RepeatPolicy
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


class TestLateCopies:
    async def test_copy_on_a_reused_connection_is_no_answer(self):
        target = make_scripted_target('t1', ScriptedBehaviour.LATE_COPY)
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_route())
            register(gateway, make_entry(target))
            first = await gateway.async_handle(make_request('q1'))
            second = await gateway.async_handle(make_request('q2'))
        assert first.headers['x-server-stamp'] == 't1.q1.1'
        assert second.headers['x-server-stamp'].startswith('t1.q2.')
        assert target.connection_count == 2

    async def test_copy_of_a_part_is_no_part(self):
        targets = [
            make_scripted_target('a', ScriptedBehaviour.LATE_COPY),
            PlatformTarget(id='b'),
        ]
        async with running_targets(*targets):
            gateway = make_gateway()
            configure(gateway, make_shard_route(2))
            register(
                gateway,
                make_entry(targets[0], 's0'),
                make_entry(targets[1], 's1'),
            )
            await gateway.async_handle(make_patient_request('q1'))
            second = await gateway.async_handle(make_patient_request('q2'))
        assert answering_targets(second) == ['a', 'b']
        stamps = second.headers['x-part-stamps'].split(', ')
        assert [stamp.split('.')[1] for stamp in stamps] == ['q2', 'q2']


ONCE = make_route(repeat_policy=RepeatPolicy.AT_MOST_ONCE)


class TestOwnConnection:
    """A target echoes one id for all sends of a request.

    A late answer to an earlier send would complete a later one on the same
    connection.
    """

    @pytest.mark.parametrize(
        ('route', 'service'), [(ONCE, 's'), (make_shard_route(1), 's0')]
    )
    async def test_copy_of_a_rejection_does_not_complete_the_retry(
        self, route, service
    ):
        target = make_scripted_target('t1', ScriptedBehaviour.LATE_REJECTION)
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, route)
            register(gateway, make_entry(target, service))
            response = await gateway.async_handle(make_patient_request('q1'))
        assert response.status == 200
        assert target.run_request_ids == ['q1']

    async def test_retry_that_waits_takes_another_connection(self):
        """At the limit, the connection of the rejection makes room."""
        target = make_scripted_target('t1', ScriptedBehaviour.LATE_REJECTION)
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, ONCE)
            register(gateway, make_entry(target))
            connections = gateway.targets['t1'].connections
            connections.max_count = 1
            response = await gateway.async_handle(make_patient_request('q1'))
            assert len(connections.idle) == 1
        assert response.status == 200
        assert target.run_request_ids == ['q1']

    async def test_rejection_keeps_its_connection_for_other_requests(self):
        """New connections have a cost."""
        target = make_scripted_target('t1', ScriptedBehaviour.NOT_RUN)
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, ONCE)
            register(gateway, make_entry(target))
            await gateway.async_handle(make_patient_request('q1'))
            await asyncio.gather(
                *(
                    gateway.async_handle(make_patient_request(f'r{number}'))
                    for number in range(2)
                )
            )
        assert target.connection_count == 2

    async def test_repeated_request_takes_another_connection(self):
        target = PlatformTarget(id='t1')
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_route())
            register(gateway, make_entry(target))
            counts = []
            for request_id in ('q1', 'q1', 'q2', 'q1'):
                await gateway.async_handle(make_request(request_id))
                counts.append(target.connection_count)
        assert counts == [1, 2, 2, 3]

    async def test_requests_without_id_share_no_connection(self):
        target = PlatformTarget(id='t1')
        async with running_targets(target):
            gateway = make_gateway()
            configure(gateway, make_route())
            register(gateway, make_entry(target))
            for request_id in ('q1', '', '', 'q2'):
                response = await gateway.async_handle(make_request(request_id))
                assert response.status == 200
        assert target.connection_count == 3


class TestIdentification:
    @pytest.mark.parametrize(
        'behaviour',
        [ScriptedBehaviour.MISSING_ID, ScriptedBehaviour.WRONG_REQUEST],
    )
    async def test_unidentified_part_is_left_out(self, behaviour):
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
        assert response.headers['x-missing-parts'] == '1'
