"""Limit of the requests in flight at a target in cold start."""

from enum import Enum, unique

from bitternturn.policy.const import (
    DEFAULT_EVIDENCE_S,
    DEFAULT_GOOD_ANSWERS,
    DEFAULT_RAMP_STEP_S,
    RAMP_SUCCESSES,
)


@unique
class ColdState(Enum):
    """How much a target bears."""

    COLD = 'cold'
    RAMPING = 'ramping'
    WARM = 'warm'


class ColdStart:
    """Follows a target through its cold start.

    COLD on first contact; a run of answers that are not marked cold starts
    the ramp, whose limit doubles by time and by successes until it reaches
    the slots. An answer marked cold, a cold refusal or a lost connection
    leads back to COLD at once; so does a long time without an answer, for
    the target may have restarted unseen. Answers to requests sent before the
    present state or step began prove nothing for it.

    Report `on_lost` for any connection to the target that was refused or
    reset, also for an idle one.
    """

    __slots__ = (
        'cold_limit',
        'good',
        'heard_at',
        'ramp',
        'since',
        'slots',
        'state',
        'stated_limit',
    )

    def __init__(
        self,
        *,
        cold_limit: int,
        slots: int,
        warm: bool = False,
    ) -> None:
        """Start COLD, or WARM when an earlier owner hands over such a target.

        `cold_limit` and `slots` are numbers of requests in flight.
        """
        self.slots = max(1, slots)
        self.cold_limit = min(self.slots, max(1, cold_limit))
        self.stated_limit = self.cold_limit
        self.state = ColdState.WARM if warm else ColdState.COLD
        self.ramp = self.cold_limit
        self.good = 0
        self.since: float | None = None
        self.heard_at: float | None = None

    def limit(self, now: float) -> int:
        """Return the most requests in flight at present."""
        if self._silent(now):
            self._fall(now)
        if self.state is ColdState.WARM:
            return self.slots
        if self.state is ColdState.RAMPING:
            return self.ramp
        return self.stated_limit

    def on_answer(self, cold: bool, latency_s: float, now: float) -> None:
        """Take in a whole answer and whether the target marked it cold."""
        if cold:
            self._fall(now)
            return
        if self._silent(now):
            self._fall(now)
        self.heard_at = now
        if self.state is ColdState.WARM or self._sent_before(latency_s, now):
            return
        self.good += 1
        if self._step_over(now):
            self._grow(now)

    def on_cold_refusal(self, now: float, stated_limit: int = 0) -> None:
        """Take in a refusal for cold start.

        `stated_limit` is what the target says that it bears, zero when it
        says nothing. It lowers the limit until the ramp starts.
        """
        self._fall(now)
        if stated_limit > 0:
            self.stated_limit = min(self.cold_limit, stated_limit)

    def on_lost(self, now: float) -> None:
        """Take in that a connection was refused or reset."""
        self._fall(now)

    def on_error(self, now: float) -> None:
        """Take in a failure that says nothing of cold start.

        It ends a run of good answers, so that a step is not left by it.
        """
        self.good = 0
        self.heard_at = now

    def reset(self, now: float) -> None:
        """Start again from COLD, as on first contact."""
        self._fall(now)
        self.stated_limit = self.cold_limit

    def resize(self, *, cold_limit: int, slots: int) -> None:
        """Follow changed limits of the target."""
        self.slots = max(1, slots)
        self.cold_limit = min(self.slots, max(1, cold_limit))
        self.stated_limit = min(self.stated_limit, self.cold_limit)
        self.ramp = min(self.ramp, self.slots)

    def _fall(self, now: float) -> None:
        """Enter COLD and begin its run of good answers anew."""
        self.state = ColdState.COLD
        self.ramp = self.cold_limit
        self.good = 0
        self.since = now
        self.heard_at = now

    def _grow(self, now: float) -> None:
        """Go one step up the ramp."""
        self.good = 0
        self.since = now
        self.ramp *= 2
        self.state = ColdState.RAMPING
        if self.ramp >= self.slots:
            self.ramp = self.slots
            self.state = ColdState.WARM
            self.stated_limit = self.cold_limit

    def _step_over(self, now: float) -> bool:
        """Return whether the target has proved itself at its limit."""
        if self.state is ColdState.COLD:
            return self.good >= DEFAULT_GOOD_ANSWERS
        begun = now if self.since is None else self.since
        return (
            now - begun >= DEFAULT_RAMP_STEP_S
            and self.good >= self.ramp * RAMP_SUCCESSES
        )

    def _sent_before(self, latency_s: float, now: float) -> bool:
        """Return whether a request was sent before the present step."""
        return self.since is not None and now - latency_s < self.since

    def _silent(self, now: float) -> bool:
        """Return whether what is known of the target is too old."""
        if self.heard_at is None:
            self.heard_at = now
        return now - self.heard_at > DEFAULT_EVIDENCE_S
