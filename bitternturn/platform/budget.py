"""Token bucket and backoff for calls to the object API."""

from collections.abc import Callable


class CallBudget:
    """Allows `rate` calls per second on average and `burst` at once."""

    def __init__(self, *, rate: float, burst: float) -> None:
        """Initialise with a full bucket."""
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at: float | None = None

    def try_spend(self, now: float) -> bool:
        """Spend one token; return False if none is left."""
        self.refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, now: float, *, used_rate: float = 0) -> None:
        """Add the tokens since the last refill at the rate less `used_rate`."""
        if self.refilled_at is not None:
            rate = max(0, self.rate - used_rate)
            added = (now - self.refilled_at) * rate
            self.tokens = min(self.burst, self.tokens + added)
        self.refilled_at = now


def make_backoff(
    *,
    base_s: float,
    cap_s: float,
    uniform: Callable[[float, float], float],
) -> Callable[[int], float]:
    """Return a function that maps the attempt, counted from 1, to a backoff.

    Backoffs are in seconds, exponential and with jitter.
    """

    def backoff_s(attempt: int) -> float:
        ceiling = min(cap_s, base_s * 2**attempt)
        return uniform(ceiling / 2, ceiling)

    return backoff_s
