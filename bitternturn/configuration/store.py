"""Acceptance of configurations by validation and conditional update."""

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
    """Writes configurations to the object API and applies them locally."""

    def __init__(
        self,
        *,
        client: ObjectClient,
        state: ConfigurationState,
        instance_id: InstanceId,
        wall_ms: Callable[[], int],
    ) -> None:
        """Initialise; `wall_ms` returns milliseconds since 1970."""
        self.client = client
        self.state = state
        self.history = ConfigurationHistory(
            client=client,
            instance_id=instance_id,
            wall_ms=wall_ms,
        )

    async def async_accept(
        self,
        *,
        kind: ConfigurationKind,
        content: Content,
        if_version: Version,
    ) -> Version:
        """Accept a content that is based on the current version.

        `if_version` is that version, or 0 if there is none yet.

        Raises InvalidConfiguration, ConfigurationConflict, or a
        BitternturnError of the object API. After UNKNOWN_RESULT the content
        may have been accepted.
        """
        problems = check_content(content)
        if problems:
            raise InvalidConfiguration(kind=kind, problems=problems)
        mine = wrap_content(content, if_version)
        current = await self._async_read_current(kind)
        if current.version != if_version:
            raise ConfigurationConflict(kind=kind, mine=mine, theirs=current)
        moved = list(find_moved_targets(current.indexes, mine.indexes))
        if moved:
            raise InvalidConfiguration(kind=kind, problems=moved)
        version = await self._async_put(kind, mine)
        accepted = wrap_content(content, version)
        self.state.apply_if_newer(accepted)
        await self._async_add_to_history(current, accepted)
        return version

    async def async_list_history(
        self,
        kind: ConfigurationKind,
    ) -> list[HistoryEntry]:
        """Return the history entries of a kind, newest first."""
        return await self.history.async_entries(kind)

    async def async_rollback(
        self,
        *,
        kind: ConfigurationKind,
        to_version: Version,
        if_version: Version | None = None,
    ) -> Version:
        """Accept the content of an earlier version as a new version.

        Without `if_version` the edit is based on the current version in the
        object API. Raises the errors of `async_accept`, and NOT_FOUND.
        """
        earlier = await self.history.async_content(kind, to_version)
        if if_version is None:
            current = await self._async_read_current(kind)
            if_version = Version(current.version)
        return await self.async_accept(
            kind=kind,
            content=content_of(earlier),
            if_version=if_version,
        )

    async def async_switch(self, edit: SwitchEdit) -> Version:
        """Switch a failure domain or target out or in.

        Retried if another writer changed the switches in the meantime.
        Raises the errors of `async_accept`.
        """
        for _ in range(const.MAX_SWITCH_ATTEMPTS - 1):
            try:
                return await self._async_try_switch(edit)
            except ConfigurationConflict:
                LOGGER.info('retrying switch of {} after a conflict', edit.name)
        return await self._async_try_switch(edit)

    async def _async_try_switch(self, edit: SwitchEdit) -> Version:
        """Apply an edit to the current switches, in one attempt."""
        kind = ConfigurationKind.SWITCHES
        current = await self._async_read_current(kind)
        edited = Switches()
        edited.CopyFrom(current.switches)
        apply_switch(edited, edit)
        if current.version and edited == current.switches:
            self.state.apply_if_newer(current)
            return Version(current.version)
        return await self.async_accept(
            kind=kind,
            content=edited,
            if_version=Version(current.version),
        )

    async def _async_put(
        self,
        kind: ConfigurationKind,
        mine: ConfigurationObject,
    ) -> Version:
        """Write with a conditional update; raises ConfigurationConflict."""
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
        theirs = await self._async_read_current(kind)
        raise ConfigurationConflict(kind=kind, mine=mine, theirs=theirs)

    async def _async_read_current(
        self,
        kind: ConfigurationKind,
    ) -> ConfigurationObject:
        """Return the current object in the object API; version 0 if none."""
        stored = await self.client.async_get(const.KIND_CONTROL, kind.value)
        if stored is None:
            return wrap_content(CONTENT_TYPES[kind](), Version(0))
        return decode_stored(kind, stored)

    async def _async_add_to_history(
        self, *versions: ConfigurationObject
    ) -> None:
        """Add versions to the history, logging failures.

        The replaced version is added too, since its writer may have ended
        before doing so.
        """
        for accepted in versions:
            if not accepted.version:
                continue
            try:
                await self.history.async_add(accepted)
            except BitternturnError as error:
                LOGGER.warning(
                    'cannot add version {} to the history: {}',
                    accepted.version,
                    error,
                )


def decode_stored(
    kind: ConfigurationKind,
    stored: StoredObject,
) -> ConfigurationObject:
    """Decode a stored object; raises BitternturnError BAD_ANSWER."""
    try:
        content = CONTENT_TYPES[kind].FromString(stored.value)
    except DecodeError as error:
        raise BitternturnError(
            f'{kind.value} at version {stored.version}: {error}',
            code=ErrorCode.BAD_ANSWER,
            step=STEP_ACCEPT,
        ) from error
    return wrap_content(content, stored.version)
