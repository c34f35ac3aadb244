"""Logs to the standard error, as text or JSON lines."""

import sys
from collections.abc import Callable
from typing import Any, Final

import logbook
import msgspec
from logbook.compat import redirect_logging

from bitternturn.core.ids import InstanceId
from bitternturn.schema.settings_pb2 import LogSettings

# Fields that a record may carry in its `extra`.
FIELDS: Final = ('request_id', 'step', 'peer')

Formatter = Callable[[Any, Any], str]


def set_up_logs(
    settings: LogSettings,
    instance_id: InstanceId,
) -> logbook.Handler:
    """Send every record to the standard error and return the handler."""
    handler = logbook.StreamHandler(sys.stderr, level=settings.level.upper())
    if settings.format == 'json':
        handler.formatter = create_json_formatter(instance_id)
    else:
        handler.formatter = create_text_formatter(instance_id)
    # The gRPC and metrics libraries log by the standard module.
    redirect_logging()
    handler.push_application()
    return handler


def create_json_formatter(instance_id: InstanceId) -> Formatter:
    """Return a formatter that writes one JSON object per line."""

    def format_record(record: Any, handler: Any) -> str:
        """Return the line of a record."""
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
    """Return a formatter that writes one line for people."""

    def format_record(record: Any, handler: Any) -> str:
        """Return the line of a record and the trace of its exception."""
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
    """Return the fields that the record carries."""
    return {
        name: str(record.extra[name])
        for name in FIELDS
        if record.extra.get(name)
    }
