"""The gateway as a process on the platform."""

import asyncio
import random
import signal
from pathlib import Path

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway import const
from bitternturn.gateway.decisions import Decisions
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.models import CallerLimits, InstanceSettings
from bitternturn.http import const as http
from bitternturn.http.models import Request, Response
from bitternturn.http.server import HttpServer, ServerLimits
from bitternturn.platform import names
from bitternturn.platform.boot import load_settings
from bitternturn.platform.budget import CallBudget
from bitternturn.platform.exchange import WIRE
from bitternturn.platform.follower import StoreFollower
from bitternturn.platform.store import PlatformStore
from bitternturn.platform.transport import ObjectTransport
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.server import RelayServer

# Longest wait for an answer of the store, in seconds; slow answers take a few
# hundred milliseconds.
CALL_TIMEOUT_S = 1.5
CALLS_PER_S = 20.0
CALL_BURST = 40.0
STEP_LISTEN = 'listen'
PATH_METRICS = '/metrics'
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class Daemon:
    """Listeners, copies of the store's objects and the gateway."""

    def __init__(
        self,
        *,
        path: Path,
        settings: InstanceSettings,
        decisions: Decisions,
    ) -> None:
        """Prepare; `async_run` serves."""
        self.path = path
        self.settings = settings
        self.decisions = decisions
        self.tasks = TaskSet()
        self.gateway = Gateway(
            settings=settings,
            wire=WIRE,
            decisions=decisions,
            rng=random.Random(),
            on_limits=self.take_limits,
        )
        store = PlatformStore(
            transport=ObjectTransport(
                host=settings.store.host,
                port=settings.store.port,
                timeout_s=CALL_TIMEOUT_S,
                now=self.gateway.now,
                budget=CallBudget(rate=CALLS_PER_S, burst=CALL_BURST),
            ),
        )
        self.follower = StoreFollower(
            settings=settings,
            gateway=self.gateway,
            store=store,
            delegation=Delegation(gateway=self.gateway, tasks=self.tasks),
            tasks=self.tasks,
        )
        self.callers = HttpServer(handler=self.gateway.async_handle)
        self.probes = HttpServer(handler=self.async_probe)
        self.readers = HttpServer(handler=self.async_metrics)
        self.relay = RelayServer(
            gateway=self.gateway,
            copies=self.follower.source.copies,
            tasks=self.tasks,
        )
        self.leaving = False
        self.stopped = asyncio.Event()

    async def async_run(self) -> None:
        """Serve until the process is told to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._async_listen()
        self.follower.start()
        self.decisions.note('start', domain=self.settings.failure_domain)
        await self.stopped.wait()
        self.decisions.note('stop')

    async def _async_listen(self) -> None:
        """Open the listeners; raises BitternturnError."""
        for server, address in (
            (self.callers, self.settings.callers),
            (self.probes, self.settings.readiness),
            (self.readers, self.settings.metrics),
        ):
            try:
                await server.async_start(host=address.host, port=address.port)
            except OSError as error:
                raise BitternturnError(
                    f'cannot listen on {address.host}:{address.port}: {error}',
                    code=ErrorCode.INVALID_SETTINGS,
                    step=STEP_LISTEN,
                ) from error
        if self.settings.peers is not None:
            await self.relay.async_start(self.settings.peers)

    async def async_probe(self, request: Request) -> Response:
        """Answer the balancer's probe."""
        if request.path != names.PATH_READY:
            return Response(status=http.STATUS_NOT_FOUND)
        ready = self.gateway.knowledge.complete and not self.leaving
        status = http.STATUS_OK if ready else http.STATUS_UNAVAILABLE
        return Response(status=status)

    async def async_metrics(self, request: Request) -> Response:
        """Answer a reading of the metrics."""
        if request.path != PATH_METRICS:
            return Response(status=http.STATUS_NOT_FOUND)
        return Response(
            headers={'content-type': CONTENT_TYPE},
            body=self.gateway.metrics.render(),
        )

    def take_limits(self, limits: CallerLimits) -> None:
        """Serve callers under other limits from now on."""
        self.callers.limits = ServerLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            header_timeout=limits.header_timeout_s,
            idle_timeout=limits.idle_timeout_s,
            connections=http.DEFAULT_CONNECTIONS,
        )

    # Signals

    def reload(self) -> None:
        """Read the settings file again."""
        try:
            self.settings = load_settings(self.path)
        except BitternturnError as error:
            self.decisions.note('reload_failed', error=str(error))
            return
        self.gateway.settings = self.settings
        self.decisions.note('reload')

    def leave(self) -> None:
        """Leave the rotation, serve what is under way, and end."""
        if not self.leaving:
            self.leaving = True
            self.decisions.note('leaving', in_flight=self.gateway.in_flight)
            self.relay.notify_leaving()
            self.tasks.spawn(self._async_leave())

    async def _async_leave(self) -> None:
        """Serve until new connections have ceased, then drain."""
        grace_s = self.settings.bounds.grace_s
        open_s = max(0, grace_s - const.LAST_REQUESTS_S)
        await asyncio.sleep(min(const.LEAVE_ROTATION_S, open_s))
        draining = self.tasks.spawn(
            self.callers.async_drain(
                grace_s=max(0, open_s - const.LEAVE_ROTATION_S),
            ),
        )
        await asyncio.sleep(max(0, open_s - const.LEAVE_ROTATION_S))
        self.gateway.refusing = True
        await asyncio.wait(
            [draining],
            timeout=const.LAST_REQUESTS_S - const.LAST_ANSWERS_S,
        )
        self.stopped.set()
