"""Stand-in for the platform's object API."""

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
from bitternturn.standins.connections import async_drop, async_hang
from bitternturn.standins.instance_list import LaggingList
from bitternturn.standins.object_faults import (
    ObjectFaults,
    ObjectLimits,
    Outage,
)
from bitternturn.standins.object_store import ObjectStore

# Base64 and JSON make a value longer on the wire.
BODY_FACTOR = 2
BODY_OVERHEAD_BYTES = 4096
WRITES = frozenset(('PUT', 'DELETE'))
DEFAULT_LIMITS = ObjectLimits()


class ObjectApi:
    """Serves objects, watches and the instance list, with faults."""

    def __init__(
        self,
        *,
        now: Clock = monotonic,
        limits: ObjectLimits = DEFAULT_LIMITS,
        instances: LaggingList | None = None,
    ) -> None:
        """Prepare an empty store; nothing listens yet."""
        self.now = now
        self.limits = limits
        self.instances = instances or LaggingList()
        self.faults = ObjectFaults()
        self.store = ObjectStore(watch_log=limits.watch_log)
        self.open_watches = 0
        self.calls = 0
        self.refused_calls = 0
        self.read_budget = _budget(limits.read_rate, limits)
        self.write_budget = _budget(limits.write_rate, limits)
        self.server = HttpServer(
            handler=self.async_handle,
            limits=ServerLimits(
                max_body_bytes=limits.value_bytes * BODY_FACTOR
                + BODY_OVERHEAD_BYTES,
            ),
        )

    @property
    def port(self) -> int:
        """Port of the listener."""
        return self.server.port

    async def async_start(self, *, host: str, port: int = 0) -> None:
        """Listen; port 0 takes a free one."""
        await self.server.async_start(host=host, port=port)

    async def async_stop(self) -> None:
        """Close at once; what is stored stays."""
        await self.server.async_stop()

    def set_faults(self, faults: ObjectFaults) -> None:
        """Change what is wrong, for open watches too."""
        self.faults = faults
        self.store.wake()

    async def async_handle(self, request: Request) -> Response:
        """Answer one call."""
        self.calls += 1
        if self.faults.list_stays and request.path == PATH_INSTANCES:
            return make_json_response(self.instances.read(self.now()))
        if self.faults.outage is Outage.SILENT:
            await async_hang()
        await asyncio.sleep(self.faults.latency_s / 2)
        if self.faults.outage is Outage.REFUSING:
            return _refuse(http.STATUS_UNAVAILABLE, 'outage')
        if not self._try_spend(request):
            self.refused_calls += 1
            return _refuse(http.STATUS_TOO_MANY_REQUESTS, 'budget')
        response = self._route(request)
        if request.method in WRITES and response.status == http.STATUS_OK:
            await self._async_lose_answer(request)
        await asyncio.sleep(self.faults.latency_s / 2)
        return response

    def _try_spend(self, request: Request) -> bool:
        """Take a call of the budget; each open watch uses a read a second."""
        now = self.now()
        if request.method in WRITES:
            return self.write_budget.try_spend(now)
        self.read_budget.refill(now, used_rate=self.open_watches)
        return self.read_budget.try_spend(now)

    async def _async_lose_answer(self, request: Request) -> None:
        """Close the connection instead of answering, if that is due."""
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await async_drop(self.server, request)

    def _route(self, request: Request) -> Response:
        """Answer a call that the budget allows."""
        if request.path == PATH_INSTANCES:
            return make_json_response(self.instances.read(self.now()))
        root, _, rest = request.path.lstrip('/').partition('/')
        kind, _, name = rest.partition('/')
        if f'/{root}' == PATH_WATCH:
            return self._watch(kind, request)
        if f'/{root}' != PATH_OBJECTS or not kind:
            return _refuse(http.STATUS_NOT_FOUND, 'path')
        if not name:
            return make_json_response(self.store.list_kind(kind))
        if request.method == 'PUT':
            return self._put(kind, name, request)
        if request.method == 'DELETE':
            return self._delete(kind, name, request)
        return self._get(kind, name)

    def _get(self, kind: str, name: str) -> Response:
        """Answer an object as it stands."""
        stored = self.store.get(kind, name)
        if stored is None:
            return _refuse(http.STATUS_NOT_FOUND, 'object')
        return make_json_response(stored)

    def _put(self, kind: str, name: str, request: Request) -> Response:
        """Commit a conditional write."""
        try:
            body = msgspec.json.decode(request.body, type=WriteBody)
        except msgspec.DecodeError as error:
            return _refuse(http.STATUS_BAD_REQUEST, str(error))
        if len(body.value) > self.limits.value_bytes:
            return _refuse(http.STATUS_CONTENT_TOO_LARGE, 'value')
        present = self.store.get(kind, name)
        version = 0 if present is None else present.version
        if version != _if_version(request):
            return make_json_response(present, status=http.STATUS_CONFLICT)
        written = self.store.put(
            kind=kind,
            name=name,
            value=body.value,
            token=body.token,
        )
        return make_json_response(WriteReply(version=written))

    def _delete(self, kind: str, name: str, request: Request) -> Response:
        """Commit a conditional deletion."""
        present = self.store.get(kind, name)
        if present is None:
            return _refuse(http.STATUS_NOT_FOUND, 'object')
        if present.version != _if_version(request):
            return make_json_response(present, status=http.STATUS_CONFLICT)
        return make_json_response(
            WriteReply(version=self.store.delete(kind, name))
        )

    def _watch(self, kind: str, request: Request) -> Response:
        """Answer a watch, or 410 when it starts too early."""
        start = Version(int(request.query_parameter('from', '0')))
        if self.store.is_gone(start):
            return _refuse(http.STATUS_GONE, 'version')
        return Response(stream=self._async_lines(kind, start))

    async def _async_lines(
        self,
        kind: str,
        version: Version,
    ) -> AsyncIterator[bytes]:
        """Yield a line for each commit and heartbeats in between."""
        self.open_watches += 1
        try:
            while self.faults.outage is not Outage.REFUSING:
                if self._is_silent():
                    await async_hang()
                commits = self.store.since(kind, version)
                version = self.store.version
                for stored in commits:
                    yield msgspec.json.encode(stored) + b'\n'
                if self.store.version != version:
                    continue
                if not await self.store.async_wait(self.limits.heartbeat_s):
                    yield b'\n'
        finally:
            self.open_watches -= 1

    def _is_silent(self) -> bool:
        """Return whether watches bring nothing."""
        return self.faults.silent_watches or self.faults.outage is Outage.SILENT


def _budget(rate: float, limits: ObjectLimits) -> CallBudget:
    """Return a budget with the burst that the limits allow."""
    return CallBudget(rate=rate, burst=rate * limits.burst_s)


def _if_version(request: Request) -> int:
    """Return the condition of a write; -1 matches no version."""
    return int(request.headers.get(HEADER_IF_VERSION, '-1'))


def _refuse(status: int, message: str) -> Response:
    """Return an error of the store."""
    return make_error_response(
        BitternturnError(
            message,
            code=ErrorCode.PLATFORM_UNREACHABLE,
            step='object api',
        ),
        status=status,
    )
