"""Order in which to try the replicas of a shard."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from bitternturn.core.ids import TargetId
from bitternturn.policy.const import (
    COST_EXPONENT,
    CROSS_DOMAIN_LATENCY_S,
    DEFAULT_LATENCY_HALF_LIFE_S,
    DEFAULT_LATENCY_S,
    WARM_UP_SHARE,
)


@dataclass(kw_only=True, slots=True, frozen=True)
class ReplicaView:
    """State of one replica.

    `latency_s` is its recent latency in seconds, zero if unknown.
    """

    target: TargetId
    in_flight: int
    latency_s: float
    limit: int
    cold: bool = False
    ejected: bool = False
    # Whether the target is out of service, leaving or draining.
    out_of_service: bool = False
    same_domain: bool = False

    @property
    def full(self) -> bool:
        """Whether one more request would be queued."""
        return self.in_flight >= self.limit


class LatencyAverage:
    """Moving average of latency that follows a slow answer immediately.

    It also decays without answers, so that a replica that was slow once is
    tried again.
    """

    __slots__ = ('half_life_s', 'updated_at', 'value_s')

    def __init__(
        self,
        *,
        half_life_s: float = DEFAULT_LATENCY_HALF_LIFE_S,
    ) -> None:
        """Initialise without any measurement."""
        self.half_life_s = half_life_s
        self.value_s: float = 0
        self.updated_at: float = 0

    def record(self, latency_s: float, now: float) -> None:
        """Record the latency of one answer, in seconds."""
        decay = self._decay(now)
        average = self.value_s * decay + latency_s * (1 - decay)
        self.value_s = max(latency_s, average)
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the average in seconds, or zero without any measurement."""
        return self.value_s * self._decay(now)

    def _decay(self, now: float) -> float:
        """Return the remaining weight of earlier measurements."""
        return math.exp2((self.updated_at - now) / self.half_life_s)


def order_replicas(
    *,
    replicas: Sequence[ReplicaView],
    rng: random.Random,
) -> list[TargetId]:
    """Return the replicas to try, best first, without those out of service.

    The first one is chosen from two random replicas, with a probability that
    favours the cheaper one: a much cheaper one wins nearly always, while
    similar ones alternate, so that not all instances send to the same
    replica. A cold replica with room comes first for a small share of the
    requests, so that it warms up even while warm ones have room. Full
    replicas come after those with room, ejected ones last.
    """
    ranked = sorted(
        (view for view in replicas if not view.out_of_service),
        key=_sort_key,
    )
    available = [view for view in ranked if not view.ejected and not view.full]
    first = _choose_first(available, rng)
    order = [view.target for view in ranked if view is not first]
    if first is not None:
        order.insert(0, first.target)
    return order


def _choose_first(
    ranked: Sequence[ReplicaView],
    rng: random.Random,
) -> ReplicaView | None:
    """Return the replica to try first from those with room, if any."""
    if not ranked:
        return None
    cold = [view for view in ranked if view.cold]
    if cold and rng.random() < WARM_UP_SHARE:
        return rng.choice(cold)
    warm = ranked[: len(ranked) - len(cold)]
    return _choose_by_cost(warm or cold, rng)


def _choose_by_cost(
    ranked: Sequence[ReplicaView],
    rng: random.Random,
) -> ReplicaView:
    """Return one of two random replicas, weighted by their costs."""
    count = len(ranked)
    if count == 1:
        return ranked[0]
    position = int(rng.random() * count)
    step = 1 + int(rng.random() * (count - 1))
    one = ranked[position]
    other = ranked[(position + step) % count]
    weight = _cost_s(other) ** COST_EXPONENT
    total = weight + _cost_s(one) ** COST_EXPONENT
    return one if rng.random() * total < weight else other


def _sort_key(view: ReplicaView) -> tuple[bool, bool, bool, float]:
    """Return the sort key of a replica; better replicas sort first."""
    return view.ejected, view.full, view.cold, _cost_s(view)


def _cost_s(view: ReplicaView) -> float:
    """Return the expected latency of one more request, in seconds."""
    latency_s = view.latency_s or DEFAULT_LATENCY_S
    load = (view.in_flight + 1) / max(1, view.limit)
    cross_domain_s = 0 if view.same_domain else CROSS_DOMAIN_LATENCY_S
    return latency_s * load + cross_domain_s
