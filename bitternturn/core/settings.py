"""Loads the settings of one instance from its TOML file."""

import re
import secrets
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from google.protobuf import json_format

from bitternturn.core import const
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.schema_validation import (
    Problem,
    find_schema_problems,
    join_path,
)
from bitternturn.core.settings_rules import (
    DEFAULTS,
    REQUIRED,
    find_rule_problems,
)
from bitternturn.schema.settings_pb2 import NodeSettings

STEP_LOAD = 'load settings'

TABLE_HEADING = re.compile(r'^\s*\[+\s*([^\]]+?)\s*\]+')
KEY_ASSIGNMENT = re.compile(r'^\s*([\w."\'-]+)\s*=')


@dataclass(kw_only=True, frozen=True, slots=True)
class SettingsProblem:
    """An invalid setting; line 0 if the value is not in the file."""

    path: str
    message: str
    line: int = 0

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        location = f' (line {self.line})' if self.line else ''
        return f'{self.path}{location}: {self.message}'


class SettingsError(BitternturnError):
    """Raised for invalid settings; lists every problem found."""

    def __init__(
        self,
        *,
        source: str,
        problems: list[SettingsProblem],
    ) -> None:
        """Initialise the error with the problems found."""
        super().__init__(
            '; '.join(str(problem) for problem in problems),
            code=ErrorCode.INVALID_SETTINGS,
            step=STEP_LOAD,
            peer=source,
        )
        self.problems = problems


def load_settings(path: Path | str) -> NodeSettings:
    """Load the settings from a file; raises SettingsError."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        problem = SettingsProblem(path=str(path), message=str(error))
        raise SettingsError(source=str(path), problems=[problem]) from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str = 'settings') -> NodeSettings:
    """Parse settings in TOML; raises SettingsError."""
    try:
        table = tomllib.loads(text)
    # Excessive nesting and overlong numbers don't raise TOMLDecodeError.
    except (ValueError, RecursionError) as error:
        problem = SettingsProblem(path=source, message=str(error))
        raise SettingsError(source=source, problems=[problem]) from error
    given = dict(_flatten(table, ''))
    problems = _find_problems(table, given)
    if problems:
        lines = _find_lines(text)
        raise SettingsError(
            source=source,
            problems=[_add_line(problem, lines) for problem in problems],
        )
    return _build(given)


def _find_problems(
    table: Mapping[str, Any],
    given: Mapping[str, Any],
) -> list[Problem]:
    """Return structural problems, then those of the values."""
    problems = find_schema_problems(NodeSettings.DESCRIPTOR, table)
    invalid_paths = {problem.path for problem in problems}
    problems.extend(
        Problem(path=path, message='required')
        for path in REQUIRED
        if path not in given and not _is_at_or_below(path, invalid_paths)
    )
    valid = {
        path: content
        for path, content in {**DEFAULTS, **given}.items()
        if not _is_at_or_below(path, invalid_paths)
    }
    return problems + find_rule_problems(valid)


def _is_at_or_below(path: str, invalid_paths: set[str]) -> bool:
    """Return whether a path equals or lies below an invalid one."""
    return any(
        path == other or path.startswith(f'{other}.') for other in invalid_paths
    )


def _build(given: Mapping[str, Any]) -> NodeSettings:
    """Return the settings message with defaults filled in."""
    nested: dict[str, Any] = {}
    for path, content in {**DEFAULTS, **given}.items():
        *parents, name = path.split('.')
        table = nested
        for parent in parents:
            table = table.setdefault(parent, {})
        table[name] = content
    settings = json_format.ParseDict(nested, NodeSettings())
    if not settings.instance.id:
        settings.instance.id = secrets.token_hex(const.INSTANCE_ID_BYTES)
    return settings


def _flatten(table: Mapping[str, Any], path: str) -> Iterator[tuple[str, Any]]:
    """Yield the dotted path and value of each leaf."""
    for key, content in table.items():
        member_path = join_path(path, key)
        if isinstance(content, Mapping):
            yield from _flatten(content, member_path)
        else:
            yield member_path, content


def _find_lines(text: str) -> dict[str, int]:
    """Return the line number of each table heading and key by path."""
    lines: dict[str, int] = {}
    heading = ''
    for number, line in enumerate(text.splitlines(), start=1):
        title = TABLE_HEADING.match(line)
        if title is not None:
            heading = _strip_quotes(title[1])
            lines.setdefault(heading, number)
        key = KEY_ASSIGNMENT.match(line)
        if key is not None:
            lines.setdefault(join_path(heading, _strip_quotes(key[1])), number)
    return lines


def _strip_quotes(key: str) -> str:
    """Return a TOML key without quotes and spaces."""
    return key.replace('"', '').replace("'", '').replace(' ', '')


def _add_line(problem: Problem, lines: Mapping[str, int]) -> SettingsProblem:
    """Add the line of the value, or of the closest enclosing table."""
    path = problem.path.partition('[')[0]
    while path and path not in lines:
        path = path.rpartition('.')[0]
    return SettingsProblem(
        path=problem.path,
        message=problem.message,
        line=lines.get(path, 0),
    )
