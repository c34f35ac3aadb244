"""Command `tenant`: tenants of a configuration, and their use from saved logs."""

import hashlib
from collections import Counter
from collections.abc import Sequence
from typing import Any, Final

from absl import flags

from bitternturn.cli.explain import read_log_lines
from bitternturn.cli.files import STANDARD_INPUT, read_document
from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.request_log import LogLine, read_lines, render_line
from bitternturn.platform.documents import decode_configuration

# Length of the prefix of a key's hash that tells keys apart.
KEY_HASH_LENGTH: Final = 8
# Outcome of a request that got an answer.
ANSWERED: Final = 'answer'


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_list(
        'logs',
        [STANDARD_INPUT],
        'log files of the instances; - reads standard input',
        flag_values=values,
    )


async def _async_list(call: Invocation) -> None:
    """Print the tenants of a configuration, with hashes of their keys."""
    tenants = decode_configuration(read_document(call.arguments[0])).tenants
    rows: list[dict[str, Any]] = [
        {
            'tenant': tenant.name,
            'priority': tenant.priority,
            'rate-per-s': tenant.rate_per_s or None,
            'burst': tenant.burst if tenant.rate_per_s else None,
            'keys': ' '.join(map(_hash_key, tenant.api_keys)),
        }
        for tenant in tenants or ()
    ]
    _print_rows(
        call, rows, ('tenant', 'priority', 'rate-per-s', 'burst', 'keys')
    )


async def _async_usage(call: Invocation) -> None:
    """Print how many requests of each tenant were sent, answered and refused."""
    counts: dict[str, Counter[str]] = {}
    reasons: set[str] = set()
    for line in _read(call):
        tenant = line.fields.get('tenant')
        count = counts.setdefault(str(tenant), Counter())
        if line.kind == 'request':
            count['sent'] += 1
            count['answered'] += line.fields.get('outcome') == ANSWERED
        elif line.kind == 'refused':
            reason = str(line.fields.get('reason'))
            reasons.add(reason)
            count[reason] += 1
    columns = ('sent', 'answered', *sorted(reasons))
    rows: list[dict[str, Any]] = [
        {'tenant': tenant, **{name: count[name] for name in columns}}
        for tenant, count in sorted(counts.items())
    ]
    _print_rows(call, rows, ('tenant', *columns))


async def _async_explain(call: Invocation) -> None:
    """Print who granted the quota of a tenant, and its refusals."""
    name = call.arguments[0]
    found = [
        line
        for line in _read(call)
        if line.fields.get('tenant') == name and line.kind != 'request'
    ]
    if not found:
        raise BitternturnError(
            f'no line about tenant {name}',
            code=ErrorCode.NOT_FOUND,
            step='read logs',
        )
    if call.json:
        print_json([line.fields for line in found])
        return
    for line in found:
        print(render_line(line, found[-1].time))


def _read(call: Invocation) -> list[LogLine]:
    """Return the lines of all logs that name a tenant, oldest first."""
    lines = read_lines(read_log_lines(call.flags.logs))
    named = [line for line in lines if line.fields.get('tenant')]
    return sorted(named, key=lambda line: line.time)


def _print_rows(
    call: Invocation, rows: Sequence[dict[str, Any]], columns: Sequence[str]
) -> None:
    """Print rows as a table or as JSON."""
    if call.json:
        print_json(rows)
        return
    print_table(
        columns,
        [
            ['-' if row[name] is None else row[name] for name in columns]
            for row in rows
        ],
    )


def _hash_key(key: bytes) -> str:
    """Return the prefix of a hash that tells a key from others."""
    return hashlib.sha256(key).hexdigest()[:KEY_HASH_LENGTH]


COMMAND = Command(
    name='tenant',
    summary='Show the tenants of a configuration, and their use from saved logs.',
    example='bitternturn tenant usage --logs a.log,b.log',
    actions={
        'list': Action(run=_async_list, arguments=('FILE',)),
        'usage': Action(run=_async_usage),
        'explain': Action(run=_async_explain, arguments=('TENANT',)),
    },
    define_flags=define_flags,
)
