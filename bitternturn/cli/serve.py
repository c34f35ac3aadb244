"""Command `serve`: runs one instance."""

from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.core.ids import InstanceId
from bitternturn.core.log import set_up_logging
from bitternturn.core.settings import load_settings


async def _async_serve(call: Invocation) -> None:
    """Run the daemon until it is stopped by a signal."""
    settings = load_settings(call.arguments[0])
    set_up_logging(settings.log, InstanceId(settings.instance.id))
    # Imported here because the other commands don't need the daemon.
    from bitternturn.daemon.lifecycle import async_serve

    await async_serve(settings)


COMMAND = Command(
    name='serve',
    summary='Run one instance.',
    example='bitternturn serve node.toml',
    actions={'': Action(run=_async_serve, arguments=('SETTINGS',))},
)
