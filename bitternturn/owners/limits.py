"""Limits of one target, adapted to its responses."""

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import ErrorCode
from bitternturn.http.models import Response
from bitternturn.owners import const
from bitternturn.owners.exchange import ParsedResponse
from bitternturn.owners.response_time import ResponseTime
from bitternturn.policy.cold_start import ColdStart, ColdState
from bitternturn.policy.concurrency import ConcurrencyLimit
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.peers_pb2 import OUTCOME_ANSWERED, TargetState


class _Health(msgspec.Struct):
    """The part of a health response that is used."""

    state: str = ''


class TargetLimits:
    """Limits of requests in flight and of connections of one target."""

    def __init__(self, *, target: Target) -> None:
        """Initialise in cold start."""
        self.connections = max(1, target.connections)
        self.concurrency = ConcurrencyLimit(slots=target.slots)
        self.cold = ColdStart(
            cold_limit=target.cold_limit,
            slots=target.slots,
        )
        self.response_time = ResponseTime()
        self.held_snapshots: tuple[int, ...] = ()
        self.draining_since: float | None = None

    @property
    def warm(self) -> bool:
        """Whether the cold start has ended."""
        return self.cold.state is ColdState.WARM

    def max_in_flight(self, now: float) -> int:
        """Return the current limit of requests in flight."""
        return min(self.concurrency.limit, self.cold.limit(now))

    def max_connections(self, now: float) -> int:
        """Return the current limit of connections."""
        cold_limit = self.cold.limit(now)
        return (
            self.connections
            if self.warm
            else min(
                self.connections,
                cold_limit,
            )
        )

    def wanted_connections(self, now: float) -> int:
        """Return how many connections to keep: twice the slots, and spares."""
        return min(
            self.max_connections(now),
            2 * self.concurrency.slots + const.SPARE_HEDGE_CONNECTIONS,
        )

    def draining(self, now: float) -> bool:
        """Whether the target is draining and refuses new requests."""
        if self.draining_since is None:
            return False
        if now - self.draining_since >= const.MAX_DRAINING_S:
            self.draining_since = None
        return self.draining_since is not None

    def apply_response(
        self,
        parsed: ParsedResponse,
        latency_s: float,
        now: float,
    ) -> None:
        """Apply a response to the limits."""
        if parsed.held_snapshots:
            self.held_snapshots = parsed.held_snapshots
        if parsed.state == const.STATE_DRAINING:
            self.draining_since = now
        if parsed.result.outcome == OUTCOME_ANSWERED:
            self._record_answer(parsed, latency_s, now)
        else:
            self._record_refusal(parsed, now)

    def apply_health(self, response: Response) -> None:
        """Apply a health response, which can only end draining."""
        try:
            health = msgspec.json.decode(response.body, type=_Health)
        except DECODE_ERRORS:
            return
        if health.state and health.state != const.STATE_DRAINING:
            self.draining_since = None

    def restore(self, state: TargetState) -> None:
        """Restore the state that the previous owner handed over."""
        self.held_snapshots = tuple(state.held_snapshots)
        slots = self.concurrency.slots
        self.concurrency.window = min(slots, state.limit or slots)
        self.cold = ColdStart(
            cold_limit=self.cold.cold_limit,
            slots=slots,
            warm=state.warm,
        )

    def update(self, target: Target) -> None:
        """Apply a changed definition of the target."""
        self.connections = max(1, target.connections)
        self.concurrency.update_slots(target.slots)
        self.cold.update_limits(
            cold_limit=target.cold_limit, slots=target.slots
        )

    def to_state(self, target_id: str) -> TargetState:
        """Return the state to hand over to the next owner."""
        return TargetState(
            target=target_id,
            warm=self.warm,
            limit=self.concurrency.limit,
            held_snapshots=self.held_snapshots,
        )

    def _record_answer(
        self,
        parsed: ParsedResponse,
        latency_s: float,
        now: float,
    ) -> None:
        """Record a complete answer."""
        self.response_time.record(latency_s)
        self.concurrency.on_success(latency_s, now)
        self.cold.on_answer(parsed.state == const.STATE_COLD, latency_s, now)

    def _record_refusal(self, parsed: ParsedResponse, now: float) -> None:
        """Record a response without a complete answer."""
        code = parsed.result.code
        if code == ErrorCode.SHED.value:
            self.concurrency.on_shed(now)
        if code == ErrorCode.COLD.value or parsed.state == const.STATE_COLD:
            self.cold.on_cold_refusal(now, parsed.cold_limit)
        elif code in _ERROR_CODES:
            self.cold.on_error(now)


_ERROR_CODES = frozenset(
    (ErrorCode.TARGET_ERROR.value, ErrorCode.BAD_ANSWER.value),
)
