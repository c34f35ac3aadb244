"""History of accepted configurations, limited in size for each kind.

One index object per kind maps versions to slots. The index is written before
the slot. If the process ends in between, the slot still holds another
version, which the reader detects by comparing version numbers.
"""

from collections.abc import Callable
from typing import TypeVar

from google.protobuf.message import DecodeError

from bitternturn.configuration import const
from bitternturn.configuration.models import ConfigurationKind, kind_of
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import InstanceId, Version
from bitternturn.platform.client import ObjectClient
from bitternturn.schema.config_pb2 import (
    ConfigurationObject,
    History,
    HistoryEntry,
)

STEP_HISTORY = 'read history'

Stored = TypeVar('Stored', History, ConfigurationObject)


class ConfigurationHistory:
    """Stores and reads accepted versions in the object API."""

    def __init__(
        self,
        *,
        client: ObjectClient,
        instance_id: InstanceId,
        wall_ms: Callable[[], int],
    ) -> None:
        """Initialise; `wall_ms` returns milliseconds since 1970."""
        self.client = client
        self.instance_id = instance_id
        self.wall_ms = wall_ms

    async def async_entries(
        self,
        kind: ConfigurationKind,
    ) -> list[HistoryEntry]:
        """Return the entries of the stored versions, newest first."""
        history, _ = await self._async_read_index(kind)
        return list(history.entries)

    async def async_content(
        self,
        kind: ConfigurationKind,
        version: Version,
    ) -> ConfigurationObject:
        """Return a stored version; raises BitternturnError NOT_FOUND."""
        for entry in await self.async_entries(kind):
            if entry.version == version:
                slot_content, _ = await self._async_read_slot(kind, entry.slot)
                if slot_content.version == version:
                    return slot_content
        raise BitternturnError(
            f'version {version} of {kind.value} is not in the history',
            code=ErrorCode.NOT_FOUND,
            step=STEP_HISTORY,
        )

    async def async_add(self, accepted: ConfigurationObject) -> None:
        """Add an accepted version unless the history has it already.

        Raises BitternturnError CONFLICT if concurrent writers win every time.
        """
        kind = kind_of(accepted)
        if kind is None:
            return
        for _ in range(const.MAX_HISTORY_ATTEMPTS - 1):
            try:
                await self._async_try_add(kind, accepted)
            except BitternturnError as error:
                if error.code is not ErrorCode.CONFLICT:
                    raise
            else:
                return
        await self._async_try_add(kind, accepted)

    async def _async_try_add(
        self,
        kind: ConfigurationKind,
        accepted: ConfigurationObject,
    ) -> None:
        """Add a version to the index and write its slot, in one attempt."""
        history, index_version = await self._async_read_index(kind)
        entry = _find_entry(history, accepted.version)
        if entry is None:
            entry = self._add_entry(history, accepted.version)
            if entry is None:
                return
            await self.client.async_put(
                kind=const.KIND_HISTORY,
                name=kind.value,
                value=history.SerializeToString(),
                if_version=index_version,
            )
        slot_content, slot_version = await self._async_read_slot(
            kind, entry.slot
        )
        if slot_content.version < accepted.version:
            await self.client.async_put(
                kind=const.KIND_HISTORY,
                name=_slot_name(kind, entry.slot),
                value=accepted.SerializeToString(),
                if_version=slot_version,
            )

    def _add_entry(self, history: History, version: int) -> HistoryEntry | None:
        """Add an entry, evicting the oldest if the history is full.

        Return None if the version is older than all entries.
        """
        entries = list(history.entries)
        slot = len(entries)
        if slot >= const.MAX_HISTORY_ENTRIES:
            oldest = entries.pop()
            if version < oldest.version:
                return None
            slot = oldest.slot
        entry = HistoryEntry(
            version=version,
            accepted_ms=self.wall_ms(),
            instance_id=self.instance_id,
            slot=slot,
        )
        entries.append(entry)
        entries.sort(key=lambda it: it.version, reverse=True)
        history.ClearField('entries')
        history.entries.extend(entries)
        return entry

    async def _async_read_index(
        self,
        kind: ConfigurationKind,
    ) -> tuple[History, Version]:
        """Return the index of a kind and the version of its object."""
        stored = await self.client.async_get(const.KIND_HISTORY, kind.value)
        if stored is None:
            return History(), Version(0)
        return _decode(History, stored.value), stored.version

    async def _async_read_slot(
        self,
        kind: ConfigurationKind,
        slot: int,
    ) -> tuple[ConfigurationObject, Version]:
        """Return the content of a slot and the version of its object."""
        name = _slot_name(kind, slot)
        stored = await self.client.async_get(const.KIND_HISTORY, name)
        if stored is None:
            return ConfigurationObject(), Version(0)
        return _decode(ConfigurationObject, stored.value), stored.version


def _slot_name(kind: ConfigurationKind, slot: int) -> str:
    """Return the name of the object that stores a slot."""
    return f'{kind.value}-{slot}'


def _find_entry(history: History, version: int) -> HistoryEntry | None:
    """Return the entry of a version, or None."""
    for entry in history.entries:
        if entry.version == version:
            return entry
    return None


def _decode(message_type: type[Stored], wire: bytes) -> Stored:
    """Decode a stored message; raises BitternturnError BAD_ANSWER."""
    try:
        return message_type.FromString(wire)
    except DecodeError as error:
        raise BitternturnError(
            str(error),
            code=ErrorCode.BAD_ANSWER,
            step=STEP_HISTORY,
        ) from error
