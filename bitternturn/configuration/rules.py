"""Rules of single values that the checks share."""

import re
from collections.abc import Iterable, Iterator
from typing import Final

from bitternturn.configuration import const
from bitternturn.core.shapes import Problem

NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')


def check_name(path: str, name: str) -> Iterator[Problem]:
    """Yield a problem for a name that can't stand in a path or header."""
    if not name:
        yield Problem(path=path, message='required')
    elif len(name) > const.MAX_NAME_LENGTH:
        message = f'must have at most {const.MAX_NAME_LENGTH} characters'
        yield Problem(path=path, message=message)
    elif not NAME.fullmatch(name):
        message = 'must be letters, digits, ".", "_" and "-"'
        yield Problem(path=path, message=message)


def check_range(
    path: str,
    number: float,
    *,
    least: float,
    most: float,
) -> Iterator[Problem]:
    """Yield a problem for a number outside its range."""
    # Written so that a NaN is outside.
    if not least <= number <= most:
        message = f'must be from {least:g} to {most:g}'
        yield Problem(path=path, message=message)


def check_chosen(path: str, choice: int) -> Iterator[Problem]:
    """Yield a problem for an enum value that was left out."""
    if not choice:
        yield Problem(path=path, message='required')


def check_unique(path: str, names: Iterable[str]) -> Iterator[Problem]:
    """Yield a problem for each name that stands twice; path has a `{}`."""
    seen: set[str] = set()
    for position, name in enumerate(names):
        if name and name in seen:
            message = f'"{name}" stands twice'
            yield Problem(path=path.format(position), message=message)
        seen.add(name)
