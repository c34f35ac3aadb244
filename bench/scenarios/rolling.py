"""Replaces all instances one by one under load.

Each is stopped by SIGTERM and replaced by a new instance with another name.
"""

import time

from bench.cluster import Cluster
from bench.options import Options
from bench.phases import running_phases, summarize_load


async def async_replace(
    cluster: Cluster,
    exit_codes: list[int],
    drain_times_s: list[float],
) -> None:
    """Replace the instances one by one; record exit codes and durations."""
    for name in list(cluster.instances):
        started = time.monotonic()
        exit_codes.append(await cluster.instances[name].async_terminate())
        drain_times_s.append(round(time.monotonic() - started, 2))
        cluster.remove_instance(name)
        replacement = f'{name}-1'
        await cluster.async_add_instance(replacement)
        await cluster.async_wait_ready(replacement)


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    exit_codes: list[int] = []
    drain_times_s: list[float] = []
    async with running_phases(options) as phases:
        before = await phases.async_load(options.choose_seconds(5, 30))
        during = await phases.async_load(
            0,
            during=async_replace(phases.cluster, exit_codes, drain_times_s),
        )
        return {
            **summarize_load(before, 'before_'),
            **summarize_load(during),
            **phases.summarize_checks(),
            'exit_codes': exit_codes,
            'drain_s': drain_times_s,
        }
