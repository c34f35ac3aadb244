"""Tests of the operation routes, the router and the OpenAPI document."""

import pytest

from bitternturn.administration.routing import match_path
from bitternturn.core.ids import ProfileName, TargetId
from bitternturn.http.models import Request
from bitternturn.schema.config_pb2 import ConfigurationObject
from bitternturn.schema.peers_pb2 import TimelineRequest
from tests.administration.fakes import EVENT, Administration
from tests.configuration.fakes import make_indexes


@pytest.fixture
def administration(api, stack):
    made = Administration(api, stack)
    made.store.state.apply_if_newer(
        ConfigurationObject(version=1, indexes=make_indexes())
    )
    return made


class TestSwitches:
    async def test_domain_out_and_in(self, administration):
        state = administration.store.state
        status, out = await administration.async_call(
            'POST', '/v1/domains/south/out', {'reason': 'power'}
        )
        assert status == 200
        assert state.is_out(TargetId('t2'))
        assert not state.is_out(TargetId('t1'))
        status, back = await administration.async_call(
            'POST', '/v1/domains/south/in'
        )
        assert back['version'] > out['version']
        assert not state.is_out(TargetId('t2'))

    async def test_target_out(self, administration):
        status, _ = await administration.async_call(
            'POST', '/v1/targets/t1/out', {'reason': 'disk'}
        )
        assert status == 200
        assert administration.store.state.is_out(TargetId('t1'))

    async def test_domain_with_instances_but_no_targets_is_known(
        self, administration
    ):
        status, _ = await administration.async_call(
            'POST', '/v1/domains/west/out'
        )
        assert status == 200

    @pytest.mark.parametrize(
        'path', ['/v1/domains/sotuh/out', '/v1/targets/t9/out']
    )
    async def test_unknown_name_is_not_found(self, administration, path):
        status, answer = await administration.async_call('POST', path)
        assert (status, answer['code']) == (404, 'not_found')
        assert 'known: ' in answer['message']

    async def test_reason_must_be_a_string(self, administration):
        status, _ = await administration.async_call(
            'POST', '/v1/domains/south/out', {'reason': 1}
        )
        assert status == 400


class TestReports:
    async def test_status(self, administration):
        status, answer = await administration.async_call('GET', '/v1/status')
        assert status == 200
        assert answer['why_not_ready'] == 'no lease'
        assert answer['versions']['view'] == 3
        assert answer['targets'][0]['state'] == 'cold'

    async def test_timeline(self, administration):
        path = '/v1/timeline?since=5&request=r1&target=t1&limit=9'
        _, answer = await administration.async_call('GET', path)
        assert administration.timeline_requests == [
            TimelineRequest(since=5, request_id='r1', target='t1', limit=9)
        ]
        assert answer['events'][0]['clock'] == EVENT.clock
        assert answer['events'][0]['kind'] == 'query_started'

    @pytest.mark.parametrize('argument', ['since=x', 'limit=4294967296'])
    async def test_timeline_with_an_invalid_number_is_rejected(
        self, administration, argument
    ):
        status, _ = await administration.async_call(
            'GET', f'/v1/timeline?{argument}'
        )
        assert status == 400

    async def test_metrics_and_health(self, administration):
        administration.metrics.count_hedges(profile=ProfileName('desk'))
        request = Request(method='GET', path='/metrics')
        response = await administration.handler(request)
        assert b'bitternturn_hedges_total{profile="desk"} 1.0' in response.body
        status, _ = await administration.async_call('GET', '/healthz')
        assert status == 200


class TestRouting:
    async def test_unknown_path_and_method(self, administration):
        status, answer = await administration.async_call('GET', '/v2')
        assert (status, answer['code']) == (404, 'not_found')
        response = await administration.handler(
            Request(method='DELETE', path='/v1/configuration/profiles')
        )
        assert response.status == 405
        assert response.headers['allow'] == 'GET, PUT'

    def test_path_parameters(self):
        template = '/v1/targets/{name}/out'
        assert match_path(template, '/v1/targets/a%2Fb/out') == {'name': 'a/b'}
        assert match_path(template, '/v1/targets//out') is None
        assert match_path(template, '/v1/targets/a/in') is None


class TestOpenApiDocument:
    async def test_every_route_is_described(self, administration):
        _, document = await administration.async_call('GET', '/openapi.json')
        operations = {
            (method, path)
            for path, methods in document['paths'].items()
            for method in methods
        }
        assert len(operations) == 14
        put = document['paths']['/v1/configuration/{kind}']['put']
        assert {
            (entry['name'], entry['in'], entry['required'])
            for entry in put['parameters']
        } == {('kind', 'path', True), ('if-version', 'header', True)}
        assert set(put['responses']) >= {'200', '409', '422'}
