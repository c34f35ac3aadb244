"""A scripted target and an owner service for it."""

import asyncio
import random

import msgspec

from bitternturn.core.clock import monotonic
from bitternturn.core.tasks import TaskSet
from bitternturn.http.models import Response
from bitternturn.http.server import HttpServer
from bitternturn.owners.models import OwnershipQueries, PoolSettings
from bitternturn.owners.service import OwnerService
from bitternturn.schema.config_pb2 import PRIORITY_NORMAL, Target
from bitternturn.schema.peers_pb2 import QueryGroup, SubQuery, TargetState


class FakeTarget:
    """A target whose answers a test can hold, override or silence."""

    def __init__(self) -> None:
        self.server = HttpServer(handler=self.async_handle)
        self.requests = []
        self.in_flight = 0
        self.max_in_flight = 0
        self.max_connections = 0
        self.hold_searches = False
        self.permits = asyncio.Semaphore(0)
        self.changed = asyncio.Event()
        self.overrides = []
        self.state = 'ready'
        self.health = 'ready'
        self.silent = set()
        self.requests_to_silence = 0

    async def async_handle(self, request):
        connections = len(self.server.connections)
        self.max_connections = max(self.max_connections, connections)
        if request.peer in self.silent:
            await asyncio.Event().wait()
        if request.path == '/v1/health':
            return Response(body=b'{"state": "%s"}' % self.health.encode())
        self.requests.append(request)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self.changed.set()
        try:
            return await self._async_answer(request)
        finally:
            self.in_flight -= 1
            self.changed.set()

    async def _async_answer(self, request):
        if self.requests_to_silence:
            self.requests_to_silence -= 1
            self.silent.add(request.peer)
            await asyncio.Event().wait()
        if self.hold_searches:
            await self.permits.acquire()
        override = self.overrides.pop(0) if self.overrides else {}
        headers = {
            name: request.headers[name]
            for name in ('x-request-id', 'x-index', 'x-shard', 'x-snapshot')
        }
        headers['x-held-snapshots'] = '4, 5'
        headers['x-state'] = self.state
        headers.update(override.get('headers', {}))
        body = override.get('body', {'hits': [], 'complete': True})
        return Response(
            status=override.get('status', 200),
            headers=headers,
            body=msgspec.json.encode(body),
        )

    def release(self, count=100) -> None:
        for _ in range(count):
            self.permits.release()

    async def async_until(self, condition) -> None:
        while not condition():
            self.changed.clear()
            await self.changed.wait()


class OwnerHarness:
    """An owner whose ownership, lease, switch and clock a test controls."""

    def __init__(self, **settings) -> None:
        self.fake = FakeTarget()
        self.target = Target(
            id='t',
            host='127.0.0.1',
            slots=2,
            connections=25,
            cold_limit=1,
        )
        self.owns = True
        self.lease = True
        self.switched_out = False
        self.starts_at = float('-inf')
        self.events = []
        self.tasks = TaskSet()
        self.clock_offset_s = 0.0
        self.service = OwnerService(
            find_target=lambda target_id: self.target,
            ownership=OwnershipQueries(
                owns=lambda target_id: self.owns,
                may_send=lambda target_id, now: self.owns and self.lease,
                is_switched_out=lambda target_id: self.switched_out,
                earliest_send_at=lambda target_id: self.starts_at,
            ),
            event=lambda kind, **fields: self.events.append((kind, fields)),
            tasks=self.tasks,
            pool=PoolSettings(**settings),
            now=lambda: monotonic() + self.clock_offset_s,
            rng=random.Random(5),
        )

    async def __aenter__(self) -> 'OwnerHarness':
        await self.fake.server.async_start(host='127.0.0.1', port=0)
        self.target.port = self.fake.server.port
        return self

    async def __aexit__(self, *_) -> None:
        await self.service.async_stop()
        await self.fake.server.async_stop()
        await self.tasks.async_stop()

    @property
    def owned(self):
        return self.service.targets['t']

    def submit(self, *, remaining_ms=60000, repeatable=True, hedge=False):
        group = QueryGroup(
            query_id='q',
            index='i',
            snapshot=5,
            body=b'{}',
            remaining_ms=remaining_ms,
            priority=PRIORITY_NORMAL,
            repeatable=repeatable,
        )
        return self.service.submit(
            group, SubQuery(id=7, shard='s', target='t', hedge=hedge)
        )

    def restore_warm(self) -> None:
        self.service.restore_target(TargetState(target='t', warm=True, limit=2))
