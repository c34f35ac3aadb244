"""Command `status`: what one instance knows."""

import asyncio
from dataclasses import asdict

from absl import flags

from bitternturn.administration.models import StatusReport
from bitternturn.cli.const import DEFAULT_WATCH_INTERVAL_S
from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table


async def _async_status(call: Invocation) -> None:
    """Print the report once, or again and again."""
    _print_report(await call.client.async_status(), as_json=call.json)
    while call.flags.watch:
        await asyncio.sleep(call.flags.interval)
        print()
        _print_report(await call.client.async_status(), as_json=call.json)


def _print_report(report: StatusReport, *, as_json: bool) -> None:
    """Print a report."""
    if as_json:
        print_json(asdict(report))
        return
    ready = 'ready' if report.ready else f'not ready: {report.why_not_ready}'
    draining = ', draining' if report.draining else ''
    store = 'reached' if report.store_reached else 'not reached'
    versions = ', '.join(
        f'{name} {version}' for name, version in asdict(report.versions).items()
    )
    print(f'instance {report.instance_id} in {report.failure_domain}')
    print(f'state    {ready}{draining}')
    print(f'versions {versions}')
    print(f'lease    {report.lease_s:.1f} s left; object API {store}')
    print(f'members  {len(report.members)}')
    print(f'profiles {", ".join(report.profiles) or "none"}')
    print()
    print_table(
        ('target', 'state', 'owner', 'limit', 'in flight', 'queued'),
        [
            (
                target.target,
                'ejected' if target.ejected else target.state,
                target.owner,
                target.limit,
                target.in_flight,
                target.queued,
            )
            for target in report.targets
        ],
    )


def _define_flags(values: flags.FlagValues) -> None:
    """Define the flags."""
    flags.DEFINE_boolean(
        'watch',
        False,
        'print the report again and again until interrupted',
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
    summary='Show what one instance knows: view, versions, targets.',
    example='bitternturn status --watch',
    actions={'': Action(run=_async_status)},
    define_flags=_define_flags,
)
