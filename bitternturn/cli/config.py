"""Command `config`: reads, applies and rolls back configurations."""

import difflib
from datetime import UTC, datetime
from typing import Any

from absl import flags

from bitternturn.administration.codec import accepted_to_json
from bitternturn.cli.client import (
    OperatorClient,
    configuration_from_json,
    configuration_path,
)
from bitternturn.cli.edits import async_put_content, define_if_version
from bitternturn.cli.files import read_document
from bitternturn.cli.models import Action, Command, Invocation, usage_error
from bitternturn.cli.output import (
    format_json,
    print_json,
    print_table,
    print_version,
)
from bitternturn.configuration.check import parse_content
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.ids import Version
from bitternturn.schema.config_pb2 import ConfigurationObject


async def _async_check(call: Invocation) -> None:
    """Validate a file without calling an instance."""
    kind = _parse_kind(call)
    parse_content(kind, _extract_content(read_document(call.arguments[1])))
    if call.json:
        print_json({'valid': True})
    else:
        print(f'{call.arguments[1]}: valid {kind.value}')


async def _async_get(call: Invocation) -> None:
    """Print the configuration in force, in the format of `apply`."""
    accepted = await call.client.async_configuration(_parse_kind(call))
    print_json(accepted_to_json(accepted))


async def _async_apply(call: Invocation) -> None:
    """Replace the configuration by the content of a file."""
    kind = _parse_kind(call)
    document = read_document(call.arguments[1])
    accepted = await async_put_content(
        call.client,
        kind,
        parse_content(kind, _extract_content(document)),
        _base_version(call, document),
    )
    print_version(accepted, as_json=call.json)


async def _async_history(call: Invocation) -> None:
    """Print the versions in the history."""
    path = f'{configuration_path(_parse_kind(call))}/history'
    answer = await call.client.async_call('GET', path)
    if call.json:
        print_json(answer['versions'])
        return
    print_table(
        ('version', 'accepted', 'by instance'),
        [
            (
                entry['version'],
                _format_time(entry['accepted_ms']),
                entry['instance_id'],
            )
            for entry in answer['versions']
        ],
    )


async def _async_diff(call: Invocation) -> None:
    """Print the diff from a version in the history to another.

    Without a second version, compare with the one in force.
    """
    kind = _parse_kind(call)
    before = await _async_get_version(call.client, kind, call.arguments[1])
    if len(call.arguments) > 2:
        after = await _async_get_version(call.client, kind, call.arguments[2])
    else:
        after = await call.client.async_configuration(kind)
    for line in difflib.unified_diff(
        _content_lines(before),
        _content_lines(after),
        f'version {before.version}',
        f'version {after.version}',
        lineterm='',
    ):
        print(line)


async def _async_rollback(call: Invocation) -> None:
    """Restore an earlier version as a new one."""
    answer = await call.client.async_call(
        'POST',
        f'{configuration_path(_parse_kind(call))}/rollback',
        content={'version': _parse_version(call.arguments[1])},
        if_version=_if_version(call),
    )
    print_version(answer['version'], as_json=call.json)


async def _async_get_version(
    client: OperatorClient,
    kind: ConfigurationKind,
    version: str,
) -> ConfigurationObject:
    """Return a version from the history."""
    path = f'{configuration_path(kind)}/history/{_parse_version(version)}'
    return configuration_from_json(kind, await client.async_call('GET', path))


def _parse_kind(call: Invocation) -> ConfigurationKind:
    """Return the KIND argument; raises BitternturnError."""
    try:
        return ConfigurationKind(call.arguments[0])
    except ValueError as error:
        kinds = ', '.join(kind.value for kind in ConfigurationKind)
        raise usage_error(f'KIND must be one of {kinds}') from error


def _extract_content(document: Any) -> Any:
    """Return the content of a document, with or without a version."""
    if isinstance(document, dict) and 'content' in document:
        return document['content']
    return document


def _base_version(call: Invocation, document: Any) -> Version:
    """Return the version that the edit is based on."""
    given = _if_version(call)
    if given is not None:
        return given
    if isinstance(document, dict) and isinstance(document.get('version'), int):
        return Version(document['version'])
    raise usage_error(
        'the file has no version; get it with `config get` or set --if_version',
    )


def _if_version(call: Invocation) -> Version | None:
    """Return the value of --if_version, if set."""
    given = call.flags.if_version
    return None if given is None else Version(given)


def _parse_version(text: str) -> int:
    """Parse a VERSION argument; raises BitternturnError."""
    if text.isascii() and text.isdigit():
        return int(text)
    raise usage_error(f'VERSION must be a number, got "{text}"')


def _content_lines(accepted: ConfigurationObject) -> list[str]:
    """Return the content as lines of formatted JSON."""
    content = accepted_to_json(accepted)['content']
    return format_json(content).splitlines()


def _format_time(accepted_ms: int) -> str:
    """Format a time in UTC."""
    moment = datetime.fromtimestamp(accepted_ms / MS_PER_SECOND, tz=UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S')


def _define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    define_if_version(values, default='version in the file')


COMMAND = Command(
    name='config',
    summary='Validate, apply, compare and roll back configurations.',
    example='bitternturn config apply profiles profiles.json',
    actions={
        'check': Action(run=_async_check, arguments=('KIND', 'FILE')),
        'get': Action(run=_async_get, arguments=('KIND',)),
        'apply': Action(run=_async_apply, arguments=('KIND', 'FILE')),
        'history': Action(run=_async_history, arguments=('KIND',)),
        'diff': Action(
            run=_async_diff,
            arguments=('KIND', 'FROM'),
            optional=('TO',),
        ),
        'rollback': Action(run=_async_rollback, arguments=('KIND', 'VERSION')),
    },
    define_flags=_define_flags,
)
