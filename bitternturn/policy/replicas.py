"""Order in which the replicas of a shard are tried."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from bitternturn.core.ids import TargetId
from bitternturn.policy.const import (
    COST_EXPONENT,
    CROSS_DOMAIN_S,
    DEFAULT_LATENCY_HALF_LIFE_S,
    DEFAULT_LATENCY_S,
    WARM_UP_SHARE,
)


@dataclass(kw_only=True, slots=True, frozen=True)
class ReplicaView:
    """What is known of one replica.

    `latency_s` is its recent latency in seconds, zero when unknown. `out`
    holds for targets that are out of service, leaving or draining.
    """

    target: TargetId
    outstanding: int
    latency_s: float
    limit: int
    cold: bool = False
    ejected: bool = False
    out: bool = False
    same_domain: bool = False

    @property
    def full(self) -> bool:
        """Whether one more request would have to wait."""
        return self.outstanding >= self.limit


class LatencyAverage:
    """Moving average of latency that a slow answer raises at once.

    It falls over time also without answers, so that a replica that was slow
    once is tried again.
    """

    __slots__ = ('half_life_s', 'updated_at', 'value_s')

    def __init__(
        self,
        *,
        half_life_s: float = DEFAULT_LATENCY_HALF_LIFE_S,
    ) -> None:
        """Start with no latency known."""
        self.half_life_s = half_life_s
        self.value_s: float = 0
        self.updated_at: float = 0

    def record(self, latency_s: float, now: float) -> None:
        """Take in the latency of one answer."""
        decay = self._decay(now)
        average = self.value_s * decay + latency_s * (1 - decay)
        self.value_s = max(latency_s, average)
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the average in seconds; zero when nothing is known."""
        return self.value_s * self._decay(now)

    def _decay(self, now: float) -> float:
        """Return the weight of what was known before."""
        return math.exp2((self.updated_at - now) / self.half_life_s)


def order_replicas(
    *,
    targets: Sequence[ReplicaView],
    rng: random.Random,
) -> list[TargetId]:
    """Return the replicas to try, best first; those that are out are absent.

    The first is one of two random ones, nearly always the much better one;
    between similar ones it varies, lest all entries send to the same. A cold
    replica with room goes first for a small share of the requests, so that
    it warms up also while warm ones have room. Full replicas come after those
    with room, ejected ones last.
    """
    ranked = sorted(
        (view for view in targets if not view.out),
        key=_rank,
    )
    room = [view for view in ranked if not view.ejected and not view.full]
    first = _pick(room, rng)
    order = [view.target for view in ranked if view is not first]
    if first is not None:
        order.insert(0, first.target)
    return order


def _pick(
    ranked: Sequence[ReplicaView],
    rng: random.Random,
) -> ReplicaView | None:
    """Return the replica to try first among those with room."""
    if not ranked:
        return None
    cold = [view for view in ranked if view.cold]
    if cold and rng.random() < WARM_UP_SHARE:
        return rng.choice(cold)
    warm = ranked[: len(ranked) - len(cold)]
    return _choose(warm or cold, rng)


def _choose(
    ranked: Sequence[ReplicaView],
    rng: random.Random,
) -> ReplicaView:
    """Return one of two random replicas by their costs."""
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


def _rank(view: ReplicaView) -> tuple[bool, bool, bool, float]:
    """Return a key that is smaller for better replicas."""
    return view.ejected, view.full, view.cold, _cost_s(view)


def _cost_s(view: ReplicaView) -> float:
    """Return the expected latency of one more request, in seconds."""
    latency_s = view.latency_s or DEFAULT_LATENCY_S
    load = (view.outstanding + 1) / max(1, view.limit)
    distance_s = 0 if view.same_domain else CROSS_DOMAIN_S
    return latency_s * load + distance_s
