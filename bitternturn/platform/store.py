"""Reads, watches and creates objects of the platform's store."""

from collections.abc import Mapping
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import ErrorCode
from bitternturn.http import const as http
from bitternturn.platform import names
from bitternturn.platform.models import Answer
from bitternturn.platform.transport import ObjectTransport

# How long a watch waits for an event, in seconds. The store may take a watch
# and never answer it: with the time of a call this is how long an instance can
# stay deaf, less than the stability window and a configuration's bound.
WATCH_S = 4.0


class Meta(msgspec.Struct, rename='kebab'):
    """What the store keeps of an object besides its content."""

    name: str
    revision: int = 0


class PlatformObject(msgspec.Struct, rename='kebab'):
    """One object; anybody may have written the content."""

    meta: Meta
    spec: Any = None


class Event(msgspec.Struct, rename='kebab'):
    """One change."""

    object: PlatformObject
    # Whether the object is gone since.
    deleted: bool = False


class Page(msgspec.Struct, rename='kebab'):
    """Part of a list."""

    items: list[PlatformObject] = []
    more: bool = False
    # Revision of the store from which to watch.
    at_rev: int = 0


class Changes(msgspec.Struct, rename='kebab'):
    """Answer to a watch."""

    events: list[Event] = []
    at_rev: int = 0


class PlatformStore:
    """Calls to the store; each raises BitternturnError when it fails."""

    def __init__(
        self,
        *,
        transport: ObjectTransport,
        watch_s: float = WATCH_S,
    ) -> None:
        """Hold the connections."""
        self.watch_s = watch_s
        self.transport = transport

    async def async_list(self, kind: str) -> tuple[list[PlatformObject], int]:
        """Return all objects of a kind and the revision to watch from.

        Watching from the first page's revision misses nothing of the others.
        """
        found: list[PlatformObject] = []
        revision = 0
        after = ''
        while True:
            path = _path(kind, {'after': after} if after else {})
            page = self._decode(await self._async_get(path), Page, path)
            found.extend(page.items)
            revision = revision or page.at_rev
            if not page.more or not page.items:
                return found, revision
            after = page.items[-1].meta.name

    async def async_watch(
        self,
        kind: str,
        revision: int,
        *,
        wait_s: float,
    ) -> Changes:
        """Return the changes after a revision, as soon as there is one.

        Returns none after `wait_s` seconds.

        Raises BitternturnError WATCH_GONE when the history is gone.
        """
        wait_ms = int(wait_s * names.MS_PER_SECOND)
        path = _path(kind, {'watch': revision, 'wait-ms': wait_ms})
        response = await self._async_get(
            path,
            timeout_s=wait_s + self.transport.timeout_s,
        )
        changes: Changes = self._decode(response, Changes, path)
        return changes

    async def async_write(self, kind: str, name: str, spec: Any) -> None:
        """Create an object, or replace the content of one that exists.

        Raises BitternturnError CONFLICT when another writer came between.
        """
        document = {'meta': {'name': name}, 'spec': spec}
        path = _path(kind, {})
        response = await self._async_send('POST', path, document)
        if response.status != http.STATUS_CONFLICT:
            return
        present: PlatformObject = self._decode(response, PlatformObject, path)
        if present.spec == spec:
            return
        document['meta'] = {'name': name, 'revision': present.meta.revision}
        path = f'{path}/{quote(name, safe="")}'
        response = await self._async_send('PUT', path, document)
        if response.status != http.STATUS_OK:
            raise self.transport.error(ErrorCode.CONFLICT, path)

    async def _async_send(
        self,
        method: str,
        path: str,
        document: Mapping[str, Any],
    ) -> Answer:
        """Make one write."""
        return await self.transport.async_call(
            method,
            path,
            headers={'content-type': 'application/json'},
            body=msgspec.json.encode(document),
        )

    async def _async_get(
        self,
        path: str,
        *,
        timeout_s: float | None = None,
    ) -> Answer:
        """Make one read."""
        response = await self.transport.async_call(
            'GET',
            path,
            timeout_s=timeout_s,
        )
        if response.status == http.STATUS_GONE:
            raise self.transport.error(ErrorCode.WATCH_GONE, path)
        if response.status != http.STATUS_OK:
            raise self.transport.error(
                ErrorCode.BAD_ANSWER,
                path,
                f'status {response.status}',
            )
        return response

    def _decode(self, response: Answer, kind: type[Any], path: str) -> Any:
        """Return the body of an answer; raises BitternturnError."""
        try:
            return msgspec.json.decode(response.body, type=kind)
        except DECODE_ERRORS as error:
            raise self.transport.error(
                ErrorCode.BAD_ANSWER,
                path,
                str(error),
            ) from error


def _path(kind: str, arguments: Mapping[str, object]) -> str:
    """Return the path of a kind with arguments."""
    path = f'{names.PATH_OBJECTS}/{quote(kind, safe="")}'
    return f'{path}?{urlencode(arguments)}' if arguments else path
