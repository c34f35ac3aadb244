"""Token bucket for calls to the object API."""

from collections.abc import Callable


class CallBudget:
    """Allows `rate` calls per second on average and `burst` at once."""

    def __init__(self, *, rate: float, burst: float) -> None:
        """Start full."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at: float | None = None

    def try_spend(self, now: float) -> bool:
        """Take one call; return False when none is left."""
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, now: float, *, used_rate: float = 0) -> None:
        """Add what has come since the last refill, less a rate in use."""
        if self.filled_at is not None:
            rate = max(0, self.rate - used_rate)
            added = (now - self.filled_at) * rate
            self.tokens = min(self.burst, self.tokens + added)
        self.filled_at = now


def make_backoff(
    *,
    base_s: float,
    cap_s: float,
    uniform: Callable[[float, float], float],
) -> Callable[[int], float]:
    """Return a function from the attempt, from 1 on, to a pause in seconds."""

    def pause_s(attempt: int) -> float:
        ceiling = min(cap_s, base_s * 2**attempt)
        return uniform(ceiling / 2, ceiling)

    return pause_s
