"""Queue of sub-requests of one link, and their pending results."""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bitternturn.core.clock import MS_PER_SECOND, Clock
from bitternturn.core.errors import ErrorCode
from bitternturn.peers import const
from bitternturn.peers.results import in_doubt_result, not_run_result
from bitternturn.schema.peers_pb2 import (
    QueryFrame,
    QueryGroup,
    SubQuery,
    SubResult,
)


class PendingResult(asyncio.Future[SubResult]):
    """Future result of one sub-request; forwards its cancellation."""

    sub_id: int
    written: bool
    on_cancel: Callable[['PendingResult'], None]

    def cancel(self, msg: object = None) -> bool:
        """Cancel the sub-request and call `on_cancel`."""
        if not super().cancel(msg):
            return False
        self.on_cancel(self)
        return True


@dataclass(kw_only=True, slots=True)
class Batch:
    """Sub-requests of one query, queued for the next frame."""

    header: QueryGroup
    items: list[SubQuery]
    pending: list[PendingResult]
    submitted_at: float


class Outbox:
    """Queues sub-requests, adds them to frames and delivers results."""

    def __init__(
        self,
        *,
        capacity: int,
        now: Clock,
        notify_writer: Callable[[], None],
    ) -> None:
        """Initialise empty; `notify_writer` is called when work is queued."""
        self.capacity = capacity
        self.now = now
        self.notify_writer = notify_writer
        self.outstanding: dict[int, PendingResult] = {}
        self.batches: deque[Batch] = deque()
        self.cancels: list[int] = []
        self.last_id = 0
        self.ignored_count = 0

    @property
    def has_queued(self) -> bool:
        """Return whether sub-requests or cancellations are queued."""
        return bool(self.batches or self.cancels)

    def submit(
        self,
        header: QueryGroup,
        items: Sequence[SubQuery],
    ) -> list[asyncio.Future[SubResult]]:
        """Queue the sub-requests of one query; sets the ids of the items."""
        if len(self.outstanding) + len(items) > self.capacity:
            return refuse_all(items, ErrorCode.OVERLOADED)
        if len(header.body) > const.MAX_BODY_BYTES:
            return refuse_all(items, ErrorCode.BODY_TOO_LARGE)
        pending = [self._register(item) for item in items]
        batch = Batch(
            header=header,
            items=list(items),
            pending=pending,
            submitted_at=self.now(),
        )
        self.batches.append(batch)
        self.notify_writer()
        return list[asyncio.Future[SubResult]](pending)

    def fill_frame(self, frame: QueryFrame) -> None:
        """Move queued cancellations and sub-requests into a frame."""
        frame.cancels.extend(self.cancels)
        self.cancels = []
        now = self.now()
        size = 0
        while self.batches and size < const.SOFT_MAX_FRAME_BYTES:
            batch = self.batches.popleft()
            size += len(batch.header.body)
            self._add_to_frame(batch, frame, now)

    def deliver(self, result: SubResult) -> None:
        """Complete the future of a result; ignore an unknown id."""
        pending = self.outstanding.get(result.id)
        if pending is None or not pending.written:
            self.ignored_count += 1
            return
        self.outstanding.pop(result.id)
        pending.set_result(result)

    def fail_all(self, code: ErrorCode, *, may_have_run: bool) -> None:
        """Complete all outstanding sub-requests with an error code.

        `may_have_run` is false only if the peer certainly started none.
        """
        outstanding = list(self.outstanding.values())
        self.outstanding.clear()
        self.batches.clear()
        self.cancels = []
        for pending in outstanding:
            in_flight = pending.written and may_have_run
            make_result = in_doubt_result if in_flight else not_run_result
            pending.set_result(make_result(pending.sub_id, code))

    def _register(self, item: SubQuery) -> PendingResult:
        """Assign an item an id that no outstanding sub-request has."""
        self.last_id = self.last_id % const.MAX_SUB_REQUEST_ID + 1
        while self.last_id in self.outstanding:
            self.last_id = self.last_id % const.MAX_SUB_REQUEST_ID + 1
        item.id = self.last_id
        pending = PendingResult()
        pending.sub_id = self.last_id
        pending.written = False
        pending.on_cancel = self._handle_cancel
        self.outstanding[self.last_id] = pending
        return pending

    def _add_to_frame(
        self, batch: Batch, frame: QueryFrame, now: float
    ) -> None:
        """Add one batch to a frame; expire it if its deadline has passed."""
        waited_ms = int((now - batch.submitted_at) * MS_PER_SECOND)
        if waited_ms and waited_ms >= batch.header.remaining_ms:
            self._expire_batch(batch)
            return
        group = frame.groups.add()
        group.CopyFrom(batch.header)
        group.remaining_ms = max(group.remaining_ms - waited_ms, 0)
        group.ClearField('items')
        for item, pending in zip(batch.items, batch.pending, strict=True):
            if not pending.done():
                pending.written = True
                group.items.append(item)

    def _expire_batch(self, batch: Batch) -> None:
        """Complete the sub-requests of an expired batch as not run."""
        for pending in batch.pending:
            if self.outstanding.pop(pending.sub_id, None) is not None:
                pending.set_result(
                    not_run_result(pending.sub_id, ErrorCode.DEADLINE),
                )

    def _handle_cancel(self, pending: PendingResult) -> None:
        """Queue the cancellation of a sub-request that was already written."""
        was_outstanding = self.outstanding.pop(pending.sub_id, None)
        if was_outstanding is not None and pending.written:
            self.cancels.append(pending.sub_id)
            self.notify_writer()


def refuse_all(
    items: Sequence[SubQuery],
    code: ErrorCode,
) -> list[asyncio.Future[SubResult]]:
    """Return a completed future with a not-run result for each item."""
    loop = asyncio.get_running_loop()
    refused = []
    for item in items:
        future: asyncio.Future[SubResult] = loop.create_future()
        future.set_result(not_run_result(item.id, code))
        refused.append(future)
    return refused
