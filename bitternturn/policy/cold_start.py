"""Limit of the requests in flight to a target in cold start."""

from enum import Enum, unique

from bitternturn.policy.const import (
    DEFAULT_RAMP_STEP_S,
    MAX_EVIDENCE_AGE_S,
    MIN_GOOD_ANSWERS,
    RAMP_SUCCESSES_PER_SLOT,
)


@unique
class ColdState(Enum):
    """Stage of a cold start."""

    COLD = 'cold'
    RAMPING = 'ramping'
    WARM = 'warm'


class ColdStart:
    """State machine of the cold start of one target.

    A target is COLD on first contact. A run of answers that are not marked
    cold starts the ramp, whose limit doubles after enough time and successes
    until it reaches the slots. An answer marked cold, a cold refusal or a
    lost connection resets the target to COLD at once. So does a long time
    without an answer, as the target may have restarted unnoticed. Answers to
    requests sent before the current state or ramp step are not counted.

    Lost connections have to be reported for every connection to the target
    that was refused or reset, including idle ones.
    """

    __slots__ = (
        'cold_limit',
        'evidence_at',
        'good_answers',
        'ramp_limit',
        'reported_limit',
        'slots',
        'state',
        'step_started_at',
    )

    def __init__(
        self,
        *,
        cold_limit: int,
        slots: int,
        warm: bool = False,
    ) -> None:
        """Initialise as COLD, or as WARM after a handover of a warm target.

        `cold_limit` and `slots` are numbers of requests in flight.
        """
        self.slots = max(1, slots)
        self.cold_limit = min(self.slots, max(1, cold_limit))
        self.reported_limit = self.cold_limit
        self.state = ColdState.WARM if warm else ColdState.COLD
        self.ramp_limit = self.cold_limit
        self.good_answers = 0
        self.step_started_at: float | None = None
        self.evidence_at: float | None = None

    def limit(self, now: float) -> int:
        """Return the current maximum number of requests in flight."""
        if self._evidence_expired(now):
            self._enter_cold(now)
        if self.state is ColdState.WARM:
            return self.slots
        if self.state is ColdState.RAMPING:
            return self.ramp_limit
        return self.reported_limit

    def on_answer(self, cold: bool, latency_s: float, now: float) -> None:
        """Record a complete answer; `cold` if the target marked it so."""
        if cold:
            self._enter_cold(now)
            return
        if self._evidence_expired(now):
            self._enter_cold(now)
        self.evidence_at = now
        if self.state is ColdState.WARM or self._sent_before_step(
            latency_s, now
        ):
            return
        self.good_answers += 1
        if self._step_complete(now):
            self._advance(now)

    def on_cold_refusal(self, now: float, reported_limit: int = 0) -> None:
        """Record a refusal due to cold start.

        `reported_limit` is the limit that the target reported, zero if it
        reported none. It lowers the limit until the ramp starts.
        """
        self._enter_cold(now)
        if reported_limit > 0:
            self.reported_limit = min(self.cold_limit, reported_limit)

    def on_connection_lost(self, now: float) -> None:
        """Record that a connection was refused or reset."""
        self._enter_cold(now)

    def on_error(self, now: float) -> None:
        """Record a failure that is unrelated to cold start.

        It ends the run of good answers, so that failures can't complete a
        step of the ramp.
        """
        self.good_answers = 0
        self.evidence_at = now

    def reset(self, now: float) -> None:
        """Reset to COLD, as on first contact."""
        self._enter_cold(now)
        self.reported_limit = self.cold_limit

    def update_limits(self, *, cold_limit: int, slots: int) -> None:
        """Apply changed limits of the target."""
        self.slots = max(1, slots)
        self.cold_limit = min(self.slots, max(1, cold_limit))
        self.reported_limit = min(self.reported_limit, self.cold_limit)
        self.ramp_limit = min(self.ramp_limit, self.slots)

    def _enter_cold(self, now: float) -> None:
        """Enter COLD and restart the run of good answers."""
        self.state = ColdState.COLD
        self.ramp_limit = self.cold_limit
        self.good_answers = 0
        self.step_started_at = now
        self.evidence_at = now

    def _advance(self, now: float) -> None:
        """Advance by one step of the ramp."""
        self.good_answers = 0
        self.step_started_at = now
        self.ramp_limit *= 2
        self.state = ColdState.RAMPING
        if self.ramp_limit >= self.slots:
            self.ramp_limit = self.slots
            self.state = ColdState.WARM
            self.reported_limit = self.cold_limit

    def _step_complete(self, now: float) -> bool:
        """Return whether the current step has lasted and succeeded enough."""
        if self.state is ColdState.COLD:
            return self.good_answers >= MIN_GOOD_ANSWERS
        started_at = (
            now if self.step_started_at is None else self.step_started_at
        )
        return (
            now - started_at >= DEFAULT_RAMP_STEP_S
            and self.good_answers >= self.ramp_limit * RAMP_SUCCESSES_PER_SLOT
        )

    def _sent_before_step(self, latency_s: float, now: float) -> bool:
        """Return whether a request was sent before the current step."""
        return (
            self.step_started_at is not None
            and now - latency_s < self.step_started_at
        )

    def _evidence_expired(self, now: float) -> bool:
        """Return whether the last answer of the target is too old."""
        if self.evidence_at is None:
            self.evidence_at = now
        return now - self.evidence_at > MAX_EVIDENCE_AGE_S
