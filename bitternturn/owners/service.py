"""The owner of targets: the only instance that sends to them."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Iterator

from bitternturn.core.clock import Clock, monotonic
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import TargetId
from bitternturn.core.metrics import TargetReading
from bitternturn.core.tasks import TaskSet
from bitternturn.owners import const
from bitternturn.owners.models import (
    OwnerContext,
    OwnerCounts,
    Ownership,
    PoolSettings,
    make_work,
)
from bitternturn.owners.target import OwnedTarget
from bitternturn.peers.results import not_run
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.peers_pb2 import (
    QueryGroup,
    SubQuery,
    SubResult,
    TargetState,
)
from bitternturn.timeline.models import EventSink

_PREFIX_BITS = 48


class OwnerService:
    """Runs sub-requests at the targets that this instance owns."""

    def __init__(
        self,
        *,
        target_of: Callable[[TargetId], Target | None],
        ownership: Ownership,
        event: EventSink,
        tasks: TaskSet,
        pool: PoolSettings | None = None,
        queue_capacity: int = const.DEFAULT_QUEUE_CAPACITY,
        now: Clock = monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Start with no target."""
        rng = rng or random.Random()
        self.target_of = target_of
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
        """Totals since the start."""
        return self.context.counts

    def readings(self) -> Iterator[TargetReading]:
        """Yield what is counted at each owned target."""
        now = self.context.now()
        for target_id, owned in self.targets.items():
            yield TargetReading(
                target=target_id,
                limit=owned.limits.in_flight(now),
                in_flight=owned.in_flight,
                queued=len(owned.queue),
            )

    def start(self) -> None:
        """Look after connections and queues in the background."""
        self.context.tasks.spawn(self._async_maintain(), name='owners')

    def submit(
        self,
        group: QueryGroup,
        item: SubQuery,
    ) -> asyncio.Future[SubResult]:
        """Begin a sub-request; only its cancellation makes the future raise."""
        now = self.context.now()
        work = make_work(group, item, now)
        target_id = TargetId(item.target)
        owned = self.targets.get(target_id) or self._own(target_id)
        if owned is None:
            code = ErrorCode.NOT_OWNER
            if self.context.ownership.owns(target_id):
                code = ErrorCode.TARGET_UNAVAILABLE
            work.set_result(not_run(item.id, code))
        else:
            owned.offer(work, now)
        return work

    async def async_run(self, group: QueryGroup, item: SubQuery) -> SubResult:
        """Run a sub-request."""
        return await self.submit(group, item)

    def prepare(self, targets: Iterable[TargetId]) -> None:
        """Connect ahead of need to targets that are owned."""
        now = self.context.now()
        for target_id in targets:
            owned = self.targets.get(target_id) or self._own(target_id)
            if owned is not None:
                owned.pump(now)

    def wake(self) -> None:
        """Act on a change of leases, ownership or switches at once."""
        now = self.context.now()
        for owned in list(self.targets.values()):
            owned.pump(now)

    def adopt(self, state: TargetState) -> None:
        """Take over a target with the state of its earlier owner."""
        target_id = TargetId(state.target)
        owned = self.targets.get(target_id) or self._own(target_id)
        if owned is not None:
            owned.adopt(state, self.context.now())

    async def async_release(
        self,
        targets: Iterable[TargetId],
    ) -> list[TargetState]:
        """Send nothing more to targets; return their states once all is quiet.

        Queued sub-requests are refused as not run. A target that was never
        sent to has the state of a cold one.
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
        """Close every connection; refuse what is queued."""
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
        """Maintain every target again and again."""
        while True:
            await asyncio.sleep(const.MAINTENANCE_S)
            self.maintain(self.context.now())

    def maintain(self, now: float) -> None:
        """Follow the configuration and look after each target."""
        for target_id, owned in list(self.targets.items()):
            target = self.target_of(target_id)
            if target is not None and target != owned.target:
                owned.refresh(target)
            owned.maintain(now)
            if owned.abandoned(now):
                owned.close()
                self.targets.pop(target_id)

    def _own(self, target_id: TargetId) -> OwnedTarget | None:
        """Begin with a target if it is this instance's."""
        target = self.target_of(target_id)
        if target is None or not self.context.ownership.owns(target_id):
            return None
        owned = OwnedTarget(target=target, context=self.context)
        self.targets[target_id] = owned
        return owned


def _make_request_ids(rng: random.Random) -> Callable[[str], str]:
    """Return a function that makes an id for each try of a query."""
    prefix = f'{rng.getrandbits(_PREFIX_BITS):x}'
    numbers = itertools.count()

    def next_request_id(query_id: str) -> str:
        return f'{query_id}.{prefix}.{next(numbers):x}'

    return next_request_id
