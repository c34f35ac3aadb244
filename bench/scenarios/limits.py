"""Use of rate limits that targets name, by fleets of different sizes.

Simulated time: the instances decide by the shares of the gateway, without
connections. Callers ask for twice as much as the limits allow; every instance
is restarted in turn.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from types import SimpleNamespace

from bench.options import Options
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.gateway.rate_limits import RateLimit, RateLimits
from bitternturn.standins.rate_limit_check import (
    STABILITY_S,
    allowed_requests,
    count_worst_window,
)

FLEET_SIZES = (8, 73, 195, 440)
RATES_PER_S = (0.5, 2.0, 7.0, 20.0)
OVERLOAD = 2.0
# Instances for each target of a service that instances use directly.
INSTANCES_PER_TARGET = 16
MIN_TARGETS = 4
# Time for which a restarted instance gets no requests.
RESTART_S = 2.0
# Part of the run after which the rolling restart begins; it ends after twice that.
RESTARTS_FROM = 0.4
SKEWS = {'even': 0.0, 'zipf': 1.0}
MUTE = SimpleNamespace(write=lambda kind, **fields: None)


@dataclass(kw_only=True)
class Fleet:
    """Instances that send to the targets of one service."""

    names: list[str]
    targets: list[str]
    rate: float
    rng: random.Random
    # Rank of an instance among the delegates, None without delegates.
    find_rank: Callable[[str], int | None]
    limits: dict[str, RateLimits] = field(default_factory=dict)
    known: dict[tuple[str, str], RateLimit] = field(default_factory=dict)
    sent_at: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def start(self, name: str, now: float) -> None:
        """Start or restart an instance, which has learned all limits."""
        limits = RateLimits(
            own_name=name,
            decisions=MUTE,
            metrics=GatewayMetrics(),
            rng=self.rng,
        )
        limits.find_delegate_rank = lambda _entry: self.find_rank(name)
        limits.update_instances(self.names)
        self.limits[name] = limits
        for target in self.targets:
            limit = RateLimit()
            self.known[name, target] = limit
            limits.update(_entry(target), limit, self.rate, now)

    def ask(self, name: str, now: float) -> None:
        """Let an instance send a request to any target that it may use."""
        for target in self.rng.sample(self.targets, len(self.targets)):
            limit = self.known[name, target]
            if self.limits[name].try_take(_entry(target), limit, now):
                self.sent_at[target].append(now)
                return


def _entry(target: str) -> SimpleNamespace:
    """Return what the shares need of a target's entry."""
    return SimpleNamespace(id=target, service='service')


def _ask_at(rng: random.Random, rate: float, seconds: float) -> Iterator[float]:
    """Yield the times of requests."""
    now = 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        yield now


def _is_up(index: int, instances: int, now: float, seconds: float) -> bool:
    """Return whether an instance is up, outside its turn of the restart."""
    stops_at = seconds * RESTARTS_FROM * (1 + index / instances)
    return not stops_at <= now < stops_at + RESTART_S


def simulate(
    *,
    instances: int,
    rate: float,
    skew: float,
    delegated: bool,
    seconds: float,
    seed: int,
) -> dict[str, float]:
    """Return the requests in the worst window, the bound and the use."""
    rng = random.Random(seed)
    names = [f'front-{number}' for number in range(instances)]
    count = (
        1 if delegated else max(MIN_TARGETS, instances // INSTANCES_PER_TARGET)
    )
    fleet = Fleet(
        names=names,
        targets=[f'target-{number}' for number in range(count)],
        rate=rate,
        rng=rng,
        find_rank=lambda name: names.index(name) if delegated else None,
    )
    for name in names:
        fleet.start(name, 0)
    weights = [1 / (number + 1) ** skew for number in range(instances)]
    _play(fleet, weights, delegated=delegated, seconds=seconds)
    sent = sum(map(len, fleet.sent_at.values()))
    worst = max(
        count_worst_window(at for at in times if at > STABILITY_S)
        for times in fleet.sent_at.values()
    )
    return {
        'instances': instances,
        'limit_per_s': rate,
        'worst': worst,
        'allowed': allowed_requests(rate),
        'used': round(sent / (rate * count * seconds), 3),
    }


def _play(
    fleet: Fleet, weights: Sequence[float], *, delegated: bool, seconds: float
) -> None:
    """Let callers ask instances, each of which is restarted once."""
    instances = len(fleet.names)
    stopped: set[str] = set()
    demand = OVERLOAD * fleet.rate * len(fleet.targets)
    for now in _ask_at(fleet.rng, demand, seconds):
        chosen = fleet.rng.choices(range(instances), weights)[0]
        if delegated:
            # All entry instances use the first delegate that is up.
            chosen = next(
                index
                for index in range(instances)
                if _is_up(index, instances, now, seconds)
            )
        name = fleet.names[chosen]
        if not _is_up(chosen, instances, now, seconds):
            stopped.add(name)
            continue
        if name in stopped:
            stopped.discard(name)
            fleet.start(name, now)
        fleet.ask(name, now)


async def async_run(options: Options) -> dict[str, object]:
    """Play all fleets; return a row for each."""
    seconds = options.choose_seconds(10, 40)
    rows = [
        {
            'traffic': 'delegates' if delegated else traffic,
            **simulate(
                instances=instances,
                rate=rate,
                skew=SKEWS[traffic],
                delegated=delegated,
                seconds=seconds,
                seed=options.seed,
            ),
        }
        for traffic, delegated in (
            ('even', False),
            ('zipf', False),
            ('even', True),
        )
        for instances in FLEET_SIZES
        for rate in RATES_PER_S
    ]
    return {
        'rows': rows,
        'exceeded': sum(row['worst'] > row['allowed'] for row in rows),
        'least_used': min(row['used'] for row in rows),
    }
