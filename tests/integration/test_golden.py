"""Sessions compared with their golden files."""

import pytest

from bitternturn.standins.object_faults import ObjectFaults
from tests.integration.golden_session import Session
from tests.integration.helpers import (
    INDEX,
    async_wait_in_force,
    get_replicas_by_shard,
    make_record,
    make_search,
)

SHARD = f'{INDEX}-00'
PICKER = {'match': {'picker': 'p-0007'}}


def make_query(name):
    return make_search(query=PICKER, limit=2, request_id=name)


@pytest.fixture
async def begin_session(start_cluster):
    async def async_begin(title):
        cluster = await start_cluster()
        session = Session(cluster, title)
        await session.async_skip_events()
        return cluster, session

    return async_begin


class TestGoldenSessions:
    async def test_query(self, begin_session):
        _, session = await begin_session('A query over all shards')
        await session.async_write_query(make_query('first'))
        await session.async_write_query(
            make_search(request_id='bad', query=PICKER, profile='none')
        )
        session.assert_matches_golden('query')

    async def test_failure_domain_out_and_in(self, begin_session):
        cluster, session = await begin_session('A failure domain out and in')
        domain = cluster.deployment.failure_domains[1]
        for verb in ('out', 'in'):
            version = await session.async_write_operation(
                'POST', f'/v1/domains/{domain}/{verb}', {'reason': 'match day'}
            )
            await async_wait_in_force(cluster, 'switches', version)
            await session.async_write_events()
            await session.async_write_query(make_query(f'after-{verb}'))
        session.assert_matches_golden('domain')

    async def test_reservation_with_lost_answers(self, begin_session):
        cluster, session = await begin_session('A record with a lost answer')
        session.add_heading('The answer of the object API is lost')
        cluster.objects.set_faults(ObjectFaults(lost_answers=1))
        await session.async_write_query(
            make_record(SHARD, key='a', request_id='a-1')
        )
        session.add_heading('The answer of the target is lost')
        for server in get_replicas_by_shard(cluster)[SHARD]:
            server.faults.lost_answers = 1
        await session.async_write_query(
            make_record(SHARD, key='b', request_id='b-1')
        )
        session.add_heading('The caller tries again')
        await session.async_write_query(
            make_record(SHARD, key='b', request_id='b-2')
        )
        session.assert_matches_golden('reservation')

    async def test_replacement_of_an_instance(self, begin_session):
        cluster, session = await begin_session('An instance is replaced')
        session.add_heading('i1 leaves')
        assert await cluster.instances['i1'].async_terminate() == 0
        cluster.remove_instance('i1')
        await session.async_write_query(make_query('while-gone'))
        session.add_heading('i1-again starts')
        await cluster.async_add_instance('i1-again')
        await cluster.async_wait_ready('i1-again')
        await session.async_write_events()
        await session.async_write_query(make_query('after'))
        session.assert_matches_golden('replacement')
