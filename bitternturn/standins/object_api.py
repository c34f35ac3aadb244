"""Emulates the platform's object API, which `bitternturn serve` uses."""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from bitternturn.core.clock import Clock, monotonic
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.http import const as http
from bitternturn.http.models import (
    Request,
    Response,
    make_error_response,
    make_json_response,
)
from bitternturn.http.server import HttpServer, ServerLimits
from bitternturn.platform.budget import CallBudget
from bitternturn.platform.const import (
    HEADER_IF_VERSION,
    PATH_INSTANCES,
    PATH_OBJECTS,
    PATH_WATCH,
)
from bitternturn.platform.models import WriteBody, WriteReply
from bitternturn.standins.connection_faults import (
    async_abort_connection,
    async_wait_forever,
)
from bitternturn.standins.instance_list import LaggingInstanceList
from bitternturn.standins.object_faults import (
    ObjectFaults,
    ObjectLimits,
    Outage,
)
from bitternturn.standins.object_store import ObjectStore

# Limit of the request body: Base64 and JSON enlarge a value on the wire.
BODY_ENCODING_FACTOR = 2
BODY_OVERHEAD_BYTES = 4096
WRITE_METHODS = frozenset(('PUT', 'DELETE'))
DEFAULT_LIMITS = ObjectLimits()


class ObjectApi:
    """Serves objects, watches and the instance list, and injects faults."""

    def __init__(
        self,
        *,
        now: Clock = monotonic,
        limits: ObjectLimits = DEFAULT_LIMITS,
        instances: LaggingInstanceList | None = None,
    ) -> None:
        """Initialise an empty store; the listener is not started yet."""
        self.now = now
        self.limits = limits
        self.instances = instances or LaggingInstanceList()
        self.faults = ObjectFaults()
        self.store = ObjectStore(watch_log_commits=limits.watch_log_commits)
        self.open_watch_count = 0
        self.call_count = 0
        self.refused_call_count = 0
        self.read_budget = _make_budget(limits.read_rate_per_s, limits)
        self.write_budget = _make_budget(limits.write_rate_per_s, limits)
        self.server = HttpServer(
            handler=self.async_handle,
            limits=ServerLimits(
                max_body_bytes=limits.value_bytes * BODY_ENCODING_FACTOR
                + BODY_OVERHEAD_BYTES,
            ),
        )

    @property
    def port(self) -> int:
        """Return the port of the listener."""
        return self.server.port

    async def async_start(self, *, host: str, port: int = 0) -> None:
        """Start the listener; port 0 selects a free port."""
        await self.server.async_start(host=host, port=port)

    async def async_stop(self) -> None:
        """Stop without draining; the stored objects are kept."""
        await self.server.async_stop()

    def set_faults(self, faults: ObjectFaults) -> None:
        """Set the faults, for open watches as well."""
        self.faults = faults
        self.store.notify_waiters()

    async def async_handle(self, request: Request) -> Response:
        """Handle one call, subject to faults and budgets."""
        self.call_count += 1
        if (
            self.faults.instance_list_available
            and request.path == PATH_INSTANCES
        ):
            return make_json_response(self.instances.read(self.now()))
        if self.faults.outage is Outage.SILENT:
            await async_wait_forever()
        await asyncio.sleep(self.faults.latency_s / 2)
        if self.faults.outage is Outage.REFUSING:
            return _make_error_response(http.STATUS_UNAVAILABLE, 'outage')
        if not self._try_spend(request):
            self.refused_call_count += 1
            return _make_error_response(http.STATUS_TOO_MANY_REQUESTS, 'budget')
        response = self._route(request)
        if (
            request.method in WRITE_METHODS
            and response.status == http.STATUS_OK
        ):
            await self._async_apply_lost_answer(request)
        await asyncio.sleep(self.faults.latency_s / 2)
        return response

    def _try_spend(self, request: Request) -> bool:
        """Charge a call to its budget; return False if it is exhausted.

        Each open watch costs one read per second.
        """
        now = self.now()
        if request.method in WRITE_METHODS:
            return self.write_budget.try_spend(now)
        self.read_budget.refill(now, used_rate=self.open_watch_count)
        return self.read_budget.try_spend(now)

    async def _async_apply_lost_answer(self, request: Request) -> None:
        """Abort the connection if the answer to this write is to be lost."""
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await async_abort_connection(self.server, request)

    def _route(self, request: Request) -> Response:
        """Dispatch a call by path and method."""
        if request.path == PATH_INSTANCES:
            return make_json_response(self.instances.read(self.now()))
        root, _, rest = request.path.lstrip('/').partition('/')
        kind, _, name = rest.partition('/')
        if f'/{root}' == PATH_WATCH:
            return self._watch(kind, request)
        if f'/{root}' != PATH_OBJECTS or not kind:
            return _make_error_response(http.STATUS_NOT_FOUND, 'path')
        if not name:
            return make_json_response(self.store.list_kind(kind))
        if request.method == 'PUT':
            return self._put(kind, name, request)
        if request.method == 'DELETE':
            return self._delete(kind, name, request)
        return self._get(kind, name)

    def _get(self, kind: str, name: str) -> Response:
        """Return the current version of an object."""
        stored = self.store.get(kind, name)
        if stored is None:
            return _make_error_response(http.STATUS_NOT_FOUND, 'object')
        return make_json_response(stored)

    def _put(self, kind: str, name: str, request: Request) -> Response:
        """Commit a write if the version matches its condition."""
        try:
            body = msgspec.json.decode(request.body, type=WriteBody)
        except msgspec.DecodeError as error:
            return _make_error_response(http.STATUS_BAD_REQUEST, str(error))
        if len(body.value) > self.limits.value_bytes:
            return _make_error_response(http.STATUS_CONTENT_TOO_LARGE, 'value')
        existing = self.store.get(kind, name)
        version = 0 if existing is None else existing.version
        if version != _if_version(request):
            return make_json_response(existing, status=http.STATUS_CONFLICT)
        written = self.store.put(
            kind=kind,
            name=name,
            value=body.value,
            token=body.token,
        )
        return make_json_response(WriteReply(version=written))

    def _delete(self, kind: str, name: str, request: Request) -> Response:
        """Commit a deletion if the version matches its condition."""
        existing = self.store.get(kind, name)
        if existing is None:
            return _make_error_response(http.STATUS_NOT_FOUND, 'object')
        if existing.version != _if_version(request):
            return make_json_response(existing, status=http.STATUS_CONFLICT)
        return make_json_response(
            WriteReply(version=self.store.delete(kind, name))
        )

    def _watch(self, kind: str, request: Request) -> Response:
        """Open a watch, or answer 410 if its start version is too old."""
        start = Version(int(request.query_parameter('from', '0')))
        if self.store.is_compacted(start):
            return _make_error_response(http.STATUS_GONE, 'version')
        return Response(stream=self._async_lines(kind, start))

    async def _async_lines(
        self,
        kind: str,
        version: Version,
    ) -> AsyncIterator[bytes]:
        """Yield a line for each commit, and heartbeats in between."""
        self.open_watch_count += 1
        try:
            while self.faults.outage is not Outage.REFUSING:
                if self._are_watches_silent():
                    await async_wait_forever()
                commits = self.store.commits_since(kind, version)
                version = self.store.version
                for stored in commits:
                    yield msgspec.json.encode(stored) + b'\n'
                if self.store.version != version:
                    continue
                if not await self.store.async_wait_for_change(
                    self.limits.heartbeat_s
                ):
                    yield b'\n'
        finally:
            self.open_watch_count -= 1

    def _are_watches_silent(self) -> bool:
        """Return whether watches currently send nothing."""
        return self.faults.silent_watches or self.faults.outage is Outage.SILENT


def _make_budget(rate: float, limits: ObjectLimits) -> CallBudget:
    """Return a call budget with a rate and the configured burst."""
    return CallBudget(rate=rate, burst=rate * limits.burst_s)


def _if_version(request: Request) -> int:
    """Return the required version of a write; -1 never matches."""
    return int(request.headers.get(HEADER_IF_VERSION, '-1'))


def _make_error_response(status: int, message: str) -> Response:
    """Return an error response of the object API."""
    return make_error_response(
        BitternturnError(
            message,
            code=ErrorCode.PLATFORM_UNREACHABLE,
            step='object api',
        ),
        status=status,
    )
