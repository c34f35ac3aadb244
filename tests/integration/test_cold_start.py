"""Targets in cold start never get more than their limit, whoever owns them."""

import asyncio
import itertools
import signal

import pytest

from bitternturn.core.ids import FailureDomain
from bitternturn.standins.object_faults import ObjectFaults, Outage
from bitternturn.standins.target_behaviour import ColdOverload
from tests.integration.helpers import (
    LOAD_S,
    RATE_PER_S,
    Load,
    async_get_owners,
    async_send_query,
    async_wait_until,
    make_search,
    set_service_s,
    wall_s,
)

SERVICE_S = 0.02
LEASE_S = 1.5


def make_targets_cold(cluster, overload=ColdOverload.SILENCE):
    set_service_s(cluster, SERVICE_S)
    for server in cluster.fleet.targets.values():
        server.behaviour.cold_overload = overload
        server.enter_cold_start()


async def async_restart_domain_cold(cluster, domain):
    await cluster.fleet.async_stop_domain(domain)
    await cluster.fleet.async_start_domain(domain)


def cold_runs(cluster):
    return [run for run in cluster.fleet.runs() if run.cold]


def count_sender_changes(cluster):
    """Return how often the sender changed, for each target."""
    return [
        len(
            list(
                itertools.groupby(
                    run.request_id.split('.')[1] for run in server.records.runs
                ),
            ),
        )
        - 1
        for server in cluster.fleet.targets.values()
    ]


class TestColdTargets:
    @pytest.mark.parametrize('overload', list(ColdOverload))
    async def test_all_cold_under_load(self, start_cluster, overload):
        cluster = await start_cluster()
        make_targets_cold(cluster, overload)
        load = Load(cluster)
        await load.task
        assert len(cold_runs(cluster)) > RATE_PER_S
        assert cluster.fleet.targets_over_cold_limit() == []

    @pytest.mark.parametrize('outage', [Outage.NONE, Outage.SILENT])
    async def test_domain_restarts_cold(self, start_cluster, outage):
        cluster = await start_cluster()
        set_service_s(cluster, SERVICE_S)
        domain = FailureDomain(cluster.deployment.failure_domains[0])
        load = Load(cluster)
        await load.async_wait_answered(10)
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        await async_restart_domain_cold(cluster, domain)
        await load.task
        assert {run.target for run in cold_runs(cluster) if run.started_s} == {
            it.target.id for it in cluster.fleet.targets_in_domain(domain)
        }
        assert cluster.fleet.targets_over_cold_limit() == []


class TestOwnersOfColdTargets:
    @pytest.mark.parametrize('restart_domains', [False, True])
    async def test_owner_killed(self, start_cluster, restart_domains):
        cluster = await start_cluster()
        make_targets_cold(cluster)
        load = Load(cluster, LOAD_S + LEASE_S)
        await load.async_wait_answered(10)
        owners = await async_get_owners(cluster, 'i0')
        owned = {target for target, name in owners.items() if name == 'i1'}
        await cluster.instances['i1'].async_kill()
        killed_s = wall_s()
        if restart_domains:
            for domain in cluster.deployment.failure_domains[:2]:
                await async_restart_domain_cold(cluster, FailureDomain(domain))
        await load.task
        assert {
            run.target
            for run in cold_runs(cluster)
            if run.arrived_s > killed_s and run.target in owned
        } == owned
        assert cluster.fleet.targets_over_cold_limit() == []

    @pytest.mark.parametrize('restart_domains', [False, True])
    async def test_owner_paused_past_its_lease(
        self, start_cluster, restart_domains
    ):
        cluster = await start_cluster()
        make_targets_cold(cluster)
        load = Load(cluster, LOAD_S + 2 * LEASE_S)
        await load.async_wait_answered(10)
        owners = await async_get_owners(cluster, 'i0')
        owned = {target for target, name in owners.items() if name == 'i1'}
        paused = cluster.instances['i1']
        paused.send_signal(signal.SIGSTOP)
        stopped_s = wall_s()
        await async_wait_until(
            lambda: (
                {
                    run.target
                    for run in cold_runs(cluster)
                    if run.arrived_s > stopped_s + LEASE_S
                    and run.target in owned
                }
                == owned
            ),
        )
        if restart_domains:
            for domain in cluster.deployment.failure_domains[:2]:
                await async_restart_domain_cold(cluster, FailureDomain(domain))
        paused.send_signal(signal.SIGCONT)
        await asyncio.gather(
            *(async_send_query(cluster, 'i1', make_search()) for _ in '12')
        )
        await load.task
        # The resumed instance may get its targets back by a hand-over.
        assert max(count_sender_changes(cluster)) <= 2
        assert cluster.fleet.targets_over_cold_limit() == []
