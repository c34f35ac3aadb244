"""Command `instance`: lists the members of the view."""

from dataclasses import asdict

from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table


async def _async_list(call: Invocation) -> None:
    """Print all members."""
    status = await call.client.async_status()
    if call.json:
        print_json([asdict(member) for member in status.members])
        return
    print_table(
        ('instance', 'failure domain', 'state', 'peer', 'operators'),
        [
            (
                member.instance_id,
                member.failure_domain,
                member.state,
                member.peer,
                member.operators,
            )
            for member in status.members
        ],
    )


COMMAND = Command(
    name='instance',
    summary='List the instances of the tier.',
    example='bitternturn instance list --operators 10.0.0.7:8002',
    actions={'list': Action(run=_async_list)},
)
