"""Targets in cold start get no more than they bear, whoever owns them."""

import asyncio
import itertools
import signal

import pytest

from bitternturn.core.ids import FailureDomain
from bitternturn.standins.object_faults import ObjectFaults, Outage
from bitternturn.standins.target_behaviour import ColdOverload
from tests.integration.session import (
    RATE,
    SECONDS,
    Load,
    async_ask,
    async_owners,
    async_until,
    search,
    set_service_s,
    wall_s,
)

SERVICE_S = 0.02
LEASE_S = 1.5


def go_cold(cluster, overload=ColdOverload.SILENCE):
    set_service_s(cluster, SERVICE_S)
    for server in cluster.fleet.targets.values():
        server.behaviour.cold_overload = overload
        server.go_cold()


async def async_come_back_cold(cluster, domain):
    await cluster.fleet.async_stop_domain(domain)
    await cluster.fleet.async_start_domain(domain)


def cold_runs(cluster):
    return [run for run in cluster.fleet.runs() if run.cold]


def changes_of_sender(cluster):
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
    async def test_all_cold_under_load(self, start, overload):
        cluster = await start()
        go_cold(cluster, overload)
        load = Load(cluster)
        await load.task
        assert len(cold_runs(cluster)) > RATE
        assert cluster.fleet.over_cold_limit() == []

    @pytest.mark.parametrize('outage', [Outage.NONE, Outage.SILENT])
    async def test_domain_comes_back_cold(self, start, outage):
        cluster = await start()
        set_service_s(cluster, SERVICE_S)
        domain = FailureDomain(cluster.deployment.failure_domains[0])
        load = Load(cluster)
        await load.async_until_answered(10)
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        await async_come_back_cold(cluster, domain)
        await load.task
        assert {run.target for run in cold_runs(cluster) if run.started_s} == {
            it.target.id for it in cluster.fleet.in_domain(domain)
        }
        assert cluster.fleet.over_cold_limit() == []


class TestOwnersOfColdTargets:
    @pytest.mark.parametrize('come_back', [False, True])
    async def test_owner_killed(self, start, come_back):
        cluster = await start()
        go_cold(cluster)
        load = Load(cluster, SECONDS + LEASE_S)
        await load.async_until_answered(10)
        owners = await async_owners(cluster, 'i0')
        owned = {target for target, name in owners.items() if name == 'i1'}
        await cluster.instances['i1'].async_kill()
        killed_s = wall_s()
        if come_back:
            for domain in cluster.deployment.failure_domains[:2]:
                await async_come_back_cold(cluster, FailureDomain(domain))
        await load.task
        assert {
            run.target
            for run in cold_runs(cluster)
            if run.arrived_s > killed_s and run.target in owned
        } == owned
        assert cluster.fleet.over_cold_limit() == []

    @pytest.mark.parametrize('come_back', [False, True])
    async def test_owner_paused_past_its_lease(self, start, come_back):
        cluster = await start()
        go_cold(cluster)
        load = Load(cluster, SECONDS + 2 * LEASE_S)
        await load.async_until_answered(10)
        owners = await async_owners(cluster, 'i0')
        owned = {target for target, name in owners.items() if name == 'i1'}
        paused = cluster.instances['i1']
        paused.send(signal.SIGSTOP)
        stopped_s = wall_s()
        await async_until(
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
        if come_back:
            for domain in cluster.deployment.failure_domains[:2]:
                await async_come_back_cold(cluster, FailureDomain(domain))
        paused.send(signal.SIGCONT)
        await asyncio.gather(
            *(async_ask(cluster, 'i1', search()) for _ in '12')
        )
        await load.task
        # The paused one may own its targets again after a hand-over.
        assert max(changes_of_sender(cluster)) <= 2
        assert cluster.fleet.over_cold_limit() == []
