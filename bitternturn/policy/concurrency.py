"""Adaptive limit of the requests in flight to a target."""

from bitternturn.policy.const import (
    DEFAULT_ROUND_TRIP_S,
    LATENCY_SMOOTHING,
    LATENCY_TOLERANCE,
    SHED_DECREASE_FACTOR,
)


class ConcurrencyLimit:
    """Limit with additive increase and multiplicative decrease (AIMD).

    It decreases by a factor when the target sheds load and increases by one
    per round trip of answers. It starts at `slots` and stays between 1 and
    `slots`. Latency far above the moving average stops the increase.
    """

    __slots__ = ('round_trip_s', 'shed_at', 'slots', 'window')

    def __init__(self, *, slots: int) -> None:
        """Initialise the limit to the configured slots."""
        self.slots = max(1, slots)
        self.window = float(self.slots)
        self.round_trip_s: float = 0
        self.shed_at: float | None = None

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        return int(self.window)

    def on_success(self, latency_s: float, now: float) -> None:
        """Increase after an answer, unless slow or sent before a decrease."""
        if not self.round_trip_s:
            self.round_trip_s = latency_s
        slow = latency_s > self.round_trip_s * LATENCY_TOLERANCE
        change_s = latency_s - self.round_trip_s
        self.round_trip_s += change_s * LATENCY_SMOOTHING
        if slow or self._sent_before_shed(latency_s, now):
            return
        self.window = min(self.slots, self.window + 1 / self.window)

    def on_shed(self, now: float) -> None:
        """Decrease the limit, at most once per round trip."""
        round_trip_s = self.round_trip_s or DEFAULT_ROUND_TRIP_S
        if self.shed_at is not None and now - self.shed_at < round_trip_s:
            return
        self.shed_at = now
        self.window = max(1, self.window * SHED_DECREASE_FACTOR)

    def update_slots(self, slots: int) -> None:
        """Apply a changed number of slots; the limit increases gradually."""
        self.slots = max(1, slots)
        self.window = min(self.slots, self.window)

    def _sent_before_shed(self, latency_s: float, now: float) -> bool:
        """Return whether an answer is older than the last decrease."""
        return self.shed_at is not None and now - latency_s < self.shed_at
