"""Limit of the requests in flight at a target."""

from bitternturn.policy.const import (
    DEFAULT_ROUND_TRIP_S,
    LATENCY_SMOOTHING,
    LATENCY_TOLERANCE,
    SHED_FACTOR,
)


class ConcurrencyLimit:
    """Shrinks by a factor on shedding and grows by one per round of answers.

    It lies between 1 and `slots`, at which it starts. Latency far above the
    usual one stops growth.
    """

    __slots__ = ('round_trip_s', 'shed_at', 'slots', 'window')

    def __init__(self, *, slots: int) -> None:
        """Start at the slots stated."""
        self.slots = max(1, slots)
        self.window = float(self.slots)
        self.round_trip_s: float = 0
        self.shed_at: float | None = None

    @property
    def limit(self) -> int:
        """Most requests in flight."""
        return int(self.window)

    def on_success(self, latency_s: float, now: float) -> None:
        """Grow after an answer, unless it was slow or sent before a shed."""
        if not self.round_trip_s:
            self.round_trip_s = latency_s
        slow = latency_s > self.round_trip_s * LATENCY_TOLERANCE
        change_s = latency_s - self.round_trip_s
        self.round_trip_s += change_s * LATENCY_SMOOTHING
        if slow or self._sent_before_shed(latency_s, now):
            return
        self.window = min(self.slots, self.window + 1 / self.window)

    def on_shed(self, now: float) -> None:
        """Shrink, at most once per round trip."""
        round_trip_s = self.round_trip_s or DEFAULT_ROUND_TRIP_S
        if self.shed_at is not None and now - self.shed_at < round_trip_s:
            return
        self.shed_at = now
        self.window = max(1, self.window * SHED_FACTOR)

    def resize(self, slots: int) -> None:
        """Follow a changed number of slots; growth to it is slow."""
        self.slots = max(1, slots)
        self.window = min(self.slots, self.window)

    def _sent_before_shed(self, latency_s: float, now: float) -> bool:
        """Return whether an answer says nothing of the smaller limit."""
        return self.shed_at is not None and now - latency_s < self.shed_at
