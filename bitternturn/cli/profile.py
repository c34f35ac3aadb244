"""Command `profile`: lists and edits profiles."""

import sys
from typing import Final

from absl import flags

from bitternturn.administration.codec import message_to_json
from bitternturn.cli.edits import (
    async_put_content,
    define_if_version,
    not_found,
)
from bitternturn.cli.files import read_document
from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table, print_version
from bitternturn.configuration.check import parse_content
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.core.ids import Version
from bitternturn.schema.config_pb2 import (
    Preference,
    Priority,
    Profile,
    Profiles,
)

HEADERS: Final = (
    'name',
    'priority',
    'deadline ms',
    'least',
    'wanted',
    'prefers',
    'repeatable',
    'hedges',
    'retries',
    'hits',
)


async def _async_list(call: Invocation) -> None:
    """Print all profiles."""
    profiles, _ = await call.client.async_profiles()
    if call.json:
        print_json(message_to_json(profiles)['profiles'])
    else:
        print_table(
            HEADERS, [_profile_row(profile) for profile in profiles.profiles]
        )


async def _async_get(call: Invocation) -> None:
    """Print a profile in the format of `put`.

    The version is printed to standard error, for use with `--if_version`.
    """
    profiles, version = await call.client.async_profiles()
    for profile in profiles.profiles:
        if profile.name == call.arguments[0]:
            print_json(message_to_json(profile))
            print(f'version {version}', file=sys.stderr)
            return
    raise not_found('profile', call.arguments[0])


async def _async_put(call: Invocation) -> None:
    """Add or replace the profile defined in a file."""
    document = read_document(call.arguments[0])
    parsed = parse_content(
        ConfigurationKind.PROFILES,
        {'profiles': [document]},
    )
    assert isinstance(parsed, Profiles)
    profiles, version = await call.client.async_profiles()
    given = call.flags.if_version
    if given is not None:
        version = Version(given)
    _replace(profiles, parsed.profiles[0])
    accepted = await async_put_content(
        call.client,
        ConfigurationKind.PROFILES,
        profiles,
        version,
    )
    print_version(accepted, as_json=call.json)


async def _async_delete(call: Invocation) -> None:
    """Delete a profile."""
    profiles, version = await call.client.async_profiles()
    if not _remove(profiles, call.arguments[0]):
        raise not_found('profile', call.arguments[0])
    accepted = await async_put_content(
        call.client,
        ConfigurationKind.PROFILES,
        profiles,
        version,
    )
    print_version(accepted, as_json=call.json)


def _define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    define_if_version(values, default='current version')


def _replace(profiles: Profiles, new_profile: Profile) -> None:
    """Replace the profile of the same name, or append it."""
    for profile in profiles.profiles:
        if profile.name == new_profile.name:
            profile.CopyFrom(new_profile)
            return
    profiles.profiles.append(new_profile)


def _remove(profiles: Profiles, name: str) -> bool:
    """Remove a profile; return whether it was found."""
    for position, profile in enumerate(profiles.profiles):
        if profile.name == name:
            profiles.profiles.pop(position)
            return True
    return False


def _profile_row(profile: Profile) -> list[object]:
    """Return the table row of a profile."""
    priority = Priority.Name(profile.priority)
    preference = Preference.Name(profile.preference)
    return [
        profile.name,
        priority.removeprefix('PRIORITY_').lower(),
        profile.deadline_ms,
        f'{profile.least_coverage:.1%}',
        f'{profile.wanted_coverage:.1%}',
        preference.removeprefix('PREFERENCE_').lower(),
        'yes' if profile.repeatable else 'no',
        f'{profile.hedge_budget:.1%}',
        f'{profile.retry_budget:.1%}',
        profile.result_limit,
    ]


COMMAND = Command(
    name='profile',
    summary='List and edit profiles.',
    example='bitternturn profile get desk > desk.json',
    actions={
        'list': Action(run=_async_list),
        'get': Action(run=_async_get, arguments=('NAME',)),
        'put': Action(run=_async_put, arguments=('FILE',)),
        'delete': Action(run=_async_delete, arguments=('NAME',)),
    },
    define_flags=_define_flags,
)
