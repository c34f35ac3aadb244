"""Refusals that say "not run" are true."""

import asyncio

import pytest

from bitternturn.standins.object_faults import ObjectFaults, Outage
from tests.integration.session import (
    INDEX,
    async_ask,
    async_ask_all,
    async_until,
    record,
    runs_of,
    search,
    set_service_s,
    shards,
)

SHARD = f'{INDEX}-00'
CROWD = 60


def assert_not_run_is_true(cluster, queries, answers):
    refused = [
        query
        for query, answer in zip(queries, answers, strict=True)
        if answer.reply.outcome == 'not_run'
    ]
    assert refused
    assert [runs_of(cluster, query) for query in refused] == [[]] * len(refused)


class TestNotRun:
    @pytest.mark.parametrize('outage', [Outage.NONE, Outage.REFUSING])
    async def test_more_than_fits_the_deadline(self, start, outage):
        cluster = await start(instances=2, service_s=0.05)
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        queries = [record(SHARD, deadline_ms=300) for _ in range(CROWD)]
        answers = await async_ask_all(cluster, queries)
        assert_not_run_is_true(cluster, queries, answers)
        assert all(len(runs_of(cluster, it)) <= 1 for it in queries)

    @pytest.mark.parametrize('out', [False, True])
    async def test_every_replica_drains(self, start, out):
        cluster = await start(instances=2)
        replicas = shards(cluster)[SHARD]
        for server in replicas:
            server.drain()
        if out:
            path = f'/v1/targets/{replicas[0].target.id}/out'
            await cluster.async_operate('i0', 'POST', path, body=b'{}')
        queries = [record(SHARD), record(SHARD, key='k')]
        answers = await async_ask_all(cluster, queries)
        assert {it.reply.outcome for it in answers} == {'not_run'}
        assert_not_run_is_true(cluster, queries, answers)

    @pytest.mark.parametrize('outage', [Outage.REFUSING, Outage.SILENT])
    async def test_key_is_not_claimed_in_an_outage(self, start, outage):
        cluster = await start(instances=2)
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        query = record(SHARD, key='k')
        answer = await async_ask(cluster, 'i0', query)
        assert answer.reply.outcome == 'not_run'
        cluster.objects.set_faults(ObjectFaults())
        assert_not_run_is_true(cluster, [query], [answer])
        assert (await async_ask(cluster, 'i1', record(SHARD, key='k'))).done
        assert runs_of(cluster, query) == []

    async def test_owner_is_killed_with_work_queued(self, start):
        cluster = await start(service_s=0.1)
        queries = [record(SHARD, deadline_ms=1500) for _ in range(CROWD)]
        asked = asyncio.create_task(async_ask_all(cluster, queries, 'i0'))
        await async_until(lambda: any(runs_of(cluster, it) for it in queries))
        await cluster.instances['i1'].async_kill()
        await cluster.instances['i2'].async_kill()
        for server in shards(cluster)[SHARD]:
            server.faults.lost_answers = 1
        answers = await asked
        assert all(it.status for it in answers)
        for query, answer in zip(queries, answers, strict=True):
            assert answer.reply.outcome != 'not_run' or not runs_of(
                cluster, query
            )
        assert all(len(runs_of(cluster, it)) <= 1 for it in queries)

    async def test_malformed_requests(self, start):
        cluster = await start(instances=2)
        set_service_s(cluster, 0.01)
        queries = [
            search(profile='none'),
            search(index='none'),
            search(shards=('none',)),
            record(SHARD, shards=()),
            search(idempotency_key='k'),
        ]
        answers = await async_ask_all(cluster, queries)
        assert {it.reply.outcome for it in answers} == {'not_run'}
        assert_not_run_is_true(cluster, queries, answers)
