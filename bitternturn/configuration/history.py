"""Earlier configurations, a bounded number of each kind.

One index object per kind tells which slot holds which version. The index is
written before the slot: a process that ends in between leaves an entry whose
slot holds another version, which is found by its number when it is read.
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
    """Keeps and finds accepted versions in the object API."""

    def __init__(
        self,
        *,
        client: ObjectClient,
        instance_id: InstanceId,
        wall: Callable[[], int],
    ) -> None:
        """Hold the client; `wall` returns milliseconds since 1970."""
        self.client = client
        self.instance_id = instance_id
        self.wall = wall

    async def async_entries(
        self,
        kind: ConfigurationKind,
    ) -> list[HistoryEntry]:
        """Return the kept versions, newest first."""
        history, _ = await self._async_read(kind)
        return list(history.entries)

    async def async_content(
        self,
        kind: ConfigurationKind,
        version: Version,
    ) -> ConfigurationObject:
        """Return a kept version; raises BitternturnError NOT_FOUND."""
        for entry in await self.async_entries(kind):
            if entry.version == version:
                kept, _ = await self._async_slot(kind, entry.slot)
                if kept.version == version:
                    return kept
        raise BitternturnError(
            f'version {version} of {kind.value} is not kept',
            code=ErrorCode.NOT_FOUND,
            step=STEP_HISTORY,
        )

    async def async_keep(self, accepted: ConfigurationObject) -> None:
        """Keep an accepted version; does nothing when it is kept already.

        Raises BitternturnError CONFLICT when others write all the time.
        """
        kind = kind_of(accepted)
        if kind is None:
            return
        for _ in range(const.HISTORY_ATTEMPTS - 1):
            try:
                await self._async_keep_once(kind, accepted)
            except BitternturnError as error:
                if error.code is not ErrorCode.CONFLICT:
                    raise
            else:
                return
        await self._async_keep_once(kind, accepted)

    async def _async_keep_once(
        self,
        kind: ConfigurationKind,
        accepted: ConfigurationObject,
    ) -> None:
        """Enter a version in the index and write its slot."""
        history, index_version = await self._async_read(kind)
        entry = _find_entry(history, accepted.version)
        if entry is None:
            entry = self._enter(history, accepted.version)
            if entry is None:
                return
            await self.client.async_put(
                kind=const.KIND_HISTORY,
                name=kind.value,
                value=history.SerializeToString(),
                if_version=index_version,
            )
        kept, slot_version = await self._async_slot(kind, entry.slot)
        if kept.version < accepted.version:
            await self.client.async_put(
                kind=const.KIND_HISTORY,
                name=_slot_name(kind, entry.slot),
                value=accepted.SerializeToString(),
                if_version=slot_version,
            )

    def _enter(self, history: History, version: int) -> HistoryEntry | None:
        """Add an entry, dropping the oldest; None if it is older than all."""
        entries = list(history.entries)
        slot = len(entries)
        if slot >= const.HISTORY_ENTRIES:
            oldest = entries.pop()
            if version < oldest.version:
                return None
            slot = oldest.slot
        entry = HistoryEntry(
            version=version,
            accepted_ms=self.wall(),
            instance_id=self.instance_id,
            slot=slot,
        )
        entries.append(entry)
        entries.sort(key=lambda kept: kept.version, reverse=True)
        history.ClearField('entries')
        history.entries.extend(entries)
        return entry

    async def _async_read(
        self,
        kind: ConfigurationKind,
    ) -> tuple[History, Version]:
        """Return the index of a kind and the version of its object."""
        stored = await self.client.async_get(const.KIND_HISTORY, kind.value)
        if stored is None:
            return History(), Version(0)
        return _decode(History, stored.value), stored.version

    async def _async_slot(
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
    """Return the name of the object of a slot."""
    return f'{kind.value}-{slot}'


def _find_entry(history: History, version: int) -> HistoryEntry | None:
    """Return the entry of a version."""
    for entry in history.entries:
        if entry.version == version:
            return entry
    return None


def _decode(message_type: type[Stored], wire: bytes) -> Stored:
    """Return a stored message; raises BitternturnError BAD_ANSWER."""
    try:
        return message_type.FromString(wire)
    except DecodeError as error:
        raise BitternturnError(
            str(error),
            code=ErrorCode.BAD_ANSWER,
            step=STEP_HISTORY,
        ) from error
