"""Validates decoded JSON or TOML against a protobuf message type."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from google.protobuf.descriptor import Descriptor, FieldDescriptor

from bitternturn.core.const import UINT32_MAX, UINT64_MAX
from bitternturn.core.decoding import parse_unsigned


@dataclass(kw_only=True, frozen=True, slots=True)
class Problem:
    """A fault in a document and the path of the faulty value."""

    path: str
    message: str


def find_schema_problems(
    descriptor: Descriptor,
    content: Any,
    *,
    path: str = '',
) -> list[Problem]:
    """Return all unknown keys and type errors in a document."""
    return list(_walk_message(descriptor, content, path))


def join_path(parent: str, name: str) -> str:
    """Return the dotted path of a member of a table."""
    return f'{parent}.{name}' if parent else name


def _walk_message(
    descriptor: Descriptor,
    content: Any,
    path: str,
) -> Iterator[Problem]:
    """Yield the problems of a table."""
    if not isinstance(content, Mapping):
        yield _wrong_type(path, 'a table', content)
        return
    for key, member in content.items():
        field = descriptor.fields_by_name.get(key)
        member_path = join_path(path, str(key))
        if field is None:
            yield Problem(path=member_path, message='unknown key')
        elif field.is_repeated:
            yield from _walk_list(field, member, member_path)
        else:
            yield from _walk_value(field, member, member_path)


def _walk_list(
    field: FieldDescriptor,
    content: Any,
    path: str,
) -> Iterator[Problem]:
    """Yield the problems of a repeated field."""
    if not isinstance(content, list):
        yield _wrong_type(path, 'a list', content)
        return
    for position, member in enumerate(content):
        yield from _walk_value(field, member, f'{path}[{position}]')


def _walk_value(
    field: FieldDescriptor,
    content: Any,
    path: str,
) -> Iterator[Problem]:
    """Yield the problems of a single value."""
    if field.message_type is not None:
        yield from _walk_message(field.message_type, content, path)
        return
    message = _scalar_problem(field, content)
    if message:
        yield Problem(path=path, message=message)


def _scalar_problem(field: FieldDescriptor, content: Any) -> str:
    """Return what is wrong with a scalar; empty if it is valid."""
    match field.type:
        case FieldDescriptor.TYPE_STRING:
            return _type_message(isinstance(content, str), 'a string', content)
        case FieldDescriptor.TYPE_BOOL:
            return _type_message(
                isinstance(content, bool), 'a boolean', content
            )
        case FieldDescriptor.TYPE_UINT32:
            return _integer_problem(content, UINT32_MAX)
        case FieldDescriptor.TYPE_UINT64:
            return _integer_problem(content, UINT64_MAX)
        case FieldDescriptor.TYPE_DOUBLE:
            return _number_problem(content)
        case FieldDescriptor.TYPE_ENUM:
            return _enum_problem(field, content)
    return 'type not supported'


def _integer_problem(content: Any, maximum: int) -> str:
    """Return what is wrong with an unsigned integer; empty if valid."""
    # Protobuf JSON encodes 64-bit integers as strings.
    if maximum == UINT64_MAX and isinstance(content, str):
        content = parse_unsigned(content, maximum=maximum + 1)
        if content is None:
            return 'expected an integer'
    if isinstance(content, bool) or not isinstance(content, int):
        return _type_message(False, 'an integer', content)
    if 0 <= content <= maximum:
        return ''
    return f'must be from 0 to {maximum}'


def _number_problem(content: Any) -> str:
    """Return what is wrong with a floating-point number; empty if valid."""
    if isinstance(content, bool) or not isinstance(content, int | float):
        return _type_message(False, 'a number', content)
    return '' if math.isfinite(content) else 'must be finite'


def _enum_problem(field: FieldDescriptor, content: Any) -> str:
    """Return what is wrong with an enum value; empty if valid.

    An enum value may be given by its name or its number.
    """
    assert field.enum_type is not None
    choices = field.enum_type.values_by_name
    if isinstance(content, str) and content in choices:
        return ''
    numbers = field.enum_type.values_by_number
    is_number = isinstance(content, int) and not isinstance(content, bool)
    if is_number and content in numbers:
        return ''
    names = ', '.join(name for name, choice in choices.items() if choice.number)
    return f'must be one of {names}'


def _type_message(valid: bool, expected: str, content: Any) -> str:
    """Return the message of a type error; empty if the value is valid."""
    if valid:
        return ''
    return f'expected {expected}, got {type(content).__name__}'


def _wrong_type(path: str, expected: str, content: Any) -> Problem:
    """Return the problem of a value of the wrong type."""
    return Problem(path=path, message=_type_message(False, expected, content))
