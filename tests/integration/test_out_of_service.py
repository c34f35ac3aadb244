"""Domains and targets that are out or leaving get no new work."""

import asyncio
import signal

import msgspec
import pytest

from bitternturn.standins.object_faults import ObjectFaults, Outage
from bitternturn.standins.targets import TargetState
from tests.integration.helpers import (
    INDEX,
    POLL_S,
    Load,
    async_get_owners,
    async_get_version,
    async_send_queries,
    async_send_query,
    async_wait_in_force,
    async_wait_until,
    get_replicas_by_shard,
    make_search,
    set_service_s,
    wall_s,
)

LEASE_S = 1.5


async def async_post_switch(cluster, path, name='i0'):
    response = await cluster.async_call_administration(
        name, 'POST', path, body=b'{"reason": "test"}'
    )
    assert response.status == 200
    return msgspec.json.decode(response.body)['version']


async def async_take_out(cluster, path, faults):
    """Take out a domain or target; return the time when it is in force."""
    cluster.objects.set_faults(faults)
    version = await async_post_switch(cluster, path)
    await async_wait_in_force(cluster, 'switches', version)
    return wall_s()


def get_runs_started_since(cluster, targets, since_s):
    return [
        run
        for target in targets
        for run in cluster.fleet.targets[target].records.started
        if run.started_s > since_s
    ]


FAULTS = [ObjectFaults(), ObjectFaults(silent_watches=True)]


class TestFailureDomainOut:
    @pytest.mark.parametrize('faults', FAULTS, ids=['alone', 'silent watches'])
    async def test_no_new_work_until_switched_in(self, start_cluster, faults):
        cluster = await start_cluster()
        domain = cluster.deployment.failure_domains[1]
        targets = [
            it.target.id for it in cluster.fleet.targets_in_domain(domain)
        ]
        load = Load(cluster)
        await load.async_wait_answered(10)
        out_s = await async_take_out(
            cluster, f'/v1/domains/{domain}/out', faults
        )
        report = await load.task
        assert get_runs_started_since(cluster, targets, 0)
        assert get_runs_started_since(cluster, targets, out_s) == []
        assert report.done == report.complete == report.offered
        await async_post_switch(cluster, f'/v1/domains/{domain}/in', 'i2')
        load = Load(cluster)
        await async_wait_until(
            lambda: get_runs_started_since(cluster, targets, out_s)
        )
        assert not (await load.task).codes

    async def test_outage_and_a_new_owner(self, start_cluster):
        cluster = await start_cluster()
        domain = cluster.deployment.failure_domains[1]
        targets = [
            it.target.id for it in cluster.fleet.targets_in_domain(domain)
        ]
        out_s = await async_take_out(
            cluster, f'/v1/domains/{domain}/out', ObjectFaults()
        )
        await cluster.instances['i1'].async_kill()
        cluster.objects.set_faults(ObjectFaults(outage=Outage.REFUSING))
        load = Load(cluster)
        await load.task
        cluster.objects.set_faults(ObjectFaults())
        load = Load(cluster)
        report = await load.task
        assert report.done
        assert get_runs_started_since(cluster, targets, out_s) == []

    async def test_resumed_instance_sends_no_new_work(self, start_cluster):
        cluster = await start_cluster()
        domain = cluster.deployment.failure_domains[1]
        targets = [
            it.target.id for it in cluster.fleet.targets_in_domain(domain)
        ]
        paused = cluster.instances['i1']
        paused.send_signal(signal.SIGSTOP)
        version = await async_post_switch(cluster, f'/v1/domains/{domain}/out')
        others = [it for it in cluster.instances if it != 'i1']
        await async_wait_without_targets(cluster, others, 'i1')
        for name in others:
            assert await async_get_version(cluster, name, 'switches') >= version
        out_s = wall_s()
        paused.send_signal(signal.SIGCONT)
        await async_send_queries(
            cluster, [make_search() for _ in range(12)], 'i1'
        )
        await async_wait_in_force(cluster, 'switches', version)
        await async_send_queries(cluster, [make_search() for _ in range(12)])
        assert get_runs_started_since(cluster, targets, out_s) == []


async def async_wait_without_targets(cluster, names, removed):
    """Wait until instances see no target that `removed` owns."""
    for name in names:
        while removed in (await async_get_owners(cluster, name)).values():
            await asyncio.sleep(POLL_S)


class TestTargetOut:
    @pytest.mark.parametrize('faults', FAULTS, ids=['alone', 'silent watches'])
    async def test_target_gets_no_new_work(self, start_cluster, faults):
        cluster = await start_cluster()
        (target, other), *_ = get_replicas_by_shard(cluster).values()
        load = Load(cluster)
        await load.async_wait_answered(10)
        out_s = await async_take_out(
            cluster, f'/v1/targets/{target.target.id}/out', faults
        )
        report = await load.task
        assert report.done == report.complete == report.offered
        assert get_runs_started_since(cluster, [target.target.id], out_s) == []
        assert get_runs_started_since(cluster, [other.target.id], out_s)


class TestLeavingTarget:
    @pytest.mark.parametrize('kill_owner', [False, True])
    async def test_draining_target_gets_no_new_work(
        self, start_cluster, kill_owner
    ):
        cluster = await start_cluster()
        replicas = get_replicas_by_shard(cluster)[f'{INDEX}-00']
        leaving = replicas[0]
        set_service_s(cluster, 0.02)
        load = Load(cluster)
        await load.async_wait_answered(10)
        leaving.drain()
        drained_s = wall_s()
        if kill_owner:
            owners = await async_get_owners(cluster, 'i2')
            owner = owners[leaving.target.id]
            await cluster.instances[owner].async_kill()
        report = await load.task
        if not kill_owner:
            assert report.done == report.offered
        assert (
            get_runs_started_since(cluster, [leaving.target.id], drained_s)
            == []
        )
        assert leaving.state is TargetState.DRAINING
        running = next(it for it in cluster.instances.values() if it.alive)
        seen = len(leaving.records.runs)
        for _ in range(10):
            await async_send_query(cluster, running.spec.name, make_search())
        assert len(leaving.records.runs) - seen <= 2
