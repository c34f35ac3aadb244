"""A small cluster of real processes, with requests and queries for tests."""

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Callable, Iterable

from bench.checks import query_id_of
from bench.cluster import Cluster
from bench.processes import HOST
from bitternturn.core.ids import TargetId
from bitternturn.standins.caller import Caller
from bitternturn.standins.caller_models import (
    CallerAnswer,
    CallerQuery,
    InstanceAddress,
)
from bitternturn.standins.deployments import (
    Deployment,
    load_deployment,
)
from bitternturn.standins.fleet import BehaviourFactory, TargetFleet
from bitternturn.standins.load_generator import MakeQuery, async_generate_load
from bitternturn.standins.target_behaviour import TargetBehaviour
from bitternturn.standins.target_records import Run
from bitternturn.standins.targets import TargetServer

INDEX = 'pay-lookup'
SEARCH_PROFILE = 'reports'
RECORD_PROFILE = 'record-weighing'
SEED = 11
# Long enough for a takeover on a busy host.
DEADLINE_MS = 8000
WAIT_LIMIT_S = 30
POLL_S = 0.02
SERVICE_S = 0.004
# A stall of this process must not make every instance look unready.
CHECK_TIMEOUT_S = 2.0

RATE_PER_S = 30.0
LOAD_S = 4.0

REQUEST_NUMBERS = itertools.count(1)


def make_deployment() -> Deployment:
    """Return one index of four shards on eight targets, with long deadlines."""
    deployment = load_deployment('atlas', scale=0.2)
    return dataclasses.replace(
        deployment,
        indexes=(deployment.index(INDEX),),
        profiles=tuple(
            dataclasses.replace(it, deadline_ms=DEADLINE_MS)
            for it in deployment.profiles
        ),
    )


def make_steady_behaviour(service_s: float) -> BehaviourFactory:
    """Return targets without stragglers that do not warm up on their own."""
    return lambda spec: TargetBehaviour(
        service_s=service_s,
        straggler_share=0,
        warm_after_answers=0,
    )


def make_cluster(
    *,
    instances: int = 3,
    proxied: bool = False,
    service_s: float = SERVICE_S,
) -> Cluster:
    """Return a cluster that is not started."""
    deployment = make_deployment()
    fleet = TargetFleet(
        deployment=deployment,
        make_behaviour=make_steady_behaviour(service_s),
        seed=SEED,
    )
    cluster = Cluster(
        deployment=deployment,
        fleet=fleet,
        instances=instances,
        proxied=proxied,
    )
    cluster.caller.check_timeout_s = CHECK_TIMEOUT_S
    return cluster


def make_search(**changes) -> CallerQuery:
    """Return a query over all shards."""
    number = next(REQUEST_NUMBERS)
    fields = {
        'index': INDEX,
        'profile': SEARCH_PROFILE,
        'query': {'match': {'picker': f'p-{number % 60:04d}'}},
        'request_id': f'search-{number}',
    }
    return CallerQuery(**{**fields, **changes})


def make_record(shard: str, *, key: str = '', **changes) -> CallerQuery:
    """Return a request that is not repeatable."""
    number = next(REQUEST_NUMBERS)
    fields = {
        'index': INDEX,
        'profile': RECORD_PROFILE,
        'query': {
            'reserve': {'item': 'scale', 'quantity': 1, 'event': 'shift'},
        },
        'shards': (shard,),
        'request_id': f'record-{number}',
        'idempotency_key': key,
    }
    return CallerQuery(**{**fields, **changes})


async def async_send_query(
    cluster: Cluster,
    name: str,
    query: CallerQuery,
) -> CallerAnswer:
    """Send a query to one instance on a connection of its own."""
    port = cluster.instances[name].spec.callers_port
    address = InstanceAddress(host=HOST, port=port)
    caller = Caller(addresses=[address], timeout_s=WAIT_LIMIT_S)
    caller.ready_instances = [address]
    try:
        return await caller.async_query(query)
    finally:
        await caller.async_stop()


async def async_send_queries(
    cluster: Cluster,
    queries: Iterable[CallerQuery],
    *names: str,
) -> list[CallerAnswer]:
    """Send queries concurrently, round-robin over the instances."""
    entries = itertools.cycle(names or cluster.instances)
    return await asyncio.gather(
        *(
            async_send_query(cluster, name, query)
            for name, query in zip(entries, queries, strict=False)
        ),
    )


async def async_wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


async def async_get_owners(cluster: Cluster, name: str) -> dict[TargetId, str]:
    """Return the owner of each target as seen by an instance."""
    status = await cluster.async_status(name)
    return {TargetId(it['target']): it['owner'] for it in status['targets']}


async def async_wait_in_force(
    cluster: Cluster,
    kind: str,
    version: int,
) -> None:
    """Wait until every instance has a version or a later one in force."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        for name in cluster.instances:
            while (await async_get_version(cluster, name, kind)) < version:
                await asyncio.sleep(POLL_S)


async def async_get_version(cluster: Cluster, name: str, kind: str) -> int:
    """Return the version in force at an instance."""
    status = await cluster.async_status(name)
    return int(status['versions'][kind])


def get_replicas_by_shard(cluster: Cluster) -> dict[str, list[TargetServer]]:
    """Return the replicas of each shard of the newest map."""
    newest = cluster.fleet.index(INDEX).maps[-1]
    return {
        shard.id: [cluster.fleet.targets[it] for it in shard.targets]
        for shard in newest.shards
    }


def get_started_runs(cluster: Cluster, query: CallerQuery) -> list[Run]:
    """Return the runs that targets started for a query."""
    return [
        run
        for run in cluster.fleet.runs()
        if query_id_of(run.request_id) == query.request_id
        and run.started_s is not None
    ]


def get_started_runs_with_key(cluster: Cluster, key: str) -> list[Run]:
    """Return the runs that targets started for an idempotency key."""
    return [
        run
        for run in cluster.fleet.runs()
        if run.idempotency_key == key and run.started_s is not None
    ]


def set_service_s(cluster: Cluster, service_s: float) -> None:
    """Set the service time of each target."""
    for server in cluster.fleet.targets.values():
        server.behaviour.service_s = service_s


def wall_s() -> float:
    """Return the time on the clock of the targets' records."""
    return time.time()


class Load:
    """Constant load on all instances during a test."""

    def __init__(
        self,
        cluster: Cluster,
        seconds: float = LOAD_S,
        make_query: MakeQuery = lambda rng: make_search(),
    ) -> None:
        """Start the load."""
        self.answers: list[CallerAnswer] = []
        self.task = asyncio.create_task(
            async_generate_load(
                send=cluster.caller.async_query,
                rate=RATE_PER_S,
                seconds=seconds,
                make_query=make_query,
                rng=random.Random(SEED),
                on_answer=self.answers.append,
            ),
        )

    async def async_wait_answered(self, count: int) -> None:
        """Wait until this many more queries are answered."""
        wanted = len(self.answers) + count
        await async_wait_until(lambda: len(self.answers) >= wanted)
