"""Takes a failure domain out of service and back, then kills another one.

Both happen under load.
"""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import LoadPhases, p99_ratio, running_phases, summarize_load
from bitternturn.core.ids import FailureDomain

SETTLE_S = 1.0


@dataclass(kw_only=True)
class Timestamps:
    """Wall clock times of the changes in seconds."""

    out_at: float = 0
    in_at: float = 0
    killed_at: float = 0


async def async_switch(cluster: Cluster, name: str, state: str) -> float:
    """Take a failure domain out or in; return when it was accepted."""
    response = await cluster.async_call_administration(
        next(iter(cluster.instances)),
        'POST',
        f'/v1/domains/{name}/{state}',
        body=msgspec.json.encode({'reason': 'bench'}),
    )
    if response.status != 200:
        raise RuntimeError(response.body.decode())
    return time.time()


async def async_out_and_in(
    cluster: Cluster,
    name: str,
    seconds: float,
    timestamps: Timestamps,
) -> None:
    """Take a failure domain out of service and bring it back."""
    timestamps.out_at = await async_switch(cluster, name, 'out')
    await asyncio.sleep(seconds)
    timestamps.in_at = await async_switch(cluster, name, 'in')
    await asyncio.sleep(seconds)


async def async_kill_domain(
    cluster: Cluster,
    name: str,
    seconds: float,
    timestamps: Timestamps,
) -> None:
    """Kill the instances of a failure domain and stop its targets."""
    await asyncio.sleep(SETTLE_S)
    timestamps.killed_at = time.time()
    await asyncio.gather(
        cluster.fleet.async_stop_domain(FailureDomain(name)),
        *(
            instance.async_kill()
            for instance in cluster.instances.values()
            if instance.spec.failure_domain == name
        ),
    )
    await asyncio.sleep(seconds)


def measure_last_new_work_s(
    phases: LoadPhases, name: str, timestamps: Timestamps
) -> float:
    """Return how long targets of a failure domain out of service got requests.

    In seconds from the acceptance of the switch to the last arrival.
    """
    arrivals = [
        run.arrived_s - timestamps.out_at
        for server in phases.cluster.fleet.targets_in_domain(
            FailureDomain(name)
        )
        for run in server.records.runs
        if timestamps.out_at < run.arrived_s < timestamps.in_at
    ]
    return round(max(arrivals, default=0), 3)


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    timestamps = Timestamps()
    seconds = options.choose_seconds(6, 20)
    async with running_phases(options) as phases:
        cluster = phases.cluster
        out, failed, *_ = cluster.deployment.failure_domains
        before = await phases.async_load(seconds)
        during = await phases.async_load(
            0,
            during=async_out_and_in(cluster, out, seconds, timestamps),
        )
        killed = await phases.async_load(
            0,
            during=async_kill_domain(cluster, failed, seconds, timestamps),
        )
        return {
            **summarize_load(before, 'before_'),
            **summarize_load(during),
            **summarize_load(killed, 'vanish_'),
            **phases.summarize_checks(),
            'coverage_during': round(during.mean_coverage, 4),
            'p99_ratio': p99_ratio(during, before),
            'last_new_work_s': measure_last_new_work_s(phases, out, timestamps),
            'gap_s': phases.recovery_time_s(timestamps.killed_at),
        }
