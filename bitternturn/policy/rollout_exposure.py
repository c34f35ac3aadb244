"""Limits how many requests the instances send to a version under test.

Guards against a bad version that gets more than its share of the requests,
summed over all instances: no instance asks another one before it sends.
"""

import math
from typing import Final

# Part of the share that is used; the rest covers requests that are counted by
# the sender and do not reach the service.
SHARE_MARGIN: Final = 0.9
# Part of the slack that is handed out as initial permits, for evidence on
# services with few requests.
INITIAL_SLACK_PART: Final = 0.6
# Part of the initial permits that may be used at once; the others are released
# over time, for evidence against versions that are bad later.
AT_ONCE_PART: Final = 0.5
# Requests per square root of the number of instances that are reserved for the
# deviation of the random rounding: 4.6 standard deviations at 440 instances.
ROUNDING_RESERVE: Final = 1.4
# Part of the share by which entry instances choose targets to which delegates
# send: delegates reject what exceeds their own permits, which costs time.
CHOICE_MARGIN: Final = 0.8


def has_random_rounding(slack: float, instances: int) -> bool:
    """Return whether the slack covers the deviation of random rounding."""
    return slack >= ROUNDING_RESERVE * math.sqrt(instances)


def initial_permits(
    slack: float, *, instances: int, rank: int, elapsed_part: float = 1
) -> int:
    """Return the initial permits of the instance with a rank, from 0.

    `elapsed_part` is the part of the time for evidence that has elapsed.
    """
    spare = slack - ROUNDING_RESERVE * math.sqrt(instances)
    total = max(0, math.floor(min(INITIAL_SLACK_PART * slack, spare)))
    elapsed = min(1, max(0, elapsed_part))
    released = math.ceil(total * (AT_ONCE_PART + (1 - AT_ONCE_PART) * elapsed))
    return released // instances + (rank < released % instances)


class ExposureBudget:
    """Counts of one sender and service since the order."""

    __slots__ = ('canaries', 'initial', 'requests', 'rounding', 'share')

    def __init__(self, *, share: float, rounding: float) -> None:
        """Initialise without initial permits; `rounding` is from 0 to 1."""
        self.share = share * SHARE_MARGIN
        self.rounding = rounding
        self.initial = 0
        self.requests = 0
        self.canaries = 0

    def allows(self) -> bool:
        """Return whether the next request may go to the version under test."""
        earned = self.share * (self.requests + 1) + self.rounding
        return self.canaries + 1 <= earned + self.initial

    def record(self, *, canary: bool, counted: bool = True) -> None:
        """Record a request; hedges and retries are not `counted`."""
        self.requests += counted
        self.canaries += canary

    def withdraw(self, *, canary: bool, counted: bool = True) -> None:
        """Withdraw a request of which nothing was written."""
        self.requests -= counted
        self.canaries -= canary
