"""One snapshot, true coverage and complete answers under faults."""

import asyncio
import random

import pytest

from bench.checks import CoverageCheck
from bitternturn.core.ids import IndexName, Snapshot
from bitternturn.standins.deployments import build_map, build_profiles
from bitternturn.standins.object_faults import ObjectFaults, Outage
from bitternturn.standins.proxy_faults import (
    DirectionFaults,
    ProxyFaults,
    delay_both_directions,
)
from tests.integration.helpers import (
    INDEX,
    SEARCH_PROFILE,
    SEED,
    Load,
    async_send_queries,
    get_replicas_by_shard,
)

RESULT_LIMIT = 1000
TRUNCATE_AFTER_BYTES = 900
FAULT_COUNT = 5


def truncation():
    return ProxyFaults(
        up=DirectionFaults(),
        down=DirectionFaults(truncate_after_bytes=TRUNCATE_AFTER_BYTES),
    )


def make_check(cluster):
    return CoverageCheck(
        fleet=cluster.fleet, index=INDEX, result_limit=RESULT_LIMIT
    )


def start_checked_load(cluster, check, **settings):
    load = Load(
        cluster, make_query=check.make_query_source(SEARCH_PROFILE), **settings
    )
    load.task.add_done_callback(
        lambda task: [check.record_answer(it) for it in load.answers],
    )
    return load


def assert_answers_correct(check):
    assert check.correct_share == 1, check.errors[:3]
    assert check.mixed_snapshots == 0


async def async_change_index(cluster, number, count, *, accept=True):
    """Add a snapshot to the targets; with `accept` configure it as well."""
    partition_map = cluster.fleet.add_snapshot(
        IndexName(INDEX), Snapshot(number), shards=count
    )
    if accept:
        cluster.fleet.publish_map(IndexName(INDEX), partition_map)
        await cluster.async_put_configuration('indexes', cluster.fleet.indexes)


def inject_faults(cluster, replicas, **faults):
    """Inject faults into some replicas of each shard."""
    for servers in get_replicas_by_shard(cluster).values():
        for server in servers[:replicas]:
            for name, count in faults.items():
                setattr(server.faults, name, count)


class TestSnapshots:
    @pytest.mark.parametrize('outage', [Outage.NONE, Outage.REFUSING])
    async def test_index_changes_under_queries(self, start_cluster, outage):
        cluster = await start_cluster()
        check = make_check(cluster)
        load = start_checked_load(cluster, check)
        await load.async_wait_answered(10)
        for number, count in ((2, 4), (3, 6), (4, 3)):
            await async_change_index(cluster, number, count)
            cluster.objects.set_faults(ObjectFaults(outage=outage))
            await load.async_wait_answered(20)
            cluster.objects.set_faults(ObjectFaults())
        await load.task
        assert {it.reply.snapshot for it in check.answers} >= {1, 2, 3}
        assert_answers_correct(check)

    @pytest.mark.parametrize('lost', [0, FAULT_COUNT])
    async def test_targets_load_snapshots_before_the_configuration(
        self, start_cluster, lost
    ):
        cluster = await start_cluster()
        check = make_check(cluster)
        load = start_checked_load(cluster, check)
        await load.async_wait_answered(10)
        inject_faults(cluster, 1, lost_answers=lost)
        # Targets hold their two newest snapshots: none holds the configured one
        # until snapshot 4 is configured.
        await async_change_index(cluster, 2, 4, accept=False)
        await async_change_index(cluster, 3, 6, accept=False)
        await load.async_wait_answered(10)
        await async_change_index(cluster, 4, 6)
        await load.task
        assert {it.reply.snapshot for it in check.answers} >= {1, 4}
        assert_answers_correct(check)

    async def test_targets_load_snapshots_one_by_one(self, start_cluster):
        cluster = await start_cluster()
        check = make_check(cluster)
        load = start_checked_load(cluster, check)
        await load.async_wait_answered(10)
        spec = cluster.deployment.index(INDEX)
        for number in (2, 3):
            partition_map = build_map(spec, snapshot=number, shards=number)
            for server in cluster.fleet.targets.values():
                server.add_map(partition_map)
                await load.async_wait_answered(3)
            cluster.fleet.publish_map(IndexName(INDEX), partition_map)
            await cluster.async_put_configuration(
                'indexes', cluster.fleet.indexes
            )
        await load.task
        assert_answers_correct(check)


class TestCoverage:
    @pytest.mark.parametrize(
        'faults',
        [
            {'incomplete': FAULT_COUNT},
            {'crossed': FAULT_COUNT},
            {'lost_answers': FAULT_COUNT},
            {'errors': FAULT_COUNT},
            {'incomplete': FAULT_COUNT, 'crossed': FAULT_COUNT},
            {'lost_answers': FAULT_COUNT, 'incomplete': FAULT_COUNT},
        ],
        ids='+'.join,
    )
    @pytest.mark.parametrize('replicas', [1, 2])
    async def test_spoilt_answers(self, start_cluster, faults, replicas):
        cluster = await start_cluster(instances=2)
        check = make_check(cluster)
        inject_faults(cluster, replicas, **faults)
        load = start_checked_load(cluster, check, seconds=2)
        await load.task
        remaining = [
            getattr(it.faults, name)
            for it in cluster.fleet.targets.values()
            for name in faults
        ]
        assert min(remaining) == 0
        assert check.answers
        assert_answers_correct(check)

    async def test_missing_shards_are_told(self, start_cluster):
        cluster = await start_cluster(instances=2)
        check = make_check(cluster)
        (lost, replicas), *_ = get_replicas_by_shard(cluster).items()
        for server in replicas:
            await server.async_stop()
        await async_set_least_coverage(cluster, 0.5)
        load = start_checked_load(cluster, check, seconds=2)
        await load.task
        assert {it.reply.missing for it in check.answers} == {(lost,)}
        assert {it.reply.coverage for it in check.answers} == {0.75}
        assert_answers_correct(check)


async def async_set_least_coverage(cluster, share):

    profiles = build_profiles(cluster.deployment)
    for profile in profiles.profiles:
        profile.least_coverage = share
    await cluster.async_put_configuration('profiles', profiles)


async def async_disturb_proxies(cluster, rng, load, *disturbances):
    """Apply each disturbance to a random proxy, repeatedly during a load."""
    proxies = list(cluster.fleet.proxies.values())
    while not load.task.done():
        for disturb in disturbances:
            disturb(rng.choice(proxies))
        await asyncio.wait({load.task}, timeout=0.1)


def reset(proxy):
    proxy.reset_connections()


def half_open(proxy):
    proxy.half_open_connections()


def silence(proxy):
    proxy.blackhole_connections()


def truncate(proxy):
    proxy.set_faults(truncation())


def delay(proxy):
    proxy.set_faults(delay_both_directions(0.02))


class TestWholeAnswers:
    @pytest.mark.parametrize(
        'disturbances',
        [
            (reset,),
            (half_open,),
            (silence,),
            (truncate,),
            (delay,),
            (reset, delay),
            (truncate, half_open),
            (silence, delay),
        ],
        ids=lambda disturbances: '+'.join(
            disturb.__name__ for disturb in disturbances
        ),
    )
    async def test_connections_fail(self, start_cluster, disturbances):
        cluster = await start_cluster(instances=2, proxied=True)
        check = make_check(cluster)
        inject_faults(cluster, 1, crossed=FAULT_COUNT)
        load = start_checked_load(cluster, check, seconds=2)
        await async_disturb_proxies(
            cluster, random.Random(SEED), load, *disturbances
        )
        assert check.answers
        assert_answers_correct(check)
        for proxy in cluster.fleet.proxies.values():
            proxy.set_faults(delay_both_directions(0))
            proxy.reset_connections()
        queries = [
            check.make_query_source(SEARCH_PROFILE)(random.Random(number))
            for number in range(4)
        ]
        answers = await async_send_queries(cluster, queries)
        assert [it.reply.request_id for it in answers] == [
            it.request_id for it in queries
        ]
