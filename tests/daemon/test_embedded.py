"""End-to-end queries through instances and stand-ins on one loop."""

import asyncio
from dataclasses import replace

import pytest

from bitternturn.core.ids import IndexName
from bitternturn.standins.caller_models import CallerQuery
from bitternturn.standins.deployments import load_deployment
from bitternturn.standins.embedded import EmbeddedTier
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.target_records import count_runs_by_key

QUERY = CallerQuery(
    index='pay-lookup',
    profile='shed-queue',
    query={'match': {'picker': 'p-0017'}},
)


def with_long_deadlines(deployment):
    """Return a deployment with deadlines long enough for a busy host."""
    profiles = tuple(
        replace(profile, deadline_ms=30_000) for profile in deployment.profiles
    )
    return replace(deployment, profiles=profiles)


@pytest.fixture
async def tier():
    deployment = with_long_deadlines(load_deployment('atlas', scale=0.2))
    tier = EmbeddedTier(
        deployment=deployment,
        fleet=TargetFleet(deployment=deployment),
    )
    await tier.async_start(instances=2)
    async with asyncio.timeout(20):
        for running in tier.instances:
            while running.instance.not_ready_reason():
                await asyncio.sleep(0.02)
    yield tier
    await tier.async_stop()


class TestQuery:
    async def test_coverage_matches_the_missing_shards(self, tier):
        caller = tier.make_caller()
        await caller.async_start()
        full_answers = 0
        while full_answers < 5:
            answer = await caller.async_query(QUERY)
            if not answer.done:
                continue
            reply = answer.reply
            index = tier.fleet.index(IndexName('pay-lookup'))
            shards = {shard.id for shard in index.maps[-1].shards}
            missing = set(reply.missing)
            assert reply.coverage == pytest.approx(
                1 - len(missing) / len(shards)
            )
            assert {hit['shard'] for hit in reply.hits} <= shards - missing
            full_answers += not missing
        await caller.async_stop()

    async def test_keyed_request_runs_once(self, tier):
        caller = tier.make_caller()
        await caller.async_start()
        index = tier.fleet.index(IndexName('ledger-desk'))
        query = CallerQuery(
            index='ledger-desk',
            profile='record-weighing',
            query={'reserve': {'item': 'p-1', 'quantity': 2, 'event': 'w'}},
            shards=(index.maps[-1].shards[0].id,),
            idempotency_key='one',
        )
        first = await caller.async_query(query)
        while not first.done:
            assert first.reply.outcome == 'not_run'
            first = await caller.async_query(query)
        second = await caller.async_query(query)
        assert second.reply.hits == first.reply.hits
        assert count_runs_by_key(tier.fleet.runs())['one'] == 1
        await caller.async_stop()


class TestMetrics:
    async def test_gauges_show_readiness_and_reached_store(self, tier):
        instance = tier.instances[0].instance
        lines = instance.metrics.render().decode().splitlines()
        assert 'bitternturn_ready 1.0' in lines
        assert 'bitternturn_store_reached 1.0' in lines
        instance.draining = True
        assert 'bitternturn_ready 0.0' in instance.metrics.render().decode()
