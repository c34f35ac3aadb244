"""Entry point: dispatches commands and maps errors to exit codes."""

import asyncio
import os
import sys
from collections.abc import Sequence

from absl import flags

from bitternturn.cli import const
from bitternturn.cli.client import OperatorClient
from bitternturn.cli.models import Action, Command, Invocation, usage_error
from bitternturn.cli.output import print_error
from bitternturn.cli.registry import COMMANDS
from bitternturn.core.errors import BitternturnError

HELP_FLAGS = frozenset(('-h', '--help', 'help'))


def run() -> None:
    """Run the command in sys.argv and exit with its code."""
    try:
        code = asyncio.run(async_main(sys.argv))
    except KeyboardInterrupt:
        code = const.EXIT_OK
    sys.exit(code)


async def async_main(argv: Sequence[str]) -> int:
    """Run a command and return its exit code."""
    try:
        await _async_dispatch(argv)
    except BitternturnError as error:
        print_error(error)
        return const.EXIT_OF_CODE.get(error.code, const.EXIT_UNEXPECTED)
    return const.EXIT_OK


async def _async_dispatch(argv: Sequence[str]) -> None:
    """Parse the arguments and run the action; raises BitternturnError."""
    if len(argv) < 2 or argv[1] in HELP_FLAGS:
        print(_describe_all())
        return
    command = COMMANDS.get(argv[1])
    if command is None:
        raise usage_error(
            f'unknown command "{argv[1]}"; see `bitternturn --help`'
        )
    values = _define_flags(command)
    try:
        _, *arguments = values([_normalise_flag(word) for word in argv[1:]])
    except flags.Error as error:
        raise usage_error(str(error)) from error
    if values.help:
        print(_describe(command, values))
        return
    action, rest = _find_action(command, arguments)
    host, port = _parse_address(values.operators)
    await action.run(
        Invocation(
            arguments=rest,
            flags=values,
            client=OperatorClient(
                host=host,
                port=port,
                timeout_s=values.timeout,
            ),
            json=values.json,
        ),
    )


def _define_flags(command: Command) -> flags.FlagValues:
    """Define the common flags and those of a command."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    values.set_gnu_getopt(True)
    flags.DEFINE_string(
        'operators',
        os.environ.get(const.ENV_OPERATORS, const.DEFAULT_OPERATORS),
        f'HOST:PORT of the operators listener; default: '
        f'${const.ENV_OPERATORS} or {const.DEFAULT_OPERATORS}',
        flag_values=values,
    )
    flags.DEFINE_float(
        'timeout',
        const.DEFAULT_CALL_TIMEOUT_S,
        'seconds to wait for an answer',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'json',
        False,
        'print JSON instead of tables',
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'help',
        False,
        'show this help',
        short_name='h',
        flag_values=values,
    )
    command.define_flags(values)
    return values


def _normalise_flag(argument: str) -> str:
    """Replace hyphens in a flag's name by underscores, as absl requires."""
    if not argument.startswith('--'):
        return argument
    name, equals, given = argument.partition('=')
    return '--' + name[2:].replace('-', '_') + equals + given


def _find_action(
    command: Command,
    arguments: Sequence[str],
) -> tuple[Action, Sequence[str]]:
    """Return the action of a command and the remaining arguments."""
    verb, rest = '', list(arguments)
    if '' not in command.actions and rest:
        verb = rest.pop(0)
    action = command.actions.get(verb)
    if action is None or not action.accepts(len(rest)):
        usages = ' | '.join(command.usages())
        raise usage_error(f'usage: {const.PROGRAM} {usages}')
    return action, rest


def _parse_address(text: str) -> tuple[str, int]:
    """Parse HOST:PORT; raises BitternturnError BAD_REQUEST."""
    host, _, port = text.rpartition(':')
    if not host or not (port.isascii() and port.isdigit()):
        raise usage_error(f'--operators must be HOST:PORT, got "{text}"')
    return host.strip('[]'), int(port)


def _describe_all() -> str:
    """Return the help text of the program."""
    width = max(len(name) for name in COMMANDS)
    return '\n'.join(
        [
            f'usage: {const.PROGRAM} COMMAND [ARGUMENTS] [FLAGS]',
            '',
            *(
                f'  {name:<{width}}  {command.summary}'
                for name, command in COMMANDS.items()
            ),
            '',
            f'For flags and an example: {const.PROGRAM} COMMAND --help',
            'Exit codes: 0 success, 1 unexpected, 2 usage or settings, '
            '3 conflict,',
            '  4 invalid configuration, 5 unreachable, 6 not found',
        ],
    )


def _describe(command: Command, values: flags.FlagValues) -> str:
    """Return the help text of a command."""
    names = sorted(values.flag_values_dict().keys() - {'h'})
    return '\n'.join(
        [
            command.summary,
            '',
            'usage:',
            *(f'  {const.PROGRAM} {usage}' for usage in command.usages()),
            '',
            'flags:',
            *(f'  --{name}: {values[name].help}' for name in names),
            '',
            'example:',
            f'  {command.example}',
        ],
    )
