"""Start and graceful shutdown of an instance."""

import asyncio
import signal
import time
from dataclasses import dataclass

import logbook

from bitternturn.administration.const import DEFAULT_BODY_BYTES
from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.errors import BitternturnError
from bitternturn.daemon import const
from bitternturn.daemon.node import Node
from bitternturn.daemon.observe import observe_instance
from bitternturn.daemon.operators import create_operators, store_reached
from bitternturn.http.server import HttpServer, ServerLimits
from bitternturn.schema.settings_pb2 import NodeSettings
from bitternturn.timeline.models import EventKind

LOGGER = logbook.Logger('daemon')


@dataclass(kw_only=True, slots=True)
class RunningNode:
    """An instance that runs, with its operators' listener."""

    node: Node
    operators: HttpServer


async def async_start(settings: NodeSettings) -> RunningNode:
    """Start an instance; it takes queries once `Node.unready` is empty."""
    node = Node(settings=settings)
    observe_instance(
        node.metrics,
        ready=lambda: not node.unready(),
        lease_s=lambda: node.membership.lease_s(node.now()),
        store_reached=lambda: store_reached(node),
    )
    listeners = settings.listeners
    await node.peer_server.async_start(
        host=listeners.peers.host,
        port=listeners.peers.port,
    )
    if not listeners.advertised_peers.port:
        node.member.peer_port = node.peer_server.port
    operators = HttpServer(
        handler=create_operators(node),
        limits=ServerLimits(body_bytes=DEFAULT_BODY_BYTES),
    )
    await operators.async_start(
        host=listeners.operators.host,
        port=listeners.operators.port,
    )
    node.member.operator_port = operators.port
    await node.callers.async_start(
        host=listeners.callers.host,
        port=listeners.callers.port,
    )
    node.event(EventKind.INSTANCE_STARTED, detail=node.instance_id)
    await node.hints.async_read()
    node.tasks.spawn(node.hints.async_follow(), name='instance list')
    node.tasks.spawn(node.configuration_sync.async_run(), name='configuration')
    node.owners.start()
    await node.membership.async_start()
    node.tasks.spawn(_async_housekeeping(node), name='housekeeping')
    node.tasks.spawn(_async_watch_lag(node), name='loop lag')
    return RunningNode(node=node, operators=operators)


async def async_shut_down(running: RunningNode) -> None:
    """Leave without cutting a request, within the drain limit."""
    node = running.node
    node.draining = True
    node.event(EventKind.INSTANCE_DRAINING, detail=node.instance_id)
    limit_s = node.settings.limits.drain_ms / MS_PER_SECOND
    try:
        async with asyncio.timeout(limit_s):
            await _async_drain(running)
    except TimeoutError:
        LOGGER.error(
            'drain limit passed: {} callers cut',
            len(node.callers.connections),
        )
    await async_stop(running)


async def async_stop(running: RunningNode) -> None:
    """Stop at once."""
    node = running.node
    node.event(EventKind.INSTANCE_STOPPED, detail=node.instance_id)
    await node.callers.async_stop()
    await node.owners.async_stop()
    await running.operators.async_stop()
    await node.peer_server.async_stop()
    await node.pool.async_stop()
    await node.tasks.async_stop()
    node.objects.close()


async def async_serve(settings: NodeSettings) -> None:
    """Run an instance until SIGTERM or SIGINT; a second one ends it at once."""
    running = await async_start(settings)
    node = running.node
    LOGGER.info(
        'serving callers on port {}, peers on {}, operators on {}',
        node.callers.port,
        node.peer_server.port,
        running.operators.port,
    )
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await signals.get()
    drain = asyncio.create_task(async_shut_down(running))
    second = asyncio.create_task(signals.get())
    await asyncio.wait({drain, second}, return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if not drain.done():
        LOGGER.error(
            'second signal: {} callers cut',
            len(node.callers.connections),
        )
        drain.cancel()
        await async_stop(running)


async def _async_drain(running: RunningNode) -> None:
    """Move callers away, hand targets over, answer what is in flight."""
    node = running.node
    drain_callers = asyncio.create_task(
        node.callers.async_drain(grace_s=const.DEFAULT_DRAIN_GRACE_S),
    )
    try:
        await node.membership.async_leave()
    except BitternturnError as error:
        LOGGER.warning('left without a hand-over: {}', error)
    await drain_callers
    await node.peer_server.async_drain()


async def _async_housekeeping(node: Node) -> None:
    """Close links that nobody uses."""
    while True:
        await asyncio.sleep(const.CLOSE_UNUSED_INTERVAL_S)
        await node.pool.async_close_unused(node.now())


async def _async_watch_lag(node: Node) -> None:
    """Tell admission how late the loop's timers are."""
    while True:
        due = node.now() + const.LAG_INTERVAL_S
        used_before_s = time.process_time()
        await asyncio.sleep(const.LAG_INTERVAL_S)
        node.admission.on_lag(
            node.now() - due,
            used_s=time.process_time() - used_before_s,
        )
