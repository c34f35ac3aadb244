"""Command `timeline`: shows the merged events of all instances."""

import re
import sys
from typing import Final

from absl import flags

from bitternturn.cli.models import Action, Command, Invocation, usage_error
from bitternturn.core.clock import COUNTER_BITS, MS_PER_SECOND, wall_ms
from bitternturn.timeline.render import (
    event_from_json,
    render_json,
    render_text,
)
from bitternturn.timeline.svg import render_svg

FORMATS: Final = ('text', 'json', 'svg')
SECONDS_PER_UNIT: Final = {'s': 1, 'm': 60, 'h': 3600}
AGE_PATTERN: Final = re.compile(r'(\d{1,6})([smh])')


async def _async_timeline(call: Invocation) -> None:
    """Print the events that match the flags."""
    since = parse_since(call.flags.since, now_ms=wall_ms())
    answer = await call.client.async_call(
        'GET',
        '/v1/timeline',
        arguments={
            'since': str(since) if since else '',
            'request': call.flags.request,
            'target': call.flags.target,
        },
    )
    events = [event_from_json(content) for content in answer['events']]
    if call.json or call.flags.format == 'json':
        print(render_json(events).decode())
    elif call.flags.format == 'svg':
        sys.stdout.write(render_svg(events))
    else:
        sys.stdout.write(render_text(events))


def parse_since(text: str, *, now_ms: int) -> int:
    """Parse an age like 30s, or a clock value; returns a clock value."""
    if not text:
        return 0
    age = AGE_PATTERN.fullmatch(text)
    if age is not None:
        seconds = int(age[1]) * SECONDS_PER_UNIT[age[2]]
        return max(now_ms - seconds * MS_PER_SECOND, 0) << COUNTER_BITS
    if text.isascii() and text.isdigit():
        return int(text)
    raise usage_error(
        f'--since must be an age like 30s, 5m or 1h, or a clock, got "{text}"'
    )


def _define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_string(
        'request',
        '',
        'show only events of a request id',
        flag_values=values,
    )
    flags.DEFINE_string(
        'target',
        '',
        'show only events of a target',
        flag_values=values,
    )
    flags.DEFINE_string(
        'since',
        '',
        'show only events since an age (30s, 5m, 1h) or after a clock',
        flag_values=values,
    )
    flags.DEFINE_enum(
        'format',
        'text',
        FORMATS,
        'output format: text, json or svg',
        flag_values=values,
    )


COMMAND = Command(
    name='timeline',
    summary='Show the merged events of all instances.',
    example='bitternturn timeline --since 1m --format svg > timeline.svg',
    actions={'': Action(run=_async_timeline)},
    define_flags=_define_flags,
)
