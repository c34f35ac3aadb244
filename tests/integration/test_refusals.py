"""A request refused as "not run" was run by no target."""

import asyncio

import pytest

from bitternturn.standins.object_faults import ObjectFaults, Outage
from tests.integration.helpers import (
    INDEX,
    async_send_queries,
    async_send_query,
    async_wait_until,
    get_replicas_by_shard,
    get_started_runs,
    make_record,
    make_search,
    set_service_s,
)

SHARD = f'{INDEX}-00'
QUERY_COUNT = 60


def assert_refused_were_not_run(cluster, queries, answers):
    refused = [
        query
        for query, answer in zip(queries, answers, strict=True)
        if answer.reply.outcome == 'not_run'
    ]
    assert refused
    assert [get_started_runs(cluster, query) for query in refused] == [
        []
    ] * len(refused)


class TestNotRun:
    @pytest.mark.parametrize('outage', [Outage.NONE, Outage.REFUSING])
    async def test_more_queries_than_fit_the_deadline(
        self, start_cluster, outage
    ):
        cluster = await start_cluster(instances=2, service_s=0.05)
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        queries = [
            make_record(SHARD, deadline_ms=300) for _ in range(QUERY_COUNT)
        ]
        answers = await async_send_queries(cluster, queries)
        assert_refused_were_not_run(cluster, queries, answers)
        assert all(len(get_started_runs(cluster, it)) <= 1 for it in queries)

    @pytest.mark.parametrize('out', [False, True])
    async def test_every_replica_drains(self, start_cluster, out):
        cluster = await start_cluster(instances=2)
        replicas = get_replicas_by_shard(cluster)[SHARD]
        for server in replicas:
            server.drain()
        if out:
            path = f'/v1/targets/{replicas[0].target.id}/out'
            await cluster.async_call_administration(
                'i0', 'POST', path, body=b'{}'
            )
        queries = [make_record(SHARD), make_record(SHARD, key='k')]
        answers = await async_send_queries(cluster, queries)
        assert {it.reply.outcome for it in answers} == {'not_run'}
        assert_refused_were_not_run(cluster, queries, answers)

    @pytest.mark.parametrize('outage', [Outage.REFUSING, Outage.SILENT])
    async def test_key_is_not_claimed_in_an_outage(self, start_cluster, outage):
        cluster = await start_cluster(instances=2)
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        query = make_record(SHARD, key='k')
        answer = await async_send_query(cluster, 'i0', query)
        assert answer.reply.outcome == 'not_run'
        cluster.objects.set_faults(ObjectFaults())
        assert_refused_were_not_run(cluster, [query], [answer])
        assert (
            await async_send_query(cluster, 'i1', make_record(SHARD, key='k'))
        ).done
        assert get_started_runs(cluster, query) == []

    async def test_owner_is_killed_with_work_queued(self, start_cluster):
        cluster = await start_cluster(service_s=0.1)
        queries = [
            make_record(SHARD, deadline_ms=1500) for _ in range(QUERY_COUNT)
        ]
        send_task = asyncio.create_task(
            async_send_queries(cluster, queries, 'i0')
        )
        await async_wait_until(
            lambda: any(get_started_runs(cluster, it) for it in queries)
        )
        await cluster.instances['i1'].async_kill()
        await cluster.instances['i2'].async_kill()
        for server in get_replicas_by_shard(cluster)[SHARD]:
            server.faults.lost_answers = 1
        answers = await send_task
        assert all(it.status for it in answers)
        for query, answer in zip(queries, answers, strict=True):
            assert answer.reply.outcome != 'not_run' or not get_started_runs(
                cluster, query
            )
        assert all(len(get_started_runs(cluster, it)) <= 1 for it in queries)

    async def test_malformed_requests(self, start_cluster):
        cluster = await start_cluster(instances=2)
        set_service_s(cluster, 0.01)
        queries = [
            make_search(profile='none'),
            make_search(index='none'),
            make_search(shards=('none',)),
            make_record(SHARD, shards=()),
            make_search(idempotency_key='k'),
        ]
        answers = await async_send_queries(cluster, queries)
        assert {it.reply.outcome for it in answers} == {'not_run'}
        assert_refused_were_not_run(cluster, queries, answers)
