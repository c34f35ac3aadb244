"""Whole sessions against their golden files."""

import pytest

from bitternturn.standins.object_faults import ObjectFaults
from tests.integration.golden import Session
from tests.integration.session import (
    INDEX,
    async_until_in_force,
    record,
    search,
    shards,
)

SHARD = f'{INDEX}-00'
PICKER = {'match': {'picker': 'p-0007'}}


def query(name):
    return search(query=PICKER, limit=2, request_id=name)


@pytest.fixture
async def begin(start):
    async def async_begin(title):
        cluster = await start()
        session = Session(cluster, title)
        await session.async_begin()
        return cluster, session

    return async_begin


class TestGoldenSessions:
    async def test_query(self, begin):
        _, session = await begin('A query over all shards')
        await session.async_query(query('first'))
        await session.async_query(
            search(request_id='bad', query=PICKER, profile='none')
        )
        session.check('query')

    async def test_failure_domain_out_and_in(self, begin):
        cluster, session = await begin('A failure domain out and in')
        domain = cluster.deployment.failure_domains[1]
        for verb in ('out', 'in'):
            version = await session.async_operate(
                'POST', f'/v1/domains/{domain}/{verb}', {'reason': 'match day'}
            )
            await async_until_in_force(cluster, 'switches', version)
            await session.async_events()
            await session.async_query(query(f'after-{verb}'))
        session.check('domain')

    async def test_reservation_with_lost_answers(self, begin):
        cluster, session = await begin('A record with a lost answer')
        session.note('The answer of the object API is lost')
        cluster.objects.set_faults(ObjectFaults(lost_answers=1))
        await session.async_query(record(SHARD, key='a', request_id='a-1'))
        session.note('The answer of the target is lost')
        for server in shards(cluster)[SHARD]:
            server.faults.lost_answers = 1
        await session.async_query(record(SHARD, key='b', request_id='b-1'))
        session.note('The caller tries again')
        await session.async_query(record(SHARD, key='b', request_id='b-2'))
        session.check('reservation')

    async def test_replacement_of_an_instance(self, begin):
        cluster, session = await begin('An instance is replaced')
        session.note('i1 leaves')
        assert await cluster.instances['i1'].async_terminate() == 0
        cluster.forget('i1')
        await session.async_query(query('while-gone'))
        session.note('i1-again starts')
        await cluster.async_add('i1-again')
        await cluster.async_wait_ready('i1-again')
        await session.async_events()
        await session.async_query(query('after'))
        session.check('replacement')
