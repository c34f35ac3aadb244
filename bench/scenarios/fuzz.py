"""Feeds seeded invalid input to every parser of external data."""

import asyncio
import random
from collections.abc import Awaitable
from contextlib import ExitStack
from typing import Any

from bench.crash_collector import CrashCollector
from bench.fuzz_inputs import (
    ENDLESS_MESSAGES,
    corrupt_bytes,
    corrupt_json,
    corrupt_text,
    cut_message,
    make_toml_corrupter,
    maybe_corrupt_json,
    sample_headers,
)
from bench.fuzz_listeners import (
    PEER_METHODS,
    OpenMessages,
    async_send_all,
    async_send_all_to_peer,
    corrupted_answers,
    make_http_request,
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
CALLER_HEADERS = {
    'x-request-id': 'a1',
    'x-deadline-ms': '500',
    'idempotency-key': 'k1',
}
STORED_OBJECT = {
    'kind': 'control',
    'name': 'view',
    'version': 3,
    'token': 't',
    'value': 'AAAA',
}
CONFIGURATION: dict[str, Any] = {
    'content': {'profiles': [{'name': 'desk', 'deadline_ms': 100}]},
}
TARGET_ANSWER = {'hits': [{'id': 'a', 'score': 1.0}], 'complete': True}
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
DIRECT_INPUTS = 2500
LISTENER_INPUTS = 1500
PARTIAL_MESSAGES = 100
SETTLE_TIMEOUT_S = 15.0
SETTLE_POLL_S = 0.05
ANSWER_ROUNDS = 100


def make_valid_body(rng: random.Random, tier: EmbeddedTier) -> dict[str, Any]:
    """Return a valid query body.

    Only one of the two profiles accepts an idempotency key.
    """
    shard = tier.fleet.indexes.indexes[0].maps[-1].shards[0].id
    return {
        'profile': rng.choice(('shed-queue', 'record-weighing')),
        'query': {'match': {'picker': 'p-0017'}},
        'shards': [shard],
        'limit': 5,
    }


def fuzz_parsers(
    rng: random.Random,
    collector: CrashCollector,
    tier: EmbeddedTier,
) -> dict[str, int]:
    """Call the parsers directly; return the inputs for each."""
    index = tier.fleet.indexes.indexes[0]
    profiles = {it.name: it for it in build_profiles(tier.deployment).profiles}
    spec = InstanceSpec(
        name='i',
        failure_domain='a',
        callers_port=1,
        peers_port=2,
        operators_port=3,
        objects_port=4,
        extra_settings='[timeline]\nenabled = true\ncapacity = 100\n',
    )
    corrupt_toml = make_toml_corrupter(spec.to_toml())
    sub_request = make_sub_request(
        QueryGroup(index=INDEX, snapshot=1, remaining_ms=100),
        SubQuery(id=1, shard='s'),
        0,
    )
    for _ in range(DIRECT_INPUTS):
        request = Request(
            method='POST',
            path=f'/v1/query/{INDEX}',
            headers={
                name: corrupt_text(rng, text)
                for name, text in sample_headers(rng, CALLER_HEADERS).items()
            },
            body=maybe_corrupt_json(rng, make_valid_body(rng, tier)),
        )
        collector.check_parser(
            lambda request=request: parse_query(  # type: ignore[misc]
                request=request,
                find_index=lambda name: index,
                find_profile=profiles.get,
                rng=rng,
                now=0,
            ),
        )
        text = corrupt_toml(rng)
        collector.check_parser(
            lambda text=text: parse_settings(text),  # type: ignore[misc]
        )
        header = rng.choice(sorted(set(TARGET_HEADERS) - {'x-request-id'}))
        response = Response(
            status=rng.choice((200, 200, 409, 429, 503, 599)),
            headers={
                **TARGET_HEADERS,
                header: corrupt_text(rng, TARGET_HEADERS[header]),
            },
            body=maybe_corrupt_json(rng, TARGET_ANSWER),
        )
        collector.check_parser(
            lambda response=response: interpret_response(  # type: ignore[misc]
                sub_request, 'r', response
            ),
        )
        line = corrupt_json(rng, STORED_OBJECT)
        collector.check_parser(
            lambda line=line: decode_object(line),  # type: ignore[misc]
            DECODE_ERRORS,
        )
        content = Request(
            method='PUT',
            path='/',
            body=corrupt_json(rng, CONFIGURATION['content']),
        )
        collector.check_parser(
            lambda content=content: parse_content(  # type: ignore[misc]
                ConfigurationKind.PROFILES, content.json()
            ),
        )
    names = ('caller', 'settings', 'target', 'object', 'configuration')
    return {f'{name}_direct': DIRECT_INPUTS for name in names}


async def async_fuzz_listeners(
    rng: random.Random,
    tier: EmbeddedTier,
) -> dict[str, int]:
    """Send corrupted requests to the three listeners of an instance."""
    running = tier.instances[0]
    instance = running.instance
    shard = tier.fleet.indexes.indexes[0].maps[-1].shards[0].id
    callers = [
        make_http_request(
            rng,
            'POST',
            f'/v1/query/{INDEX}',
            CALLER_HEADERS,
            make_valid_body(rng, tier),
        )
        for _ in range(LISTENER_INPUTS)
    ]
    await async_send_all(instance.caller_server.port, callers)
    paths = (
        '/v1/configuration/profiles',
        '/v1/domains/x/out',
        f'/v1/timeline?since={"9" * 30}&limit=x',
        '/v1/configuration/profiles/rollback',
    )
    operators = [
        make_http_request(
            rng,
            rng.choice(('PUT', 'POST', 'GET')),
            rng.choice(paths),
            {'if-version': '999'},
            CONFIGURATION,
        )
        for _ in range(LISTENER_INPUTS // 2)
    ]
    await async_send_all(running.operators.port, operators)
    frame = QueryFrame(hello=instance.handlers.hello())
    group = frame.groups.add(index=INDEX, snapshot=1, remaining_ms=50)
    group.items.add(id=1, shard=shard, target='nobody')
    message = frame.SerializeToString()
    peers = [
        (rng.choice(PEER_METHODS), corrupt_bytes(rng, message))
        for _ in range(LISTENER_INPUTS // 2)
    ]
    await async_send_all_to_peer(instance.peer_server.port, peers)
    raw = [
        rng.randbytes(rng.randint(1, 400)) for _ in range(LISTENER_INPUTS // 10)
    ]
    await async_send_all(instance.peer_server.port, raw)
    return {
        'caller_wire': len(callers),
        'operator_wire': len(operators),
        'peer_wire': len(peers) + len(raw),
    }


async def async_fuzz_answers(
    rng: random.Random,
    collector: CrashCollector,
    tier: EmbeddedTier,
) -> dict[str, int]:
    """Run queries while targets and the object API corrupt their answers."""
    counter = {'target_wire': [0], 'object_wire': [0]}
    objects = tier.make_objects_client()
    caller = tier.make_caller()
    await caller.async_start()
    with ExitStack() as stack:
        for target in tier.fleet.targets.values():
            stack.enter_context(
                corrupted_answers(target.server, rng, counter['target_wire']),
            )
        stack.enter_context(
            corrupted_answers(tier.objects.server, rng, counter['object_wire']),
        )
        for _ in range(ANSWER_ROUNDS):
            await asyncio.gather(
                *(caller.async_query(_make_query()) for _ in range(4)),
                *(
                    collector.async_check_call(call)
                    for call in _make_object_calls(objects)
                ),
            )
    objects.close()
    await caller.async_stop()
    return {name: count[0] for name, count in counter.items()}


def _make_object_calls(objects: ObjectClient) -> list[Awaitable[object]]:
    """Return one call of each kind; the object written is never read."""
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


def open_messages(rng: random.Random, tier: EmbeddedTier) -> list[OpenMessages]:
    """Start messages that do not end, to callers' and operators' listeners."""
    running = tier.instances[0]
    found = []
    for port in (running.instance.caller_server.port, running.operators.port):
        messages = OpenMessages(port)
        partial = (
            make_http_request(
                rng,
                'POST',
                f'/v1/query/{INDEX}',
                CALLER_HEADERS,
                make_valid_body(rng, tier),
            )
            for _ in range(PARTIAL_MESSAGES)
        )
        messages.start((cut_message(rng, valid), b'') for valid in partial)
        messages.start(ENDLESS_MESSAGES)
        found.append(messages)
    return found


async def async_settle(tier: EmbeddedTier) -> tuple[int, bool]:
    """Wait, up to a timeout, for a full answer and for closed connections.

    Returns the number of connections still open and whether a query was
    answered in full.
    """
    caller = tier.make_caller()
    await caller.async_start()
    answered = False
    end = asyncio.get_running_loop().time() + SETTLE_TIMEOUT_S
    while not answered and asyncio.get_running_loop().time() < end:
        answer = await caller.async_query(_make_query())
        answered = answer.done and not answer.reply.missing
        await asyncio.sleep(SETTLE_POLL_S)
    await caller.async_stop()
    while (  # noqa: ASYNC110
        _count_connections(tier)
        and asyncio.get_running_loop().time() < end + SETTLE_TIMEOUT_S
    ):
        await asyncio.sleep(SETTLE_POLL_S)
    return _count_connections(tier), answered


def _count_connections(tier: EmbeddedTier) -> int:
    """Return the number of open connections of callers and operators."""
    return sum(
        len(running.instance.caller_server.connections)
        + len(running.operators.connections)
        for running in tier.instances
    )


def _make_query() -> CallerQuery:
    """Return a valid query."""
    return CallerQuery(
        index=INDEX,
        profile='shed-queue',
        query={'match': {'picker': 'p-0017'}},
    )


async def async_run(options: Options) -> dict[str, object]:
    """Run the scenario and return its results."""
    rng = random.Random(options.seed)
    deployment = load_deployment('atlas', scale=0.2)
    fleet = TargetFleet(deployment=deployment, seed=options.seed)
    tier = EmbeddedTier(deployment=deployment, fleet=fleet)
    collector = CrashCollector()
    collector.install(asyncio.get_running_loop())
    try:
        await tier.async_start(instances=2)
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while any(it.instance.not_ready_reason() for it in tier.instances):  # noqa: ASYNC110
                await asyncio.sleep(SETTLE_POLL_S)
        inputs = await async_fuzz_listeners(rng, tier)
        opened = open_messages(rng, tier)
        inputs |= await async_fuzz_answers(rng, collector, tier)
        for messages in opened:
            await messages.async_close()
        inputs['open_messages'] = sum(it.connection_count for it in opened)
        open_connections, answered = await async_settle(tier)
        inputs |= fuzz_parsers(rng, collector, tier)
    finally:
        await tier.async_stop()
        collector.uninstall()
    return {
        'inputs': sum(inputs.values()),
        'by_parser': inputs,
        'crashed': len(collector.crashes),
        'crashes': collector.summary(),
        'leaked_connections': open_connections,
        'answers_afterwards': answered,
    }
