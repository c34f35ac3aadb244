"""Registry of all commands by name."""

from typing import Final

from bitternturn.cli.check import COMMAND as CHECK
from bitternturn.cli.config import COMMAND as CONFIG
from bitternturn.cli.demo import COMMAND as DEMO
from bitternturn.cli.domain import COMMAND as DOMAIN
from bitternturn.cli.explain import COMMAND as EXPLAIN
from bitternturn.cli.index import COMMAND as INDEX
from bitternturn.cli.instance import COMMAND as INSTANCE
from bitternturn.cli.models import Command
from bitternturn.cli.profile import COMMAND as PROFILE
from bitternturn.cli.rollout import COMMAND as ROLLOUT
from bitternturn.cli.serve import COMMAND as SERVE
from bitternturn.cli.status import COMMAND as STATUS
from bitternturn.cli.target import COMMAND as TARGET
from bitternturn.cli.tenant import COMMAND as TENANT
from bitternturn.cli.timeline import COMMAND as TIMELINE

COMMANDS: Final[dict[str, Command]] = {
    command.name: command
    for command in (
        SERVE,
        DEMO,
        STATUS,
        PROFILE,
        INDEX,
        DOMAIN,
        TARGET,
        INSTANCE,
        CONFIG,
        TIMELINE,
        CHECK,
        EXPLAIN,
        TENANT,
        ROLLOUT,
    )
}
