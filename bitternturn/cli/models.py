"""Models of commands and their invocations."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from absl import flags

from bitternturn.cli.client import OperatorClient
from bitternturn.core.errors import BitternturnError, ErrorCode


@dataclass(kw_only=True, frozen=True, slots=True)
class Invocation:
    """Parsed arguments and flags of one run of a command."""

    arguments: Sequence[str]
    flags: flags.FlagValues
    client: OperatorClient
    json: bool


ActionHandler = Callable[[Invocation], Awaitable[None]]


@dataclass(kw_only=True, frozen=True, slots=True)
class Action:
    """One action of a command and the names of its arguments."""

    run: ActionHandler
    arguments: tuple[str, ...] = ()
    optional: tuple[str, ...] = ()

    def accepts(self, count: int) -> bool:
        """Return whether the action accepts a number of arguments."""
        required = len(self.arguments)
        return required <= count <= required + len(self.optional)


def define_no_flags(values: flags.FlagValues) -> None:
    """Define no flags besides the common ones."""


@dataclass(kw_only=True, frozen=True, slots=True)
class Command:
    """A command and its actions by verb.

    A command without verbs has a single action, with the verb ''.
    """

    name: str
    summary: str
    example: str
    actions: dict[str, Action]
    define_flags: Callable[[flags.FlagValues], None] = define_no_flags

    def usages(self) -> list[str]:
        """Return a usage line for each action."""
        return [
            ' '.join(
                filter(
                    None,
                    (
                        self.name,
                        verb,
                        *action.arguments,
                        *(f'[{name}]' for name in action.optional),
                    ),
                ),
            )
            for verb, action in self.actions.items()
        ]


def usage_error(message: str) -> BitternturnError:
    """Return the error for an invalid command line."""
    return BitternturnError(
        message,
        code=ErrorCode.BAD_REQUEST,
        step='read command line',
    )
