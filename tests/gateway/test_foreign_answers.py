"""Tests of answers that belong to another request than the one in flight."""

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
