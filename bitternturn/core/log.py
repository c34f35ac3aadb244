"""Logging to standard error, as text or JSON lines."""

import sys
from collections.abc import Callable
from typing import Any, Final

import logbook
import msgspec
from logbook.compat import redirect_logging

from bitternturn.core.ids import InstanceId
from bitternturn.schema.settings_pb2 import LogSettings

# Keys of a record's `extra` that are written to the log.
EXTRA_FIELDS: Final = ('request_id', 'step', 'peer')

Formatter = Callable[[Any, Any], str]


def set_up_logging(
    settings: LogSettings,
    instance_id: InstanceId,
) -> logbook.Handler:
    """Install and return a handler that writes to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=settings.level.upper())
    if settings.format == 'json':
        handler.formatter = create_json_formatter(instance_id)
    else:
        handler.formatter = create_text_formatter(instance_id)
    # The gRPC and metrics libraries use the standard logging module.
    redirect_logging()
    handler.push_application()
    return handler


def create_json_formatter(instance_id: InstanceId) -> Formatter:
    """Return a formatter that writes one JSON object per line."""

    def format_record(record: Any, handler: Any) -> str:
        """Format a record as JSON."""
        content = {
            'time': record.time.isoformat(),
            'level': record.level_name.lower(),
            'instance_id': instance_id,
            'logger': record.channel,
            'message': record.message,
            **_extra_fields(record),
        }
        if record.exc_info:
            content['exception'] = record.formatted_exception
        return msgspec.json.encode(content).decode()

    return format_record


def create_text_formatter(instance_id: InstanceId) -> Formatter:
    """Return a formatter that writes one line of plain text."""

    def format_record(record: Any, handler: Any) -> str:
        """Format a record, followed by its traceback if it has one."""
        fields = ''.join(
            f' {name}={content}'
            for name, content in _extra_fields(record).items()
        )
        line = (
            f'{record.time.isoformat(timespec="milliseconds")} '
            f'{record.level_name:<8} {instance_id} {record.channel}: '
            f'{record.message}{fields}'
        )
        if record.exc_info:
            return f'{line}\n{record.formatted_exception}'
        return line

    return format_record


def _extra_fields(record: Any) -> dict[str, str]:
    """Return the structured fields that are set on a record."""
    return {
        name: str(record.extra[name])
        for name in EXTRA_FIELDS
        if record.extra.get(name)
    }
