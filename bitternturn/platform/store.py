"""Client of the platform's store: reads, watches and writes objects."""

from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from bitternturn.core.errors import ErrorCode
from bitternturn.core.json_scan import Paused, Result
from bitternturn.core.store_position import (
    era_of,
    make_position,
    revision_of,
)
from bitternturn.http import const as http
from bitternturn.platform import object_messages, wire_names
from bitternturn.platform.models import ApiResponse
from bitternturn.platform.object_messages import (
    ObjectEvent,
    ObjectMeta,
    PlatformObject,
    WatchReply,
)
from bitternturn.platform.transport import ObjectTransport

__all__ = ('ObjectEvent', 'ObjectMeta', 'PlatformObject', 'PlatformStore')


class PlatformStore:
    """Client of the store; each call raises BitternturnError on failure."""

    def __init__(self, *, transport: ObjectTransport) -> None:
        """Initialise with the transport of the calls."""
        self.transport = transport
        # Called with each object that can't be decoded.
        self.on_unreadable: object_messages.OnUnreadable = (
            object_messages.ignore_unreadable
        )

    async def async_list(
        self, kind: str, *, allow_stale: bool = False
    ) -> tuple[list[PlatformObject], int]:
        """Return all objects of a kind and the position to watch from.

        Those whose content can't be decoded are marked, and left out if not
        even their name can be decoded.

        A list that may be seconds old costs less.

        That is the position of the first page, so that a watch also yields
        what changed while the other pages were read. Begins again when the
        era changes between pages.
        """
        found: list[PlatformObject] = []
        position = 0
        after = ''
        while True:
            arguments: dict[str, object] = {'after': after} if after else {}
            if allow_stale:
                arguments['allow-stale'] = 1
            path = _path(kind, arguments)
            response = await self._async_get(path)
            page = await self._async_decode(
                object_messages.decode_list(
                    kind, response.body, self.on_unreadable
                ),
                path,
            )
            _place_in_era(page.items, response.era)
            if after and response.era != era_of(position):
                found, position, after = [], 0, ''
                continue
            found.extend(page.items)
            position = position or make_position(response.era, page.at_rev)
            last = page.items[-1].meta.name if page.items else after
            if not page.more:
                return found, position
            if last == after:
                # Not a name of the page can be decoded.
                raise self.transport.make_error(ErrorCode.BAD_ANSWER, path)
            after = last

    async def async_watch(
        self,
        kind: str,
        position: int,
        *,
        wait_s: float,
    ) -> WatchReply:
        """Return the changes after a position as soon as there are any.

        Returns an empty reply after `wait_s` seconds.

        Raises BitternturnError WATCH_GONE when the store no longer has
        the changes after the position, or is in another era: the revision then
        stands for another state.
        """
        wait_ms = int(wait_s * wire_names.MS_PER_SECOND)
        path = _path(kind, {'watch': revision_of(position), 'wait-ms': wait_ms})
        response = await self._async_get(
            path,
            timeout_s=wait_s + self.transport.timeout_s,
        )
        changes = await self._async_decode(
            object_messages.decode_watch(
                kind, response.body, self.on_unreadable
            ),
            path,
        )
        if response.era != era_of(position):
            raise self.transport.make_error(
                ErrorCode.WATCH_GONE,
                path,
                f'the store is in era {response.era}',
            )
        _place_in_era((event.object for event in changes.events), response.era)
        if changes.at_rev:
            changes.at_rev = make_position(response.era, changes.at_rev)
        return changes

    async def async_write(self, kind: str, name: str, spec: Any) -> None:
        """Create an object, or replace its content if it exists.

        Raises BitternturnError CONFLICT on a concurrent write.
        """
        document = {'meta': {'name': name}, 'spec': spec}
        path = _path(kind, {})
        response = await self._async_send('POST', path, document)
        if response.status != http.STATUS_CONFLICT:
            return
        existing = await self._async_decode_object(kind, response, path)
        if existing.spec == spec:
            return
        document['meta'] = {'name': name, 'revision': existing.meta.revision}
        path = f'{path}/{quote(name, safe="")}'
        replaced = await self._async_send('PUT', path, document)
        same_era = replaced.era == response.era
        if replaced.status != http.STATUS_OK or not same_era:
            raise self.transport.make_error(ErrorCode.CONFLICT, path)

    async def async_read(self, kind: str, name: str) -> PlatformObject | None:
        """Return an object with its position, None if it does not exist."""
        path = f'{_path(kind, {})}/{quote(name, safe="")}'
        response = await self.transport.async_call('GET', path)
        if response.status == http.STATUS_NOT_FOUND:
            return None
        if response.status != http.STATUS_OK:
            raise self.transport.make_error(
                ErrorCode.BAD_ANSWER, path, f'status {response.status}'
            )
        stored = await self._async_decode_object(kind, response, path)
        _place_in_era([stored], response.era)
        return stored

    async def async_write_status(
        self, kind: str, stored: PlatformObject, status: Any
    ) -> None:
        """Write the status of an object that has not changed since it was read.

        Raises BitternturnError CONFLICT if it has changed, or if the store has
        come back from an older copy.
        """
        name = stored.meta.name
        position = stored.meta.revision
        path = f'{_path(kind, {})}/{quote(name, safe="")}/status'
        response = await self._async_send(
            'PUT',
            path,
            {
                'meta': {'name': name, 'revision': revision_of(position)},
                'status': status,
            },
        )
        same_era = response.era == era_of(position)
        if response.status != http.STATUS_OK or not same_era:
            raise self.transport.make_error(
                ErrorCode.CONFLICT, path, f'status {response.status}'
            )

    async def async_remove(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        path = f'{_path(kind, {})}/{quote(name, safe="")}'
        await self.transport.async_call('DELETE', path)

    async def _async_send(
        self,
        method: str,
        path: str,
        document: Mapping[str, Any],
    ) -> ApiResponse:
        """Send a write with a JSON body."""
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
    ) -> ApiResponse:
        """Send a read; raises WATCH_GONE or BAD_ANSWER by status."""
        response = await self.transport.async_call(
            'GET',
            path,
            timeout_s=timeout_s,
        )
        if response.status == http.STATUS_GONE:
            raise self.transport.make_error(ErrorCode.WATCH_GONE, path)
        if response.status != http.STATUS_OK:
            raise self.transport.make_error(
                ErrorCode.BAD_ANSWER,
                path,
                f'status {response.status}',
            )
        return response

    async def _async_decode_object(
        self, kind: str, response: ApiResponse, path: str
    ) -> PlatformObject:
        """Decode one object; raises BAD_ANSWER if its name is unreadable."""
        stored = await self._async_decode(
            object_messages.decode_object(
                kind, response.body, self.on_unreadable
            ),
            path,
        )
        if stored is None:
            raise self.transport.make_error(ErrorCode.BAD_ANSWER, path)
        return stored

    async def _async_decode(
        self, decoding: Paused[Result], path: str
    ) -> Result:
        """Return the result of a decoder; raises BAD_ANSWER."""
        try:
            return await object_messages.async_complete(decoding)
        except object_messages.MESSAGE_ERRORS as error:
            raise self.transport.make_error(
                ErrorCode.BAD_ANSWER,
                path,
                str(error),
            ) from error


def _place_in_era(objects: Iterable[PlatformObject], era: int) -> None:
    """Turn the revisions of objects into positions."""
    for stored in objects:
        stored.meta.revision = make_position(era, stored.meta.revision)


def _path(kind: str, arguments: Mapping[str, object]) -> str:
    """Return the path of a kind with query parameters."""
    path = f'{wire_names.PATH_OBJECTS}/{quote(kind, safe="")}'
    return f'{path}?{urlencode(arguments)}' if arguments else path
