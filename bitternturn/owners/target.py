"""One target at its owner: queue, slots and requests in flight."""

import asyncio
from typing import Final

from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import TargetId
from bitternturn.owners import const
from bitternturn.owners.limits import TargetLimits
from bitternturn.owners.models import OwnerContext, SubRequest
from bitternturn.owners.pool import ConnectionPool, PoolHooks
from bitternturn.owners.request_sender import RequestSender, SenderHooks
from bitternturn.peers.results import in_doubt_result, not_run_result
from bitternturn.policy.admission import AdmissionQueue
from bitternturn.policy.cold_start import ColdState
from bitternturn.policy.deadline import can_finish
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.peers_pb2 import (
    OUTCOME_NOT_RUN,
    SubResult,
    TargetState,
)
from bitternturn.timeline.models import EventKind

_STATE_EVENTS: Final = {
    ColdState.COLD: EventKind.TARGET_COLD,
    ColdState.RAMPING: EventKind.TARGET_RAMPING,
    ColdState.WARM: EventKind.TARGET_WARM,
}


class OwnedTarget:
    """Queues and sends sub-requests to one target.

    Nothing else in the tier sends to the target.
    """

    def __init__(
        self,
        *,
        target: Target,
        context: OwnerContext,
    ) -> None:
        """Initialise with an empty queue and no connection."""
        self.id = TargetId(target.id)
        self.target = target
        self.context = context
        self.limits = TargetLimits(target=target)
        self.queue: AdmissionQueue[SubRequest] = AdmissionQueue(
            slots=target.slots,
            capacity=context.queue_capacity,
        )
        self.released = False
        self.pool = self._make_pool()
        self.sender = RequestSender(
            target_id=self.id,
            context=context,
            limits=self.limits,
            pool=self.pool,
            hooks=SenderHooks(
                resolve=self._resolve,
                requeue=self._requeue,
                on_served=self.queue.record_service_time,
                on_slot_freed=self._on_slot_freed,
            ),
        )
        self._emitted_state = self.limits.cold.state
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float = 0
        self._last_owned_at = context.now()

    @property
    def cold_start_state(self) -> str:
        """State of the cold start, for reports."""
        return self.limits.cold.state.value

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return len(self.sender.in_flight)

    def submit(self, sub_request: SubRequest, now: float) -> None:
        """Send, queue or refuse a sub-request."""
        code = self._refusal_code(now)
        if code is None and self._starts_after_deadline(sub_request):
            code = ErrorCode.NOT_OWNER
        if code is not None:
            self._resolve(
                sub_request, not_run_result(sub_request.item.id, code)
            )
            return
        sub_request.on_cancel = self._on_cancel
        if not len(self.queue) and self._try_send(sub_request, now):
            return
        self.queue.slots = self.limits.max_in_flight(now)
        refusal = self.queue.enqueue(sub_request.entry, now)
        if refusal is not None:
            result = not_run_result(
                sub_request.item.id,
                refusal.code,
                retry_after_ms=refusal.retry_after_ms,
            )
            self._resolve(sub_request, result)
        self.process_queue(now)

    def process_queue(self, now: float) -> None:
        """Send queued sub-requests within the limits; reject expired ones."""
        code = self._refusal_code(now)
        if code is not None:
            for entry in self.queue.drain():
                self._resolve(
                    entry.item, not_run_result(entry.item.item.id, code)
                )
        while len(self.queue) and self._may_send(now):
            connection = self.pool.acquire(now)
            if connection is None:
                break
            next_entry = self.queue.dequeue(now)
            if next_entry is None:
                self.pool.put_back_unused(connection)
                break
            self.sender.send(next_entry.item, connection)
        self.pool.open_missing(now)
        self._reject_expired(now)
        self._schedule_timer(now)

    def maintain(self, now: float) -> None:
        """Maintain the connections and process the queue."""
        self.pool.maintain(now)
        if self.limits.draining(now) and self.pool.idle:
            self.pool.check_oldest_idle()
        self._emit_state_change()
        self.process_queue(now)

    def restore(self, state: TargetState, now: float) -> None:
        """Restore the state that the previous owner handed over."""
        self.limits.restore(state)
        self._emit_state_change()
        self.process_queue(now)

    def update_target(self, target: Target) -> None:
        """Apply a changed definition; a new address resets the cold start."""
        address_changed = (target.host, target.port) != (
            self.target.host,
            self.target.port,
        )
        self.target = target
        self.limits.update(target)
        self.queue.slots = self.limits.concurrency.slots
        if address_changed:
            self.pool.close()
            self.pool = self._make_pool()
            self.sender.pool = self.pool
            self.limits.cold.reset(self.context.now())

    def stop_sending(self) -> None:
        """Stop sending and refuse queued sub-requests."""
        self.released = True
        self.process_queue(self.context.now())

    async def async_release(self) -> TargetState:
        """Return the state when nothing runs; call `stop_sending` first."""
        await self.sender.async_wait_until_idle()
        self.close()
        return self.limits.to_state(self.id)

    def handover_expired(self, now: float) -> bool:
        """Whether a lost target was not released in time and is idle."""
        if self.released or self.context.ownership.owns(self.id):
            self._last_owned_at = now
        timed_out = now - self._last_owned_at >= const.HANDOVER_TIMEOUT_S
        return timed_out and not self.sender.count(now)

    def close(self) -> None:
        """Close the connections and cancel the timer."""
        self.pool.close()
        if self._timer is not None:
            self._timer.cancel()

    def _make_pool(self) -> ConnectionPool:
        """Return a pool for the target's address."""
        context = self.context
        return ConnectionPool(
            host=self.target.host,
            port=self.target.port,
            settings=context.pool,
            hooks=PoolHooks(
                wanted=self.limits.wanted_connections,
                limit=self.limits.max_connections,
                may_write=self._may_write,
                on_change=lambda: self.process_queue(context.now()),
                on_lost=lambda: self.limits.cold.on_connection_lost(
                    context.now()
                ),
                on_health=self.limits.apply_health,
            ),
            now=context.now,
            rng=context.rng,
            tasks=context.tasks,
        )

    def _refusal_code(self, now: float) -> ErrorCode | None:
        """Return why sub-requests are refused now, None if accepted."""
        ownership = self.context.ownership
        if self.released or not ownership.owns(self.id):
            return ErrorCode.NOT_OWNER
        if ownership.is_switched_out(self.id):
            return ErrorCode.TARGET_OUT
        if self.limits.draining(now):
            return ErrorCode.DRAINING
        if self.pool.is_unreachable(now):
            return ErrorCode.TARGET_UNAVAILABLE
        return None

    def _starts_after_deadline(self, sub_request: SubRequest) -> bool:
        """Whether sending starts only after a sub-request's deadline."""
        return (
            self.context.ownership.earliest_send_at(self.id)
            > sub_request.deadline
        )

    def _may_write(self, now: float) -> bool:
        """Whether this instance may write to the target now."""
        return not self.released and self.sender.may_write(now)

    def _may_send(self, now: float) -> bool:
        """Whether one more request may be sent now."""
        return self.sender.count(now) < self.limits.max_in_flight(
            now,
        ) and self._may_write(now)

    def _try_send(self, sub_request: SubRequest, now: float) -> bool:
        """Send without queueing if possible; return whether it was sent."""
        service = self.queue.service_time
        expected_s = service.best_s * service.decay_factor(now)
        if not can_finish(
            deadline=sub_request.deadline,
            now=now,
            expected_s=expected_s,
        ):
            return False
        if not self._may_send(now):
            return False
        connection = self.pool.acquire(now)
        if connection is None:
            return False
        self.sender.send(sub_request, connection)
        return True

    def _requeue(self, sub_request: SubRequest, now: float) -> bool:
        """Queue a sub-request again; return whether it was accepted."""
        return self.queue.enqueue(sub_request.entry, now) is None

    def _on_slot_freed(self, now: float) -> None:
        """Process the queue after a request has ended."""
        self._emit_state_change()
        self.process_queue(now)

    def _on_cancel(self, sub_request: SubRequest) -> None:
        """Remove a cancelled sub-request from the queue or its target."""
        self.context.counts.cancelled += 1
        if sub_request.sent_request is None:
            self.queue.remove(sub_request.entry)
        else:
            self.sender.cancel(sub_request.sent_request, self.context.now())

    def _reject_expired(self, now: float) -> None:
        """Reject queued sub-requests that cannot meet their deadlines."""
        for entry in self.queue.pop_expired(
            now + const.QUEUE_DEADLINE_MARGIN_S
        ):
            sub_request = entry.item
            self._resolve(
                sub_request,
                not_run_result(sub_request.item.id, ErrorCode.DEADLINE),
            )

    def _resolve(self, sub_request: SubRequest, result: SubResult) -> None:
        """Set the result of a sub-request.

        If an earlier send may have been run, `not run` becomes in doubt.
        """
        sub_request.on_cancel = None
        if sub_request.done():
            return
        if sub_request.possibly_run and result.outcome == OUTCOME_NOT_RUN:
            result = in_doubt_result(
                sub_request.item.id, ErrorCode(result.code)
            )
        sub_request.set_result(result)

    def _schedule_timer(self, now: float) -> None:
        """Schedule processing for the next deadline or freed held slot."""
        deadline = self.queue.next_deadline()
        if deadline is None:
            return
        due_at = deadline - const.QUEUE_DEADLINE_MARGIN_S
        slot_end = self.sender.held.next_end(now, strict=not self.limits.warm)
        if slot_end is not None:
            due_at = min(due_at, slot_end)
        if self._timer is not None:
            if now < self._timer_at <= due_at:
                return
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = asyncio.get_running_loop().call_later(
            max(due_at - now, 0),
            lambda: self.process_queue(self.context.now()),
        )

    def _emit_state_change(self) -> None:
        """Emit an event if the state of the cold start has changed."""
        state = self.limits.cold.state
        if state is not self._emitted_state:
            self._emitted_state = state
            self.context.event(_STATE_EVENTS[state], target=self.id)
