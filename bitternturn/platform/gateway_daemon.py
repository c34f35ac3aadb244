"""Daemon that runs the gateway as a process on the platform."""

import asyncio
import gc
import random
import signal
from pathlib import Path

from bitternturn.core.clock import wall_ms
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.pauses import PauseMonitor
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway import const
from bitternturn.gateway.decision_log import DecisionLog
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.models import CallerLimits, InstanceSettings
from bitternturn.gateway.reporting import log_traffic
from bitternturn.gateway.work_log import log_work
from bitternturn.http import const as http
from bitternturn.http.models import Request, Response
from bitternturn.platform import wire_names
from bitternturn.platform.budget import CallBudget
from bitternturn.platform.caller_limits import make_caller_resources
from bitternturn.platform.http_messages import WIRE
from bitternturn.platform.rollout_store import RolloutStore
from bitternturn.platform.settings_file import load_settings
from bitternturn.platform.store import PlatformStore
from bitternturn.platform.store_follower import StoreFollower
from bitternturn.platform.suspect_store import SuspectStore
from bitternturn.platform.transport import ObjectTransport
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.observations import ObservationExchange
from bitternturn.relay.rollout_exchange import RolloutExchange
from bitternturn.relay.server import RelayServer
from bitternturn.relay.warm_connections import async_keep_connected

# Timeout of a call to the store; slow responses take a few hundred ms.
CALL_TIMEOUT_S = 1.5
CALLS_PER_S = 20.0
CALL_BURST = 40.0
# Interval of the log lines with the bytes that were sent and received.
TRAFFIC_LOG_INTERVAL_S = 10.0
# Interval at which the end of the start is checked for.
START_CHECK_INTERVAL_S = 0.2
STEP_LISTEN = 'listen'
PATH_METRICS = '/metrics'
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class GatewayDaemon:
    """Process of one instance: listeners, store follower and gateway."""

    def __init__(
        self,
        *,
        path: Path,
        settings: InstanceSettings,
        decisions: DecisionLog,
        pauses: PauseMonitor,
    ) -> None:
        """Initialise; `async_run` serves."""
        self.path = path
        self.settings = settings
        self.decisions = decisions
        self.tasks = TaskSet()
        self.gateway = Gateway(
            settings=settings,
            wire=WIRE,
            decisions=decisions,
            rng=random.Random(),
            on_limits=self.apply_limits,
        )
        self.gateway.pauses = pauses
        pauses.on_pause = self.gateway.handle_pause
        store = PlatformStore(
            transport=ObjectTransport(
                host=settings.store.host,
                port=settings.store.port,
                timeout_s=CALL_TIMEOUT_S,
                now=self.gateway.now,
                budget=CallBudget(rate=CALLS_PER_S, burst=CALL_BURST),
            ),
        )
        delegation = Delegation(gateway=self.gateway, tasks=self.tasks)
        self.delegation = delegation
        self.rollouts = RolloutExchange(
            gateway=self.gateway, delegation=delegation, tasks=self.tasks
        )
        self.rollout_store = (
            RolloutStore(
                gateway=self.gateway,
                store=store,
                exchange=self.rollouts,
                tasks=self.tasks,
            )
            if settings.rollout_bounds.enabled
            else None
        )
        self.follower = StoreFollower(
            settings=settings,
            gateway=self.gateway,
            store=store,
            delegation=delegation,
            tasks=self.tasks,
            optional=self.rollout_store.make_handlers()
            if self.rollout_store
            else {},
        )
        self.resources = make_caller_resources(
            settings, self.gateway.metrics, decisions
        )
        self.caller_server = self.resources.make_server(
            self.gateway.async_handle, callers=True
        )
        self.probe_server = self.resources.make_server(
            self.async_handle_probe, callers=False
        )
        self.metrics_server = self.resources.make_server(
            self.async_handle_metrics, callers=False
        )
        self.relay_server = RelayServer(
            gateway=self.gateway,
            copies=self.follower.source.copies,
            tasks=self.tasks,
            traffic=delegation.traffic,
            max_new_connections=self.resources.max_new_peers,
        )
        self.observations = ObservationExchange(
            gateway=self.gateway, delegation=delegation, tasks=self.tasks
        )
        self.relay_server.observations = self.observations
        if self.rollout_store is not None:
            self.relay_server.rollouts = self.rollouts
            copies = self.follower.source.copies
            self.rollout_store.is_followed = lambda: bool(
                copies.kinds[wire_names.KIND_ROLLOUTS].revision
            )
        self.suspect_store = SuspectStore(
            gateway=self.gateway,
            store=store,
            tasks=self.tasks,
            wall_ms=wall_ms,
        )
        self.shutting_down = False
        self.stopped = asyncio.Event()

    async def async_run(self) -> None:
        """Serve until SIGTERM has been handled."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.shut_down)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.async_start()
        await self.stopped.wait()
        self.decisions.write('stop')

    async def async_start(self) -> None:
        """Listen and start the background jobs; raises BitternturnError."""
        await self._async_listen()
        self.follower.start()
        self.observations.start()
        self.suspect_store.start()
        if self.rollout_store is not None:
            self.rollouts.start()
            self.rollout_store.start()
        self.tasks.spawn(async_keep_connected(self.delegation))
        self.tasks.spawn(self._async_log_traffic())
        self.tasks.spawn(self._async_freeze_heap())
        self.decisions.write(
            'start',
            domain=self.settings.failure_domain,
            cores=round(self.settings.cores, 3),
        )

    async def async_stop(self) -> None:
        """Stop at once, without draining."""
        await self.tasks.async_stop()
        await self.gateway.tasks.async_stop()
        self.relay_server.close()
        for server in (
            self.caller_server,
            self.probe_server,
            self.metrics_server,
        ):
            await server.async_stop()

    async def _async_listen(self) -> None:
        """Open all listeners; raises BitternturnError."""
        for http_server, address in (
            (self.caller_server, self.settings.callers),
            (self.probe_server, self.settings.readiness),
            (self.metrics_server, self.settings.metrics),
        ):
            try:
                await http_server.async_start(
                    host=address.host, port=address.port
                )
            except OSError as error:
                raise BitternturnError(
                    f'cannot listen on {address.host}:{address.port}: {error}',
                    code=ErrorCode.INVALID_SETTINGS,
                    step=STEP_LISTEN,
                ) from error
        if self.settings.peers is not None:
            await self.relay_server.async_start(self.settings.peers)

    async def async_handle_probe(self, request: Request) -> Response:
        """Handle a readiness probe of the load balancer."""
        if request.path != wire_names.PATH_READY:
            return Response(status=http.STATUS_NOT_FOUND)
        ready = self.gateway.fleet_state.complete and not self.shutting_down
        status = http.STATUS_OK if ready else http.STATUS_UNAVAILABLE
        return Response(status=status)

    async def async_handle_metrics(self, request: Request) -> Response:
        """Handle a request for the metrics."""
        if request.path != PATH_METRICS:
            return Response(status=http.STATUS_NOT_FOUND)
        return Response(
            headers={'content-type': METRICS_CONTENT_TYPE},
            body=self.gateway.metrics.render(),
        )

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply changed limits to the listener of callers."""
        self.caller_server.limits = self.resources.make_limits(limits)

    async def _async_freeze_heap(self) -> None:
        """Exempt what was loaded at the start from garbage collection.

        A collection of modules and targets takes up to 75 ms of an instance with a
        third of a core, in which requests wait.
        """
        while True:
            await asyncio.sleep(START_CHECK_INTERVAL_S)
            if self.gateway.fleet_state.complete:
                gc.freeze()
                return

    async def _async_log_traffic(self) -> None:
        """Log the bytes by kind since the start of the process."""
        while True:
            await asyncio.sleep(TRAFFIC_LOG_INTERVAL_S)
            log_traffic(self.gateway.metrics, self.decisions)
            log_work(self.gateway.metrics, self.decisions)

    # Signals

    def reload(self) -> None:
        """Reload the settings file; an invalid file changes nothing."""
        try:
            self.settings = load_settings(self.path)
        except BitternturnError as error:
            self.decisions.write('reload_failed', error=str(error))
            return
        self.gateway.settings = self.settings
        self.decisions.write('reload')

    def shut_down(self) -> None:
        """Start a graceful shutdown: leave the rotation, drain and stop."""
        if not self.shutting_down:
            self.shutting_down = True
            grace_s = self.settings.global_limits.shutdown_grace_s
            now = self.gateway.now()
            self.gateway.left_at = now + const.ROTATION_EXIT_S
            self.gateway.stop_at = now + grace_s - const.ABORT_BEFORE_EXIT_S
            self.decisions.write('leaving', in_flight=self.gateway.in_flight)
            self.relay_server.notify_leaving()
            self.tasks.spawn(self._async_shut_down())

    async def _async_shut_down(self) -> None:
        """Serve until the balancer has stopped sending, then drain and stop."""
        grace_s = self.settings.global_limits.shutdown_grace_s
        serving_s = max(0, grace_s - const.REFUSE_BEFORE_EXIT_S)
        await asyncio.sleep(min(const.ROTATION_EXIT_S, serving_s))
        drain_task = self.tasks.spawn(
            self.caller_server.async_drain(
                grace_s=max(0, serving_s - const.ROTATION_EXIT_S),
            ),
        )
        await asyncio.sleep(max(0, serving_s - const.ROTATION_EXIT_S))
        self.gateway.draining = True
        await asyncio.wait(
            [drain_task],
            timeout=const.REFUSE_BEFORE_EXIT_S - const.ABORT_BEFORE_EXIT_S,
        )
        self.gateway.end_requests()
        await asyncio.wait([drain_task], timeout=const.ABORT_BEFORE_EXIT_S / 2)
        self.stopped.set()
