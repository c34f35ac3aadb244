"""Statistics of the answers of a target, and the choice of a target by cost.

Guards against targets that pause briefly, become slow, fail a share of their
requests or disappear while they are still listed as ready.
"""

import math
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, TypeVar

# Half-life of the recorded slowness and failures, so that a target that has
# recovered is tried again.
DECAY_HALF_LIFE_S: Final = 2.0
# Weight of one result in the moving average of the failure share.
FAILURE_WEIGHT: Final = 0.25
# Additional cost of a target that fails every request.
FAILURE_COST: Final = 20.0
# Consecutive failures after which a target is ejected.
EJECTION_FAILURES: Final = 3
EJECTION_S: Final = 0.5
MAX_EJECTION_S: Final = 4.0
# Lower bound of the slowness in the cost of a target.
MIN_SLOWNESS: Final = 0.2
# Cost of sending to a failure domain by its rank, in typical latencies: a round
# trip of a few milliseconds and its price. The parts of a request that leave the
# preferred domain go to the next one together, in one message.
DOMAIN_COSTS: Final = (0.0, 1.0, 1.5)
# Lowest cost of a send by the rank of the failure domain.
MIN_COSTS: Final = tuple(MIN_SLOWNESS + cost for cost in DOMAIN_COSTS)
# Cost of a target that has not answered a request for unusually long.
STUCK_COST: Final = 5.0
# Multiple of the typical latency after which an unanswered request is stuck.
STUCK_FACTOR: Final = 3.0
# Additional cost of a target in cold start.
COLD_COST: Final = 1.0
# Additional cost of a target without any share of its load, for sends above it.
PACE_COST: Final = 2.0

# Multiple of the typical latency above which an answer is slow.
SLOW_RATIO: Final = 3.0
# Consecutive slow answers after which a target is slow; fewer may be a pause.
MIN_SLOW_ANSWERS: Final = 3
# Time without an answer after which a target no longer counts as slow.
SLOW_EXPIRY_S: Final = 1.0
# Slowness assumed for a target that a peer has declined to send to: more than
# the cost of a target in another failure domain.
DECLINED_SLOWNESS: Final = 3.0


class TargetStatistics:
    """Moving averages of the slowness and failures of one target.

    Slowness is the ratio of the latency of an answer to the typical latency
    of its route, which makes routes with different work comparable.
    """

    __slots__ = (
        'ejected_until',
        'ejection_s',
        'failure_share',
        'consecutive_failures',
        'latency_at',
        'result_at',
        'slow_answers',
        'slowness',
    )

    def __init__(self) -> None:
        """Initialise as a target of typical latency without failures."""
        self.slowness: float = 1
        self.latency_at: float = 0
        # Consecutive slow answers.
        self.slow_answers = 0
        self.failure_share: float = 0
        self.result_at: float = 0
        self.consecutive_failures = 0
        self.ejection_s = EJECTION_S
        self.ejected_until: float = 0

    def record_latency_ratio(self, ratio: float, now: float) -> None:
        """Record the ratio of an answer's latency to the typical latency."""
        decay = _decay(self.latency_at, now)
        average = 1 + (self.slowness - 1) * decay
        # Slow answers take effect at once, faster ones gradually.
        self.slowness = max(ratio, average + (ratio - average) / 4)
        self.latency_at = now
        self.slow_answers = self.slow_answers + 1 if ratio > SLOW_RATIO else 0

    def record_success(self, now: float) -> None:
        """Record a successful answer, which also ends an ejection."""
        self.failure_share = self._current_failure_share(now) * (
            1 - FAILURE_WEIGHT
        )
        self.result_at = now
        self.consecutive_failures = 0
        self.ejection_s = EJECTION_S
        self.ejected_until = 0

    def record_failure(self, now: float) -> None:
        """Record a failure; eject the target after consecutive ones."""
        share = self._current_failure_share(now)
        self.failure_share = share + (1 - share) * FAILURE_WEIGHT
        self.result_at = now
        self.consecutive_failures += 1
        if (
            self.consecutive_failures >= EJECTION_FAILURES
            and now >= self.ejected_until
        ):
            self.ejected_until = now + self.ejection_s
            self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)

    def forgive(self) -> None:
        """Forget the failures, of which the target was not the cause."""
        self.failure_share = 0
        self.consecutive_failures = 0
        self.ejection_s = EJECTION_S
        self.ejected_until = 0

    def is_slow(self, now: float) -> bool:
        """Return whether the most recent answers were all slow."""
        recent = now - self.latency_at < SLOW_EXPIRY_S
        return recent and self.slow_answers >= MIN_SLOW_ANSWERS

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is currently ejected."""
        return now < self.ejected_until

    def cost(self, now: float) -> float:
        """Return the cost of a send, in typical latencies."""
        slowness = 1 + (self.slowness - 1) * _decay(self.latency_at, now)
        cost = max(MIN_SLOWNESS, slowness)
        if self.failure_share:
            cost += FAILURE_COST * self._current_failure_share(now)
        return cost

    def _current_failure_share(self, now: float) -> float:
        """Return the failure share with its decay applied."""
        if not self.failure_share:
            return 0
        return self.failure_share * _decay(self.result_at, now)


@dataclass(kw_only=True, slots=True)
class Candidate:
    """One target that a request may be sent to."""

    record: TargetStatistics
    in_flight: int
    slots: int
    # Age of the oldest unanswered request as a multiple of the typical latency,
    # zero if there is none.
    oldest_ratio: float
    # Rank of the target's failure domain: 0 for the one that the instance
    # prefers, which is its own if that has targets, 1 for the next, 2 for others.
    domain_rank: int
    cold: bool
    # Whether sends wait for a connection and none is being opened.
    full: bool
    # Share of its usual load if a send would exceed it, see `TargetPace`, else 1.
    exceeded_share: float = 1


def expected_cost(candidate: Candidate, now: float) -> float:
    """Return the expected cost of a send, in typical latencies."""
    cost = candidate.record.cost(now)
    cost *= 1 + candidate.in_flight / max(1, candidate.slots)
    cost += DOMAIN_COSTS[candidate.domain_rank]
    cost += PACE_COST * (1 - candidate.exceeded_share)
    if candidate.cold:
        cost += COLD_COST
    if candidate.oldest_ratio > STUCK_FACTOR:
        cost += STUCK_COST
    if candidate.full:
        cost += FAILURE_COST
    if candidate.record.is_ejected(now):
        cost += 2 * FAILURE_COST
    return cost


def should_decline(candidate: Candidate, now: float) -> bool:
    """Return whether to decline a send in favour of another target.

    Guards against slow or crashed targets in a large fleet: an instance that
    delegates sends rarely observes such a target itself, whereas the peer
    that sends for many instances observes it all the time.
    """
    stuck = candidate.oldest_ratio > STUCK_FACTOR
    return (
        stuck
        or candidate.record.is_slow(now)
        or candidate.record.is_ejected(now)
    )


def rank_domain(
    domain: str, *, preferred: str, next_preferred: str | None
) -> int:
    """Return the rank of a failure domain for `Candidate`."""
    if domain == preferred:
        return 0
    return 1 if domain == next_preferred else 2


def choose_next_domain(
    domains: Iterable[str], *, preferred: str, instance: str
) -> str | None:
    """Return the failure domain to use beside the preferred one, if any.

    It depends on the instance, so that the load is spread over the domains.
    """
    others = [domain for domain in domains if domain != preferred]
    return min(
        others,
        key=lambda domain: zlib.crc32(f'{instance}/{domain}'.encode()),
        default=None,
    )


TargetT = TypeVar('TargetT')


def choose_target(
    targets: Iterable[TargetT],
    *,
    rank: Callable[[TargetT], int],
    describe: Callable[[TargetT], Candidate | None],
    jitter: Callable[[], float],
    min_jitter: float,
    now: float,
) -> TargetT | None:
    """Return the cheapest target.

    `rank` returns the rank of a target's failure domain, `describe` the target as
    a candidate, None if it accepts no request, and `jitter` factors to break
    ties, `min_jitter` or more. Targets of domains that can't be cheaper than the
    best one so far are not described.
    """
    best: TargetT | None = None
    lowest = math.inf
    for target in sorted(targets, key=rank):
        if MIN_COSTS[rank(target)] * min_jitter >= lowest:
            break
        candidate = describe(target)
        if candidate is None:
            continue
        cost = expected_cost(candidate, now) * jitter()
        if cost < lowest:
            best = target
            lowest = cost
    return best


def _decay(measured_at: float, now: float) -> float:
    """Return the remaining weight of a measurement."""
    return math.exp2((measured_at - now) / DECAY_HALF_LIFE_S)
