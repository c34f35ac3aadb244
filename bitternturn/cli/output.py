"""Prints tables, JSON and errors."""

import sys
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from tabulate import tabulate

from bitternturn.cli.client import RemoteError
from bitternturn.cli.const import HINT_OF_CODE, PROGRAM
from bitternturn.configuration.models import InvalidConfiguration
from bitternturn.core.errors import BitternturnError
from bitternturn.core.settings import SettingsError


def print_json(content: Any) -> None:
    """Print a value as JSON."""
    print(format_json(content))


def format_json(content: Any) -> str:
    """Return a value as indented JSON."""
    encoded = msgspec.json.encode(content)
    return msgspec.json.format(encoded, indent=2).decode()


def print_table(
    headers: Sequence[str],
    rows: Sequence[Sequence[object]],
) -> None:
    """Print a table; strings that look like numbers are not converted."""
    print(tabulate(rows, headers=headers, disable_numparse=True))


def print_version(version: int, *, as_json: bool) -> None:
    """Print the version that was accepted."""
    if as_json:
        print_json({'version': version})
    else:
        print(f'accepted as version {version}')


def print_error(error: BitternturnError) -> None:
    """Print an error, its details and a hint to standard error."""
    peer = f' (peer {error.peer})' if error.peer else ''
    message = error.message or error.code.value
    lines = [f'{PROGRAM}: {error.code.value} at {error.step}{peer}']
    details = list(_details(error))
    lines.extend(f'  {detail}' for detail in details or [message])
    hint = error.hint or HINT_OF_CODE.get(error.code)
    if hint:
        lines.append(f'next: {hint}')
    print('\n'.join(lines), file=sys.stderr)


def _details(error: BitternturnError) -> Iterator[str]:
    """Yield the individual problems of an error."""
    if isinstance(error, SettingsError):
        yield from (str(problem) for problem in error.problems)
    elif isinstance(error, InvalidConfiguration):
        for problem in error.problems:
            yield f'{problem.path or "content"}: {problem.message}'
    elif isinstance(error, RemoteError):
        for fault in error.answer.get('errors', ()):
            yield f'{fault["path"] or "content"}: {fault["message"]}'
        yield from _conflict_lines(error)


def _conflict_lines(error: RemoteError) -> Iterator[str]:
    """Yield both sides of a version conflict."""
    if 'theirs' in error.answer:
        yield error.message
        yield f'yours: based on version {error.answer["mine"]["version"]}'
        theirs = error.answer['theirs']
        content = msgspec.json.encode(theirs['content']).decode()
        yield f'theirs: version {theirs["version"]}: {content}'
