"""Emulates the platform's store, from which the gateway is configured."""

import asyncio
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

from bitternturn.http import const as http
from bitternturn.http.models import Request, Response, make_json_response
from bitternturn.http.server import HttpServer, ServerLimits
from bitternturn.platform import wire_names
from bitternturn.standins.connection_faults import async_wait_forever

PAGE_SIZE = 50
# End of the path of a status.
STATUS_SUFFIX = '/status'
MAX_BODY_BYTES = 1024 * 1024


@unique
class StoreFault(Enum):
    """Fault that the store injects into a call."""

    NONE = 'none'
    # Answers 503.
    BUSY = 'busy'
    # Answers 429.
    TOO_MANY = 'too_many'
    # Does not answer.
    SILENT = 'silent'


@dataclass(kw_only=True, slots=True)
class ObjectRevision:
    """One revision of an object; a deletion has the last content."""

    kind: str
    name: str
    revision: int
    created_revision: int
    spec: Any
    deleted: bool = False
    status: Any = None

    def to_document(self) -> dict[str, Any]:
        """Return the JSON form of the object."""
        return {
            'meta': {
                'name': self.name,
                'revision': self.revision,
                'created-rev': self.created_revision,
                'finalizers': [],
                'delete-requested': False,
            },
            'spec': self.spec,
            'status': self.status,
        }


@dataclass(kw_only=True, frozen=True, slots=True)
class StoreCopy:
    """State of the store at a moment."""

    revision: int
    objects: dict[tuple[str, str], ObjectRevision]
    history: list[ObjectRevision]


class EmulatedPlatformStore:
    """Keeps objects in memory and serves them over HTTP."""

    def __init__(self) -> None:
        """Initialise an empty store at a revision above zero."""
        self.revision = 1
        self.objects: dict[tuple[str, str], ObjectRevision] = {}
        self.history: list[ObjectRevision] = []
        # Watches from earlier revisions are answered with 410.
        self.compacted_revision = 0
        self.calls: list[str] = []
        # Maps the number of a call, counted from 0, to its fault.
        self.choose_fault: Callable[[int], StoreFault] = lambda _: (
            StoreFault.NONE
        )
        # Whether the answer to the write of a status is lost, by its object.
        self.lose_answer: Callable[[str], bool] = lambda _: False
        # Number of times that the store came back from a copy, counted from 1.
        self.era = 1
        self.change_event = asyncio.Event()
        self.server = HttpServer(
            handler=self.async_handle,
            limits=ServerLimits(max_body_bytes=MAX_BODY_BYTES),
        )

    async def async_start(self, port: int = 0) -> None:
        """Start the listener on the loopback interface."""
        await self.server.async_start(host='127.0.0.1', port=port)

    async def async_stop(self) -> None:
        """Close the listener and all connections."""
        await self.server.async_stop()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object, as an operator or a target would."""
        self.revision += 1
        existing = self.objects.get((kind, name))
        self._record_change(
            ObjectRevision(
                kind=kind,
                name=name,
                revision=self.revision,
                created_revision=existing.created_revision
                if existing
                else self.revision,
                spec=spec,
                status=existing.status if existing else None,
            ),
        )

    def put_status(self, kind: str, name: str, status: Any) -> None:
        """Write the status of an object; raises KeyError."""
        existing = self.objects[(kind, name)]
        self.revision += 1
        self._record_change(
            dataclasses.replace(existing, revision=self.revision, status=status)
        )

    def delete(self, kind: str, name: str) -> None:
        """Delete an object; raises KeyError."""
        existing = self.objects.pop((kind, name))
        self.revision += 1
        self._record_change(
            ObjectRevision(
                kind=kind,
                name=name,
                revision=self.revision,
                created_revision=existing.created_revision,
                spec=existing.spec,
                deleted=True,
            ),
        )

    def compact_history(self) -> None:
        """Discard the history; watches from earlier revisions get 410."""
        self.compacted_revision = self.revision
        self._notify_watches()

    def copy_state(self) -> 'StoreCopy':
        """Return a copy from which the store can come back."""
        return StoreCopy(
            revision=self.revision,
            objects=dict(self.objects),
            history=list(self.history),
        )

    def restore(self, copied: 'StoreCopy') -> None:
        """Come back from a copy: begin an era and lose later changes."""
        self.era += 1
        self.revision = copied.revision
        self.objects = dict(copied.objects)
        self.history = list(copied.history)
        self._notify_watches()

    def complete_pending_watches(self) -> None:
        """Complete pending watches before their wait has elapsed."""
        self._notify_watches()

    async def async_handle(self, request: Request) -> Response:
        """Handle one call and state the era in the answer."""
        response = await self._async_handle_call(request)
        response.headers = {
            **response.headers,
            wire_names.HEADER_STORE_ERA: str(self.era),
        }
        return response

    async def _async_handle_call(self, request: Request) -> Response:
        """Handle one call."""
        self.calls.append(f'{request.method} {request.request_target}')
        fault = self.choose_fault(len(self.calls) - 1)
        if fault is StoreFault.SILENT:
            await async_wait_forever()
        if fault is StoreFault.BUSY:
            return Response(status=http.STATUS_UNAVAILABLE)
        if fault is StoreFault.TOO_MANY:
            return Response(status=http.STATUS_TOO_MANY_REQUESTS)
        kind, _, name = request.path.removeprefix(
            f'{wire_names.PATH_OBJECTS}/',
        ).partition('/')
        if request.method == 'POST':
            return self._create(kind, request)
        if request.method == 'DELETE' and (kind, name) in self.objects:
            self.delete(kind, name)
            return make_json_response({})
        if request.method == 'PUT' and name.endswith(STATUS_SUFFIX):
            return self._write_status(
                kind, name.removesuffix(STATUS_SUFFIX), request
            )
        if name:
            return self._get(kind, name)
        if request.query_parameter('watch'):
            return await self._async_watch(kind, request)
        return self._list(kind, request)

    def _create(self, kind: str, request: Request) -> Response:
        """Create an object; answer 409 if the name exists."""
        content = request.json()
        name = content['meta']['name']
        existing = self.objects.get((kind, name))
        if existing is not None:
            return make_json_response(
                existing.to_document(), status=http.STATUS_CONFLICT
            )
        self.put(kind, name, content['spec'])
        return make_json_response(self.objects[(kind, name)].to_document())

    def _write_status(self, kind: str, name: str, request: Request) -> Response:
        """Write a status; answer 409 if the object has another revision."""
        existing = self.objects.get((kind, name))
        if existing is None:
            return Response(status=http.STATUS_NOT_FOUND)
        content = request.json()
        if content['meta']['revision'] != existing.revision:
            return make_json_response(
                existing.to_document(), status=http.STATUS_CONFLICT
            )
        self.put_status(kind, name, content['status'])
        if self.lose_answer(f'{kind}/{name}'):
            return Response(status=http.STATUS_UNAVAILABLE)
        return make_json_response(self.objects[(kind, name)].to_document())

    def _get(self, kind: str, name: str) -> Response:
        """Return one object."""
        existing = self.objects.get((kind, name))
        if existing is None:
            return Response(status=http.STATUS_NOT_FOUND)
        return make_json_response(existing.to_document())

    def _list(self, kind: str, request: Request) -> Response:
        """Return one page of the objects of a kind, sorted by name."""
        after = request.query_parameter('after')
        found = sorted(
            (
                stored
                for stored in self.objects.values()
                if stored.kind == kind and stored.name > after
            ),
            key=_get_name,
        )
        return make_json_response(
            {
                'items': [stored.to_document() for stored in found[:PAGE_SIZE]],
                'more': len(found) > PAGE_SIZE,
                'at-rev': self.revision,
            },
        )

    async def _async_watch(self, kind: str, request: Request) -> Response:
        """Return the changes after a revision, or wait for the next one.

        The answer has no events if the wait elapses without a change.
        """
        since = int(request.query_parameter('watch'))
        wait_s = (
            int(request.query_parameter('wait-ms', '0'))
            / wire_names.MS_PER_SECOND
        )
        change_event = self.change_event
        if since > self.revision:
            return Response(status=http.STATUS_GONE)
        era = self.era
        if (
            not self._list_events(kind, since)
            and since >= self.compacted_revision
        ):
            try:
                async with asyncio.timeout(wait_s):
                    await change_event.wait()
            except TimeoutError:
                return self._make_watch_response(kind, since)
        if since < self.compacted_revision or self.era != era:
            return Response(status=http.STATUS_GONE)
        return self._make_watch_response(kind, since)

    def _make_watch_response(self, kind: str, since: int) -> Response:
        """Return the changes after a revision as a response."""
        return make_json_response(
            {'events': self._list_events(kind, since), 'at-rev': self.revision},
        )

    def _list_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision in JSON form."""
        return [
            {'object': stored.to_document(), 'deleted': stored.deleted}
            for stored in self.history
            if stored.kind == kind and stored.revision > since
        ]

    def _record_change(self, stored: ObjectRevision) -> None:
        """Add a change to the history and notify the pending watches."""
        if not stored.deleted:
            self.objects[(stored.kind, stored.name)] = stored
        self.history.append(stored)
        self._notify_watches()

    def _notify_watches(self) -> None:
        """Let pending watches send their answer."""
        self.change_event.set()
        self.change_event = asyncio.Event()


def _get_name(stored: ObjectRevision) -> str:
    """Return the name of an object, as a sort key."""
    return stored.name
