"""Processor time per sub-request compared with a bare h11 client exchange."""

import asyncio
import dataclasses
import time
from typing import Any

import psutil

from bench.cluster import Cluster, running_cluster
from bench.fleet_models import Command
from bench.options import Options
from bench.remote_fleet import RemoteFleet
from bitternturn.core.ids import IndexName
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.schema.config_pb2 import Index
from bitternturn.standins.caller_models import CallerQuery
from bitternturn.standins.deployments import Deployment, load_deployment

INDEX = 'pay-lookup'
SHARDS = 200
FAN_OUTS = (20, 78, 200)
FLOOR_CONNECTIONS = 40
CONCURRENT_QUERIES = 2
US_PER_S = 1e6
QUERY = {'match': {'picker': 'p-0001'}}


def make_wide_deployment() -> Deployment:
    """Return a deployment of one index with many shards of one replica."""
    deployment = load_deployment('atlas')
    spec = dataclasses.replace(
        deployment.index(INDEX),
        shards=SHARDS,
        replicas=1,
        connect_ms=0.0,
        service_ms=1.0,
    )
    return dataclasses.replace(deployment, indexes=(spec,))


def measure_cpu_s(cluster: Cluster) -> float:
    """Return the processor time used by all instances in seconds."""
    total = 0.0
    for instance in cluster.instances.values():
        times = psutil.Process(instance.pid).cpu_times()
        total += times.user + times.system
    return total


async def async_measure_floor_us(index: Index, seconds: float) -> float:
    """Return the processor time of a bare HTTP exchange in microseconds."""
    targets = index.targets[:FLOOR_CONNECTIONS]
    shard_of = {shard.targets[0]: shard.id for shard in index.maps[-1].shards}
    connections = [
        await async_connect(host=target.host, port=target.port)
        for target in targets
    ]
    end = time.monotonic() + seconds
    done = 0

    async def async_exchange_on(
        connection: ClientConnection,
        shard: str,
    ) -> None:
        nonlocal done
        while time.monotonic() < end:
            await connection.async_exchange(
                method='POST',
                path='/v1/search',
                headers={
                    'content-type': 'application/json',
                    'x-request-id': f'floor.{done}',
                    'x-index': INDEX,
                    'x-shard': shard,
                    'x-snapshot': '1',
                    'x-deadline-ms': '1000',
                },
                body=b'{"match":{"picker":"p-0001"}}',
            )
            done += 1

    started = time.process_time()
    await asyncio.gather(
        *(
            async_exchange_on(connection, shard_of[target.id])
            for connection, target in zip(connections, targets, strict=True)
        ),
    )
    used = time.process_time() - started
    for connection in connections:
        connection.close()
    return used / done * US_PER_S


async def async_measure(
    cluster: Cluster,
    fan_out: int,
    seconds: float,
) -> dict[str, Any]:
    """Return counts and processor time per sub-request at one fan-out."""
    index = cluster.fleet.index(IndexName(INDEX))
    shards = tuple(shard.id for shard in index.maps[-1].shards[:fan_out])
    query = CallerQuery(
        index=INDEX,
        profile='reports',
        query=QUERY,
        shards=shards,
        limit=50,
    )
    end = time.monotonic() + seconds
    sub_requests = 0.0
    done = 0

    async def async_send_queries() -> None:
        nonlocal sub_requests, done
        while time.monotonic() < end:
            answer = await cluster.caller.async_query(query)
            sub_requests += answer.reply.coverage * fan_out
            done += 1

    before, started = measure_cpu_s(cluster), time.monotonic()
    await asyncio.gather(
        *(async_send_queries() for _ in range(CONCURRENT_QUERIES))
    )
    used = measure_cpu_s(cluster) - before
    return {
        'queries': done,
        'sub_requests_per_s': round(
            sub_requests / (time.monotonic() - started)
        ),
        'us_per_sub_request': round(used / sub_requests * US_PER_S, 1),
    }


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    deployment = make_wide_deployment()
    fleet = RemoteFleet(deployment=deployment, seed=options.seed, parts=4)
    cluster = Cluster(deployment=deployment, fleet=fleet, instances=2)
    seconds = options.choose_seconds(5, 30)
    results: dict[str, object] = {}
    async with running_cluster(cluster):
        await fleet.async_execute(
            Command(call='behave', behaviour={'straggler_share': 0}),
        )
        await async_measure(cluster, SHARDS, seconds=8)
        index = fleet.index(IndexName(INDEX))
        floor = await async_measure_floor_us(index, seconds / 2)
        for fan_out in FAN_OUTS:
            results[str(fan_out)] = await async_measure(
                cluster,
                fan_out,
                seconds,
            )
        floor = min(floor, await async_measure_floor_us(index, seconds / 2))
    at_atlas_fan_out = results['78']
    assert isinstance(at_atlas_fan_out, dict)
    return {
        'floor_us': round(floor, 1),
        'by_fan_out': results,
        'ratio_to_floor': round(
            floor / at_atlas_fan_out['us_per_sub_request'], 3
        ),
        'per_core_s': round(US_PER_S / at_atlas_fan_out['us_per_sub_request']),
    }
