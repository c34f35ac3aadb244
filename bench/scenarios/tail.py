"""Tail latency with hedges and retries compared with plain fan-out.

Plain fan-out is the same tier with a profile that neither hedges nor retries.
Index versions change and shards are repartitioned under load.
"""

import asyncio
import random

from bench.checks import CoverageCheck
from bench.cluster import Cluster, running_cluster
from bench.options import Options
from bench.remote_fleet import RemoteFleet
from bench.workloads import select_indexes
from bitternturn.core.ids import IndexName, Snapshot
from bitternturn.schema.config_pb2 import Profiles
from bitternturn.standins.deployments import build_profiles
from bitternturn.standins.load_generator import LoadReport, async_generate_load

INDEX = 'pay-lookup'
PROFILE = 'shed-queue'
PLAIN_PROFILE = 'plain'
QUERIES_PER_S = 40.0


def make_profiles(cluster: Cluster) -> Profiles:
    """Return the profiles with an additional one for plain fan-out."""
    profiles = build_profiles(cluster.deployment)
    plain = profiles.profiles.add()
    for profile in profiles.profiles:
        if profile.name == PROFILE:
            profile.hedge_budget = 0.04
            profile.retry_budget = 0.01
            plain.CopyFrom(profile)
    plain.name = PLAIN_PROFILE
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
    """Publish two new snapshots; the second repartitions the shards."""
    shards = cluster.deployment.index(INDEX).shards
    for number, count in ((first, shards), (first + 1, shards - 2)):
        await asyncio.sleep(seconds / 3)
        partition_map = await fleet.async_add_snapshot(
            IndexName(INDEX),
            Snapshot(number),
            shards=count,
        )
        fleet.publish_map(IndexName(INDEX), partition_map)
        await cluster.async_put_configuration('indexes', fleet.indexes)


async def async_offer_profile_load(
    cluster: Cluster,
    *,
    profile: str,
    seconds: float,
    rng: random.Random,
    check: CoverageCheck,
) -> LoadReport:
    """Offer load with one profile for a time."""
    return await async_generate_load(
        send=cluster.caller.async_query,
        rate=QUERIES_PER_S,
        seconds=seconds,
        make_query=check.make_query_source(profile),
        rng=rng,
        on_answer=check.record_answer,
    )


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    rng = random.Random(options.seed)
    deployment = select_indexes('atlas', INDEX)
    fleet = RemoteFleet(deployment=deployment, seed=options.seed)
    cluster = Cluster(deployment=deployment, fleet=fleet)
    seconds = options.choose_seconds(10, 60)
    async with running_cluster(cluster):
        await cluster.async_put_configuration(
            'profiles', make_profiles(cluster)
        )
        check = CoverageCheck(fleet=fleet, index=INDEX)
        await async_offer_profile_load(
            cluster, profile=PROFILE, seconds=8, rng=rng, check=check
        )
        runs_before = len(await fleet.async_fetch_runs())
        changes = asyncio.create_task(
            async_change_index(cluster, fleet, seconds, first=2),
        )
        plain = await async_offer_profile_load(
            cluster,
            profile=PLAIN_PROFILE,
            seconds=seconds,
            rng=rng,
            check=check,
        )
        await changes
        runs_between = len(await fleet.async_fetch_runs())
        changes = asyncio.create_task(
            async_change_index(cluster, fleet, seconds, first=4),
        )
        with_policy = await async_offer_profile_load(
            cluster, profile=PROFILE, seconds=seconds, rng=rng, check=check
        )
        await changes
        runs_after = len(await fleet.async_fetch_runs())
        return summarize(
            plain, with_policy, check, runs_before, runs_between, runs_after
        )


def summarize(
    plain: LoadReport,
    with_policy: LoadReport,
    check: CoverageCheck,
    runs_before: int,
    runs_between: int,
    runs_after: int,
) -> dict[str, object]:
    """Return the results of both profiles."""
    plain_runs_per_query = (runs_between - runs_before) / max(1, plain.offered)
    runs_per_query = (runs_after - runs_between) / max(1, with_policy.offered)
    p99, plain_p99 = with_policy.quantile_s(0.99), plain.quantile_s(0.99)
    return {
        'offered': with_policy.offered,
        'done': with_policy.done,
        'codes': dict(with_policy.codes),
        'p50_ms': round(with_policy.quantile_s(0.5) * 1000, 2),
        'p99_ms': round(p99 * 1000, 2),
        'plain_p50_ms': round(plain.quantile_s(0.5) * 1000, 2),
        'plain_p99_ms': round(plain_p99 * 1000, 2),
        'p99_ratio': round(p99 / plain_p99, 3),
        'extra_load': round(runs_per_query / plain_runs_per_query - 1, 4),
        'coverage_mean': round(with_policy.mean_coverage, 4),
        'coverage_true_share': check.correct_share,
        'mixed_snapshots': check.mixed_snapshots,
    }
