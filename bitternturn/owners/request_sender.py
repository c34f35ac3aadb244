"""Sends requests to one target and tracks those in flight."""

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
from bitternturn.owners.exchange import build_headers, interpret_response
from bitternturn.owners.held_slots import HeldSlots
from bitternturn.owners.limits import TargetLimits
from bitternturn.owners.models import (
    OwnerContext,
    PooledConnection,
    SentRequest,
    SubRequest,
)
from bitternturn.owners.pool import ConnectionPool
from bitternturn.peers.results import in_doubt_result, not_run_result
from bitternturn.schema.peers_pb2 import OUTCOME_ANSWERED, SubResult
from bitternturn.timeline.models import EventKind

US_PER_SECOND: Final = 1_000_000


@dataclass(kw_only=True, slots=True)
class SenderHooks:
    """Callbacks of a request sender.

    `resolve` sets the result of a sub-request, `requeue` queues one again and
    returns whether it was accepted, `on_served` records the latency of an
    answer, `on_slot_freed` is called when a slot may have become free.
    """

    resolve: Callable[[SubRequest, SubResult], None]
    requeue: Callable[[SubRequest, float], bool]
    on_served: Callable[[float, float], None]
    on_slot_freed: Callable[[float], None]


class RequestSender:
    """Sends requests, matches responses and detects silent connections."""

    def __init__(
        self,
        *,
        target_id: TargetId,
        context: OwnerContext,
        limits: TargetLimits,
        pool: ConnectionPool,
        hooks: SenderHooks,
    ) -> None:
        """Initialise with nothing in flight."""
        self.target_id = target_id
        self.context = context
        self.limits = limits
        self.pool = pool
        self.hooks = hooks
        self.in_flight: set[SentRequest] = set()
        self.held = HeldSlots()
        self.request_ended = asyncio.Event()

    def count(self, now: float) -> int:
        """Return how many requests may be running at the target."""
        strict = not self.limits.warm
        return len(self.in_flight) + self.held.count(now, strict=strict)

    def may_write(self, now: float) -> bool:
        """Whether this instance may send to the target now."""
        return self.context.ownership.may_send(self.target_id, now)

    async def async_wait_until_idle(self) -> None:
        """Wait until no request can be running at the target."""
        while self.in_flight:
            self.request_ended.clear()
            await self.request_ended.wait()
        end = self.held.last_end(strict=not self.limits.warm)
        left_s = end - self.context.now()
        if left_s > 0:
            await asyncio.sleep(left_s)

    def send(
        self,
        sub_request: SubRequest,
        connection: PooledConnection,
    ) -> None:
        """Write a request unless the lease or the deadline has expired."""
        now = self.context.now()
        if not self.may_write(now):
            self.pool.put_back_unused(connection)
            self.hooks.resolve(
                sub_request,
                not_run_result(sub_request.item.id, ErrorCode.NOT_OWNER),
            )
            return
        if (
            sub_request.deadline - now
        ) * MS_PER_SECOND < const.MIN_REMAINING_MS:
            self.pool.put_back_unused(connection)
            self.hooks.resolve(
                sub_request,
                not_run_result(sub_request.item.id, ErrorCode.DEADLINE),
            )
            return
        request = SentRequest(
            sub_request=sub_request,
            connection=connection,
            request_id=self.context.next_request_id(sub_request.group.query_id),
            sent_at=now,
        )
        try:
            connection.http.start_exchange(
                method='POST',
                path=const.PATH_SEARCH,
                headers=build_headers(sub_request, request.request_id, now),
                body=sub_request.group.body,
                on_end=partial(self._on_end, request),
            )
        except (BitternturnError, h11.LocalProtocolError):
            self.pool.discard(connection)
            self.hooks.resolve(
                sub_request,
                not_run_result(sub_request.item.id, ErrorCode.BAD_REQUEST),
            )
            return
        sub_request.sent_request = request
        self.in_flight.add(request)
        self.context.counts.sent += 1
        silence_timeout_s = self.limits.response_time.silence_timeout_s(
            sub_request.deadline - now,
        )
        request.timer = asyncio.get_running_loop().call_later(
            silence_timeout_s,
            self._on_silence,
            request,
        )

    def cancel(self, request: SentRequest, now: float) -> None:
        """Cancel a request at its target by closing the connection."""
        sub_request = request.sub_request
        self.context.counts.hedges_cancelled += sub_request.item.hedge
        self._mark_ended(request)
        self.pool.discard(request.connection)
        self.held.hold(deadline=sub_request.deadline, now=now)
        self._emit(EventKind.SUB_REQUEST_CANCELLED, request, now)
        self.hooks.on_slot_freed(now)

    def _mark_ended(self, request: SentRequest) -> None:
        """Remove a request from those in flight."""
        request.ended = True
        request.sub_request.sent_request = None
        self.in_flight.discard(request)
        if request.timer is not None:
            request.timer.cancel()
        self.request_ended.set()

    def _on_end(
        self,
        request: SentRequest,
        end: Response | BitternturnError,
    ) -> None:
        """Handle a complete response or the failure of an exchange."""
        if request.ended:
            return
        now = self.context.now()
        self._mark_ended(request)
        if isinstance(end, BitternturnError):
            self._on_failure(request, end, now)
        else:
            self._on_response(request, end, now)
        self.hooks.on_slot_freed(now)

    def _on_response(
        self,
        request: SentRequest,
        response: Response,
        now: float,
    ) -> None:
        """Apply a response to the limits and resolve its sub-request."""
        sub_request = request.sub_request
        latency_s = now - request.sent_at
        parsed = interpret_response(sub_request, request.request_id, response)
        if parsed.mismatched:
            self.context.counts.mismatched += 1
            self.pool.discard(request.connection)
            self.held.hold_until_closed(now)
            self.limits.cold.on_error(now)
        else:
            self.pool.put_back(request.connection, now)
            self.limits.apply_response(parsed, latency_s, now)
        if parsed.result.outcome == OUTCOME_ANSWERED:
            self.hooks.on_served(latency_s, now)
            self.context.counts.answered += 1
        self._emit_ended(request, parsed.result, now)
        self.hooks.resolve(sub_request, parsed.result)

    def _on_failure(
        self,
        request: SentRequest,
        error: BitternturnError,
        now: float,
    ) -> None:
        """Handle a connection that ended without a complete response."""
        self.pool.discard(request.connection)
        if error.code is ErrorCode.CONNECTION_LOST:
            self.held.hold_until_closed(now)
            self.limits.cold.on_connection_lost(now)
        else:
            self.held.hold_until_closed(now)
            self.limits.cold.on_error(now)
        self._retry_or_resolve(request, error.code, now)

    def _on_silence(self, request: SentRequest) -> None:
        """Handle a request whose silence timeout or deadline has passed."""
        now = self.context.now()
        sub_request = request.sub_request
        if now >= sub_request.deadline:
            self._abandon(request, now)
            self._retry_or_resolve(request, ErrorCode.DEADLINE, now)
            self.hooks.on_slot_freed(now)
            return
        if not request.connection.http.response_started:
            self.context.counts.silent += 1
            self.pool.check_siblings(request.connection, now)
            if self._can_retry(sub_request, now):
                self._abandon(request, now)
                self._retry_or_resolve(request, ErrorCode.CONNECTION_LOST, now)
                self.hooks.on_slot_freed(now)
                return
        request.timer = asyncio.get_running_loop().call_later(
            sub_request.deadline - now,
            self._on_silence,
            request,
        )

    def _can_retry(self, sub_request: SubRequest, now: float) -> bool:
        """Whether to retry a silent request over another connection.

        In cold start its slot stays in use until the deadline: without a
        second slot it could not be sent again, and may yet be answered.
        """
        if not sub_request.group.repeatable or sub_request.retried:
            return False
        return self.limits.warm or self.count(now) < self.limits.max_in_flight(
            now,
        )

    def _abandon(self, request: SentRequest, now: float) -> None:
        """Close the connection; the target may still run the request."""
        self._mark_ended(request)
        self.pool.discard(request.connection)
        self.held.hold(
            deadline=request.sub_request.deadline,
            now=now,
            typical_s=self.limits.response_time.smoothed_s,
        )

    def _retry_or_resolve(
        self,
        request: SentRequest,
        code: ErrorCode,
        now: float,
    ) -> None:
        """Retry a repeatable sub-request once; else resolve it as in doubt."""
        sub_request = request.sub_request
        result = in_doubt_result(sub_request.item.id, code)
        self._emit_ended(request, result, now)
        may_retry = sub_request.group.repeatable and not sub_request.retried
        sub_request.possibly_run = True
        sub_request.retried = True
        if may_retry and self.hooks.requeue(sub_request, now):
            self.context.counts.retried += 1
            return
        self.hooks.resolve(sub_request, result)

    def _emit_ended(
        self,
        request: SentRequest,
        result: SubResult,
        now: float,
    ) -> None:
        """Emit the event of an ended request."""
        kind = EventKind.SUB_REQUEST_FAILED
        if result.outcome == OUTCOME_ANSWERED:
            kind = EventKind.SUB_REQUEST_ANSWERED
        self._emit(kind, request, now, detail=result.code)

    def _emit(
        self,
        kind: EventKind,
        request: SentRequest,
        now: float,
        *,
        detail: str = '',
    ) -> None:
        """Emit a timeline event of one request."""
        self.context.event(
            kind,
            request_id=request.sub_request.group.query_id,
            shard=request.sub_request.item.shard,
            target=self.target_id,
            detail=detail,
            duration_us=int((now - request.sent_at) * US_PER_SECOND),
        )
