"""Command `domain`: lists and switches failure domains."""

from collections import Counter
from dataclasses import asdict, dataclass

from absl import flags

from bitternturn.cli.client import OperatorClient
from bitternturn.cli.edits import create_switch_action
from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table
from bitternturn.schema.config_pb2 import SWITCH_STATE_OUT


@dataclass(kw_only=True, frozen=True, slots=True)
class DomainRow:
    """Row of a failure domain in the list."""

    name: str
    state: str
    reason: str
    targets: int
    instances: int


def define_reason(values: flags.FlagValues) -> None:
    """Define the flag for the reason of a switch."""
    flags.DEFINE_string(
        'reason',
        '',
        'reason shown in the timeline and in lists',
        flag_values=values,
    )


async def _async_list(call: Invocation) -> None:
    """Print all failure domains."""
    rows = await _async_rows(call.client)
    if call.json:
        print_json([asdict(row) for row in rows])
        return
    print_table(
        ('domain', 'state', 'targets', 'instances', 'reason'),
        [
            (row.name, row.state, row.targets, row.instances, row.reason)
            for row in rows
        ],
    )


async def _async_rows(client: OperatorClient) -> list[DomainRow]:
    """Return a row for each domain of a target, instance or switch."""
    indexes, _ = await client.async_indexes()
    switches = await client.async_switches()
    status = await client.async_status()
    targets = Counter(
        target.failure_domain
        for index in indexes.indexes
        for target in index.targets
    )
    instances = Counter(member.failure_domain for member in status.members)
    out = {
        switch.name: switch.reason
        for switch in switches.failure_domains
        if switch.state == SWITCH_STATE_OUT
    }
    return [
        DomainRow(
            name=name,
            state='out' if name in out else 'in',
            reason=out.get(name, ''),
            targets=targets[name],
            instances=instances[name],
        )
        for name in sorted({*targets, *instances, *out})
    ]


COMMAND = Command(
    name='domain',
    summary='List failure domains and take them out of service or back in.',
    example='bitternturn domain out north --reason "power maintenance"',
    actions={
        'list': Action(run=_async_list),
        'out': Action(
            run=create_switch_action('domains', 'out'), arguments=('NAME',)
        ),
        'in': Action(
            run=create_switch_action('domains', 'in'), arguments=('NAME',)
        ),
    },
    define_flags=define_reason,
)
