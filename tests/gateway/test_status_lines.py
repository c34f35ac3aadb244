"""Tests of targets that respond with an invalid status.

They guard against a status that is passed on to the caller, and against a
request that runs twice because its response cannot be interpreted.
"""

import pytest

from bitternturn.gateway.models import RepeatPolicy
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import (
    configure,
    make_entry,
    make_gateway,
    make_request,
    make_route,
    make_shard_route,
    register,
    running_targets,
)
from tests.gateway.raw_target import INVALID_RESPONSES, RawTarget
from tests.gateway.test_gather import (
    answering_targets,
    async_gather,
    make_patient_request,
)

invalid = pytest.mark.parametrize('case', list(INVALID_RESPONSES))


async def async_ask(targets, route, request=None):
    """Return the gateway and its response; the first target is preferred."""
    async with running_targets(*targets):
        gateway = make_gateway()
        configure(gateway, route)
        register(
            gateway,
            *(
                make_entry(target, failure_domain=domain)
                for target, domain in zip(
                    targets, ('north', 'south'), strict=False
                )
            ),
        )
        response = await gateway.async_handle(request or make_patient_request())
    return gateway, response


class TestSingleRequests:
    @invalid
    async def test_response_is_never_passed_on(self, case):
        target = RawTarget('bad', INVALID_RESPONSES[case])
        gateway, response = await async_ask([target], make_route())
        assert response.status == 502
        assert 'x-server-stamp' not in response.headers
        assert gateway.targets['bad'].record.failure_share > 0

    @invalid
    async def test_idempotent_request_is_sent_to_another_target(self, case):
        bad = RawTarget('bad', INVALID_RESPONSES[case])
        good = PlatformTarget(id='good')
        _, response = await async_ask([bad, good], make_route())
        assert bad.requests == ['q1']
        assert response.status == 200
        assert response.headers['x-server-stamp'].startswith('good.')

    @invalid
    async def test_other_request_is_sent_only_once(self, case):
        """It may have run, whatever else the response states."""
        bad = RawTarget('bad', INVALID_RESPONSES[case])
        good = PlatformTarget(id='good')
        _, response = await async_ask(
            [bad, good],
            make_route(repeat_policy=RepeatPolicy.AT_MOST_ONCE),
            make_request('q1', method='POST', left_ms=5000, body=b'x'),
        )
        assert bad.requests == ['q1']
        assert not good.requests
        assert response.status == 502


class TestParts:
    @invalid
    async def test_part_is_left_out(self, case):
        response = await async_gather(
            make_shard_route(2),
            [
                [RawTarget('a', INVALID_RESPONSES[case])],
                [PlatformTarget(id='b')],
            ],
            make_patient_request(),
        )
        assert response.status == 200
        assert answering_targets(response) == ['b']
        assert response.headers['x-missing-parts'] == '1'
