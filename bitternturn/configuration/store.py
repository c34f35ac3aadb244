"""Acceptance of configurations: checked whole, by conditional update."""

from collections.abc import Callable

import logbook
from google.protobuf.message import DecodeError

from bitternturn.configuration import const
from bitternturn.configuration.check import check_content
from bitternturn.configuration.check_indexes import find_moved_targets
from bitternturn.configuration.history import ConfigurationHistory
from bitternturn.configuration.models import (
    CONTENT_TYPES,
    STEP_ACCEPT,
    ConfigurationConflict,
    ConfigurationKind,
    Content,
    InvalidConfiguration,
    content_of,
    wrap_content,
)
from bitternturn.configuration.state import ConfigurationState
from bitternturn.configuration.switches import SwitchEdit, apply_switch
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import InstanceId, Version
from bitternturn.platform.client import ObjectClient
from bitternturn.platform.models import StoredObject
from bitternturn.schema.config_pb2 import (
    ConfigurationObject,
    HistoryEntry,
    Switches,
)

LOGGER = logbook.Logger('configuration.store')


class ConfigurationStore:
    """Accepts configurations into the object API and puts them in force."""

    def __init__(
        self,
        *,
        client: ObjectClient,
        state: ConfigurationState,
        instance_id: InstanceId,
        wall: Callable[[], int],
    ) -> None:
        """Hold the client; `wall` returns milliseconds since 1970."""
        self.client = client
        self.state = state
        self.history = ConfigurationHistory(
            client=client,
            instance_id=instance_id,
            wall=wall,
        )

    async def async_accept(
        self,
        *,
        kind: ConfigurationKind,
        content: Content,
        if_version: Version,
    ) -> Version:
        """Accept a content made on a version; 0: there must be none.

        Raises InvalidConfiguration, ConfigurationConflict, or
        BitternturnError of the object API; after UNKNOWN_RESULT the content
        may have been accepted.
        """
        problems = check_content(content)
        if problems:
            raise InvalidConfiguration(kind=kind, problems=problems)
        mine = wrap_content(content, if_version)
        standing = await self._async_standing(kind)
        if standing.version != if_version:
            raise ConfigurationConflict(kind=kind, mine=mine, theirs=standing)
        moved = list(find_moved_targets(standing.indexes, mine.indexes))
        if moved:
            raise InvalidConfiguration(kind=kind, problems=moved)
        version = await self._async_put(kind, mine)
        accepted = wrap_content(content, version)
        self.state.offer(accepted)
        await self._async_keep(standing, accepted)
        return version

    async def async_entries(
        self,
        kind: ConfigurationKind,
    ) -> list[HistoryEntry]:
        """Return the kept versions, newest first."""
        return await self.history.async_entries(kind)

    async def async_rollback(
        self,
        *,
        kind: ConfigurationKind,
        to_version: Version,
        if_version: Version | None = None,
    ) -> Version:
        """Accept the content of a kept version as a new version.

        Without `if_version` it is made on what stands in the object API.
        Raises what `async_accept` raises, and NOT_FOUND.
        """
        kept = await self.history.async_content(kind, to_version)
        if if_version is None:
            standing = await self._async_standing(kind)
            if_version = Version(standing.version)
        return await self.async_accept(
            kind=kind,
            content=content_of(kept),
            if_version=if_version,
        )

    async def async_switch(self, edit: SwitchEdit) -> Version:
        """Take a failure domain or target out or in.

        An edit of one entry is made again when another came between. Raises
        what `async_accept` raises.
        """
        for _ in range(const.SWITCH_ATTEMPTS - 1):
            try:
                return await self._async_switch_once(edit)
            except ConfigurationConflict:
                LOGGER.info('switch of {} is made again', edit.name)
        return await self._async_switch_once(edit)

    async def _async_switch_once(self, edit: SwitchEdit) -> Version:
        """Edit the switches as they stand."""
        kind = ConfigurationKind.SWITCHES
        standing = await self._async_standing(kind)
        edited = Switches()
        edited.CopyFrom(standing.switches)
        apply_switch(edited, edit)
        if standing.version and edited == standing.switches:
            self.state.offer(standing)
            return Version(standing.version)
        return await self.async_accept(
            kind=kind,
            content=edited,
            if_version=Version(standing.version),
        )

    async def _async_put(
        self,
        kind: ConfigurationKind,
        mine: ConfigurationObject,
    ) -> Version:
        """Write conditionally; raises ConfigurationConflict."""
        try:
            return await self.client.async_put(
                kind=const.KIND_CONTROL,
                name=kind.value,
                value=content_of(mine).SerializeToString(),
                if_version=Version(mine.version),
            )
        except BitternturnError as error:
            if error.code is not ErrorCode.CONFLICT:
                raise
        theirs = await self._async_standing(kind)
        raise ConfigurationConflict(kind=kind, mine=mine, theirs=theirs)

    async def _async_standing(
        self,
        kind: ConfigurationKind,
    ) -> ConfigurationObject:
        """Return what stands in the object API; version 0 for nothing."""
        stored = await self.client.async_get(const.KIND_CONTROL, kind.value)
        if stored is None:
            return wrap_content(CONTENT_TYPES[kind](), Version(0))
        return read_stored(kind, stored)

    async def _async_keep(self, *versions: ConfigurationObject) -> None:
        """Keep versions in the history.

        The one that was replaced is among them, since its writer may have
        ended before keeping it.
        """
        for accepted in versions:
            if not accepted.version:
                continue
            try:
                await self.history.async_keep(accepted)
            except BitternturnError as error:
                LOGGER.warning('history lacks {}: {}', accepted.version, error)


def read_stored(
    kind: ConfigurationKind,
    stored: StoredObject,
) -> ConfigurationObject:
    """Return a stored object; raises BitternturnError BAD_ANSWER."""
    try:
        content = CONTENT_TYPES[kind].FromString(stored.value)
    except DecodeError as error:
        raise BitternturnError(
            f'{kind.value} at version {stored.version}: {error}',
            code=ErrorCode.BAD_ANSWER,
            step=STEP_ACCEPT,
        ) from error
    return wrap_content(content, stored.version)
