"""Checks of the rate limits that emulated targets name."""

from collections.abc import Iterable
from typing import Final

# In any window of this length, a target may get so many times the requests that
# its limit allows, and so many more.
WINDOW_S: Final = 4.0
EXCESS_FACTOR: Final = 1.5
EXCESS_REQUESTS: Final = 5.0


def allowed_requests(per_s: float) -> float:
    """Return the number of requests that a window may hold."""
    return per_s * EXCESS_FACTOR * WINDOW_S + EXCESS_REQUESTS


def count_worst_window(arrivals: Iterable[float]) -> int:
    """Return the largest number of requests in a window.

    `arrivals` are the times of the requests in seconds, in any order.
    """
    ordered = sorted(arrivals)
    worst = first = 0
    for last, arrived_at in enumerate(ordered):
        while arrived_at - ordered[first] >= WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
