"""Whole validation of each kind of configuration."""

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
    check_chosen,
    check_name,
    check_range,
    check_unique,
)
from bitternturn.core.shapes import Problem, find_shape_problems
from bitternturn.schema.config_pb2 import (
    Indexes,
    Profile,
    Profiles,
    Switch,
    Switches,
)


def check_content(content: Content) -> list[Problem]:
    """Return every problem of a configuration of any kind."""
    match content:
        case Profiles():
            problems = check_profiles(content)
        case Indexes():
            problems = check_indexes(content)
        case Switches():
            problems = check_switches(content)
    size = content.ByteSize()
    if size > const.MAX_VALUE_BYTES:
        message = f'has {size} bytes, at most {const.MAX_VALUE_BYTES}'
        problems.append(Problem(path='', message=message))
    return problems


def parse_content(kind: ConfigurationKind, decoded: Any) -> Content:
    """Return a valid configuration from decoded protobuf JSON.

    Raises InvalidConfiguration with every problem.
    """
    message = CONTENT_TYPES[kind]()
    problems = find_shape_problems(message.DESCRIPTOR, decoded)
    if not problems:
        json_format.ParseDict(decoded, message)
        problems = check_content(message)
    if problems:
        raise InvalidConfiguration(kind=kind, problems=problems)
    return message


def check_profiles(content: Profiles) -> list[Problem]:
    """Return every problem of the profiles."""
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
    """Return every problem of the switches."""
    return [
        *_check_switch_list('failure_domains', content.failure_domains),
        *_check_switch_list('targets', content.targets),
    ]


def _check_profile(path: str, profile: Profile) -> Iterator[Problem]:
    """Yield the problems of one profile."""
    yield from check_name(f'{path}.name', profile.name)
    yield from check_chosen(f'{path}.priority', profile.priority)
    yield from check_chosen(f'{path}.preference', profile.preference)
    yield from check_range(
        f'{path}.deadline_ms',
        profile.deadline_ms,
        least=1,
        most=const.MAX_DEADLINE_MS,
    )
    yield from check_range(
        f'{path}.result_limit',
        profile.result_limit,
        least=1,
        most=const.MAX_RESULT_LIMIT,
    )
    yield from _check_shares(path, profile)
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


def _check_shares(path: str, profile: Profile) -> Iterator[Problem]:
    """Yield the shares of a profile that are not from 0 to 1."""
    shares = {
        'least_coverage': profile.least_coverage,
        'wanted_coverage': profile.wanted_coverage,
        'hedge_budget': profile.hedge_budget,
        'retry_budget': profile.retry_budget,
    }
    for name, share in shares.items():
        yield from check_range(f'{path}.{name}', share, least=0, most=1)


def _check_switch_list(
    path: str,
    switches: Iterable[Switch],
) -> Iterator[Problem]:
    """Yield the problems of the switches of domains or of targets."""
    listed = list(switches)
    yield from check_unique(
        f'{path}[{{}}].name',
        (switch.name for switch in listed),
    )
    for position, switch in enumerate(listed):
        yield from check_name(f'{path}[{position}].name', switch.name)
        yield from check_chosen(f'{path}[{position}].state', switch.state)
