"""Owner of targets: the only instance that sends to them."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Iterator

from bitternturn.core.clock import Clock, monotonic
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import TargetId
from bitternturn.core.metrics import TargetLoad
from bitternturn.core.tasks import TaskSet
from bitternturn.owners import const
from bitternturn.owners.models import (
    OwnerContext,
    OwnerCounts,
    OwnershipQueries,
    PoolSettings,
    make_sub_request,
)
from bitternturn.owners.target import OwnedTarget
from bitternturn.peers.results import not_run_result
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.peers_pb2 import (
    QueryGroup,
    SubQuery,
    SubResult,
    TargetState,
)
from bitternturn.timeline.models import EventSink

_REQUEST_ID_PREFIX_BITS = 48


class OwnerService:
    """Runs sub-requests at the targets that this instance owns."""

    def __init__(
        self,
        *,
        find_target: Callable[[TargetId], Target | None],
        ownership: OwnershipQueries,
        event: EventSink,
        tasks: TaskSet,
        pool: PoolSettings | None = None,
        queue_capacity: int = const.DEFAULT_QUEUE_CAPACITY,
        now: Clock = monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Initialise without targets."""
        rng = rng or random.Random()
        self.find_target = find_target
        self.targets: dict[TargetId, OwnedTarget] = {}
        self.context = OwnerContext(
            ownership=ownership,
            pool=pool or PoolSettings(),
            queue_capacity=queue_capacity,
            now=now,
            event=event,
            tasks=tasks,
            rng=rng,
            next_request_id=_make_request_ids(rng),
        )

    @property
    def counts(self) -> OwnerCounts:
        """Counters since the start."""
        return self.context.counts

    def iter_readings(self) -> Iterator[TargetLoad]:
        """Yield the gauges of each owned target."""
        now = self.context.now()
        for target_id, owned in self.targets.items():
            yield TargetLoad(
                target=target_id,
                limit=owned.limits.max_in_flight(now),
                in_flight=owned.in_flight,
                queued=len(owned.queue),
            )

    def start(self) -> None:
        """Start the maintenance of connections and queues."""
        self.context.tasks.spawn(self._async_maintain(), name='owners')

    def submit(
        self,
        group: QueryGroup,
        item: SubQuery,
    ) -> asyncio.Future[SubResult]:
        """Submit a sub-request; the future raises only when cancelled."""
        now = self.context.now()
        sub_request = make_sub_request(group, item, now)
        target_id = TargetId(item.target)
        owned = self.targets.get(target_id) or self._add_target(target_id)
        if owned is None:
            code = ErrorCode.NOT_OWNER
            if self.context.ownership.owns(target_id):
                code = ErrorCode.TARGET_UNAVAILABLE
            sub_request.set_result(not_run_result(item.id, code))
        else:
            owned.submit(sub_request, now)
        return sub_request

    async def async_run(self, group: QueryGroup, item: SubQuery) -> SubResult:
        """Run a sub-request and return its result."""
        return await self.submit(group, item)

    def preconnect(self, targets: Iterable[TargetId]) -> None:
        """Open connections to owned targets ahead of the first request."""
        now = self.context.now()
        for target_id in targets:
            owned = self.targets.get(target_id) or self._add_target(target_id)
            if owned is not None:
                owned.process_queue(now)

    def process_queues(self) -> None:
        """Process all queues after a change of leases, owners or switches."""
        now = self.context.now()
        for owned in list(self.targets.values()):
            owned.process_queue(now)

    def restore_target(self, state: TargetState) -> None:
        """Restore a target from the state of its previous owner."""
        target_id = TargetId(state.target)
        owned = self.targets.get(target_id) or self._add_target(target_id)
        if owned is not None:
            owned.restore(state, self.context.now())

    async def async_release(
        self,
        targets: Iterable[TargetId],
    ) -> list[TargetState]:
        """Stop sending to targets; return their states once none is in use.

        Queued sub-requests are refused as not run. A target that this instance
        has never sent to is reported as cold.
        """
        target_ids = list(targets)
        for target_id in target_ids:
            owned = self.targets.get(target_id)
            if owned is not None:
                owned.stop_sending()
        return await asyncio.gather(
            *(self._async_release(target_id) for target_id in target_ids),
        )

    async def async_stop(self) -> None:
        """Refuse queued sub-requests and close all connections."""
        for owned in self.targets.values():
            owned.stop_sending()
            owned.close()
        self.targets.clear()

    async def _async_release(self, target_id: TargetId) -> TargetState:
        """Release one target."""
        owned = self.targets.get(target_id)
        if owned is None:
            return TargetState(target=target_id)
        state = await owned.async_release()
        if self.targets.get(target_id) is owned:
            self.targets.pop(target_id)
        return state

    async def _async_maintain(self) -> None:
        """Run the maintenance periodically."""
        while True:
            await asyncio.sleep(const.MAINTENANCE_INTERVAL_S)
            self.maintain(self.context.now())

    def maintain(self, now: float) -> None:
        """Apply the configuration and maintain each target."""
        for target_id, owned in list(self.targets.items()):
            target = self.find_target(target_id)
            if target is not None and target != owned.target:
                owned.update_target(target)
            owned.maintain(now)
            if owned.handover_expired(now):
                owned.close()
                self.targets.pop(target_id)

    def _add_target(self, target_id: TargetId) -> OwnedTarget | None:
        """Add a target if this instance owns it."""
        target = self.find_target(target_id)
        if target is None or not self.context.ownership.owns(target_id):
            return None
        owned = OwnedTarget(target=target, context=self.context)
        self.targets[target_id] = owned
        return owned


def _make_request_ids(rng: random.Random) -> Callable[[str], str]:
    """Return a function that makes a unique id for each send."""
    prefix = f'{rng.getrandbits(_REQUEST_ID_PREFIX_BITS):x}'
    numbers = itertools.count()

    def next_request_id(query_id: str) -> str:
        return f'{query_id}.{prefix}.{next(numbers):x}'

    return next_request_id
