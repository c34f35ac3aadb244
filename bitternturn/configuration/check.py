"""Validation of each kind of configuration, reporting every problem."""

from collections.abc import Iterable, Iterator
from typing import Any

from google.protobuf import json_format

from bitternturn.configuration import const
from bitternturn.configuration.check_indexes import check_indexes
from bitternturn.configuration.models import (
    CONTENT_TYPES,
    ConfigurationKind,
    Content,
    InvalidConfiguration,
)
from bitternturn.configuration.rules import (
    check_name,
    check_range,
    check_specified,
    check_unique,
)
from bitternturn.core.schema_validation import Problem, find_schema_problems
from bitternturn.schema.config_pb2 import (
    Indexes,
    Profile,
    Profiles,
    Switch,
    Switches,
)


def check_content(content: Content) -> list[Problem]:
    """Return all problems of a configuration of any kind."""
    match content:
        case Profiles():
            problems = check_profiles(content)
        case Indexes():
            problems = check_indexes(content)
        case Switches():
            problems = check_switches(content)
    size = content.ByteSize()
    if size > const.MAX_CONTENT_BYTES:
        message = f'has {size} bytes, the limit is {const.MAX_CONTENT_BYTES}'
        problems.append(Problem(path='', message=message))
    return problems


def parse_content(kind: ConfigurationKind, decoded: Any) -> Content:
    """Convert decoded protobuf JSON to a validated configuration.

    Raises InvalidConfiguration with all problems.
    """
    message = CONTENT_TYPES[kind]()
    problems = find_schema_problems(message.DESCRIPTOR, decoded)
    if not problems:
        json_format.ParseDict(decoded, message)
        problems = check_content(message)
    if problems:
        raise InvalidConfiguration(kind=kind, problems=problems)
    return message


def check_profiles(content: Profiles) -> list[Problem]:
    """Return all problems of the profiles."""
    problems = list(
        check_unique(
            'profiles[{}].name',
            (profile.name for profile in content.profiles),
        ),
    )
    for position, profile in enumerate(content.profiles):
        problems.extend(_check_profile(f'profiles[{position}]', profile))
    return problems


def check_switches(content: Switches) -> list[Problem]:
    """Return all problems of the switches."""
    return [
        *_check_switch_list('failure_domains', content.failure_domains),
        *_check_switch_list('targets', content.targets),
    ]


def _check_profile(path: str, profile: Profile) -> Iterator[Problem]:
    """Yield the problems of one profile."""
    yield from check_name(f'{path}.name', profile.name)
    yield from check_specified(f'{path}.priority', profile.priority)
    yield from check_specified(f'{path}.preference', profile.preference)
    yield from check_range(
        f'{path}.deadline_ms',
        profile.deadline_ms,
        minimum=1,
        maximum=const.MAX_DEADLINE_MS,
    )
    yield from check_range(
        f'{path}.result_limit',
        profile.result_limit,
        minimum=1,
        maximum=const.MAX_RESULT_LIMIT,
    )
    yield from _check_fractions(path, profile)
    if profile.least_coverage > profile.wanted_coverage:
        yield Problem(
            path=f'{path}.least_coverage',
            message='must not be above wanted_coverage',
        )
    if profile.hedge_budget > 0 and not profile.repeatable:
        yield Problem(
            path=f'{path}.hedge_budget',
            message='must be 0 unless the profile is repeatable',
        )


def _check_fractions(path: str, profile: Profile) -> Iterator[Problem]:
    """Yield a problem for each fraction of a profile outside 0 to 1."""
    fractions = {
        'least_coverage': profile.least_coverage,
        'wanted_coverage': profile.wanted_coverage,
        'hedge_budget': profile.hedge_budget,
        'retry_budget': profile.retry_budget,
    }
    for name, fraction in fractions.items():
        yield from check_range(f'{path}.{name}', fraction, minimum=0, maximum=1)


def _check_switch_list(
    path: str,
    switches: Iterable[Switch],
) -> Iterator[Problem]:
    """Yield the problems of a list of switches."""
    listed = list(switches)
    yield from check_unique(
        f'{path}[{{}}].name',
        (switch.name for switch in listed),
    )
    for position, switch in enumerate(listed):
        yield from check_name(f'{path}[{position}].name', switch.name)
        yield from check_specified(f'{path}[{position}].state', switch.state)
