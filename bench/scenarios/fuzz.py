"""Seeded bad inputs for every parser that faces outside."""

import asyncio
import random
from collections.abc import Awaitable
from contextlib import ExitStack
from typing import Any

from bench.fuzz_inputs import (
    either,
    make_toml_spoiler,
    some,
    spoil_bytes,
    spoil_json,
    spoil_text,
)
from bench.fuzz_watch import CrashWatch
from bench.fuzz_wire import (
    CALLS,
    async_flood,
    async_flood_peer,
    make_http,
    spoiled,
)
from bench.options import Options
from bench.processes import InstanceSpec
from bitternturn.callers.parse import parse_query
from bitternturn.configuration.check import parse_content
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.ids import Version
from bitternturn.core.settings import parse_settings
from bitternturn.http.models import Request, Response
from bitternturn.owners.exchange import interpret_response
from bitternturn.owners.models import make_sub_request
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import decode_object
from bitternturn.schema.peers_pb2 import QueryFrame, QueryGroup, SubQuery
from bitternturn.standins.caller_models import CallerQuery
from bitternturn.standins.deployments import build_profiles, load_deployment
from bitternturn.standins.embedded import EmbeddedTier
from bitternturn.standins.fleet import TargetFleet

INDEX = 'pay-lookup'
HEADERS = {
    'x-request-id': 'a1',
    'x-deadline-ms': '500',
    'idempotency-key': 'k1',
}
OBJECT = {
    'kind': 'control',
    'name': 'view',
    'version': 3,
    'token': 't',
    'value': 'AAAA',
}
CONTENT: dict[str, Any] = {
    'content': {'profiles': [{'name': 'desk', 'deadline_ms': 100}]},
}
ANSWER = {'hits': [{'id': 'a', 'score': 1.0}], 'complete': True}
TARGET_HEADERS = {
    'x-request-id': 'r',
    'x-shard': 's',
    'x-snapshot': '1',
    'x-index': INDEX,
    'x-held-snapshots': '1,2',
    'x-state': 'ready',
    'x-cold-limit': '2',
    'content-length': '10',
}
DIRECT = 2500
WIRE = 1500
SETTLE_S = 15.0
SETTLE_POLL_S = 0.05
TRIES = 100


def make_sound(rng: random.Random, tier: EmbeddedTier) -> dict[str, Any]:
    """Return a sound body; only one of the profiles takes a key."""
    shard = tier.fleet.indexes.indexes[0].maps[-1].shards[0].id
    return {
        'profile': rng.choice(('shed-queue', 'record-weighing')),
        'query': {'match': {'picker': 'p-0017'}},
        'shards': [shard],
        'limit': 5,
    }


def attack_parsers(
    rng: random.Random,
    watch: CrashWatch,
    tier: EmbeddedTier,
) -> dict[str, int]:
    """Feed the parsers directly."""
    index = tier.fleet.indexes.indexes[0]
    profiles = {it.name: it for it in build_profiles(tier.deployment).profiles}
    spec = InstanceSpec(
        name='i',
        failure_domain='a',
        callers_port=1,
        peers_port=2,
        operators_port=3,
        objects_port=4,
        extra='[timeline]\nenabled = true\ncapacity = 100\n',
    )
    spoil_toml = make_toml_spoiler(spec.to_toml())
    work = make_sub_request(
        QueryGroup(index=INDEX, snapshot=1, remaining_ms=100),
        SubQuery(id=1, shard='s'),
        0,
    )
    for _ in range(DIRECT):
        request = Request(
            method='POST',
            path=f'/v1/query/{INDEX}',
            headers={
                name: spoil_text(rng, text)
                for name, text in some(rng, HEADERS).items()
            },
            body=either(rng, make_sound(rng, tier)),
        )
        watch.parse(
            lambda request=request: parse_query(  # type: ignore[misc]
                request=request,
                find_index=lambda name: index,
                find_profile=profiles.get,
                rng=rng,
                now=0,
            ),
        )
        text = spoil_toml(rng)
        watch.parse(lambda text=text: parse_settings(text))  # type: ignore[misc]
        header = rng.choice(sorted(set(TARGET_HEADERS) - {'x-request-id'}))
        response = Response(
            status=rng.choice((200, 200, 409, 429, 503, 599)),
            headers={
                **TARGET_HEADERS,
                header: spoil_text(rng, TARGET_HEADERS[header]),
            },
            body=either(rng, ANSWER),
        )
        watch.parse(
            lambda answer=response: interpret_response(work, 'r', answer)
        )  # type: ignore[misc]
        line = spoil_json(rng, OBJECT)
        watch.parse(lambda line=line: decode_object(line), DECODE_ERRORS)  # type: ignore[misc]
        content = Request(
            method='PUT',
            path='/',
            body=spoil_json(rng, CONTENT['content']),
        )
        watch.parse(
            lambda content=content: parse_content(  # type: ignore[misc]
                ConfigurationKind.PROFILES, content.json()
            ),
        )
    names = ('caller', 'settings', 'target', 'object', 'configuration')
    return {f'{name}_direct': DIRECT for name in names}


async def async_attack_listeners(
    rng: random.Random,
    tier: EmbeddedTier,
) -> dict[str, int]:
    """Send bad requests to an instance's three listeners."""
    running = tier.nodes[0]
    node = running.instance
    shard = tier.fleet.indexes.indexes[0].maps[-1].shards[0].id
    callers = [
        make_http(
            rng,
            'POST',
            f'/v1/query/{INDEX}',
            HEADERS,
            make_sound(rng, tier),
        )
        for _ in range(WIRE)
    ]
    await async_flood(node.caller_server.port, callers)
    paths = (
        '/v1/configuration/profiles',
        '/v1/domains/x/out',
        f'/v1/timeline?since={"9" * 30}&limit=x',
        '/v1/configuration/profiles/rollback',
    )
    operators = [
        make_http(
            rng,
            rng.choice(('PUT', 'POST', 'GET')),
            rng.choice(paths),
            {'if-version': '999'},
            CONTENT,
        )
        for _ in range(WIRE // 2)
    ]
    await async_flood(running.operators.port, operators)
    frame = QueryFrame(hello=node.handlers.hello())
    group = frame.groups.add(index=INDEX, snapshot=1, remaining_ms=50)
    group.items.add(id=1, shard=shard, target='nobody')
    message = frame.SerializeToString()
    peers = [
        (rng.choice(CALLS), spoil_bytes(rng, message)) for _ in range(WIRE // 2)
    ]
    await async_flood_peer(node.peer_server.port, peers)
    raw = [rng.randbytes(rng.randint(1, 400)) for _ in range(WIRE // 10)]
    await async_flood(node.peer_server.port, raw)
    return {
        'caller_wire': len(callers),
        'operator_wire': len(operators),
        'peer_wire': len(peers) + len(raw),
    }


async def async_attack_answers(
    rng: random.Random,
    watch: CrashWatch,
    tier: EmbeddedTier,
) -> dict[str, int]:
    """Let targets and the object API answer badly under queries."""
    counted = {'target_wire': [0], 'object_wire': [0]}
    objects = tier.objects_client()
    caller = tier.caller()
    await caller.async_start()
    with ExitStack() as stack:
        for target in tier.fleet.targets.values():
            stack.enter_context(
                spoiled(target.server, rng, counted['target_wire']),
            )
        stack.enter_context(
            spoiled(tier.objects.server, rng, counted['object_wire']),
        )
        for _ in range(TRIES):
            await asyncio.gather(
                *(caller.async_query(_query()) for _ in range(4)),
                *(watch.async_call(call) for call in _object_calls(objects)),
            )
    objects.close()
    await caller.async_stop()
    return {name: count[0] for name, count in counted.items()}


def _object_calls(objects: ObjectClient) -> list[Awaitable[object]]:
    """Return one call of each kind; nothing reads what is written."""
    return [
        objects.async_get('control', 'indexes'),
        objects.async_list('claims'),
        objects.async_put(
            kind='history',
            name='fuzz',
            value=b'x',
            if_version=Version(0),
        ),
    ]


async def async_settle(tier: EmbeddedTier) -> tuple[int, bool]:
    """Return the connections still held and whether a query is answered."""
    caller = tier.caller()
    await caller.async_start()
    answered = False
    end = asyncio.get_running_loop().time() + SETTLE_S
    while not answered and asyncio.get_running_loop().time() < end:
        answer = await caller.async_query(_query())
        answered = answer.done and not answer.reply.missing
        await asyncio.sleep(SETTLE_POLL_S)
    await caller.async_stop()
    while (  # noqa: ASYNC110
        _held(tier) and asyncio.get_running_loop().time() < end + SETTLE_S
    ):
        await asyncio.sleep(SETTLE_POLL_S)
    return _held(tier), answered


def _held(tier: EmbeddedTier) -> int:
    """Return the connections of callers and operators."""
    return sum(
        len(running.instance.caller_server.connections)
        + len(running.operators.connections)
        for running in tier.nodes
    )


def _query() -> CallerQuery:
    """Return a sound query."""
    return CallerQuery(
        index=INDEX,
        profile='shed-queue',
        query={'match': {'picker': 'p-0017'}},
    )


async def async_run(options: Options) -> dict[str, object]:
    """Measure."""
    rng = random.Random(options.seed)
    deployment = load_deployment('atlas', scale=0.2)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    tier = EmbeddedTier(deployment=deployment, fleet=fleet)
    watch = CrashWatch()
    watch.watch(asyncio.get_running_loop())
    try:
        await tier.async_start(instances=2)
        async with asyncio.timeout(SETTLE_S):
            while any(it.instance.not_ready_reason() for it in tier.nodes):  # noqa: ASYNC110
                await asyncio.sleep(SETTLE_POLL_S)
        inputs = {
            **await async_attack_listeners(rng, tier),
            **await async_attack_answers(rng, watch, tier),
        }
        held, answered = await async_settle(tier)
        inputs |= attack_parsers(rng, watch, tier)
    finally:
        await tier.async_stop()
        watch.unwatch()
    return {
        'inputs': sum(inputs.values()),
        'by_parser': inputs,
        'crashed': len(watch.crashes),
        'crashes': watch.summary(),
        'leaked_connections': held,
        'answers_afterwards': answered,
    }
