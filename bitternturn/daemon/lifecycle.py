"""Start and graceful shutdown of an instance."""

import asyncio
import signal
import time
from dataclasses import dataclass

import logbook

from bitternturn.administration.const import MAX_BODY_BYTES
from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.errors import BitternturnError
from bitternturn.daemon import const
from bitternturn.daemon.instance import Instance
from bitternturn.daemon.instance_metrics import register_instance_gauges
from bitternturn.daemon.operators import create_operators_handler, store_reached
from bitternturn.http.server import HttpServer, ServerLimits
from bitternturn.schema.settings_pb2 import NodeSettings
from bitternturn.timeline.models import EventKind

LOGGER = logbook.Logger('daemon')


@dataclass(kw_only=True, slots=True)
class RunningInstance:
    """A running instance with its operators' listener."""

    instance: Instance
    operators: HttpServer


async def async_start(settings: NodeSettings) -> RunningInstance:
    """Start an instance.

    It is ready once it has a configuration and a view.
    """
    instance = Instance(settings=settings)
    register_instance_gauges(
        instance.metrics,
        ready=lambda: not instance.not_ready_reason(),
        lease_s=lambda: instance.membership.lease_s(instance.now()),
        store_reached=lambda: store_reached(instance),
    )
    listeners = settings.listeners
    await instance.peer_server.async_start(
        host=listeners.peers.host,
        port=listeners.peers.port,
    )
    if not listeners.advertised_peers.port:
        instance.member.peer_port = instance.peer_server.port
    operators = HttpServer(
        handler=create_operators_handler(instance),
        limits=ServerLimits(max_body_bytes=MAX_BODY_BYTES),
    )
    await operators.async_start(
        host=listeners.operators.host,
        port=listeners.operators.port,
    )
    instance.member.operator_port = operators.port
    await instance.caller_server.async_start(
        host=listeners.callers.host,
        port=listeners.callers.port,
    )
    instance.event(EventKind.INSTANCE_STARTED, detail=instance.instance_id)
    await instance.instance_list.async_read()
    instance.tasks.spawn(
        instance.instance_list.async_run(), name='instance list'
    )
    instance.tasks.spawn(
        instance.configuration_sync.async_run(), name='configuration'
    )
    instance.owners.start()
    await instance.membership.async_start()
    instance.tasks.spawn(
        _async_close_unused_links(instance), name='housekeeping'
    )
    instance.tasks.spawn(_async_monitor_loop_lag(instance), name='loop lag')
    return RunningInstance(instance=instance, operators=operators)


async def async_shut_down(running: RunningInstance) -> None:
    """Shut down gracefully: drain within the drain limit, then stop."""
    instance = running.instance
    instance.draining = True
    instance.event(EventKind.INSTANCE_DRAINING, detail=instance.instance_id)
    limit_s = instance.settings.limits.drain_ms / MS_PER_SECOND
    try:
        async with asyncio.timeout(limit_s):
            await _async_drain(running)
    except TimeoutError:
        LOGGER.error(
            'drain limit exceeded: closing {} caller connections',
            len(instance.caller_server.connections),
        )
    await async_stop(running)


async def async_stop(running: RunningInstance) -> None:
    """Stop immediately, without draining."""
    instance = running.instance
    instance.event(EventKind.INSTANCE_STOPPED, detail=instance.instance_id)
    await instance.caller_server.async_stop()
    await instance.owners.async_stop()
    await running.operators.async_stop()
    await instance.peer_server.async_stop()
    await instance.pool.async_stop()
    await instance.tasks.async_stop()
    instance.objects.close()


async def async_serve(settings: NodeSettings) -> None:
    """Run an instance until SIGTERM or SIGINT, then drain it.

    A second signal stops it immediately.
    """
    running = await async_start(settings)
    instance = running.instance
    LOGGER.info(
        'serving callers on port {}, peers on {}, operators on {}',
        instance.caller_server.port,
        instance.peer_server.port,
        running.operators.port,
    )
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await signals.get()
    drain = asyncio.create_task(async_shut_down(running))
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait(
        {drain, second_signal}, return_when=asyncio.FIRST_COMPLETED
    )
    second_signal.cancel()
    if not drain.done():
        LOGGER.error(
            'second signal: closing {} caller connections',
            len(instance.caller_server.connections),
        )
        drain.cancel()
        await async_stop(running)


async def _async_drain(running: RunningInstance) -> None:
    """Drain callers, hand targets over and drain peers.

    The callers' listener drains while the instance leaves the membership.
    """
    instance = running.instance
    drain_callers = asyncio.create_task(
        instance.caller_server.async_drain(grace_s=const.DEFAULT_DRAIN_GRACE_S),
    )
    try:
        await instance.membership.async_leave()
    except BitternturnError as error:
        LOGGER.warning('failed to hand targets over before leaving: {}', error)
    await drain_callers
    await instance.peer_server.async_drain()


async def _async_close_unused_links(instance: Instance) -> None:
    """Close unused links to peers periodically."""
    while True:
        await asyncio.sleep(const.CLOSE_UNUSED_LINKS_INTERVAL_S)
        await instance.pool.async_close_unused(instance.now())


async def _async_monitor_loop_lag(instance: Instance) -> None:
    """Report the lag of the loop's timers to admission periodically."""
    while True:
        due_at = instance.now() + const.LOOP_LAG_INTERVAL_S
        cpu_before_s = time.process_time()
        await asyncio.sleep(const.LOOP_LAG_INTERVAL_S)
        instance.admission.on_loop_lag(
            instance.now() - due_at,
            cpu_time_s=time.process_time() - cpu_before_s,
        )
