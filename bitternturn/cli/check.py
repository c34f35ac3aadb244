"""Command `check`: validates a settings file of the platform."""

from pathlib import Path

from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json
from bitternturn.platform.settings_file import load_settings


async def _async_check(call: Invocation) -> None:
    """Print the addresses and names that the file configures."""
    settings = load_settings(Path(call.arguments[0]))
    configured = {
        'instance': settings.name,
        'failure_domain': settings.failure_domain,
        'callers': f'{settings.callers.host}:{settings.callers.port}',
        'readiness': f'{settings.readiness.host}:{settings.readiness.port}',
        'metrics': f'{settings.metrics.host}:{settings.metrics.port}',
        'store': f'{settings.store.host}:{settings.store.port}',
    }
    if call.json:
        print_json(configured)
        return
    for name, content in configured.items():
        print(f'{name}: {content}')


COMMAND = Command(
    name='check',
    summary='Validate a settings file of the platform.',
    example='bitternturn check boot.json',
    actions={'': Action(run=_async_check, arguments=('SETTINGS',))},
)
