"""Sub-requests of one link between submission and result."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bitternturn.core.clock import MS_PER_SECOND, Clock
from bitternturn.core.errors import ErrorCode
from bitternturn.peers import const
from bitternturn.peers.results import in_doubt, not_run
from bitternturn.schema.peers_pb2 import (
    QueryFrame,
    QueryGroup,
    SubQuery,
    SubResult,
)


class PendingResult(asyncio.Future[SubResult]):
    """The result of one sub-request; cancelling it reaches the owner."""

    sub_id: int
    written: bool
    on_cancel: Callable[['PendingResult'], None]

    def cancel(self, msg: object = None) -> bool:
        """Cancel the sub-request."""
        if not super().cancel(msg):
            return False
        self.on_cancel(self)
        return True


@dataclass(kw_only=True, slots=True)
class Batch:
    """Sub-requests of one query that wait for the next frame."""

    head: QueryGroup
    items: list[SubQuery]
    pending: list[PendingResult]
    submitted_at: float


class Outbox:
    """Queues sub-requests, builds frames of them and matches results."""

    def __init__(
        self,
        *,
        capacity: int,
        now: Clock,
        wake: Callable[[], None],
    ) -> None:
        """Start empty; `wake` is called when a frame is due."""
        self.capacity = capacity
        self.now = now
        self.wake = wake
        self.outstanding: dict[int, PendingResult] = {}
        self.batches: deque[Batch] = deque()
        self.cancels: list[int] = []
        self.last_id = 0
        self.ignored = 0

    @property
    def due(self) -> bool:
        """Whether a frame has to be written."""
        return bool(self.batches or self.cancels)

    def submit(
        self,
        head: QueryGroup,
        items: Sequence[SubQuery],
    ) -> list[asyncio.Future[SubResult]]:
        """Queue the sub-requests of one query; sets the items' ids."""
        if len(self.outstanding) + len(items) > self.capacity:
            return refuse(items, ErrorCode.OVERLOADED)
        if len(head.body) > const.MAX_BODY_BYTES:
            return refuse(items, ErrorCode.BODY_TOO_LARGE)
        pending = [self._register(item) for item in items]
        batch = Batch(
            head=head,
            items=list(items),
            pending=pending,
            submitted_at=self.now(),
        )
        self.batches.append(batch)
        self.wake()
        return list[asyncio.Future[SubResult]](pending)

    def fill(self, frame: QueryFrame) -> None:
        """Move cancellations and queued sub-requests into a frame."""
        frame.cancels.extend(self.cancels)
        self.cancels = []
        now = self.now()
        size = 0
        while self.batches and size < const.FRAME_BYTES:
            batch = self.batches.popleft()
            size += len(batch.head.body)
            self._write(batch, frame, now)

    def take(self, result: SubResult) -> None:
        """Give a result to its waiter; unknown ids are ignored."""
        pending = self.outstanding.get(result.id)
        if pending is None or not pending.written:
            self.ignored += 1
            return
        self.outstanding.pop(result.id)
        pending.set_result(result)

    def fail(self, code: ErrorCode, *, ran: bool) -> None:
        """End everything outstanding.

        `ran` is false only when the peer surely started nothing of it.
        """
        outstanding = list(self.outstanding.values())
        self.outstanding.clear()
        self.batches.clear()
        self.cancels = []
        for pending in outstanding:
            in_flight = pending.written and ran
            settle = in_doubt if in_flight else not_run
            pending.set_result(settle(pending.sub_id, code))

    def _register(self, item: SubQuery) -> PendingResult:
        """Give an item an id that no outstanding one has."""
        self.last_id = self.last_id % const.MAX_SUB_ID + 1
        while self.last_id in self.outstanding:
            self.last_id = self.last_id % const.MAX_SUB_ID + 1
        item.id = self.last_id
        pending = PendingResult()
        pending.sub_id = self.last_id
        pending.written = False
        pending.on_cancel = self._forget
        self.outstanding[self.last_id] = pending
        return pending

    def _write(self, batch: Batch, frame: QueryFrame, now: float) -> None:
        """Put one batch into a frame."""
        waited_ms = int((now - batch.submitted_at) * MS_PER_SECOND)
        if waited_ms and waited_ms >= batch.head.remaining_ms:
            self._expire(batch)
            return
        group = frame.groups.add()
        group.CopyFrom(batch.head)
        group.remaining_ms = max(group.remaining_ms - waited_ms, 0)
        group.ClearField('items')
        for item, pending in zip(batch.items, batch.pending, strict=True):
            if not pending.done():
                pending.written = True
                group.items.append(item)

    def _expire(self, batch: Batch) -> None:
        """End a batch whose deadline passed before it was written."""
        for pending in batch.pending:
            if self.outstanding.pop(pending.sub_id, None) is not None:
                pending.set_result(
                    not_run(pending.sub_id, ErrorCode.DEADLINE),
                )

    def _forget(self, pending: PendingResult) -> None:
        """Pass a cancellation on to the owner."""
        known = self.outstanding.pop(pending.sub_id, None)
        if known is not None and pending.written:
            self.cancels.append(pending.sub_id)
            self.wake()


def refuse(
    items: Sequence[SubQuery],
    code: ErrorCode,
) -> list[asyncio.Future[SubResult]]:
    """Return a settled refusal for each item."""
    loop = asyncio.get_running_loop()
    refused = []
    for item in items:
        future: asyncio.Future[SubResult] = loop.create_future()
        future.set_result(not_run(item.id, code))
        refused.append(future)
    return refused
