"""Targets fall back into cold start without warning, under load."""

import asyncio
import random

from bench.checks import CoverageCheck
from bench.cluster import Cluster, running_cluster
from bench.loads import small_deployment
from bench.options import Options
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.load import async_offer_load
from bitternturn.standins.target_behaviour import TargetState
from bitternturn.standins.targets import TargetServer

INDEX = 'pay-lookup'
PROFILE = 'shed-queue'
RATE = 20.0
FALL_INTERVAL_S = 0.7
POLL_S = 0.01


async def async_time_to_ready(target: TargetServer) -> float:
    """Return how long a target takes to leave its cold start."""
    started = asyncio.get_running_loop().time()
    while target.state is not TargetState.READY:  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)
    return asyncio.get_running_loop().time() - started


async def async_make_cold(
    fleet: TargetFleet,
    rng: random.Random,
    waits: list['asyncio.Task[float]'],
) -> None:
    """Let one warm target after another fall back."""
    names = sorted(fleet.targets)
    while True:
        await asyncio.sleep(FALL_INTERVAL_S)
        target = fleet.targets[rng.choice(names)]
        if target.state is TargetState.READY:
            target.go_cold()
            waits.append(asyncio.create_task(async_time_to_ready(target)))


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    rng = random.Random(options.seed)
    deployment = small_deployment('atlas', INDEX)
    fleet = TargetFleet(
        deployment=deployment,
        documents=400,
        seed=options.seed,
    )
    cluster = Cluster(deployment=deployment, fleet=fleet)
    waits: list[asyncio.Task[float]] = []
    check = CoverageCheck(fleet=fleet, index=INDEX)
    async with running_cluster(cluster):
        for target in fleet.targets.values():
            target.behaviour.warm_after = 20
            target.go_cold()
        reports = []
        falls = None
        for seconds in (8.0, options.seconds(20, 60)):
            reports.append(
                await async_offer_load(
                    send=cluster.caller.async_query,
                    rate=RATE,
                    seconds=seconds,
                    make_query=check.make_queries(PROFILE),
                    rng=rng,
                    on_answer=check.take,
                ),
            )
            falls = falls or asyncio.create_task(
                async_make_cold(fleet, rng, waits),
            )
        assert falls is not None
        falls.cancel()
        ended = sorted(it.result() for it in waits if it.done())
        for wait in waits:
            wait.cancel()
    records = [target.records for target in fleet.targets.values()]
    return {
        'offered': reports[1].offered,
        'done': reports[1].done,
        'codes': dict(reports[1].codes),
        'coverage_mean': round(reports[1].mean_coverage, 4),
        'coverage_true_share': check.true_share,
        'p50_ms': round(reports[1].quantile_s(0.5) * 1000, 1),
        'p99_ms': round(reports[1].quantile_s(0.99) * 1000, 1),
        'fell_cold': len(waits),
        'ready_again': len(ended),
        'ready_after_p50_s': round(ended[len(ended) // 2], 2)
        if ended
        else None,
        'over_bearing': max(
            target.records.most_in_flight_told - target.target.cold_limit
            for target in fleet.targets.values()
        ),
        'over_before_told': max(
            target.records.most_in_flight_cold - target.target.cold_limit
            for target in fleet.targets.values()
        ),
        'fell_over': sum(record.falls for record in records),
    }
