"""Command `demo`: demonstrates a tier with embedded stand-ins."""

from absl import flags

from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.core.errors import BitternturnError, ErrorCode


async def _async_run(call: Invocation) -> None:
    """Run the demonstration; raises BitternturnError if it fails."""
    # Imported here because no other command needs the daemon and stand-ins.
    from bitternturn.cli.demonstration import async_demo

    if not await async_demo(serve=call.flags.serve):
        raise BitternturnError(
            'see the tables above',
            code=ErrorCode.INTERNAL,
            step='demo',
        )


def _define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_boolean(
        'serve',
        False,
        'keep running afterwards and print curl commands to try',
        flag_values=values,
    )


COMMAND = Command(
    name='demo',
    summary='Demonstrate queries and switches with embedded stand-ins.',
    example='bitternturn demo --serve',
    actions={'': Action(run=_async_run)},
    define_flags=_define_flags,
)
