"""Stand-in for the platform's store: objects, lists, watches and its faults."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

from bitternturn.http import const as http
from bitternturn.http.models import Request, Response, make_json_response
from bitternturn.http.server import HttpServer, ServerLimits
from bitternturn.platform import wire_names
from bitternturn.standins.connections import async_hang

PAGE_ITEMS = 50
BODY_BYTES = 1024 * 1024


@unique
class StoreFault(Enum):
    """How the store treats a call."""

    NONE = 'none'
    BUSY = 'busy'
    TOO_MANY = 'too_many'
    SILENT = 'silent'


@dataclass(kw_only=True, slots=True)
class Stored:
    """One object; None as the content once it is deleted."""

    kind: str
    name: str
    revision: int
    created: int
    spec: Any
    deleted: bool = False

    def document(self) -> dict[str, Any]:
        """Return the object as it is told."""
        return {
            'meta': {
                'name': self.name,
                'revision': self.revision,
                'created-rev': self.created,
                'finalizers': [],
                'delete-requested': False,
            },
            'spec': self.spec,
            'status': None,
        }


class PlatformStoreStandin:
    """Holds objects in memory and answers calls."""

    def __init__(self) -> None:
        """Start empty at a revision above zero."""
        self.revision = 1
        self.objects: dict[tuple[str, str], Stored] = {}
        self.history: list[Stored] = []
        # Revision before which the history is gone.
        self.forgotten = 0
        self.calls: list[str] = []
        # Returns what happens to a call, by its number from 0 on.
        self.fault: Callable[[int], StoreFault] = lambda _: StoreFault.NONE
        self.changed = asyncio.Event()
        self.server = HttpServer(
            handler=self.async_handle,
            limits=ServerLimits(max_body_bytes=BODY_BYTES),
        )

    async def async_start(self, port: int = 0) -> None:
        """Listen on loopback."""
        await self.server.async_start(host='127.0.0.1', port=port)

    async def async_stop(self) -> None:
        """Close the listener and every connection."""
        await self.server.async_stop()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or a target does."""
        self.revision += 1
        present = self.objects.get((kind, name))
        self._change(
            Stored(
                kind=kind,
                name=name,
                revision=self.revision,
                created=present.created if present else self.revision,
                spec=spec,
            ),
        )

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        present = self.objects.pop((kind, name))
        self.revision += 1
        self._change(
            Stored(
                kind=kind,
                name=name,
                revision=self.revision,
                created=present.created,
                spec=present.spec,
                deleted=True,
            ),
        )

    def forget_history(self) -> None:
        """Answer watches from earlier revisions with 410."""
        self.forgotten = self.revision
        self._wake()

    def wake_watches(self) -> None:
        """Cut the waiting watches short."""
        self._wake()

    async def async_handle(self, request: Request) -> Response:
        """Answer one call."""
        self.calls.append(f'{request.method} {request.request_target}')
        fault = self.fault(len(self.calls) - 1)
        if fault is StoreFault.SILENT:
            await async_hang()
        if fault is StoreFault.BUSY:
            return Response(status=http.STATUS_UNAVAILABLE)
        if fault is StoreFault.TOO_MANY:
            return Response(status=http.STATUS_TOO_MANY_REQUESTS)
        kind, _, name = request.path.removeprefix(
            f'{wire_names.PATH_OBJECTS}/',
        ).partition('/')
        if request.method == 'POST':
            return self._create(kind, request)
        if name:
            return self._one(kind, name)
        if request.query_parameter('watch'):
            return await self._async_watch(kind, request)
        return self._list(kind, request)

    def _create(self, kind: str, request: Request) -> Response:
        """Create an object unless there is one of the name."""
        content = request.json()
        name = content['meta']['name']
        present = self.objects.get((kind, name))
        if present is not None:
            return make_json_response(
                present.document(), status=http.STATUS_CONFLICT
            )
        self.put(kind, name, content['spec'])
        return make_json_response(self.objects[(kind, name)].document())

    def _one(self, kind: str, name: str) -> Response:
        """Return one object."""
        present = self.objects.get((kind, name))
        if present is None:
            return Response(status=http.STATUS_NOT_FOUND)
        return make_json_response(present.document())

    def _list(self, kind: str, request: Request) -> Response:
        """Return a page of the objects of a kind."""
        after = request.query_parameter('after')
        found = sorted(
            (
                stored
                for stored in self.objects.values()
                if stored.kind == kind and stored.name > after
            ),
            key=_by_name,
        )
        return make_json_response(
            {
                'items': [stored.document() for stored in found[:PAGE_ITEMS]],
                'more': len(found) > PAGE_ITEMS,
                'at-rev': self.revision,
            },
        )

    async def _async_watch(self, kind: str, request: Request) -> Response:
        """Return the changes after a revision, or none after the wait."""
        since = int(request.query_parameter('watch'))
        wait_s = (
            int(request.query_parameter('wait-ms', '0'))
            / wire_names.MS_PER_SECOND
        )
        changed = self.changed
        if not self._events(kind, since) and since >= self.forgotten:
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                return self._changes(kind, since)
        if since < self.forgotten:
            return Response(status=http.STATUS_GONE)
        return self._changes(kind, since)

    def _changes(self, kind: str, since: int) -> Response:
        """Return the answer to a watch."""
        return make_json_response(
            {'events': self._events(kind, since), 'at-rev': self.revision},
        )

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {'object': stored.document(), 'deleted': stored.deleted}
            for stored in self.history
            if stored.kind == kind and stored.revision > since
        ]

    def _change(self, stored: Stored) -> None:
        """Keep a change and wake the watches."""
        if not stored.deleted:
            self.objects[(stored.kind, stored.name)] = stored
        self.history.append(stored)
        self._wake()

    def _wake(self) -> None:
        """Let the waiting watches answer."""
        self.changed.set()
        self.changed = asyncio.Event()


def _by_name(stored: Stored) -> str:
    """Return the sort key of a list."""
    return stored.name
