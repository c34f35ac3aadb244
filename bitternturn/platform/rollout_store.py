"""Reads the orders of roll-outs from the store, and writes their status."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Sequence
from typing import Any, Final

import msgspec

from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import ServiceName
from bitternturn.core.tasks import TaskSet, async_supervise
from bitternturn.gateway.gateway import Gateway
from bitternturn.gateway.rollouts import PAUSE_SETTLE_S, RolloutProgress
from bitternturn.platform import wire_names
from bitternturn.platform.documents import UNREADABLE_ERRORS
from bitternturn.platform.source import RESTART_DELAY_S, KindHandler
from bitternturn.platform.store import (
    ObjectEvent,
    PlatformObject,
    PlatformStore,
)
from bitternturn.policy.rollout import (
    OrderStatus,
    RolloutOrder,
    write_delay_s,
)
from bitternturn.relay.rollout_exchange import RolloutExchange

# Interval at which an instance checks whether a status has to be written.
CHECK_INTERVAL_S: Final = 0.25
# Time until a write that failed is tried again, at first and at most; it
# doubles with each failure.
MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 4.0
# Interval of the lists of the kind while no reader that is followed knows it:
# readers of an older build do not, and an instance is not ready without it.
ALONE_INTERVAL_S: Final = 2.0
# Longest duration that is believed, in seconds.
MAX_DURATION_S: Final = 86_400.0
# Objects with unreadable content that are remembered, so that each is logged
# once.
MAX_UNREAD: Final = 256


class WireOrder(msgspec.Struct, rename='kebab'):
    """Spec of an order."""

    service: str
    target_version: str
    duration_s: float


class WireStatus(msgspec.Struct, rename='kebab'):
    """Status of an order."""

    state: OrderStatus
    target_version: str


def decode_order(stored: PlatformObject) -> RolloutOrder | None:
    """Decode an order; return None if it is unusable.

    A status that can't be read, or that is about another version, counts as
    none.
    """
    try:
        fields = msgspec.convert(stored.spec, WireOrder)
    except UNREADABLE_ERRORS:
        return None
    if not fields.service or not fields.target_version:
        return None
    if not 0 < fields.duration_s <= MAX_DURATION_S:
        return None
    return RolloutOrder(
        service=ServiceName(fields.service),
        version=fields.target_version,
        duration_s=fields.duration_s,
        status=_decode_status(stored.status, fields.target_version),
    )


def _decode_status(status: Any, version: str) -> OrderStatus | None:
    """Decode a status; return None if it is of another order."""
    try:
        fields = msgspec.convert(status, WireStatus)
    except UNREADABLE_ERRORS:
        return None
    return fields.state if fields.target_version == version else None


class RolloutStore:
    """Applies the orders in the store, and writes what has become of them."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        store: PlatformStore,
        exchange: RolloutExchange,
        tasks: TaskSet,
    ) -> None:
        """Initialise; `start` begins to write."""
        self.gateway = gateway
        self.rollouts = gateway.rollouts
        self.store = store
        self.exchange = exchange
        self.tasks = tasks
        # Returns whether the kind is followed, from the store or a reader.
        self.is_followed: Callable[[], bool] = lambda: True
        # When it was listed by this instance alone, or the start.
        self.listed_at = gateway.now()
        # Name of the object of each service, and the service of each object.
        self.names: dict[ServiceName, str] = {}
        self.unread: dict[str, int] = {}
        # Since when each status is wanted, and when it is tried again.
        self.wanted: dict[ServiceName, tuple[str, OrderStatus, float]] = {}
        self.retry_at: dict[ServiceName, float] = {}
        self.retry_s: dict[ServiceName, float] = {}

    def start(self) -> None:
        """Write the status of orders in the background."""
        self.tasks.spawn(
            async_supervise(self._async_run, restart_delay_s=RESTART_DELAY_S)
        )

    def make_handlers(self) -> dict[str, KindHandler]:
        """Return the callbacks for the objects of the kind."""
        bounds = self.gateway.settings.rollout_bounds
        return {
            wire_names.KIND_ROLLOUTS: KindHandler(
                replace_all=self.replace_orders,
                restore_all=self.replace_orders,
                apply_events=self.apply_events,
                effective_within_s=bounds.rollback_s,
            )
        }

    # Orders

    def replace_orders(self, objects: Sequence[PlatformObject]) -> None:
        """Apply a list of the kind; an unreadable object changes nothing."""
        orders = {}
        known = {name: service for service, name in self.names.items()}
        for stored in objects:
            order = self._decode(stored)
            service = known.get(stored.meta.name)
            if order is not None:
                orders[order.service] = order
            elif service is not None and service in self.rollouts.progress:
                orders[service] = self.rollouts.progress[service].state.order
        self.rollouts.replace_orders(orders)
        self.gateway.fleet_state.orders_known = True

    def apply_events(self, events: Sequence[ObjectEvent]) -> None:
        """Apply changes of orders."""
        for event in events:
            if event.deleted:
                self._remove(event.object.meta.name)
                continue
            order = self._decode(event.object)
            if order is not None:
                self.rollouts.apply_order(order)

    def _decode(self, stored: PlatformObject) -> RolloutOrder | None:
        """Decode an order; log an unreadable one once."""
        name = stored.meta.name
        order = decode_order(stored)
        if order is not None:
            self.unread.pop(name, None)
            self.names[order.service] = name
        elif name not in self.unread and len(self.unread) < MAX_UNREAD:
            self.unread[name] = stored.meta.revision
            self.gateway.decisions.write('rollout_unread', name=name)
        return order

    def _remove(self, name: str) -> None:
        """Withdraw the order of an object that was deleted."""
        for service, known in list(self.names.items()):
            if known == name:
                del self.names[service]
                self.rollouts.remove_order(service)

    # Status

    async def _async_run(self) -> None:
        """Write the status of each order that this instance has to write."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.async_list_alone()
            for service in list(self.rollouts.progress):
                await self.async_check(service)

    async def async_list_alone(self) -> None:
        """List the orders if no reader that is followed knows the kind."""
        now = self.gateway.now()
        if self.is_followed() or now - self.listed_at < ALONE_INTERVAL_S:
            return
        self.listed_at = now
        try:
            objects, _ = await self.store.async_list(wire_names.KIND_ROLLOUTS)
        except BitternturnError as error:
            self.gateway.decisions.write('rollouts_not_read', error=str(error))
            return
        if not self.is_followed():
            self.replace_orders(objects)

    async def async_check(self, service: ServiceName) -> None:
        """Write the status of an order if it is this instance's turn."""
        now = self.gateway.now()
        progress = self.rollouts.progress.get(service)
        if progress is None or not self._is_due(progress, now):
            return
        try:
            await self._async_write(progress)
        except BitternturnError as error:
            retry_s = self.retry_s.get(service, MIN_RETRY_S)
            self.retry_s[service] = min(MAX_RETRY_S, 2 * retry_s)
            self.retry_at[service] = self.gateway.now() + retry_s
            self.gateway.decisions.write(
                'rollout_not_written', service=service, error=str(error)
            )
        else:
            self.retry_s.pop(service, None)

    def _is_due(self, progress: RolloutProgress, now: float) -> bool:
        """Return whether this instance writes a status now."""
        service = progress.state.order.service
        wanted = self._find_wanted(progress, now)
        if wanted is None:
            self.wanted.pop(service, None)
            return False
        version = progress.state.order.version
        known = self.wanted.get(service)
        if known is None or known[:2] != (version, wanted):
            self.wanted[service] = (version, wanted, now)
        since = self.wanted[service][2]
        rank = self.exchange.own_rank(progress)
        return now >= max(
            since + write_delay_s(rank), self.retry_at.get(service, -math.inf)
        )

    def _find_wanted(
        self, progress: RolloutProgress, now: float
    ) -> OrderStatus | None:
        """Return the status to write; none right after a pause."""
        if self.gateway.pauses.paused_since(now - PAUSE_SETTLE_S):
            return None
        return self.rollouts.wanted_status(
            progress, self.exchange.reporting_names(progress), now
        )

    async def _async_write(self, progress: RolloutProgress) -> None:
        """Write the wanted status to the object as it is in the store.

        The object is always read first: a status that was written in the
        meantime, by this instance or another one, is final.
        """
        service = progress.state.order.service
        pauses = self.gateway.pauses.count
        stored = await self.store.async_read(
            wire_names.KIND_ROLLOUTS, self.names.get(service, service)
        )
        order = decode_order(stored) if stored is not None else None
        if stored is None or order is None:
            return
        if order != progress.state.order:
            self.rollouts.apply_order(order)
        current = self.rollouts.progress.get(service)
        wanted = None
        if current is progress and pauses == self.gateway.pauses.count:
            wanted = self._find_wanted(progress, self.gateway.now())
        if wanted is None or _is_concluded(order.status, wanted):
            return
        await self.store.async_write_status(
            wire_names.KIND_ROLLOUTS,
            stored,
            {'state': wanted.value, 'target-version': order.version},
        )
        self.gateway.decisions.write(
            'rollout_written',
            service=service,
            version=order.version,
            state=wanted.value,
            reason=progress.state.reason,
            left_s=round(progress.state.deadline - self.gateway.now(), 1),
        )
        self.rollouts.apply_order(dataclasses.replace(order, status=wanted))


def _is_concluded(status: OrderStatus | None, wanted: OrderStatus) -> bool:
    """Return whether a status in the store stands against the wanted one."""
    return status not in {None, OrderStatus.ACTIVE} or status is wanted
