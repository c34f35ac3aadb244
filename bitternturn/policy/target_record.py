"""What the answers of a target show, and which target to send to.

Answers the load patterns in which a target pauses for a moment, turns slow,
fails part of its requests or vanishes while its entry says that it is ready.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

# Time in which what is known of slowness and failures loses half its weight,
# so that a target that has recovered is tried again.
HALF_LIFE_S: Final = 2.0
# Weight of one answer in the share of failures.
FAILURE_WEIGHT: Final = 0.25
# How much dearer a target becomes by failing every request.
FAILURE_COST: Final = 20.0
# Failures in a row after which a target is left alone for a while.
EJECT_AFTER: Final = 3
EJECTION_S: Final = 0.5
MAX_EJECTION_S: Final = 4.0
# Least ratio to the usual time that a target is credited with.
LEAST_SLOWNESS: Final = 0.2
# Cost of sending to another failure domain, in usual times of an answer: a
# round trip of a few milliseconds and its price.
DISTANCE_COST: Final = 1.0
# Cost of a target that holds an unanswered request for unusually long.
STUCK_COST: Final = 5.0
# Multiple of the usual time after which an unanswered request counts so.
STUCK_FACTOR: Final = 3.0
# How much slower a target in cold start is taken to be.
COLD_COST: Final = 1.0


# Ratio to the usual time from which on an answer is slow, how many of them in a
# row are no mere pause, and how long that is held against a target.
SLOW_RATIO: Final = 3.0
SLOW_ANSWERS: Final = 3
SLOW_MEMORY_S: Final = 1.0
# Slowness that an instance assumes of a target that a peer has declined: more
# than the cost of one in another failure domain.
DECLINED_SLOWNESS: Final = 3.0


class TargetRecord:
    """Slowness and failures of one target, by its own answers.

    Slowness is the ratio of an answer's latency to the usual one of its
    route, so that routes of different work can be compared.
    """

    __slots__ = (
        'ejected_until',
        'ejection_s',
        'failed_at',
        'failure_share',
        'failures',
        'slow_answers',
        'slow_at',
        'slowness',
    )

    def __init__(self) -> None:
        """Start as an ordinary target."""
        self.slowness: float = 1
        self.slow_at: float = 0
        # Slow answers in a row.
        self.slow_answers = 0
        self.failure_share: float = 0
        self.failed_at: float = 0
        self.failures = 0
        self.ejection_s = EJECTION_S
        self.ejected_until: float = 0

    def note_latency(self, ratio: float, now: float) -> None:
        """Take in an answer's latency over the usual one."""
        decay = _decay(self.slow_at, now)
        average = 1 + (self.slowness - 1) * decay
        # A slow answer counts at once, faster ones little by little.
        self.slowness = max(ratio, average + (ratio - average) / 4)
        self.slow_at = now
        self.slow_answers = self.slow_answers + 1 if ratio > SLOW_RATIO else 0

    def note_success(self, now: float) -> None:
        """Take in that the target answered as it should."""
        self.failure_share = self._failures(now) * (1 - FAILURE_WEIGHT)
        self.failed_at = now
        self.failures = 0
        self.ejection_s = EJECTION_S
        self.ejected_until = 0

    def note_failure(self, now: float) -> None:
        """Take in a failure; many in a row eject the target for a while."""
        share = self._failures(now)
        self.failure_share = share + (1 - share) * FAILURE_WEIGHT
        self.failed_at = now
        self.failures += 1
        if self.failures >= EJECT_AFTER and now >= self.ejected_until:
            self.ejected_until = now + self.ejection_s
            self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)

    def slow(self, now: float) -> bool:
        """Return whether the last answers were all slow, not only one."""
        recent = now - self.slow_at < SLOW_MEMORY_S
        return recent and self.slow_answers >= SLOW_ANSWERS

    def ejected(self, now: float) -> bool:
        """Return whether the target is left alone at present."""
        return now < self.ejected_until

    def cost(self, now: float) -> float:
        """Return the time that an answer is expected to take; 1 is usual."""
        slowness = 1 + (self.slowness - 1) * _decay(self.slow_at, now)
        return max(LEAST_SLOWNESS, slowness) + FAILURE_COST * self._failures(
            now
        )

    def _failures(self, now: float) -> float:
        """Return the share of failures as it counts at present."""
        return self.failure_share * _decay(self.failed_at, now)


@dataclass(kw_only=True, slots=True)
class Candidate:
    """One target that a request may be sent to.

    `oldest_s` is the age of its oldest unanswered request over the usual
    time of an answer, zero when there is none.
    """

    record: TargetRecord
    outstanding: int
    slots: int
    oldest: float
    near: bool
    cold: bool
    full: bool


def expected_cost(view: Candidate, now: float) -> float:
    """Return what sending to a target costs, in usual times of an answer."""
    cost = view.record.cost(now)
    cost *= 1 + view.outstanding / max(1, view.slots)
    if not view.near:
        cost += DISTANCE_COST
    if view.cold:
        cost += COLD_COST
    if view.oldest > STUCK_FACTOR:
        cost += STUCK_COST
    if view.full:
        cost += FAILURE_COST
    if view.record.ejected(now):
        cost += 2 * FAILURE_COST
    return cost


def declines(view: Candidate, now: float) -> bool:
    """Return whether a send should go to another target instead.

    Answers the load pattern of a large fleet in which a target turns slow or
    crashes: each entry meets it seldom, the peer that sends to it all the time.
    """
    stuck = view.oldest > STUCK_FACTOR
    return stuck or view.record.slow(now) or view.record.ejected(now)


TargetT = TypeVar('TargetT')


def choose_target(
    targets: Iterable[TargetT],
    *,
    describe: Callable[[TargetT], Candidate],
    jitter: Callable[[], float],
    now: float,
) -> TargetT | None:
    """Return the cheapest target; `jitter` gives factors that break ties."""
    best: TargetT | None = None
    lowest = math.inf
    for target in targets:
        cost = expected_cost(describe(target), now) * jitter()
        if cost < lowest:
            best = target
            lowest = cost
    return best


def _decay(since: float, now: float) -> float:
    """Return the weight that something known since then still has."""
    return math.exp2((since - now) / HALF_LIFE_S)
