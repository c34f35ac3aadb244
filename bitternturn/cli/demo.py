"""Command `demo`: the main job with embedded stand-ins, in one process."""

from absl import flags

from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.core.errors import BitternturnError, ErrorCode


async def _async_run(call: Invocation) -> None:
    """Run the demonstration; a failed one is an unexpected error."""
    # Imported here: the other commands need neither daemon nor stand-ins.
    from bitternturn.cli.demonstration import async_demo

    if not await async_demo(serve=call.flags.serve):
        raise BitternturnError(
            'see the tables above',
            code=ErrorCode.INTERNAL,
            step='demo',
        )


def _define_flags(values: flags.FlagValues) -> None:
    """Define --serve."""
    flags.DEFINE_boolean(
        'serve',
        False,
        'stay up afterwards and print curl lines to try',
        flag_values=values,
    )


COMMAND = Command(
    name='demo',
    summary='Show the main job with embedded stand-ins.',
    example='bitternturn demo --serve',
    actions={'': Action(run=_async_run)},
    define_flags=_define_flags,
)
