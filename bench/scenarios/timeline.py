"""Processor time of the timeline, by two clusters with and without it.

The clusters differ only in `[timeline] enabled` and are measured alternately
in short intervals, so that drift of the host affects both.
"""

import asyncio
import statistics
from contextlib import AsyncExitStack

from bench.cluster import Cluster, running_cluster
from bench.fleet_models import Command
from bench.options import Options
from bench.processes import PortAllocator
from bench.remote_fleet import RemoteFleet
from bench.scenarios.throughput import (
    SHARDS,
    async_measure,
    make_wide_deployment,
)

FAN_OUT = 78
PAIRS = 5
WARM_UP_S = 8
MAX_CPU_SHARE = 0.05


async def async_start(
    stack: AsyncExitStack,
    options: Options,
    ports: PortAllocator,
    *,
    enabled: bool,
) -> Cluster:
    """Start a cluster with or without the timeline and warm it up."""
    deployment = make_wide_deployment()
    fleet = RemoteFleet(deployment=deployment, seed=options.seed, parts=2)
    cluster = Cluster(
        deployment=deployment,
        fleet=fleet,
        instances=2,
        extra_settings=f'[timeline]\nenabled = {str(enabled).lower()}\n',
    )
    # Shared, since another allocator in this process would start at the same
    # port.
    cluster.ports = ports
    await stack.enter_async_context(running_cluster(cluster))
    await fleet.async_execute(
        Command(call='behave', behaviour={'straggler_share': 0}),
    )
    await async_measure(cluster, SHARDS, seconds=WARM_UP_S)
    return cluster


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    interval_s = options.choose_seconds(2, 15)
    us_per_sub_request: dict[bool, list[float]] = {True: [], False: []}
    ports = PortAllocator()
    async with AsyncExitStack() as stack:
        clusters = dict(
            zip(
                (True, False),
                await asyncio.gather(
                    async_start(stack, options, ports, enabled=True),
                    async_start(stack, options, ports, enabled=False),
                ),
                strict=True,
            ),
        )
        for number in range(PAIRS):
            order = (True, False) if number % 2 else (False, True)
            for enabled in order:
                measured = await async_measure(
                    clusters[enabled],
                    FAN_OUT,
                    interval_s,
                )
                us_per_sub_request[enabled].append(
                    measured['us_per_sub_request']
                )
        events = await clusters[True].async_call_administration(
            next(iter(clusters[True].instances)),
            'GET',
            '/v1/timeline?limit=10',
        )
    share = statistics.median(
        with_timeline / without_timeline - 1
        for with_timeline, without_timeline in zip(
            us_per_sub_request[True], us_per_sub_request[False], strict=True
        )
    )
    return {
        'cpu_share': round(share, 4),
        'within': share <= MAX_CPU_SHARE,
        'us_with': us_per_sub_request[True],
        'us_without': us_per_sub_request[False],
        'has_events': b'"kind"' in events.body,
    }
