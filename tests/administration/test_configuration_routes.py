"""Tests of the configuration routes."""

import pytest

from bitternturn.administration.codec import message_to_json
from bitternturn.standins.object_faults import ObjectFaults, Outage
from tests.administration.fakes import Administration
from tests.configuration.fakes import make_profile, profiles_at

PROFILES = '/v1/configuration/profiles'


def make_content(*names: str):
    return message_to_json(profiles_at(1, *names).profiles)


async def put_profiles(administration, names, version):
    status, answer = await administration.async_call(
        'PUT', PROFILES, {'content': make_content(*names)}, if_version=version
    )
    assert status == 200
    return answer['version']


class TestGet:
    async def test_version_0_without_a_configuration(self, api, stack):
        administration = Administration(api, stack)
        answer = await administration.async_call('GET', PROFILES)
        assert answer == (200, {'version': 0, 'content': {'profiles': []}})

    async def test_unknown_kind_is_not_found(self, api, stack):
        administration = Administration(api, stack)
        path = '/v1/configuration/colours'
        status, answer = await administration.async_call('GET', path)
        assert (status, answer['code']) == (404, 'not_found')


class TestPut:
    async def test_accepted_content_is_returned(self, api, stack):
        administration = Administration(api, stack)
        version = await put_profiles(administration, ['desk'], 0)
        status, answer = await administration.async_call('GET', PROFILES)
        assert answer == {'version': version, 'content': make_content('desk')}
        assert administration.store.state.profile('desk') == make_profile()

    async def test_conflict_returns_both_versions(self, api, stack):
        administration = Administration(api, stack)
        version = await put_profiles(administration, ['theirs'], 0)
        status, answer = await administration.async_call(
            'PUT', PROFILES, {'content': make_content('mine')}, if_version=0
        )
        assert (status, answer['code']) == (409, 'conflict')
        assert answer['mine'] == {'version': 0, 'content': make_content('mine')}
        assert answer['theirs'] == {
            'version': version,
            'content': make_content('theirs'),
        }

    async def test_all_problems_are_reported_by_path(self, api, stack):
        administration = Administration(api, stack)
        bad = make_content('a', 'a')
        bad['profiles'][0]['deadline_ms'] = 0
        status, answer = await administration.async_call(
            'PUT', PROFILES, {'content': bad}, if_version=0
        )
        assert (status, answer['code']) == (422, 'invalid_configuration')
        assert [error['path'] for error in answer['errors']] == [
            'profiles[1].name',
            'profiles[0].deadline_ms',
        ]

    @pytest.mark.parametrize(
        ('body', 'headers'),
        [
            ({'content': {}}, {}),
            ({'content': {}}, {'if_version': 'x'}),
            ({'content': {}}, {'if_version': 2**64}),
            ({'content': {}}, {'if_version': '9' * 5000}),
            ({}, {'if_version': 0}),
            ([], {'if_version': 0}),
        ],
    )
    async def test_invalid_requests_are_rejected_without_store_calls(
        self, api, stack, body, headers
    ):
        administration = Administration(api, stack)
        status, answer = await administration.async_call(
            'PUT', PROFILES, body, **headers
        )
        assert (status, answer['code']) == (400, 'bad_request')
        assert api.call_count == 0

    async def test_object_api_outage_is_unavailable(self, api, stack):
        administration = Administration(api, stack, max_attempts=1)
        api.set_faults(ObjectFaults(outage=Outage.REFUSING))
        status, answer = await administration.async_call(
            'PUT', PROFILES, {'content': make_content()}, if_version=0
        )
        assert (status, answer['code']) == (503, 'platform_unreachable')
        assert answer['peer']


class TestHistory:
    async def test_list_read_and_roll_back(self, api, stack):
        administration = Administration(api, stack)
        first = await put_profiles(administration, ['first'], 0)
        second = await put_profiles(administration, ['second'], first)
        _, answer = await administration.async_call(
            'GET', f'{PROFILES}/history'
        )
        versions = [entry['version'] for entry in answer['versions']]
        assert versions == [second, first]
        _, kept = await administration.async_call(
            'GET', f'{PROFILES}/history/{first}'
        )
        assert kept == {'version': first, 'content': make_content('first')}
        status, answer = await administration.async_call(
            'POST', f'{PROFILES}/rollback', {'version': first}
        )
        assert status == 200
        assert answer['version'] > second
        _, present = await administration.async_call('GET', PROFILES)
        assert present['content'] == make_content('first')

    async def test_rollback_errors(self, api, stack):
        administration = Administration(api, stack)
        first = await put_profiles(administration, ['first'], 0)
        await put_profiles(administration, ['second'], first)
        path = f'{PROFILES}/rollback'
        body = {'version': first}
        status, _ = await administration.async_call(
            'POST', path, body, if_version=first
        )
        assert status == 409
        status, _ = await administration.async_call(
            'POST', path, {'version': 999}
        )
        assert status == 404
        status, _ = await administration.async_call('POST', path, {})
        assert status == 400
