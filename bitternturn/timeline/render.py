"""Renders a timeline as text or JSON."""

from collections.abc import Iterator, Sequence
from datetime import UTC, datetime
from typing import Any, Final

import msgspec
from google.protobuf import json_format

from bitternturn.core.clock import MS_PER_SECOND, timestamp_to_ms
from bitternturn.schema.timeline_pb2 import Event
from bitternturn.timeline.const import US_PER_MS

# Event fields written after the kind, unless they are empty.
TEXT_FIELDS: Final = ('request_id', 'shard', 'target', 'peer', 'detail')


def render_text(events: Sequence[Event]) -> str:
    """Render events as text, one per line."""
    return ''.join(f'{_format_line(event)}\n' for event in events)


def render_json(events: Sequence[Event]) -> bytes:
    """Render events as a JSON array of objects."""
    return msgspec.json.encode([event_to_json(event) for event in events])


def event_to_json(event: Event) -> dict[str, str | int]:
    """Return all fields of an event as a JSON object.

    The clock is a number, not a string as in protobuf JSON.
    """
    return {
        field.name: getattr(event, field.name)
        for field in Event.DESCRIPTOR.fields
    }


def event_from_json(content: dict[str, Any]) -> Event:
    """Return the event that `event_to_json` encoded."""
    return json_format.ParseDict(
        content,
        Event(),
        # An instance of a later release may send additional fields.
        ignore_unknown_fields=True,
    )


def format_time(event: Event) -> str:
    """Return the time of day of an event, in UTC."""
    seconds = timestamp_to_ms(event.clock) / MS_PER_SECOND
    moment = datetime.fromtimestamp(seconds, tz=UTC)
    return moment.strftime('%H:%M:%S.%f')[:-3]


def format_fields(event: Event) -> str:
    """Return the non-empty fields of an event as one string."""
    return ' '.join(_iter_fields(event))


def _format_line(event: Event) -> str:
    """Return the text line of an event."""
    prefix = f'{format_time(event)} {event.instance_id:<12} {event.kind:<22}'
    return f'{prefix} {format_fields(event)}'.rstrip()


def _iter_fields(event: Event) -> Iterator[str]:
    """Yield the non-empty fields as name=value."""
    for name in TEXT_FIELDS:
        content = getattr(event, name)
        if content:
            yield f'{name}={content}'
    if event.duration_us:
        yield f'duration={event.duration_us / US_PER_MS:.1f}ms'
