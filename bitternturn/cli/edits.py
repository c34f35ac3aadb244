"""Edits that several commands share."""

from absl import flags

from bitternturn.administration.codec import message_to_json
from bitternturn.cli.client import (
    OperatorClient,
    configuration_path,
    switch_path,
)
from bitternturn.cli.models import ActionHandler, Invocation
from bitternturn.cli.output import print_version
from bitternturn.configuration.models import ConfigurationKind, Content
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version


def define_if_version(values: flags.FlagValues, *, default: str) -> None:
    """Define the flag for the version that an edit is based on."""
    flags.DEFINE_integer(
        'if_version',
        None,
        f'version that the edit is based on; default: {default}',
        lower_bound=0,
        flag_values=values,
    )


async def async_put_content(
    client: OperatorClient,
    kind: ConfigurationKind,
    content: Content,
    if_version: Version,
) -> Version:
    """Write a configuration if the version still matches.

    Returns the new version.
    """
    answer = await client.async_call(
        'PUT',
        configuration_path(kind),
        content={'content': message_to_json(content)},
        if_version=if_version,
    )
    return Version(answer['version'])


def create_switch_action(plural: str, verb: str) -> ActionHandler:
    """Return the action that switches a failure domain or target."""

    async def async_switch(call: Invocation) -> None:
        """Switch the failure domain or target in the arguments."""
        answer = await call.client.async_call(
            'POST',
            switch_path(plural, call.arguments[0], verb),
            content={'reason': call.flags.reason},
        )
        print_version(answer['version'], as_json=call.json)

    return async_switch


def not_found(what: str, name: str) -> BitternturnError:
    """Return the error for an unknown name."""
    return BitternturnError(
        f'no {what} "{name}"',
        code=ErrorCode.NOT_FOUND,
        step=f'find {what}',
    )
