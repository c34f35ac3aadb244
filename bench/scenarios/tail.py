"""Tail latency with the policy against plain fan-out, in one run.

Plain fan-out is the same tier with profiles that neither hedge nor retry.
Index versions change and shards are repartitioned under the load.
"""

import asyncio
import random

from bench.checks import CoverageCheck
from bench.cluster import Cluster, running_cluster
from bench.loads import small_deployment
from bench.options import Options
from bench.remote_fleet import RemoteFleet
from bitternturn.core.ids import IndexName, Snapshot
from bitternturn.schema.config_pb2 import Profiles
from bitternturn.standins.deployments import build_profiles
from bitternturn.standins.load import LoadReport, async_offer_load

INDEX = 'pay-lookup'
PROFILE = 'shed-queue'
PLAIN = 'plain'
RATE = 40.0


def with_plain(cluster: Cluster) -> Profiles:
    """Return the profiles and one that neither hedges nor retries."""
    profiles = build_profiles(cluster.deployment)
    plain = profiles.profiles.add()
    for profile in profiles.profiles:
        if profile.name == PROFILE:
            profile.hedge_budget = 0.04
            profile.retry_budget = 0.01
            plain.CopyFrom(profile)
    plain.name = PLAIN
    plain.hedge_budget = 0
    plain.retry_budget = 0
    plain.deadline_ms = 2000
    return profiles


async def async_change_index(
    cluster: Cluster,
    fleet: RemoteFleet,
    seconds: float,
    first: int,
) -> None:
    """Publish a new snapshot twice; the second repartitions the shards."""
    shards = cluster.deployment.index(INDEX).shards
    for number, count in ((first, shards), (first + 1, shards - 2)):
        await asyncio.sleep(seconds / 3)
        partition_map = await fleet.async_add_snapshot(
            IndexName(INDEX),
            Snapshot(number),
            shards=count,
        )
        fleet.publish(IndexName(INDEX), partition_map)
        await cluster.async_accept('indexes', fleet.indexes)


async def async_phase(
    cluster: Cluster,
    *,
    profile: str,
    seconds: float,
    rng: random.Random,
    check: CoverageCheck,
) -> LoadReport:
    """Offer load on one profile."""
    return await async_offer_load(
        send=cluster.caller.async_query,
        rate=RATE,
        seconds=seconds,
        make_query=check.make_queries(profile),
        rng=rng,
        on_answer=check.take,
    )


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    rng = random.Random(options.seed)
    deployment = small_deployment('atlas', INDEX)
    fleet = RemoteFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    seconds = options.seconds(10, 60)
    async with running_cluster(cluster):
        await cluster.async_accept('profiles', with_plain(cluster))
        check = CoverageCheck(fleet=fleet, index=INDEX)
        await async_phase(
            cluster, profile=PROFILE, seconds=8, rng=rng, check=check
        )
        before = len(await fleet.async_collect())
        changes = asyncio.create_task(
            async_change_index(cluster, fleet, seconds, first=2),
        )
        plain = await async_phase(
            cluster, profile=PLAIN, seconds=seconds, rng=rng, check=check
        )
        await changes
        between = len(await fleet.async_collect())
        changes = asyncio.create_task(
            async_change_index(cluster, fleet, seconds, first=4),
        )
        ours = await async_phase(
            cluster, profile=PROFILE, seconds=seconds, rng=rng, check=check
        )
        await changes
        after = len(await fleet.async_collect())
        return summarize(plain, ours, check, before, between, after)


def summarize(
    plain: LoadReport,
    ours: LoadReport,
    check: CoverageCheck,
    before: int,
    between: int,
    after: int,
) -> dict[str, object]:
    """Return the figures."""
    per_plain = (between - before) / max(1, plain.offered)
    per_ours = (after - between) / max(1, ours.offered)
    p99, plain_p99 = ours.quantile_s(0.99), plain.quantile_s(0.99)
    return {
        'offered': ours.offered,
        'done': ours.done,
        'codes': dict(ours.codes),
        'p50_ms': round(ours.quantile_s(0.5) * 1000, 2),
        'p99_ms': round(p99 * 1000, 2),
        'plain_p50_ms': round(plain.quantile_s(0.5) * 1000, 2),
        'plain_p99_ms': round(plain_p99 * 1000, 2),
        'p99_ratio': round(p99 / plain_p99, 3),
        'extra_load': round(per_ours / per_plain - 1, 4),
        'coverage_mean': round(ours.mean_coverage, 4),
        'coverage_true_share': check.true_share,
        'mixed_snapshots': check.mixed,
    }
