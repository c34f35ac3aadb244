"""Commands and what they are called with."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from absl import flags

from bitternturn.cli.client import OperatorClient
from bitternturn.core.errors import BitternturnError, ErrorCode


@dataclass(kw_only=True, frozen=True, slots=True)
class Invocation:
    """One call of a command."""

    arguments: Sequence[str]
    flags: flags.FlagValues
    client: OperatorClient
    json: bool


Run = Callable[[Invocation], Awaitable[None]]


@dataclass(kw_only=True, frozen=True, slots=True)
class Action:
    """One verb of a command and the names of its arguments."""

    run: Run
    arguments: tuple[str, ...] = ()
    optional: tuple[str, ...] = ()

    def fits(self, count: int) -> bool:
        """Whether a number of arguments is as wanted."""
        least = len(self.arguments)
        return least <= count <= least + len(self.optional)


def no_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


@dataclass(kw_only=True, frozen=True, slots=True)
class Command:
    """One command; the verb '' stands for a command without verbs."""

    name: str
    summary: str
    example: str
    actions: dict[str, Action]
    define_flags: Callable[[flags.FlagValues], None] = no_flags

    def usages(self) -> list[str]:
        """Return a line of usage per verb."""
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
    """Return the error for a wrong call of the program."""
    return BitternturnError(
        message,
        code=ErrorCode.BAD_REQUEST,
        step='read command line',
    )
