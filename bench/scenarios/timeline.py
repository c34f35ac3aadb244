"""Processor time of the time line: two clusters in turn, one without it.

The clusters differ in `[timeline] enabled` only and are measured in pairs of
short spells, so that the machine's drift meets both.
"""

import asyncio
import statistics
from contextlib import AsyncExitStack

from bench.cluster import Cluster, running_cluster
from bench.fleet_models import Command
from bench.options import Options
from bench.processes import Ports
from bench.remote_fleet import RemoteFleet
from bench.scenarios.throughput import (
    SHARDS,
    async_measure,
    wide_deployment,
)

FAN_OUT = 78
PAIRS = 5
WARM_UP_S = 8
MOST_SHARE = 0.05


async def async_start(
    stack: AsyncExitStack,
    options: Options,
    ports: Ports,
    *,
    enabled: bool,
) -> Cluster:
    """Start a cluster with or without the time line and warm it up."""
    deployment = wide_deployment()
    fleet = RemoteFleet(deployment=deployment, seed=options.seed, parts=2)
    cluster = Cluster(
        deployment=deployment,
        fleet=fleet,
        instances=2,
        extra=f'[timeline]\nenabled = {str(enabled).lower()}\n',
    )
    # One source of ports: another would hand out the same ones.
    cluster.ports = ports
    await stack.enter_async_context(running_cluster(cluster))
    await fleet.async_do(
        Command(call='behave', behaviour={'straggler_share': 0}),
    )
    await async_measure(cluster, SHARDS, seconds=WARM_UP_S)
    return cluster


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    spell_s = options.seconds(2, 15)
    times: dict[bool, list[float]] = {True: [], False: []}
    ports = Ports()
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
                    spell_s,
                )
                times[enabled].append(measured['us_per_sub_request'])
        events = await clusters[True].async_operate(
            next(iter(clusters[True].instances)),
            'GET',
            '/v1/timeline?limit=10',
        )
    share = statistics.median(
        with_it / without - 1
        for with_it, without in zip(times[True], times[False], strict=True)
    )
    return {
        'cpu_share': round(share, 4),
        'within': share <= MOST_SHARE,
        'us_with': times[True],
        'us_without': times[False],
        'has_events': b'"kind"' in events.body,
    }
