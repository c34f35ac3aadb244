"""Command `status`: shows problems, then the state of the tier."""

import asyncio
from dataclasses import asdict

from absl import flags

from bitternturn.cli.const import DEFAULT_WATCH_INTERVAL_S
from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table
from bitternturn.cli.overview import (
    KINDS,
    READY,
    InstanceStatus,
    Overview,
    async_overview,
    count_states,
    state_of,
)
from bitternturn.cli.profile_metrics import ProfileStatistics
from bitternturn.core.clock import MS_PER_SECOND


async def _async_status(call: Invocation) -> None:
    """Print the status once, or repeatedly with --watch."""
    await _async_print(call)
    while call.flags.watch:
        await asyncio.sleep(call.flags.interval)
        print()
        await _async_print(call)


async def _async_print(call: Invocation) -> None:
    """Print the state of the tier, or the instance's report as JSON."""
    if call.json:
        print_json(asdict(await call.client.async_status()))
        return
    overview = await async_overview(call.client)
    _print_summary(overview)
    print()
    _print_instances(overview)
    print()
    print_table(
        ('failure domain', 'state', 'instances', 'targets'),
        overview.domain_rows(),
    )
    print()
    _print_profiles(overview)
    if call.flags.targets:
        print()
        _print_targets(overview)


def _print_summary(overview: Overview) -> None:
    """Print totals and the list of problems."""
    ready = sum(it.state == READY for it in overview.instances)
    targets = count_states(iter(overview.targets)) or 'none'
    print(f'instances {ready} of {len(overview.instances)} ready')
    print(f'targets   {targets}')
    problems = overview.problems()
    print(f'wrong     {len(problems) or "nothing"}')
    for problem in problems:
        print(f'  {problem}')


def _print_instances(overview: Overview) -> None:
    """Print the table of instances."""
    print_table(
        ('instance', 'failure domain', 'state', *KINDS, 'lease s', 'owns'),
        [_instance_row(instance) for instance in overview.instances],
    )


def _instance_row(instance: InstanceStatus) -> tuple[object, ...]:
    """Return the table row of an instance."""
    member, report = instance.member, instance.report
    name = (member.instance_id, member.failure_domain, instance.state)
    if report is None:
        return (*name, *('?' for _ in KINDS), '?', '?')
    owned = sum(it.owner == report.instance_id for it in report.targets)
    versions = (getattr(report.versions, kind) for kind in KINDS)
    return (*name, *versions, f'{report.lease_s:.1f}', owned)


def _print_profiles(overview: Overview) -> None:
    """Print the table of profiles."""
    print_table(
        ('profile', 'answered', 'refused', 'coverage', 'p99 ms'),
        [
            _profile_row(name, overview.profiles.get(name, ProfileStatistics()))
            for name in overview.queried.profiles
        ],
    )


def _profile_row(
    name: str, statistics: ProfileStatistics
) -> tuple[object, ...]:
    """Return the table row of a profile."""
    refused = ', '.join(
        f'{count} {code}' for code, count in statistics.refused.most_common()
    )
    answered = int(statistics.answered)
    if not answered:
        return (name, answered, refused or 0, '-', '-')
    bound = f'<= {statistics.p99_s * MS_PER_SECOND:g}'
    return (name, answered, refused or 0, f'{statistics.coverage:.2%}', bound)


def _print_targets(overview: Overview) -> None:
    """Print the table of targets, as reported by their owners."""
    print_table(
        ('target', 'state', 'owner', 'limit', 'in flight', 'queued'),
        [
            (
                target.target,
                state_of(target),
                target.owner,
                target.limit,
                target.in_flight,
                target.queued,
            )
            for target in overview.targets
        ],
    )


def _define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_boolean(
        'targets',
        False,
        'also list every target',
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'watch',
        False,
        'print the status repeatedly until interrupted',
        flag_values=values,
    )
    flags.DEFINE_float(
        'interval',
        DEFAULT_WATCH_INTERVAL_S,
        'seconds between reports with --watch',
        lower_bound=0,
        flag_values=values,
    )


COMMAND = Command(
    name='status',
    summary='Show problems, instances, failure domains and profiles.',
    example='bitternturn status --watch',
    actions={'': Action(run=_async_status)},
    define_flags=_define_flags,
)
