"""A failure domain taken out and in, then one that vanishes, under load."""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import Phases, outcome, p99_ratio, warm_phases
from bitternturn.core.ids import FailureDomain

SETTLE_S = 1.0


@dataclass(kw_only=True)
class Moments:
    """Wall seconds at which things happened."""

    out_at: float = 0
    in_at: float = 0
    vanished_at: float = 0


async def async_switch(cluster: Cluster, name: str, way: str) -> float:
    """Take a failure domain out or in; return when it was accepted."""
    response = await cluster.async_operate(
        next(iter(cluster.instances)),
        'POST',
        f'/v1/domains/{name}/{way}',
        body=msgspec.json.encode({'reason': 'bench'}),
    )
    if response.status != 200:
        raise RuntimeError(response.body.decode())
    return time.time()


async def async_out_and_in(
    cluster: Cluster,
    name: str,
    seconds: float,
    moments: Moments,
) -> None:
    """Take a failure domain out and bring it back."""
    moments.out_at = await async_switch(cluster, name, 'out')
    await asyncio.sleep(seconds)
    moments.in_at = await async_switch(cluster, name, 'in')
    await asyncio.sleep(seconds)


async def async_vanish(
    cluster: Cluster,
    name: str,
    seconds: float,
    moments: Moments,
) -> None:
    """Kill the instances of a failure domain and stop its targets."""
    await asyncio.sleep(SETTLE_S)
    moments.vanished_at = time.time()
    await asyncio.gather(
        cluster.fleet.async_stop_domain(FailureDomain(name)),
        *(
            instance.async_kill()
            for instance in cluster.instances.values()
            if instance.spec.failure_domain == name
        ),
    )
    await asyncio.sleep(seconds)


def last_new_work_s(phases: Phases, name: str, moments: Moments) -> float:
    """Return how long after its acceptance the switch let work through."""
    arrivals = [
        run.arrived_s - moments.out_at
        for server in phases.cluster.fleet.in_domain(FailureDomain(name))
        for run in server.records.runs
        if moments.out_at < run.arrived_s < moments.in_at
    ]
    return round(max(arrivals, default=0), 3)


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    moments = Moments()
    seconds = options.seconds(6, 20)
    async with warm_phases(options) as phases:
        cluster = phases.cluster
        out, gone, *_ = cluster.deployment.failure_domains
        before = await phases.async_load(seconds)
        during = await phases.async_load(
            0,
            during=async_out_and_in(cluster, out, seconds, moments),
        )
        vanished = await phases.async_load(
            0,
            during=async_vanish(cluster, gone, seconds, moments),
        )
        return {
            **outcome(before, 'before_'),
            **outcome(during),
            **outcome(vanished, 'vanish_'),
            **phases.truth(),
            'coverage_during': round(during.mean_coverage, 4),
            'p99_ratio': p99_ratio(during, before),
            'last_new_work_s': last_new_work_s(phases, out, moments),
            'gap_s': phases.gap_s(moments.vanished_at),
        }
