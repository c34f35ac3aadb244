"""One target at its owner: the queue, the slots and what is in flight."""

import asyncio
from typing import Final

from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import TargetId
from bitternturn.owners import const
from bitternturn.owners.flights import FlightHooks, Flights
from bitternturn.owners.limits import TargetLimits
from bitternturn.owners.models import (
    OwnerContext,
    Work,
)
from bitternturn.owners.pool import ConnectionPool, PoolHooks
from bitternturn.peers.results import in_doubt, not_run
from bitternturn.policy.admission import AdmissionQueue
from bitternturn.policy.coldstart import ColdState
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
    """Admits work to one target; nothing else of the tier sends to it."""

    def __init__(
        self,
        *,
        target: Target,
        context: OwnerContext,
    ) -> None:
        """Start with an empty queue and no connection."""
        self.id = TargetId(target.id)
        self.target = target
        self.context = context
        self.limits = TargetLimits(target=target)
        self.queue: AdmissionQueue[Work] = AdmissionQueue(
            slots=target.slots,
            capacity=context.queue_capacity,
        )
        self.released = False
        self.pool = self._make_pool()
        self.flights = Flights(
            target_id=self.id,
            context=context,
            limits=self.limits,
            pool=self.pool,
            hooks=FlightHooks(
                settle=self._settle,
                requeue=self._requeue,
                on_served=self.queue.on_served,
                on_landed=self._on_landed,
            ),
        )
        self._told_state = self.limits.cold.state
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float = 0
        self._owned_at = context.now()

    @property
    def phase(self) -> str:
        """State of the cold start, in words."""
        return self.limits.cold.state.value

    @property
    def in_flight(self) -> int:
        """Requests that were sent and have not ended."""
        return len(self.flights.flights)

    def offer(self, work: Work, now: float) -> None:
        """Send a sub-request now, let it wait, or refuse it."""
        code = self._refusal(now)
        if code is None and self._starts_too_late(work):
            code = ErrorCode.NOT_OWNER
        if code is not None:
            self._settle(work, not_run(work.item.id, code))
            return
        work.on_cancel = self._on_cancel
        if not len(self.queue) and self._send_at_once(work, now):
            return
        self.queue.slots = self.limits.in_flight(now)
        refusal = self.queue.offer(work.entry, now)
        if refusal is not None:
            result = not_run(
                work.item.id,
                refusal.code,
                retry_after_ms=refusal.retry_after_ms,
            )
            self._settle(work, result)
        self.pump(now)

    def pump(self, now: float) -> None:
        """Send what may be sent; answer what can't be sent any more."""
        code = self._refusal(now)
        if code is not None:
            for entry in self.queue.drain():
                self._settle(entry.item, not_run(entry.item.item.id, code))
        while len(self.queue) and self._may_send(now):
            connection = self.pool.take(now)
            if connection is None:
                break
            following = self.queue.take(now)
            if following is None:
                self.pool.give_back(connection, now)
                break
            self.flights.send(following.item, connection)
        self.pool.top_up(now)
        self._expire(now)
        self._arm(now)

    def maintain(self, now: float) -> None:
        """Look after connections and the queue."""
        self.pool.maintain(now)
        if self.limits.draining(now) and self.pool.idle:
            self.pool.check_idle()
        self._tell_state()
        self.pump(now)

    def adopt(self, state: TargetState, now: float) -> None:
        """Go on where an earlier owner stopped."""
        self.limits.adopt(state)
        self._tell_state()
        self.pump(now)

    def refresh(self, target: Target) -> None:
        """Follow a changed definition; a changed address starts cold."""
        moved = (target.host, target.port) != (
            self.target.host,
            self.target.port,
        )
        self.target = target
        self.limits.resize(target)
        self.queue.slots = self.limits.concurrency.slots
        if moved:
            self.pool.close()
            self.pool = self._make_pool()
            self.flights.pool = self.pool
            self.limits.cold.reset(self.context.now())

    def stop_sending(self) -> None:
        """Send nothing more and refuse what is queued."""
        self.released = True
        self.pump(self.context.now())

    async def async_release(self) -> TargetState:
        """Wait until nothing runs, after `stop_sending`; return the state."""
        await self.flights.async_wait()
        self.close()
        return self.limits.to_state(self.id)

    def abandoned(self, now: float) -> bool:
        """Whether the target is another's for long and nobody releases it."""
        if self.released or self.context.ownership.owns(self.id):
            self._owned_at = now
        long_gone = now - self._owned_at >= const.ABANDON_S
        return long_gone and not self.flights.count(now)

    def close(self) -> None:
        """Close the connections."""
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
                limit=self.limits.most_connections,
                may_write=self._may_write,
                on_ready=lambda: self.pump(context.now()),
                on_lost=lambda: self.limits.cold.on_lost(context.now()),
                on_health=self.limits.on_health,
            ),
            now=context.now,
            rng=context.rng,
            tasks=context.tasks,
        )

    def _refusal(self, now: float) -> ErrorCode | None:
        """Return why no sub-request may wait for this target."""
        ownership = self.context.ownership
        if self.released or not ownership.owns(self.id):
            return ErrorCode.NOT_OWNER
        if ownership.is_out(self.id):
            return ErrorCode.TARGET_OUT
        if self.limits.draining(now):
            return ErrorCode.DRAINING
        if self.pool.failing(now):
            return ErrorCode.TARGET_UNAVAILABLE
        return None

    def _starts_too_late(self, work: Work) -> bool:
        """Whether the wait after a lost owner outlasts a sub-request."""
        return self.context.ownership.starts_at(self.id) > work.deadline

    def _may_write(self, now: float) -> bool:
        """Whether this instance may use the target's connections now."""
        return not self.released and self.flights.may_write(now)

    def _may_send(self, now: float) -> bool:
        """Whether one more request may be in flight now."""
        return self.flights.count(now) < self.limits.in_flight(
            now,
        ) and self._may_write(now)

    def _send_at_once(self, work: Work, now: float) -> bool:
        """Send past an empty queue; return whether that is done."""
        service = self.queue.service
        expected_s = service.best_s * service.freshness(now)
        if not can_finish(
            deadline=work.deadline,
            now=now,
            expected_s=expected_s,
        ):
            return False
        if not self._may_send(now):
            return False
        connection = self.pool.take(now)
        if connection is None:
            return False
        self.flights.send(work, connection)
        return True

    def _requeue(self, work: Work, now: float) -> bool:
        """Let a sub-request wait again; return whether it may."""
        return self.queue.offer(work.entry, now) is None

    def _on_landed(self, now: float) -> None:
        """Use a slot that may have become free."""
        self._tell_state()
        self.pump(now)

    def _on_cancel(self, work: Work) -> None:
        """Take a cancelled sub-request out of the queue or its target."""
        self.context.counts.cancelled += 1
        if work.flight is None:
            self.queue.remove(work.entry)
        else:
            self.flights.cancel(work.flight, self.context.now())

    def _expire(self, now: float) -> None:
        """Answer queued work that can't be served in time any more."""
        for entry in self.queue.expire(now + const.QUEUE_MARGIN_S):
            work = entry.item
            self._settle(work, not_run(work.item.id, ErrorCode.DEADLINE))

    def _settle(self, work: Work, result: SubResult) -> None:
        """Give a result; after a first try nothing is surely not run."""
        work.on_cancel = None
        if work.done():
            return
        if work.doubtful and result.outcome == OUTCOME_NOT_RUN:
            result = in_doubt(work.item.id, ErrorCode(result.code))
        work.set_result(result)

    def _arm(self, now: float) -> None:
        """Set the timer for queued work that nothing else wakes."""
        deadline = self.queue.next_deadline()
        if deadline is None:
            return
        due = deadline - const.QUEUE_MARGIN_S
        end = self.flights.held.next_end(now, strict=not self.limits.warm)
        if end is not None:
            due = min(due, end)
        if self._timer is not None:
            if now < self._timer_at <= due:
                return
            self._timer.cancel()
        self._timer_at = due
        self._timer = asyncio.get_running_loop().call_later(
            max(due - now, 0),
            lambda: self.pump(self.context.now()),
        )

    def _tell_state(self) -> None:
        """Emit an event when the state of the cold start changed."""
        state = self.limits.cold.state
        if state is not self._told_state:
            self._told_state = state
            self.context.event(_STATE_EVENTS[state], target=self.id)
