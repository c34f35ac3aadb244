"""Whole sessions as text: requests, answers and the merged time line."""

import json
import os
from collections import Counter
from pathlib import Path

import msgspec

from bench.cluster import Cluster
from bitternturn.standins.caller_models import CallerQuery
from bitternturn.timeline.models import EventKind
from tests.integration.session import async_ask

FOLDER = Path(__file__).parent.parent / 'golden'
UPDATE = 'BITTERNTURN_UPDATE_GOLDEN'
ENTRY = 'i0'

# Of each sub-request the owner tells first, then the entry.
TOLD_TWICE = frozenset(
    (
        EventKind.SUB_REQUEST_ANSWERED.value,
        EventKind.SUB_REQUEST_FAILED.value,
    )
)
ORDER = [
    EventKind.INSTANCE_STARTED,
    EventKind.CONFIGURATION_IN_FORCE,
    EventKind.DOMAIN_OUT,
    EventKind.DOMAIN_IN,
    EventKind.CLAIM_MADE,
    EventKind.QUERY_STARTED,
    EventKind.SUB_REQUEST_SENT,
    EventKind.SUB_REQUEST_ANSWERED,
    EventKind.SUB_REQUEST_FAILED,
    EventKind.QUERY_ANSWERED,
    EventKind.QUERY_REFUSED,
    EventKind.CLAIM_RECORDED,
]
RANKS = {kind.value: rank for rank, kind in enumerate(ORDER)}


class Session:
    """Steps of one session, each with what all processes told of it."""

    def __init__(self, cluster: Cluster, title: str) -> None:
        """Begin the text."""
        self.cluster = cluster
        self.parts = [f'# {title}\n']
        self.seen: set[tuple[int, str]] = set()

    async def async_begin(self) -> None:
        """Leave out what happened so far."""
        await self._async_new_events()

    async def async_query(self, query: CallerQuery) -> None:
        """Write a query, its answer and its time line."""
        answer = await async_ask(self.cluster, ENTRY, query)
        self._write(f'POST /v1/query/{query.index}', query.headers())
        self._write_json(query.body())
        self._write(f'Answer {answer.status}', {})
        reply = {
            name: content
            for name, content in msgspec.to_builtins(answer.reply).items()
            if content
        }
        self._write_json(reply)
        await self.async_events()

    async def async_operate(self, method: str, path: str, body: object) -> int:
        """Write an operator's call and its answer; return the version."""
        response = await self.cluster.async_operate(
            ENTRY, method, path, body=msgspec.json.encode(body)
        )
        self._write(f'{method} {path}', {})
        self._write_json(body)
        self._write(f'Answer {response.status}', {})
        answer = msgspec.json.decode(response.body)
        self._write_json(answer)
        return int(answer['version'])

    async def async_events(self) -> None:
        """Write what happened since the last time, concurrent events sorted."""
        told: Counter[tuple[str, str, str]] = Counter()
        lines = []
        for event in await self._async_new_events():
            if event['kind'] not in RANKS:
                continue
            lines.append((RANKS[event['kind']], _describe(event, told)))
        text = '\n'.join(line for _, line in sorted(lines))
        self.parts.append(f'Time line\n\n```\n{text}\n```\n')

    def note(self, text: str) -> None:
        """Write what was done to the cluster."""
        self.parts.append(f'## {text}\n')

    def check(self, name: str) -> None:
        """Compare with the golden file, or rewrite it when asked to."""
        text = '\n'.join(self.parts)
        path = FOLDER / f'{name}.md'
        if os.environ.get(UPDATE):
            path.write_text(text, encoding='utf-8')
        assert text == path.read_text(encoding='utf-8')

    def _write(self, title: str, headers: dict[str, str]) -> None:
        """Write a first line with its headers."""
        lines = [f'{name}: {content}' for name, content in headers.items()]
        self.parts.append('\n'.join([f'**{title}**', '', *lines]).strip())

    def _write_json(self, content: object) -> None:
        """Write a body."""
        text = json.dumps(content, indent=2, sort_keys=True)
        self.parts.append(f'\n```json\n{text}\n```\n')

    async def _async_new_events(self) -> list[dict[str, object]]:
        """Return the events that were not returned before."""
        response = await self.cluster.async_operate(
            ENTRY, 'GET', '/v1/timeline?limit=5000'
        )
        events = msgspec.json.decode(response.body)['events']
        fresh = [
            it
            for it in events
            if (it['clock'], it['instance_id']) not in self.seen
        ]
        self.seen.update((it['clock'], it['instance_id']) for it in fresh)
        return fresh


def _describe(event, told) -> str:
    """Return an event without what differs between runs."""
    kind = event['kind']
    instance = event['instance_id']
    if event['request_id']:
        instance = 'entry'
    if kind in TOLD_TWICE:
        key = (event['request_id'], event['shard'], kind)
        instance = 'entry' if told[key] % 2 else 'owner'
        told[key] += 1
    fields = (instance, kind, event['request_id'], event['shard'])
    return ' '.join(it for it in (*fields, event['detail']) if it)
