"""Checks of the rate limits that emulated targets name."""

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

# In any window of this length, a target may get so many times the requests that
# its limit allows, and so many more.
WINDOW_S: Final = 4.0
EXCESS_FACTOR: Final = 1.5
EXCESS_REQUESTS: Final = 5.0


# Time after the first answer with a limit from which the bound holds.
STABILITY_S: Final = 4.0
# Time after an instance has got such an answer in which its requests do not
# count.
GRACE_S: Final = 0.5


@dataclass(kw_only=True, slots=True)
class LimitPeriod:
    """Time in which all answers of a target name one limit.

    Times are on the monotonic clock, in seconds.
    """

    text: str
    since: float
    until: float = math.inf


@dataclass(kw_only=True, slots=True)
class NamedLimits:
    """Limits that a target has named in its answers, in order."""

    periods: list[LimitPeriod] = field(default_factory=list)

    @property
    def first_named_at(self) -> float:
        """When the first limit was named, infinity before that."""
        return self.periods[0].since if self.periods else math.inf

    def record_answer(self, text: str | None, now: float) -> None:
        """Record an answer that names a limit, or none."""
        current = self.periods[-1] if self.periods else None
        if current is not None and current.until < math.inf:
            current = None
        if current is not None and current.text != text:
            current.until = now
            current = None
        if current is None and text is not None:
            self.periods.append(LimitPeriod(text=text, since=now))


def allowed_requests(per_s: float) -> float:
    """Return the number of requests that a window may hold."""
    return per_s * EXCESS_FACTOR * WINDOW_S + EXCESS_REQUESTS


def find_crowded_windows(
    arrivals: Iterable[float], *, allowed: float, ends_from: float
) -> Iterator[Sequence[float]]:
    """Yield the requests of each window that holds more than allowed.

    `arrivals` are the times of the requests in seconds, in any order. Windows
    that end before `ends_from` do not count.
    """
    ordered = sorted(arrivals)
    first = 0
    for last, arrived_at in enumerate(ordered):
        while arrived_at - ordered[first] >= WINDOW_S:
            first += 1
        if arrived_at >= ends_from and last - first + 1 > allowed:
            yield ordered[first : last + 1]


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
