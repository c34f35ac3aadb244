"""Requests that were written to one target and have not ended."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Final

import h11

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import TargetId
from bitternturn.http.models import Response
from bitternturn.owners import const
from bitternturn.owners.exchange import build_headers, judge
from bitternturn.owners.held_slots import HeldSlots
from bitternturn.owners.limits import TargetLimits
from bitternturn.owners.models import (
    Flight,
    OwnerContext,
    PooledConnection,
    Work,
)
from bitternturn.owners.pool import ConnectionPool
from bitternturn.peers.results import in_doubt, not_run
from bitternturn.schema.peers_pb2 import OUTCOME_ANSWERED, SubResult
from bitternturn.timeline.models import EventKind

US_PER_SECOND: Final = 1_000_000


@dataclass(kw_only=True, slots=True)
class FlightHooks:
    """What flights need of their target.

    `requeue` lets a sub-request wait again and returns whether it may;
    `on_landed` is called when a slot may have become free.
    """

    settle: Callable[[Work, SubResult], None]
    requeue: Callable[[Work, float], bool]
    on_served: Callable[[float, float], None]
    on_landed: Callable[[float], None]


class Flights:
    """Writes requests, matches responses and finds silent connections."""

    def __init__(
        self,
        *,
        target_id: TargetId,
        context: OwnerContext,
        limits: TargetLimits,
        pool: ConnectionPool,
        hooks: FlightHooks,
    ) -> None:
        """Start with nothing in flight."""
        self.target_id = target_id
        self.context = context
        self.limits = limits
        self.pool = pool
        self.hooks = hooks
        self.flights: set[Flight] = set()
        self.held = HeldSlots()
        self.landed = asyncio.Event()

    def count(self, now: float) -> int:
        """Return how many requests may be running at the target."""
        strict = not self.limits.warm
        return len(self.flights) + self.held.count(now, strict=strict)

    def may_write(self, now: float) -> bool:
        """Whether this instance may send to the target now."""
        return self.context.ownership.may_send(self.target_id, now)

    async def async_wait(self) -> None:
        """Wait until nothing is running at the target."""
        while self.flights:
            self.landed.clear()
            await self.landed.wait()
        end = self.held.last_end(strict=not self.limits.warm)
        left_s = end - self.context.now()
        if left_s > 0:
            await asyncio.sleep(left_s)

    def send(self, work: Work, connection: PooledConnection) -> None:
        """Write a request, if the lease still holds at this moment."""
        now = self.context.now()
        if not self.may_write(now):
            self.pool.give_back(connection, now)
            self.hooks.settle(work, not_run(work.item.id, ErrorCode.NOT_OWNER))
            return
        if (work.deadline - now) * MS_PER_SECOND < const.MIN_REMAINING_MS:
            self.pool.give_back(connection, now)
            self.hooks.settle(work, not_run(work.item.id, ErrorCode.DEADLINE))
            return
        flight = Flight(
            work=work,
            connection=connection,
            request_id=self.context.next_request_id(work.group.query_id),
            sent_at=now,
        )
        try:
            connection.http.start_exchange(
                method='POST',
                path=const.PATH_SEARCH,
                headers=build_headers(work, flight.request_id, now),
                body=work.group.body,
                on_end=partial(self._on_end, flight),
            )
        except (BitternturnError, h11.LocalProtocolError):
            self.pool.discard(connection)
            self.hooks.settle(
                work, not_run(work.item.id, ErrorCode.BAD_REQUEST)
            )
            return
        work.flight = flight
        self.flights.add(flight)
        self.context.counts.sent += 1
        silent_s = self.limits.times.silent_after_s(work.deadline - now)
        flight.timer = asyncio.get_running_loop().call_later(
            silent_s,
            self._on_silence,
            flight,
        )

    def cancel(self, flight: Flight, now: float) -> None:
        """End a cancelled request; its target sees the connection close."""
        work = flight.work
        self.context.counts.hedges_cancelled += work.item.hedge
        self._land(flight)
        self.pool.discard(flight.connection)
        self.held.hold(deadline=work.deadline, now=now)
        self._emit(EventKind.SUB_REQUEST_CANCELLED, flight, now)
        self.hooks.on_landed(now)

    def _land(self, flight: Flight) -> None:
        """Take a request out of those in flight."""
        flight.ended = True
        flight.work.flight = None
        self.flights.discard(flight)
        if flight.timer is not None:
            flight.timer.cancel()
        self.landed.set()

    def _on_end(
        self,
        flight: Flight,
        end: Response | BitternturnError,
    ) -> None:
        """Take in a whole response, or that none will come."""
        if flight.ended:
            return
        now = self.context.now()
        self._land(flight)
        if isinstance(end, BitternturnError):
            self._on_failure(flight, end, now)
        else:
            self._on_response(flight, end, now)
        self.hooks.on_landed(now)

    def _on_response(
        self,
        flight: Flight,
        response: Response,
        now: float,
    ) -> None:
        """Learn from a response and pass on what it means."""
        work = flight.work
        latency_s = now - flight.sent_at
        verdict = judge(work, flight.request_id, response)
        if verdict.crossed:
            self.context.counts.crossed += 1
            self.pool.discard(flight.connection)
            self.held.hold_closed(now)
            self.limits.cold.on_error(now)
        else:
            self.pool.give_back(flight.connection, now)
            self.limits.on_verdict(verdict, latency_s, now)
        if verdict.result.outcome == OUTCOME_ANSWERED:
            self.hooks.on_served(latency_s, now)
            self.context.counts.answered += 1
        self._tell(flight, verdict.result, now)
        self.hooks.settle(work, verdict.result)

    def _on_failure(
        self,
        flight: Flight,
        error: BitternturnError,
        now: float,
    ) -> None:
        """Take in that the connection ended without a whole response."""
        self.pool.discard(flight.connection)
        if error.code is ErrorCode.CONNECTION_LOST:
            self.held.hold_closed(now)
            self.limits.cold.on_lost(now)
        else:
            self.held.hold_closed(now)
            self.limits.cold.on_error(now)
        self._move_or_settle(flight, error.code, now)

    def _on_silence(self, flight: Flight) -> None:
        """Act on a request of which no byte of the response has come."""
        now = self.context.now()
        work = flight.work
        if now >= work.deadline:
            self._give_up(flight, now)
            self._move_or_settle(flight, ErrorCode.DEADLINE, now)
            self.hooks.on_landed(now)
            return
        if not flight.connection.http.heard:
            self.context.counts.silent += 1
            self.pool.check_siblings(flight.connection, now)
            if self._may_move(work, now):
                self._give_up(flight, now)
                self._move_or_settle(flight, ErrorCode.CONNECTION_LOST, now)
                self.hooks.on_landed(now)
                return
        flight.timer = asyncio.get_running_loop().call_later(
            work.deadline - now,
            self._on_silence,
            flight,
        )

    def _may_move(self, work: Work, now: float) -> bool:
        """Whether silent work is better off on another connection.

        In cold start its slot stays in use until the deadline: without a
        second slot it could not be sent again, and may yet be answered.
        """
        if not work.group.repeatable or work.moved:
            return False
        return self.limits.warm or self.count(now) < self.limits.in_flight(now)

    def _give_up(self, flight: Flight, now: float) -> None:
        """Close the connection; the target may still run the request."""
        self._land(flight)
        self.pool.discard(flight.connection)
        self.held.hold(
            deadline=flight.work.deadline,
            now=now,
            usual_s=self.limits.times.smoothed_s,
        )

    def _move_or_settle(
        self,
        flight: Flight,
        code: ErrorCode,
        now: float,
    ) -> None:
        """Send repeatable work once more; else its outcome is in doubt."""
        work = flight.work
        result = in_doubt(work.item.id, code)
        self._tell(flight, result, now)
        may_move = work.group.repeatable and not work.moved
        work.doubtful = True
        work.moved = True
        if may_move and self.hooks.requeue(work, now):
            self.context.counts.moved += 1
            return
        self.hooks.settle(work, result)

    def _tell(self, flight: Flight, result: SubResult, now: float) -> None:
        """Emit the event of an ended request."""
        kind = EventKind.SUB_REQUEST_FAILED
        if result.outcome == OUTCOME_ANSWERED:
            kind = EventKind.SUB_REQUEST_ANSWERED
        self._emit(kind, flight, now, detail=result.code)

    def _emit(
        self,
        kind: EventKind,
        flight: Flight,
        now: float,
        *,
        detail: str = '',
    ) -> None:
        """Emit an event about one request."""
        self.context.event(
            kind,
            request_id=flight.work.group.query_id,
            shard=flight.work.item.shard,
            target=self.target_id,
            detail=detail,
            duration_us=int((now - flight.sent_at) * US_PER_SECOND),
        )
