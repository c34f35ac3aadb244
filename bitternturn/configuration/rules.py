"""Validation rules for single values."""

import re
from collections.abc import Iterable, Iterator
from typing import Final

from bitternturn.configuration import const
from bitternturn.core.schema_validation import Problem

NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')


def check_name(path: str, name: str) -> Iterator[Problem]:
    """Yield a problem for a name that is invalid in a path or header."""
    if not name:
        yield Problem(path=path, message='required')
    elif len(name) > const.MAX_NAME_LENGTH:
        message = f'must have at most {const.MAX_NAME_LENGTH} characters'
        yield Problem(path=path, message=message)
    elif not NAME_PATTERN.fullmatch(name):
        message = 'must consist of letters, digits, ".", "_" and "-"'
        yield Problem(path=path, message=message)


def check_range(
    path: str,
    number: float,
    *,
    minimum: float,
    maximum: float,
) -> Iterator[Problem]:
    """Yield a problem for a number outside its range."""
    # Negated so that NaN is out of range.
    if not minimum <= number <= maximum:
        message = f'must be from {minimum:g} to {maximum:g}'
        yield Problem(path=path, message=message)


def check_specified(path: str, enum_value: int) -> Iterator[Problem]:
    """Yield a problem for an enum value that is unspecified."""
    if not enum_value:
        yield Problem(path=path, message='required')


def check_unique(path: str, names: Iterable[str]) -> Iterator[Problem]:
    """Yield a problem for each repeated name.

    `path` contains `{}` as placeholder of the position.
    """
    seen: set[str] = set()
    for position, name in enumerate(names):
        if name and name in seen:
            message = f'"{name}" is used twice'
            yield Problem(path=path.format(position), message=message)
        seen.add(name)
