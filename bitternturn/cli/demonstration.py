"""Demonstration of a tier with embedded stand-ins, in one process."""

import asyncio
import signal
from collections.abc import Sequence
from dataclasses import replace
from typing import Final

import msgspec
from tabulate import tabulate

from bitternturn.cli.demo_queries import (
    ASSOCIATION_PLAN,
    ATLAS_PLAN,
    DemoPlan,
)
from bitternturn.core.clock import monotonic
from bitternturn.core.ids import FailureDomain, IndexName
from bitternturn.http.client import async_connect
from bitternturn.standins.caller import Caller
from bitternturn.standins.caller_models import CallerAnswer, CallerQuery
from bitternturn.standins.deployments import load_deployment
from bitternturn.standins.embedded import EmbeddedTier
from bitternturn.standins.fleet import TargetFleet

INSTANCES: Final = 4
READY_TIMEOUT_S: Final = 20.0
READY_POLL_S: Final = 0.1
WARM_UP_ROUNDS: Final = 40
REPETITIONS: Final = 3
SWITCH_TIMEOUT_S: Final = 3.0
SWITCH_POLL_S: Final = 0.02
MS_PER_SECOND: Final = 1000

HEADERS: Final = ('query', 'profile', 'outcome', 'snapshot', 'coverage', 'ms')


async def async_demo(*, serve: bool) -> bool:
    """Run the demonstration of both deployments.

    Returns whether all queries had the expected results.
    """
    started = monotonic()
    tiers = [
        await _async_start_tier(plan) for plan in (ATLAS_PLAN, ASSOCIATION_PLAN)
    ]
    try:
        for tier in tiers:
            await _async_wait_ready(tier)
        ok = await _async_demonstrate(tiers[0], ATLAS_PLAN)
        ok = await _async_demonstrate(tiers[1], ASSOCIATION_PLAN) and ok
        print_progress(f'demonstration took {monotonic() - started:.1f} s')
        if serve:
            await _async_run_until_stopped(tiers)
    finally:
        for tier in tiers:
            await tier.async_stop()
    print_progress('stopped')
    return ok


def print_progress(text: str) -> None:
    """Print progress without buffering."""
    print(text, flush=True)


async def _async_start_tier(plan: DemoPlan) -> EmbeddedTier:
    """Start the targets and instances of one deployment."""
    deployment = load_deployment(plan.deployment)
    fleet = TargetFleet(deployment=deployment)
    print_progress(
        f'{plan.deployment}: starting {len(fleet.targets)} targets in '
        f'{len(deployment.failure_domains)} failure domains and '
        f'{INSTANCES} instances',
    )
    tier = EmbeddedTier(
        deployment=deployment,
        fleet=fleet,
    )
    await tier.async_start(instances=INSTANCES)
    return tier


async def _async_wait_ready(tier: EmbeddedTier) -> None:
    """Wait until every instance is ready for queries."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for node in tier.instances:
            while node.instance.not_ready_reason():  # noqa: ASYNC110
                await asyncio.sleep(READY_POLL_S)


async def _async_demonstrate(tier: EmbeddedTier, plan: DemoPlan) -> bool:
    """Run all steps for one deployment.

    The queries are sent with all failure domains in service, with one out,
    and with it back in. At the end one request is sent twice with the same
    idempotency key.
    """
    caller = tier.make_caller()
    await caller.async_start()
    domain = tier.deployment.failure_domains[0]
    try:
        await _async_warm_up(caller, plan)
        ok = await _async_send_queries(caller, plan, 'all failure domains in')
        await _async_switch(tier, domain, out=True)
        since = tier.fleet.wall_s()
        ok = await _async_send_queries(caller, plan, f'{domain} out') and ok
        ok = _report_new_requests(tier, domain, since) and ok
        await _async_switch(tier, domain, out=False)
        ok = (
            await _async_send_queries(caller, plan, f'{domain} in again') and ok
        )
        return await _async_demonstrate_idempotency(tier, caller, plan) and ok
    finally:
        await caller.async_stop()


async def _async_warm_up(caller: Caller, plan: DemoPlan) -> None:
    """Send queries until the cold start of the targets is over."""
    print_progress(f'{plan.deployment}: warming up')
    for _ in range(WARM_UP_ROUNDS):
        await asyncio.gather(
            *(caller.async_query(query) for query in plan.queries),
        )


async def _async_send_queries(
    caller: Caller,
    plan: DemoPlan,
    title: str,
) -> bool:
    """Send each query several times and print the answers."""
    rows = []
    ok = True
    for query in plan.queries:
        for _ in range(REPETITIONS):
            answer = await caller.async_query(query)
            ok = ok and answer.done
            rows.append(_answer_row(query, answer))
    print_progress(f'\n{plan.deployment}: {title}')
    print_progress(tabulate(rows, headers=HEADERS, floatfmt='.3f'))
    return ok


def _answer_row(query: CallerQuery, answer: CallerAnswer) -> Sequence[object]:
    """Return the table row of an answer."""
    return [
        f'{query.index} {msgspec.json.encode(query.query).decode()}',
        query.profile,
        answer.reply.outcome if answer.done else answer.reply.code,
        answer.reply.snapshot,
        answer.reply.coverage,
        answer.latency_s * MS_PER_SECOND,
    ]


async def _async_switch(tier: EmbeddedTier, domain: str, *, out: bool) -> None:
    """Switch a failure domain through the administration API."""
    operators = tier.instances[0].operators
    connection = await async_connect(host=operators.host, port=operators.port)
    verb = 'out' if out else 'in'
    response = await connection.async_exchange(
        method='POST',
        path=f'/v1/domains/{domain}/{verb}',
        headers={'content-type': 'application/json'},
        body=msgspec.json.encode({'reason': 'demonstration'}),
    )
    connection.close()
    print_progress(f'\n{domain} switched {verb}: {response.body.decode()}')
    version = msgspec.json.decode(response.body)['version']
    accepted = monotonic()
    async with asyncio.timeout(SWITCH_TIMEOUT_S):
        for node in tier.instances:
            while node.instance.versions.switches < version:  # noqa: ASYNC110
                await asyncio.sleep(SWITCH_POLL_S)
    print_progress(
        f'in force at all instances after {monotonic() - accepted:.3f} s'
    )


def _report_new_requests(
    tier: EmbeddedTier,
    domain: str,
    since: float,
) -> bool:
    """Print how many requests a domain got after a time.

    Returns whether there were none.
    """
    new_runs = [
        run
        for target in tier.fleet.targets_in_domain(FailureDomain(domain))
        for run in target.records.runs
        if run.arrived_s > since
    ]
    print_progress(
        f'requests to targets of {domain} since then: {len(new_runs)}'
    )
    return not new_runs


async def _async_demonstrate_idempotency(
    tier: EmbeddedTier,
    caller: Caller,
    plan: DemoPlan,
) -> bool:
    """Send a request twice with one idempotency key.

    Returns whether it was executed once and answered twice.
    """
    index = tier.fleet.index(IndexName(plan.idempotent_query.index))
    shard = index.maps[-1].shards[0].id
    query = replace(plan.idempotent_query, shards=(shard,))
    first = await caller.async_query(query)
    second = await caller.async_query(query)
    key = query.idempotency_key
    runs = [
        run
        for run in tier.fleet.runs()
        if run.idempotency_key == key and run.started_s is not None
    ]
    print_progress(
        f'\n{plan.deployment}: request sent twice with idempotency key {key}'
    )
    rows = [_answer_row(query, first), _answer_row(query, second)]
    print_progress(tabulate(rows, headers=HEADERS, floatfmt='.3f'))
    print_progress(f'executions at targets: {len(runs)}')
    return len(runs) == 1 and first.done and second.done


async def _async_run_until_stopped(tiers: list[EmbeddedTier]) -> None:
    """Print example commands and wait for SIGINT or SIGTERM."""
    for tier, plan in zip(tiers, (ATLAS_PLAN, ASSOCIATION_PLAN), strict=True):
        instance = tier.instances[0].instance
        operators = tier.instances[0].operators
        query = plan.queries[0]
        body = msgspec.json.encode(query.body()).decode()
        print_progress(f'\n{plan.deployment}:')
        print_progress(
            f'  curl -s http://{instance.caller_server.host}'
            f':{instance.caller_server.port}'
            f"/v1/query/{query.index} -d '{body}'",
        )
        print_progress(
            f'  curl -s http://{operators.host}:{operators.port}/v1/status'
        )
        print_progress(
            f'  curl -s -X POST http://{operators.host}:{operators.port}'
            f'/v1/domains/{tier.deployment.failure_domains[0]}/out -d "{{}}"',
        )
    print_progress('\npress Ctrl-C to stop')
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
