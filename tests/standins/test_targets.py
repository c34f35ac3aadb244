"""Tests of the emulated target over HTTP."""

import asyncio
import contextlib
import json

import pytest

from bitternturn.core.errors import BitternturnError
from bitternturn.http.client import async_connect
from bitternturn.schema import config_pb2
from bitternturn.standins.deployments import (
    ATLAS,
    build_indexes,
    build_map,
    load_deployment,
)
from bitternturn.standins.samples import Corpus, SampleKind
from bitternturn.standins.target_behaviour import (
    ColdOverload,
    TargetBehaviour,
    TargetFaults,
    TargetState,
)
from bitternturn.standins.target_records import RunState, count_runs_by_key
from bitternturn.standins.targets import TargetServer

FAST = {'service_s': 0.001, 'straggler_share': 0}
SHARD = 'pay-lookup-00'


@contextlib.asynccontextmanager
async def running_target(**behaviour):
    deployment = load_deployment(ATLAS, scale=0.1)
    index = build_indexes(deployment).indexes[0]
    server = TargetServer(
        target=index.targets[0],
        index=index,
        corpus=Corpus(kind=SampleKind.WEIGHINGS),
        behaviour=TargetBehaviour(**{**FAST, **behaviour}),
    )
    await server.async_start()
    try:
        yield server
    finally:
        await server.async_stop()


async def send_request(server, query=None, *, path='/v1/search', **headers):
    connection = await async_connect(host='127.0.0.1', port=server.target.port)
    sent = {
        'x-request-id': 'r1',
        'x-index': 'pay-lookup',
        'x-shard': SHARD,
        'x-snapshot': '1',
        **{name.replace('_', '-'): it for name, it in headers.items()},
    }
    try:
        response = await connection.async_exchange(
            method='POST' if path == '/v1/search' else 'GET',
            path=path,
            headers=sent,
            body=json.dumps(query or {}).encode(),
        )
    finally:
        connection.close()
    return response, json.loads(response.body)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0)


class TestSearch:
    async def test_returns_matching_documents_of_the_shard(self):
        async with running_target() as server:
            response, answer = await send_request(
                server, {'match': {'picker': 'p-0017'}, 'text': 'fine'}
            )
            documents = server.corpus.shard(server.maps[1], SHARD)
            expected_ids = {
                it.id
                for it in documents
                if it.fields['picker'] == 'p-0017'
                and it.fields['grade'] == 'fine'
            }
            assert expected_ids
            assert {hit['id'] for hit in answer['hits']} == expected_ids
            assert answer['complete']
            assert response.headers['x-request-id'] == 'r1'
            assert response.headers['x-held-snapshots'] == '1'
            assert response.headers['x-state'] == 'ready'

    async def test_reservations_are_recorded_by_key(self):
        query = {'reserve': {'item': 'gate', 'quantity': 3, 'event': 'Naadam'}}
        async with running_target() as server:
            for _ in range(2):
                _, answer = await send_request(
                    server, query, idempotency_key='k'
                )
                assert answer['hits'][0]['id'] == 'k'
            assert count_runs_by_key(server.records.runs) == {'k': 2}

    async def test_new_snapshot_replaces_the_oldest(self):
        async with running_target(held_snapshots=1) as server:
            spec = load_deployment(ATLAS, scale=0.1).indexes[0]
            server.add_map(build_map(spec, snapshot=2, shards=4))
            response, answer = await send_request(server)
            assert (response.status, answer['code']) == (409, 'snapshot_gone')
            _, answer = await send_request(
                server, x_snapshot='2', x_shard='pay-lookup-of-4-00'
            )
            assert {hit['snapshot'] for hit in answer['hits']} == {2}


class TestRefusals:
    async def test_sheds_requests_beyond_its_slots(self):
        async with running_target(service_s=30) as server:
            running = [
                asyncio.create_task(send_request(server)) for _ in range(2)
            ]
            await wait_until(lambda: len(server.records.started) == 2)
            response, answer = await send_request(server)
            assert (response.status, answer['code']) == (429, 'shed')
            for task in running:
                task.cancel()
            await wait_until(lambda: server.records.cancelled == 2)
            assert server.records.in_flight == 0

    @pytest.mark.parametrize(
        ('prepare', 'headers', 'status', 'code'),
        [
            (lambda it: it.drain(), {}, 503, 'draining'),
            (lambda it: None, {'x_deadline_ms': '0'}, 504, 'deadline'),
            (lambda it: None, {'x_shard': 'other'}, 400, 'bad_request'),
        ],
    )
    async def test_refused_request_does_not_run(
        self, prepare, headers, status, code
    ):
        async with running_target() as server:
            prepare(server)
            response, answer = await send_request(server, **headers)
            assert (response.status, answer['code']) == (status, code)
            assert not server.records.started


class TestConnections:
    async def test_connect_cost_counts_from_accept(self):
        async with running_target(connect_s=30) as server:
            times = [0.0]
            server.server.now = server.now = lambda: times[0]
            early = asyncio.create_task(send_request(server))
            await wait_until(lambda: server.records.in_flight)
            assert not server.records.started
            spare = await async_connect(
                host='127.0.0.1', port=server.target.port
            )
            await wait_until(lambda: len(server.server.connections) == 2)
            times[0] = 31.0
            response = await spare.async_exchange(
                method='POST',
                path='/v1/search',
                headers={
                    'x-request-id': 'r2',
                    'x-index': 'pay-lookup',
                    'x-shard': SHARD,
                    'x-snapshot': '1',
                },
                body=b'{}',
            )
            assert response.status == 200
            early.cancel()
            assert [it.request_id for it in server.records.started] == ['r2']

    async def test_closes_connections_over_the_limit(self):
        async with running_target() as server:
            limit = server.target.connections
            opened = [
                await async_connect(host='127.0.0.1', port=server.target.port)
                for _ in range(limit + 1)
            ]
            await wait_until(lambda: server.records.connections == limit + 1)
            await wait_until(lambda: not opened[limit].usable)
            assert all(it.usable for it in opened[:limit])
            for connection in opened:
                connection.close()


class TestColdStart:
    @pytest.mark.parametrize('mode', list(ColdOverload))
    async def test_request_over_the_cold_limit_is_refused_or_fails(self, mode):
        async with running_target(
            service_s=30, cold_overload=mode, overload_outage_s=0.01
        ) as server:
            server.enter_cold_start()
            first = asyncio.create_task(send_request(server))
            await wait_until(lambda: server.records.started)
            second = asyncio.create_task(send_request(server))
            await wait_until(lambda: len(server.records.runs) == 2)
            if mode is ColdOverload.SILENCE:
                with pytest.raises(BitternturnError):
                    await second
                assert server.records.overload_outages == 1
                await wait_until(lambda: server.records.in_flight == 1)
            else:
                response, answer = await second
                assert response.status in (500, 503)
                assert answer['code'] in ('target_error', 'cold')
            assert server.records.peak_in_flight_cold == 2
            first.cancel()

    async def test_ready_after_enough_answers(self):
        async with running_target(warm_after_answers=2) as server:
            server.enter_cold_start()
            states = [
                (await send_request(server))[0].headers['x-state']
                for _ in range(3)
            ]
            assert states == ['cold', 'ready', 'ready']

    async def test_health_report_lags_and_can_be_overridden(self):
        async with running_target(health_lag_s=600) as server:
            server.enter_cold_start()
            _, report = await send_request(server, path='/v1/health')
            assert report['state'] == 'ready'
            server.behaviour.health_lag_s = 0
            server.behaviour.health_state_override = TargetState.DRAINING
            _, report = await send_request(server, path='/v1/health')
            assert report['state'] == 'draining'


class TestFaults:
    async def test_crossed_answer_belongs_to_an_earlier_request(self):
        async with running_target() as server:
            earlier, _ = await send_request(server, x_request_id='r0')
            server.faults = TargetFaults(crossed=1)
            query = {'match': {'picker': 'nobody'}}
            crossed, _ = await send_request(server, query, x_request_id='r1')
            assert crossed.headers['x-request-id'] == 'r0'
            assert crossed.body == earlier.body
            own, answer = await send_request(server, query, x_request_id='r2')
            assert own.headers['x-request-id'] == 'r2'
            assert not answer['hits']

    async def test_incomplete_answer_is_marked(self):
        async with running_target() as server:
            server.faults = TargetFaults(incomplete=1)
            _, incomplete = await send_request(server)
            _, complete = await send_request(server)
            assert (incomplete['complete'], complete['complete']) == (
                False,
                True,
            )
            assert len(incomplete['hits']) < len(complete['hits'])

    async def test_request_with_lost_answer_ran(self):
        async with running_target() as server:
            server.faults = TargetFaults(lost_answers=1)
            with pytest.raises(BitternturnError):
                await send_request(server)
            assert server.records.runs[0].started_s
            assert server.records.runs[0].state is RunState.DONE


class TestDeployments:
    def test_atlas_has_its_current_sizes(self):
        indexes = build_indexes(load_deployment(ATLAS))
        sizes = {
            it.name: (len(it.maps[0].shards), len(it.targets))
            for it in indexes.indexes
        }
        assert sizes == {
            'pay-lookup': (20, 40),
            'grade-reporting': (30, 60),
            'ledger-desk': (5, 5),
            'transport-log': (4, 4),
        }

    @pytest.mark.parametrize('name', ['atlas', 'association'])
    @pytest.mark.parametrize('scale', [0.1, 0.5, 1, 2])
    def test_replicas_are_in_different_failure_domains(self, name, scale):
        indexes = build_indexes(load_deployment(name, scale=scale))
        for index in indexes.indexes:
            domains = {it.id: it.failure_domain for it in index.targets}
            for shard in index.maps[0].shards:
                held = [domains[it] for it in shard.targets]
                assert len(set(held)) == len(held) == 2
        assert isinstance(indexes, config_pb2.Indexes)
