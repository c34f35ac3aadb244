"""Kinds of configuration, and errors of their acceptance."""

from collections.abc import Mapping
from enum import Enum, unique
from typing import Final

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.core.schema_validation import Problem
from bitternturn.schema.config_pb2 import (
    ConfigurationObject,
    Indexes,
    Profiles,
    Switches,
)

STEP_ACCEPT: Final = 'accept configuration'

Content = Profiles | Indexes | Switches


@unique
class ConfigurationKind(Enum):
    """Kinds of configuration; the values are the names of their objects."""

    PROFILES = 'profiles'
    INDEXES = 'indexes'
    SWITCHES = 'switches'


CONTENT_TYPES: Final[Mapping[ConfigurationKind, type[Content]]] = {
    ConfigurationKind.PROFILES: Profiles,
    ConfigurationKind.INDEXES: Indexes,
    ConfigurationKind.SWITCHES: Switches,
}


class ConfigurationConflict(BitternturnError):
    """The edit is not based on the version in force."""

    def __init__(
        self,
        *,
        kind: ConfigurationKind,
        mine: ConfigurationObject,
        theirs: ConfigurationObject,
    ) -> None:
        """Initialise with the rejected edit and the version in force.

        The version of `mine` is the one that the edit is based on.
        """
        super().__init__(
            f'{kind.value} is at version {theirs.version}, '
            f'the edit is based on version {mine.version}',
            code=ErrorCode.CONFLICT,
            step=STEP_ACCEPT,
        )
        self.kind = kind
        self.mine = mine
        self.theirs = theirs


class InvalidConfiguration(BitternturnError):
    """A configuration was rejected; holds all problems found."""

    def __init__(
        self,
        *,
        kind: ConfigurationKind,
        problems: list[Problem],
    ) -> None:
        """Initialise with the problems."""
        super().__init__(
            f'{kind.value}: {len(problems)} problems',
            code=ErrorCode.INVALID_CONFIGURATION,
            step=STEP_ACCEPT,
        )
        self.kind = kind
        self.problems = problems


def kind_of(accepted: ConfigurationObject) -> ConfigurationKind | None:
    """Return the kind of a configuration object; None without content."""
    name = accepted.WhichOneof('content')
    return None if name is None else ConfigurationKind(name)


def content_of(accepted: ConfigurationObject) -> Content:
    """Return the content of a configuration object."""
    name = accepted.WhichOneof('content')
    assert name is not None
    content: Content = getattr(accepted, name)
    return content


def wrap_content(content: Content, version: Version) -> ConfigurationObject:
    """Return a configuration object with a content and its version."""
    match content:
        case Profiles():
            return ConfigurationObject(version=version, profiles=content)
        case Indexes():
            return ConfigurationObject(version=version, indexes=content)
        case Switches():
            return ConfigurationObject(version=version, switches=content)
