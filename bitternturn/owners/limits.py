"""What a target bears, as its answers show it."""

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import ErrorCode
from bitternturn.http.models import Response
from bitternturn.owners import const
from bitternturn.owners.exchange import Verdict
from bitternturn.owners.response_time import ResponseTime
from bitternturn.policy.coldstart import ColdStart, ColdState
from bitternturn.policy.concurrency import ConcurrencyLimit
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.peers_pb2 import OUTCOME_ANSWERED, TargetState


class _Health(msgspec.Struct):
    """The part of a health report that is used."""

    state: str = ''


class TargetLimits:
    """Limits on requests in flight and on connections of one target."""

    def __init__(self, *, target: Target) -> None:
        """Start cold."""
        self.connections = max(1, target.connections)
        self.concurrency = ConcurrencyLimit(slots=target.slots)
        self.cold = ColdStart(
            cold_limit=target.cold_limit,
            slots=target.slots,
        )
        self.times = ResponseTime()
        self.held_snapshots: tuple[int, ...] = ()
        self.draining_at: float | None = None

    @property
    def warm(self) -> bool:
        """Whether the target bears its slots."""
        return self.cold.state is ColdState.WARM

    def in_flight(self, now: float) -> int:
        """Return the most requests in flight at present."""
        return min(self.concurrency.limit, self.cold.limit(now))

    def most_connections(self, now: float) -> int:
        """Return the most connections at present."""
        bearable = self.cold.limit(now)
        return (
            self.connections
            if self.warm
            else min(
                self.connections,
                bearable,
            )
        )

    def wanted_connections(self, now: float) -> int:
        """Return the connections for full slots and as many spare ones."""
        return min(
            self.most_connections(now),
            2 * self.concurrency.slots + const.HEDGE_ROOM,
        )

    def draining(self, now: float) -> bool:
        """Whether the target takes no new work."""
        if self.draining_at is None:
            return False
        if now - self.draining_at >= const.DRAINING_S:
            self.draining_at = None
        return self.draining_at is not None

    def on_verdict(
        self,
        verdict: Verdict,
        latency_s: float,
        now: float,
    ) -> None:
        """Take in a response."""
        if verdict.held_snapshots:
            self.held_snapshots = verdict.held_snapshots
        if verdict.state == const.STATE_DRAINING:
            self.draining_at = now
        if verdict.result.outcome == OUTCOME_ANSWERED:
            self._on_answer(verdict, latency_s, now)
        else:
            self._on_refusal(verdict, now)

    def on_health(self, response: Response) -> None:
        """Take in a health report: it only ends the state of draining."""
        try:
            health = msgspec.json.decode(response.body, type=_Health)
        except DECODE_ERRORS:
            return
        if health.state and health.state != const.STATE_DRAINING:
            self.draining_at = None

    def adopt(self, state: TargetState) -> None:
        """Go on where an earlier owner stopped."""
        self.held_snapshots = tuple(state.held_snapshots)
        slots = self.concurrency.slots
        self.concurrency.window = min(slots, state.limit or slots)
        self.cold = ColdStart(
            cold_limit=self.cold.cold_limit,
            slots=slots,
            warm=state.warm,
        )

    def resize(self, target: Target) -> None:
        """Follow a changed definition of the target."""
        self.connections = max(1, target.connections)
        self.concurrency.resize(target.slots)
        self.cold.resize(cold_limit=target.cold_limit, slots=target.slots)

    def to_state(self, target_id: str) -> TargetState:
        """Return what the next owner needs."""
        return TargetState(
            target=target_id,
            warm=self.warm,
            limit=self.concurrency.limit,
            held_snapshots=self.held_snapshots,
        )

    def _on_answer(
        self,
        verdict: Verdict,
        latency_s: float,
        now: float,
    ) -> None:
        """Take in a whole answer."""
        self.times.record(latency_s)
        self.concurrency.on_success(latency_s, now)
        self.cold.on_answer(verdict.state == const.STATE_COLD, latency_s, now)

    def _on_refusal(self, verdict: Verdict, now: float) -> None:
        """Take in a response without a whole answer."""
        code = verdict.result.code
        if code == ErrorCode.SHED.value:
            self.concurrency.on_shed(now)
        if code == ErrorCode.COLD.value or verdict.state == const.STATE_COLD:
            self.cold.on_cold_refusal(now, verdict.cold_limit)
        elif code in _FAILURES:
            self.cold.on_error(now)


_FAILURES = frozenset(
    (ErrorCode.TARGET_ERROR.value, ErrorCode.BAD_ANSWER.value),
)
