"""Targets return to cold start under load, without notice to the tier."""

import asyncio
import random

from bench.checks import CoverageCheck
from bench.cluster import Cluster, running_cluster
from bench.options import Options
from bench.workloads import select_indexes
from bitternturn.standins.fleet import TargetFleet
from bitternturn.standins.load_generator import async_generate_load
from bitternturn.standins.target_behaviour import TargetState
from bitternturn.standins.targets import TargetServer

INDEX = 'pay-lookup'
PROFILE = 'shed-queue'
QUERIES_PER_S = 20.0
RESET_INTERVAL_S = 0.7
POLL_S = 0.01


async def async_measure_ready_s(target: TargetServer) -> float:
    """Return the seconds until a target is ready again."""
    started = asyncio.get_running_loop().time()
    while target.state is not TargetState.READY:  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)
    return asyncio.get_running_loop().time() - started


async def async_reset_targets(
    fleet: TargetFleet,
    rng: random.Random,
    waits: list['asyncio.Task[float]'],
) -> None:
    """Return random ready targets to cold start, one after another."""
    names = sorted(fleet.targets)
    while True:
        await asyncio.sleep(RESET_INTERVAL_S)
        target = fleet.targets[rng.choice(names)]
        if target.state is TargetState.READY:
            target.enter_cold_start()
            waits.append(asyncio.create_task(async_measure_ready_s(target)))


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    rng = random.Random(options.seed)
    deployment = select_indexes('atlas', INDEX)
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
            target.behaviour.warm_after_answers = 20
            target.enter_cold_start()
        reports = []
        resets = None
        for seconds in (8.0, options.choose_seconds(20, 60)):
            reports.append(
                await async_generate_load(
                    send=cluster.caller.async_query,
                    rate=QUERIES_PER_S,
                    seconds=seconds,
                    make_query=check.make_query_source(PROFILE),
                    rng=rng,
                    on_answer=check.record_answer,
                ),
            )
            resets = resets or asyncio.create_task(
                async_reset_targets(fleet, rng, waits),
            )
        assert resets is not None
        resets.cancel()
        ready_after_s = sorted(it.result() for it in waits if it.done())
        for wait in waits:
            wait.cancel()
    records = [target.records for target in fleet.targets.values()]
    return {
        'offered': reports[1].offered,
        'done': reports[1].done,
        'codes': dict(reports[1].codes),
        'coverage_mean': round(reports[1].mean_coverage, 4),
        'coverage_true_share': check.correct_share,
        'p50_ms': round(reports[1].quantile_s(0.5) * 1000, 1),
        'p99_ms': round(reports[1].quantile_s(0.99) * 1000, 1),
        'fell_cold': len(waits),
        'ready_again': len(ready_after_s),
        'ready_after_p50_s': round(ready_after_s[len(ready_after_s) // 2], 2)
        if ready_after_s
        else None,
        'over_bearing': max(
            target.records.peak_in_flight_reported_cold
            - target.target.cold_limit
            for target in fleet.targets.values()
        ),
        'over_before_told': max(
            target.records.peak_in_flight_cold - target.target.cold_limit
            for target in fleet.targets.values()
        ),
        'fell_over': sum(record.overload_outages for record in records),
    }
