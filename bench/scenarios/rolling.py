"""Replaces every instance, one after the other, under load.

Each one is told to end by SIGTERM; a fresh one under another name follows.
"""

import time

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import outcome, warm_phases


async def async_replace(
    cluster: Cluster,
    exit_codes: list[int],
    drains_s: list[float],
) -> None:
    """Replace the instances in turn."""
    for name in list(cluster.instances):
        started = time.monotonic()
        exit_codes.append(await cluster.instances[name].async_terminate())
        drains_s.append(round(time.monotonic() - started, 2))
        cluster.forget(name)
        fresh = f'{name}-1'
        await cluster.async_add(fresh)
        await cluster.async_wait_ready(fresh)


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    exit_codes: list[int] = []
    drains_s: list[float] = []
    async with warm_phases(options) as phases:
        before = await phases.async_load(options.seconds(5, 30))
        during = await phases.async_load(
            0,
            during=async_replace(phases.cluster, exit_codes, drains_s),
        )
        return {
            **outcome(before, 'before_'),
            **outcome(during),
            **phases.truth(),
            'exit_codes': exit_codes,
            'drain_s': drains_s,
        }
