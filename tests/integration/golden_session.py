"""Sessions as text: requests, answers and the merged time line."""

import json
import os
from collections import Counter
from pathlib import Path

import msgspec

from bench.cluster import Cluster
from bitternturn.standins.caller_models import CallerQuery
from bitternturn.timeline.models import EventKind
from tests.integration.helpers import async_send_query

GOLDEN_FOLDER = Path(__file__).parent.parent / 'golden'
UPDATE_VARIABLE = 'BITTERNTURN_UPDATE_GOLDEN'
# Instance that receives the queries and the operators' calls.
ENTRY = 'i0'

# Events of a sub-request that its owner reports first and the entry second.
REPORTED_TWICE = frozenset(
    (
        EventKind.SUB_REQUEST_ANSWERED.value,
        EventKind.SUB_REQUEST_FAILED.value,
    )
)
EVENT_ORDER = [
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
EVENT_RANKS = {kind.value: rank for rank, kind in enumerate(EVENT_ORDER)}


class Session:
    """Records the steps of one session and their time line as text."""

    def __init__(self, cluster: Cluster, title: str) -> None:
        """Initialise the text with its title."""
        self.cluster = cluster
        self.sections = [f'# {title}\n']
        self.seen_events: set[tuple[int, str]] = set()

    async def async_skip_events(self) -> None:
        """Skip the events so far."""
        await self._async_read_new_events()

    async def async_write_query(self, query: CallerQuery) -> None:
        """Run a query; write it, its answer and its events."""
        answer = await async_send_query(self.cluster, ENTRY, query)
        self._write(f'POST /v1/query/{query.index}', query.headers())
        self._write_json(query.body())
        self._write(f'Answer {answer.status}', {})
        reply = {
            name: content
            for name, content in msgspec.to_builtins(answer.reply).items()
            if content
        }
        self._write_json(reply)
        await self.async_write_events()

    async def async_write_operation(
        self, method: str, path: str, body: object
    ) -> int:
        """Run an operator's call, write it; return the version."""
        response = await self.cluster.async_call_administration(
            ENTRY, method, path, body=msgspec.json.encode(body)
        )
        self._write(f'{method} {path}', {})
        self._write_json(body)
        self._write(f'Answer {response.status}', {})
        answer = msgspec.json.decode(response.body)
        self._write_json(answer)
        return int(answer['version'])

    async def async_write_events(self) -> None:
        """Write the events since the last call.

        Events are sorted by kind, since the order of concurrent ones varies.
        """
        counts: Counter[tuple[str, str, str]] = Counter()
        lines = []
        for event in await self._async_read_new_events():
            if event['kind'] not in EVENT_RANKS:
                continue
            lines.append((EVENT_RANKS[event['kind']], _describe(event, counts)))
        text = '\n'.join(line for _, line in sorted(lines))
        self.sections.append(f'Time line\n\n```\n{text}\n```\n')

    def add_heading(self, text: str) -> None:
        """Write a heading."""
        self.sections.append(f'## {text}\n')

    def assert_matches_golden(self, name: str) -> None:
        """Compare the text with the golden file.

        Rewrites the file instead if `BITTERNTURN_UPDATE_GOLDEN` is set.
        """
        text = '\n'.join(self.sections)
        path = GOLDEN_FOLDER / f'{name}.md'
        if os.environ.get(UPDATE_VARIABLE):
            path.write_text(text, encoding='utf-8')
        assert text == path.read_text(encoding='utf-8')

    def _write(self, title: str, headers: dict[str, str]) -> None:
        """Write a title line and headers."""
        lines = [f'{name}: {value}' for name, value in headers.items()]
        self.sections.append('\n'.join([f'**{title}**', '', *lines]).strip())

    def _write_json(self, content: object) -> None:
        """Write a JSON body."""
        text = json.dumps(content, indent=2, sort_keys=True)
        self.sections.append(f'\n```json\n{text}\n```\n')

    async def _async_read_new_events(self) -> list[dict[str, object]]:
        """Return the events that were not returned before."""
        response = await self.cluster.async_call_administration(
            ENTRY, 'GET', '/v1/timeline?limit=5000'
        )
        events = msgspec.json.decode(response.body)['events']
        new_events = [
            it
            for it in events
            if (it['clock'], it['instance_id']) not in self.seen_events
        ]
        self.seen_events.update(
            (it['clock'], it['instance_id']) for it in new_events
        )
        return new_events


def _describe(event, counts) -> str:
    """Return the text of an event without the fields that vary between runs."""
    kind = event['kind']
    instance = event['instance_id']
    if event['request_id']:
        instance = 'entry'
    if kind in REPORTED_TWICE:
        key = (event['request_id'], event['shard'], kind)
        instance = 'entry' if counts[key] % 2 else 'owner'
        counts[key] += 1
    fields = (instance, kind, event['request_id'], event['shard'])
    return ' '.join(it for it in (*fields, event['detail']) if it)
