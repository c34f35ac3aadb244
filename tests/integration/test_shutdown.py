"""Graceful shutdown of an instance under load."""

import asyncio

import pytest

from bench.processes import HOST
from bitternturn.standins.caller_models import InstanceAddress
from bitternturn.standins.object_faults import ObjectFaults, Outage
from tests.integration.helpers import (
    INDEX,
    Load,
    async_get_owners,
    async_send_query,
    async_wait_until,
    get_replicas_by_shard,
    get_started_runs,
    get_started_runs_with_key,
    make_record,
    make_search,
    set_service_s,
)

SERVICE_S = 0.05
SLOW_S = 0.15
SHARD = f'{INDEX}-00'


def get_address(cluster, name):
    port = cluster.instances[name].spec.callers_port
    return InstanceAddress(host=HOST, port=port)


class TestGracefulShutdown:
    async def test_no_request_fails(self, start_cluster):
        cluster = await start_cluster()
        set_service_s(cluster, SERVICE_S)
        load = Load(cluster)
        await load.async_wait_answered(10)
        assert await cluster.instances['i1'].async_terminate() == 0
        report = await load.task
        assert report.codes == {}
        assert report.done == report.complete == report.offered

    async def test_two_instances_leave_at_once(self, start_cluster):
        cluster = await start_cluster(instances=4)
        set_service_s(cluster, SERVICE_S)
        load = Load(cluster)
        await load.async_wait_answered(10)
        codes = await asyncio.gather(
            cluster.instances['i1'].async_terminate(),
            cluster.instances['i2'].async_terminate(),
        )
        report = await load.task
        assert codes == [0, 0]
        assert report.codes == {}
        assert report.done == report.offered

    @pytest.mark.parametrize('outage', [Outage.REFUSING, Outage.SILENT])
    async def test_object_api_is_unavailable(self, start_cluster, outage):
        cluster = await start_cluster()
        set_service_s(cluster, SERVICE_S)
        load = Load(cluster)
        await load.async_wait_answered(10)
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        assert await cluster.instances['i1'].async_terminate() == 0
        await load.task
        leaving = get_address(cluster, 'i1')
        answers = [it for it in load.answers if it.instance == leaving]
        assert answers
        assert {(it.status, it.reply.outcome) for it in answers} == {
            (200, 'done'),
        }

    async def test_another_instance_is_killed(self, start_cluster):
        cluster = await start_cluster(instances=4)
        set_service_s(cluster, SERVICE_S)
        load = Load(cluster)
        await load.async_wait_answered(10)
        code, _ = await asyncio.gather(
            cluster.instances['i1'].async_terminate(),
            cluster.instances['i2'].async_kill(),
        )
        await load.task
        assert code == 0
        killed = get_address(cluster, 'i2')
        kept = [it for it in load.answers if it.instance != killed]
        assert kept
        assert all(it.status for it in kept)

    @pytest.mark.parametrize('lost', [0, 2])
    async def test_owner_leaves_while_the_target_works(
        self, start_cluster, lost
    ):
        cluster = await start_cluster()
        set_service_s(cluster, 1)
        owners = await async_get_owners(cluster, 'i0')
        owner_names = {
            owners[it.target.id] for it in get_replicas_by_shard(cluster)[SHARD]
        }
        entry = next(it for it in cluster.instances if it not in owner_names)
        query = make_record(SHARD, key='k')
        send_task = asyncio.create_task(async_send_query(cluster, entry, query))
        await async_wait_until(lambda: get_started_runs(cluster, query))
        cluster.objects.set_faults(ObjectFaults(lost_answers=lost))
        (run,) = get_started_runs(cluster, query)
        owner = cluster.instances[owners[run.target]]
        assert await owner.async_terminate() == 0
        assert (await send_task).done
        assert len(get_started_runs_with_key(cluster, 'k')) == 1

    async def test_entry_leaves_with_queries_in_flight(self, start_cluster):
        cluster = await start_cluster(service_s=SLOW_S)
        queries = [make_search() for _ in range(6)]
        send_tasks = [
            asyncio.create_task(async_send_query(cluster, 'i1', it))
            for it in queries
        ]
        await async_wait_until(
            lambda: all(get_started_runs(cluster, it) for it in queries)
        )
        assert await cluster.instances['i1'].async_terminate() == 0
        answers = await asyncio.gather(*send_tasks)
        assert [it.reply.coverage for it in answers] == [1] * len(queries)
