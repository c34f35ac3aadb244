"""Tests of the target fleet, sample data, instance list and seeding."""

import contextlib
import random

import pytest

from bitternturn.core.clock import monotonic
from bitternturn.core.errors import BitternturnError
from bitternturn.http.client import async_connect
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.instance_list import async_list_instances
from bitternturn.platform.models import ListedInstance
from bitternturn.schema.config_pb2 import ConfigurationObject
from bitternturn.standins.configuration_seed import seed_configuration
from bitternturn.standins.deployments import ASSOCIATION, load_deployment
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.instance_list import LaggingInstanceList
from bitternturn.standins.object_api import ObjectApi
from bitternturn.standins.object_store import ObjectStore
from bitternturn.standins.samples import Corpus, SampleKind
from bitternturn.standins.target_behaviour import (
    TargetBehaviour,
    make_service_times,
)
from bitternturn.standins.target_records import (
    count_runs_by_key,
    count_runs_by_request,
)


@contextlib.asynccontextmanager
async def running_fleet(**start):
    fleet = TargetFleet(
        deployment=load_deployment(ASSOCIATION, scale=0.1), documents=100
    )
    await fleet.async_start(**start)
    try:
        yield fleet
    finally:
        await fleet.async_stop()


async def search(target, index, shard, snapshot, request_id):
    connection = await async_connect(host=target.host, port=target.port)
    response = await connection.async_exchange(
        method='POST',
        path='/v1/search',
        headers={
            'x-request-id': request_id,
            'idempotency-key': 'key',
            'x-index': index,
            'x-shard': shard,
            'x-snapshot': str(snapshot),
        },
        body=b'{}',
    )
    connection.close()
    return response


class TestFleet:
    async def test_every_configured_replica_serves_its_shard(self):
        async with running_fleet() as fleet:
            request_count = 0
            for index in fleet.indexes.indexes:
                targets = {it.id: it for it in index.targets}
                for shard in index.maps[0].shards:
                    for target_id in shard.targets:
                        response = await search(
                            targets[target_id], index.name, shard.id, 1, 'r'
                        )
                        assert response.status == 200
                        request_count += 1
            assert count_runs_by_request(fleet.runs()) == {'r': request_count}
            assert count_runs_by_key(fleet.runs()) == {'key': request_count}

    async def test_publishes_repartitioned_snapshot(self):
        async with running_fleet() as fleet:
            fleet.add_snapshot('barrier-search', 2)
            for snapshot in (2, 3):
                new = fleet.add_snapshot('barrier-search', snapshot, shards=5)
                fleet.publish_map('barrier-search', new)
            index = fleet.index('barrier-search')
            assert [it.snapshot for it in index.maps] == [2, 3]
            shard = index.maps[1].shards[4]
            target = fleet.targets[shard.targets[0]].target
            response = await search(target, index.name, shard.id, 3, 'r')
            assert response.status == 200
            assert response.headers['x-held-snapshots'] == '2,3'

    async def test_failure_domains_partition_the_fleet(self):
        async with running_fleet() as fleet:
            domains = [
                fleet.targets_in_domain(it)
                for it in fleet.deployment.failure_domains
            ]
            assert sum(map(len, domains)) == len(fleet.targets)

    async def test_failure_domain_restarts_in_cold_start(self):
        async with running_fleet() as fleet:
            name = fleet.deployment.failure_domains[0]
            target = fleet.targets_in_domain(name)[0].target
            index = next(
                it for it in fleet.indexes.indexes if target in it.targets
            )
            shard = next(
                it for it in index.maps[0].shards if target.id in it.targets
            )
            await fleet.async_stop_domain(name)
            with pytest.raises(BitternturnError):
                await search(target, index.name, shard.id, 1, 'r')
            await fleet.async_start_domain(name)
            response = await search(target, index.name, shard.id, 1, 'r')
            assert response.headers['x-state'] == 'cold'
            (run,) = fleet.runs_started_after(0, name)
            assert run.cold
            assert not fleet.runs_started_after(run.started_s, name)
            assert not fleet.targets_over_cold_limit()
            fleet.targets[target.id].target.cold_limit = 0
            assert len(fleet.targets_over_cold_limit()) == 1

    async def test_proxies_forward_to_targets(self):
        async with running_fleet(proxied=True) as fleet:
            index = fleet.indexes.indexes[0]
            shard = index.maps[0].shards[0]
            server = fleet.targets[shard.targets[0]]
            assert server.target.port != server.server.port
            response = await search(server.target, index.name, shard.id, 1, 'r')
            assert response.status == 200
            assert fleet.proxies[shard.targets[0]].accepted_count == 1


class TestSamples:
    def test_shards_partition_the_documents(self):
        fleet = TargetFleet(deployment=load_deployment(ASSOCIATION))
        corpus = Corpus(
            kind=SampleKind.BARRIERS, count=500, documents_per_snapshot=10
        )
        partition_map = fleet.indexes.indexes[0].maps[0]
        document_ids = [
            it.id
            for shard in partition_map.shards
            for it in corpus.shard(partition_map, shard.id)
        ]
        assert len(document_ids) == 500
        assert set(document_ids) == {it.id for it in corpus.documents(1)}
        assert set(document_ids) < {it.id for it in corpus.documents(2)}

    def test_straggler_share_is_about_one_percent(self):
        draw_service_s = make_service_times(
            TargetBehaviour(service_s=0.001), random.Random(5)
        )
        times = [draw_service_s() for _ in range(10_000)]
        slow = [it for it in times if it > 0.01]
        assert 70 <= len(slow) <= 130
        assert min(slow) >= 0.015


class TestInstanceList:
    async def test_changes_are_visible_after_the_lag(self):
        times = [0.0]
        api = ObjectApi(
            now=lambda: times[0], instances=LaggingInstanceList(lag_s=30)
        )
        await api.async_start(host='127.0.0.1')
        client = ObjectClient(
            host='127.0.0.1',
            port=api.port,
            timeout_s=5,
            rng=random.Random(1),
            now=monotonic,
        )
        entry = ListedInstance(
            id='i1', failure_domain='d', state='live', peer='a', operators='b'
        )
        api.instances.set(entry, 0)
        lists = []
        for now in (29.0, 30.0, 50.0, 80.0):
            times[0] = now
            if now == 50:
                api.instances.remove('i1', now)
            lists.append(await async_list_instances(client))
        assert lists == [(), (entry,), (entry,), ()]
        client.close()
        await api.async_stop()


class TestSeed:
    @pytest.mark.parametrize('name', ['atlas', 'association'])
    def test_stored_configuration_can_be_decoded(self, name):
        deployment = load_deployment(name)
        fleet = TargetFleet(deployment=deployment)
        store = ObjectStore(watch_log_commits=10)
        seed_configuration(store, deployment=deployment, indexes=fleet.indexes)
        read = {
            it.name: ConfigurationObject.FromString(it.value)
            for it in store.commits
        }
        assert read['indexes'].indexes == fleet.indexes
        repeatable = {
            it.name: it.repeatable for it in read['profiles'].profiles.profiles
        }
        assert sorted(repeatable.values()) == [False, True, True, True]
        assert len(read['switches'].switches.failure_domains) == 4
