"""Admission of requests while the targets of a service are overloaded.

Guards against a load above what the targets can answer: every request would wait
in their queues, and most would be rejected or answered too late. Each instance
estimates the room from its own sends and rejects at arrival what does not fit.
"""

import math
import statistics
from collections import Counter, defaultdict
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from bitternturn.core.ids import ServiceName, TargetId

# Period over which replies and arrivals are counted, in seconds. Decisions use
# the current and the previous one: a longer time would notice a burst late, a
# shorter one holds few replies of each service where there are many instances.
PERIOD_S: Final = 0.5
# Interval of the decisions whether services are overloaded, in seconds.
EVALUATION_INTERVAL_S: Final = 0.1
# Number of services whose evaluation adds this interval once more: 90 services take
# 0.3 ms of processor time in calm.
SERVICES_PER_INTERVAL: Final = 60
# Replies of a service below which its state does not change: a few rejections may
# be chance.
MIN_REPLIES: Final = 10
# Share of rejections from which on a service is overloaded, from which on it stays
# overloaded, and up to which it has room to spare. Targets with short queues reject
# some requests of any burst, and a retry then finds another target: at the first
# share, about 1 request in 25 is rejected by both.
ENTRY_SHARE: Final = 0.2
STAY_SHARE: Final = 0.1
SPARE_SHARE: Final = 0.05
# Multiple of the usual latency from which on a target is late: its queue is long.
LATE_RATIO: Final = 3.0
# Share of a service's targets above which they are overloaded together. Fewer are
# avoided by the selection of targets.
MAJORITY: Final = 0.5
# Weight of a period's latency in the usual one, while the service is neither late
# nor overloaded and otherwise: a lasting change becomes usual within a minute.
USUAL_WEIGHT: Final = 0.1
LATE_USUAL_WEIGHT: Final = 0.01
# Share of the answers that is admitted when targets reject, so that their queues
# shorten, and the time between two such reductions, in seconds: until the replies
# from before the first one are no longer counted.
REDUCTION: Final = 0.98
REDUCTION_INTERVAL_S: Final = 2 * PERIOD_S
# Least room, relative to that at the beginning of the overload. Targets that go on
# rejecting so much less than they could answer then do so for another reason than
# load, or because their queues are too short for the bursts that arrive.
LEAST_ROOM_SHARE: Final = 0.7
# Growth of the room in each evaluation without rejections, a third in a second, and
# from a share of the room at which targets rejected on, a tenth in a second. After
# some seconds without rejections, that room says little.
GROWTH: Final = 0.03
SLOW_GROWTH: Final = 0.01
SLOW_GROWTH_SHARE: Final = 0.9
SLOW_GROWTH_S: Final = 2.0
# Least room, relative to the arrivals, once no request is rejected: nothing may have
# been answered when the room was estimated.
MIN_ROOM_SHARE: Final = 0.05
# Multiple of the arrivals that the room exceeds before all are admitted again.
EXIT_RATIO: Final = 1.2
# Share of the expected latency below which a request is not expected to end in the
# time that it has: answers vary.
FINISH_SHARE: Final = 0.7
# Share of each class that is always admitted, so that recovery is noticed, and the
# time after which a request is admitted if none has been, in seconds.
PROBE_SHARE: Final = 0.02
PROBE_INTERVAL_S: Final = 0.5
# Rate at which a tenant is admitted at least, relative to the rate of all: above
# the quarter that is guaranteed, since estimates vary.
TENANT_FLOOR: Final = 0.3

# Credit of a class that admits a request: 1, as sums of shares are inexact.
FULL_CREDIT: Final = 0.999999

# Priority and tenant of requests; the tenant is empty without tenants.
RequestClass = tuple[int, str]
# Arrivals per second by class.
Demand = Mapping[RequestClass, float]


@unique
class Rejection(Enum):
    """Why a request is rejected at arrival."""

    # It could not end in the time that it has.
    DEADLINE = 'deadline'
    # More urgent requests take the room.
    PRIORITY = 'priority'
    # Requests that are as urgent take the room.
    SHARE = 'share'


@dataclass(kw_only=True, slots=True)
class TargetReplies:
    """Replies of one target in a period."""

    answers: int = 0
    sheds: int = 0
    latency_s: float = 0


class Arrivals:
    """Arrivals of requests to the same services, by class."""

    __slots__ = ('current', 'period', 'previous', 'since')

    def __init__(self) -> None:
        """Initialise without arrivals."""
        self.period = 0
        # Beginning of the time whose arrivals are counted.
        self.since: float = 0
        self.current: Counter[RequestClass] = Counter()
        self.previous: Counter[RequestClass] = Counter()

    def record(self, request_class: RequestClass, now: float) -> None:
        """Record the arrival of a request."""
        self.advance(now)
        self.current[request_class] += 1

    def advance(self, now: float) -> None:
        """Begin the period of a time."""
        period = int(now / PERIOD_S)
        if period > self.period:
            follows = period == self.period + 1
            self.since = (period - 1) * PERIOD_S if follows else now
            self.previous = self.current if follows else Counter()
            self.current = Counter()
            self.period = period


@dataclass(kw_only=True, slots=True)
class ServiceLoad:
    """Recent replies of a service, and whether its targets are overloaded."""

    period: int = 0
    current: dict[TargetId, TargetReplies] = field(default_factory=dict)
    previous: dict[TargetId, TargetReplies] = field(default_factory=dict)
    # Beginning of the time whose replies are counted.
    since: float = 0
    # Answers to requests of this instance's callers in both periods.
    own_count: int = 0
    previous_own_count: int = 0
    # Usual latency in seconds, 0 before it is known.
    usual_s: float = 0
    # Whether most of the targets are late, and the latency that is expected.
    late: bool = False
    expected_s: float = 0
    overloaded: bool = False
    # Requests per second that are admitted while the service is overloaded.
    room_per_s: float = 0
    reduced_at: float = 0
    least_room_per_s: float = 0
    # Room at which targets rejected last, and when they did.
    full_per_s: float = 0
    full_at: float = 0
    # Share of each class that is admitted while the service is overloaded.
    # It is computed when it is needed first after an evaluation.
    shares: Mapping[RequestClass, float] | None = None
    # Arrivals per second at the last evaluation, and the share that has room.
    demand: Demand = field(default_factory=dict)
    room_share: float = 1
    credits: dict[RequestClass, float] = field(default_factory=dict)

    def record_answer(
        self, target: TargetId, latency_s: float, now: float, *, own: bool
    ) -> None:
        """Record an answer; `own` is whether it is for a caller."""
        replies = self._replies(target, now)
        replies.answers += 1
        replies.latency_s += latency_s
        self.own_count += own

    def record_shed(self, target: TargetId, now: float) -> None:
        """Record that a target had no room for a request."""
        self._replies(target, now).sheds += 1

    def _replies(self, target: TargetId, now: float) -> TargetReplies:
        """Return the replies of a target in the current period."""
        if int(now / PERIOD_S) != self.period:
            self.advance(now)
        replies = self.current.get(target)
        if replies is None:
            replies = self.current[target] = TargetReplies()
        return replies

    def advance(self, now: float) -> None:
        """Begin the period of a time."""
        period = int(now / PERIOD_S)
        if period <= self.period:
            return
        self._update_usual()
        follows = period == self.period + 1
        self.since = (period - 1) * PERIOD_S if follows else now
        self.previous = self.current if follows else {}
        self.previous_own_count = self.own_count if follows else 0
        self.current = {}
        self.own_count = 0
        self.period = period

    def answers_per_s(self, now: float) -> float:
        """Return the recent answers per second to requests of callers."""
        count = self.own_count + self.previous_own_count
        return count / max(EVALUATION_INTERVAL_S, now - self.since)

    def evaluate(self, demand: Demand, now: float) -> None:
        """Update the state by the recent replies and arrivals."""
        self.advance(now)
        self._update_state(sum(demand.values()), now)
        if self.overloaded:
            self.demand = demand
            self.room_share = self.room_per_s / max(1, sum(demand.values()))
            self.shares = None

    def _update_state(self, arrivals_per_s: float, now: float) -> None:
        """Update whether the service is late or overloaded, and its room."""
        # A target that answers nothing is failing, not overloaded.
        replies = [it for it in self._merged().values() if it.answers]
        total = sum(it.answers + it.sheds for it in replies)
        if total < MIN_REPLIES and not (self.overloaded and total):
            self.late = self.overloaded = False
            return
        latencies_s = [it.latency_s / it.answers for it in replies]
        self.expected_s = statistics.median(latencies_s)
        late_from_s = LATE_RATIO * self.usual_s
        late_count = sum(it >= late_from_s for it in latencies_s)
        self.late = self.usual_s > 0 and late_count > MAJORITY * len(replies)
        shed_share = sum(it.sheds for it in replies) / total
        if self.overloaded:
            self._adjust_room(shed_share, arrivals_per_s, now)
            return
        shedding_count = sum(
            it.sheds >= ENTRY_SHARE * (it.answers + it.sheds) for it in replies
        )
        most_shed = shedding_count > MAJORITY * len(replies)
        if most_shed and shed_share >= ENTRY_SHARE:
            self.overloaded = True
            self.least_room_per_s = LEAST_ROOM_SHARE * self.answers_per_s(now)
            self._reduce_room(now)

    def _adjust_room(
        self, shed_share: float, arrivals_per_s: float, now: float
    ) -> None:
        """Adjust the room of an overloaded service."""
        if shed_share >= STAY_SHARE:
            self.full_at = now
            if now - self.reduced_at >= REDUCTION_INTERVAL_S:
                self._reduce_room(now)
            # At the beginning, answers from before the overload are counted.
            answered_per_s = REDUCTION * self.answers_per_s(now)
            self.room_per_s = max(self.room_per_s, answered_per_s)
        elif shed_share <= SPARE_SHARE:
            slow = (
                self.room_per_s >= SLOW_GROWTH_SHARE * self.full_per_s
                and now - self.full_at < SLOW_GROWTH_S
            )
            self.room_per_s = max(
                self.room_per_s * (1 + (SLOW_GROWTH if slow else GROWTH)),
                arrivals_per_s * MIN_ROOM_SHARE,
            )
            self.overloaded = self.room_per_s < EXIT_RATIO * arrivals_per_s

    def _reduce_room(self, now: float) -> None:
        """Reduce the room to what is answered."""
        answered_per_s = self.answers_per_s(now) * REDUCTION
        self.full_per_s = max(answered_per_s, self.room_per_s)
        self.room_per_s = max(answered_per_s, self.least_room_per_s)
        self.reduced_at = now

    def _merged(self) -> Mapping[TargetId, TargetReplies]:
        """Return the replies of the current and the previous period."""
        if not self.previous:
            return self.current
        merged = dict(self.previous)
        for target, replies in self.current.items():
            earlier = merged.get(target)
            if earlier is not None:
                merged[target] = TargetReplies(
                    answers=earlier.answers + replies.answers,
                    sheds=earlier.sheds + replies.sheds,
                    latency_s=earlier.latency_s + replies.latency_s,
                )
            else:
                merged[target] = replies
        return merged

    def _update_usual(self) -> None:
        """Update the usual latency by the period that ends."""
        answers = sum(it.answers for it in self.current.values())
        if not answers:
            return
        mean_s = sum(it.latency_s for it in self.current.values()) / answers
        if self.usual_s <= 0:
            self.usual_s = mean_s
            return
        # Latencies that are lower than usual show that it was too high.
        calm = mean_s < self.usual_s or not (self.late or self.overloaded)
        weight = USUAL_WEIGHT if calm else LATE_USUAL_WEIGHT
        self.usual_s += (mean_s - self.usual_s) * weight

    def take(self, request_class: RequestClass) -> bool:
        """Return whether the share of a class admits its next request."""
        share = (self.shares or {}).get(request_class, 1)
        credit = min(2, self.credits.get(request_class, 1 - share) + share)
        admitted = credit >= FULL_CREDIT
        self.credits[request_class] = credit - admitted
        return admitted


def share_room(
    demand: Demand,
    room_per_s: float,
    weights: Mapping[str, float],
) -> dict[RequestClass, float]:
    """Return the share of each class that is admitted.

    `demand` holds the arrivals per second. Each class gets a small part of its
    demand. Then more urgent ones come first, and tenants of the same priority get
    equal parts per weight, or all of what they demand if that is less.
    """
    total = sum(demand.values())
    if total <= room_per_s:
        return dict.fromkeys(demand, 1.0)
    tenant_count = len({tenant for _, tenant in demand})
    granted = {
        it: min(
            rate,
            max(
                rate * PROBE_SHARE,
                min(
                    rate * TENANT_FLOOR * room_per_s / total,
                    room_per_s / tenant_count,
                )
                if it[1]
                else 0,
            ),
        )
        for it, rate in demand.items()
    }
    left = max(0, room_per_s - sum(granted.values()))
    by_priority: defaultdict[int, list[RequestClass]] = defaultdict(list)
    for it in demand:
        by_priority[it[0]].append(it)
    for _, classes in sorted(by_priority.items()):
        budget = left + sum(granted[it] for it in classes)
        left = budget - _fill(classes, demand, granted, budget, weights)
    return {
        it: granted[it] / rate if rate else 1.0 for it, rate in demand.items()
    }


def _sum_demand(parts: Iterable[Arrivals], now: float) -> Demand:
    """Return the arrivals per second, by class."""
    demand: defaultdict[RequestClass, float] = defaultdict(float)
    for arrivals in parts:
        arrivals.advance(now)
        elapsed_s = max(EVALUATION_INTERVAL_S, now - arrivals.since)
        for counts in (arrivals.current, arrivals.previous):
            for it, count in counts.items():
                demand[it] += count / elapsed_s
    return demand


def _fill(
    classes: Sequence[RequestClass],
    demand: Demand,
    granted: dict[RequestClass, float],
    budget: float,
    weights: Mapping[str, float],
) -> float:
    """Grant a budget to classes of one priority; return what they get."""
    rest = sorted(classes, key=lambda it: demand[it] / weights.get(it[1], 1))
    left = budget
    parts = _divide(rest, demand, left, weights)
    # Those that have got more than an equal part keep it; the others share what is
    # left of the budget.
    ahead = [it for it in rest if granted[it] > parts[it]]
    while ahead:
        left -= sum(granted[it] for it in ahead)
        rest = [it for it in rest if granted[it] <= parts[it]]
        parts = _divide(rest, demand, left, weights)
        ahead = [it for it in rest if granted[it] > parts[it]]
    granted.update(parts)
    return sum(granted[it] for it in classes)


def _divide(
    classes: Sequence[RequestClass],
    demand: Demand,
    budget: float,
    weights: Mapping[str, float],
) -> dict[RequestClass, float]:
    """Return the parts of a budget, equal per weight or all that is demanded.

    The classes are sorted by their demand per weight.
    """
    parts: dict[RequestClass, float] = {}
    left = max(0, budget)
    weight_left = sum(weights.get(tenant, 1) for _, tenant in classes)
    for it in classes:
        weight = weights.get(it[1], 1)
        parts[it] = min(demand[it], left * weight / weight_left)
        left -= parts[it]
        weight_left -= weight
    return parts


class OverloadControl:
    """Decides which requests are rejected at arrival."""

    def __init__(self) -> None:
        """Initialise without services."""
        self.loads: defaultdict[ServiceName, ServiceLoad] = defaultdict(
            ServiceLoad
        )
        # Arrivals by the services of the requests, and these by service.
        self.arrivals: dict[Sequence[ServiceName], Arrivals] = {}
        self.arrivals_of: defaultdict[ServiceName, list[Arrivals]] = (
            defaultdict(list)
        )
        # Weights of tenants in the same priority.
        self.weights: Mapping[str, float] = {}
        # Services that are late or overloaded.
        self.loaded: dict[ServiceName, ServiceLoad] = {}
        self.evaluate_at: float = -math.inf
        self.probed_at: float = -math.inf
        self.deadline_credit: float = 0

    def reconfigure(
        self, services: Container[ServiceName], weights: Mapping[str, float]
    ) -> None:
        """Apply the services and the weights of a new configuration.

        Arrivals are counted anew, as they are kept by route.
        """
        self.arrivals.clear()
        self.arrivals_of.clear()
        self.weights = weights
        for service in [it for it in self.loads if it not in services]:
            del self.loads[service]
            self.loaded.pop(service, None)
        for load in self.loads.values():
            load.credits.clear()

    def decide(
        self,
        services: tuple[ServiceName, ...],
        *,
        min_parts: int,
        request_class: RequestClass,
        remaining_s: float,
        now: float,
    ) -> Rejection | None:
        """Return why to reject a request that arrives, None to admit it.

        It needs answers of `min_parts` of the services, so the fullest of the
        others do not matter.
        """
        self._arrivals(services).record(request_class, now)
        if now >= self.evaluate_at:
            self._evaluate(now)
        if not self.loaded:
            return None
        rejection = self._find_rejection(
            services, len(services) - min_parts, request_class, remaining_s
        )
        if rejection is None or now - self.probed_at >= PROBE_INTERVAL_S:
            self.probed_at = now
            return None
        return rejection

    def _find_rejection(
        self,
        services: Sequence[ServiceName],
        spare: int,
        request_class: RequestClass,
        remaining_s: float,
    ) -> Rejection | None:
        """Return why to reject a request, None to admit it.

        `spare` is the number of services that may be missing.
        """
        loads = [self.loaded[it] for it in services if it in self.loaded]
        if len(loads) <= spare:
            return None
        expected_s = sorted((it.expected_s for it in loads), reverse=True)
        if remaining_s < FINISH_SHARE * expected_s[spare]:
            self.deadline_credit += PROBE_SHARE
            if self.deadline_credit < 1:
                return Rejection.DEADLINE
            self.deadline_credit -= 1
        full = [it for it in loads if it.overloaded]
        if len(full) <= spare:
            return None
        full.sort(key=lambda load: load.room_share)
        fullest = full[spare]
        if fullest.shares is None:
            fullest.shares = share_room(
                fullest.demand, fullest.room_per_s, self.weights
            )
        if fullest.take(request_class):
            return None
        urgent = min(priority for priority, _ in fullest.shares)
        if urgent < request_class[0]:
            return Rejection.PRIORITY
        return Rejection.SHARE

    def _evaluate(self, now: float) -> None:
        """Update the state of all services."""
        self.evaluate_at = now + EVALUATION_INTERVAL_S * (
            1 + len(self.loads) / SERVICES_PER_INTERVAL
        )
        self.loaded = {}
        # By the arrivals that it consists of, which the shards of a route share.
        demands: dict[tuple[int, ...], Demand] = {}
        for service, load in self.loads.items():
            parts = self.arrivals_of[service]
            key = tuple(map(id, parts))
            if key not in demands:
                demands[key] = _sum_demand(parts, now)
            load.evaluate(demands[key], now)
            if load.overloaded or load.late:
                self.loaded[service] = load

    def _arrivals(self, services: tuple[ServiceName, ...]) -> Arrivals:
        """Return the arrivals of requests to some services."""
        arrivals = self.arrivals.get(services)
        if arrivals is None:
            arrivals = self.arrivals[services] = Arrivals()
            for service in services:
                self.arrivals_of[service].append(arrivals)
        return arrivals
