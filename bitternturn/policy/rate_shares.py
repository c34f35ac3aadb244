"""Shares of a rate limit that all instances observe together.

Guards against the sum over the instances: each of them sends little to a target,
and all together more than it accepts. An instance derives its share from the
limit and the members that it knows, and asks nobody. What the bound tolerates
above the limit pays for bursts of the shares and for instances that do not agree
about the members yet.
"""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from bitternturn.policy import const
from bitternturn.policy.rendezvous import hash_share

# Number of senders beyond those that all instances know, such as one that has
# just joined, with which the bound still holds.
UNKNOWN_SENDERS: Final = 1
# Maximum burst of one instance, in requests.
MAX_BURST: Final = 2.0
# Burst that each sender can save at least if that is possible. Without one,
# permits are lost while no request comes.
SENDER_BURST: Final = 1.25
# Requests per window of all instances that are not among the senders.
PROBES_PER_WINDOW: Final = 1.0
# Parts of the bound's rate and of its slack for the instances that send to a
# target on behalf of all others, the preferred one first.
DELEGATE_RATE_PARTS: Final = (0.57, 0.27, 0.13)
DELEGATE_SLACK_PARTS: Final = (0.4, 0.2, 0.2)


@dataclass(kw_only=True, frozen=True, slots=True)
class RateBound:
    """Bound of the requests to a target in any window.

    With a limit of `rate` requests per second, a window of `window_s` seconds
    holds at most `rate` × `factor` × `window_s` + `slack` requests from all
    instances.
    """

    window_s: float
    factor: float
    slack: float


# Bound of the limits that targets name themselves.
NAMED_LIMIT_BOUND: Final = RateBound(
    window_s=const.NAMED_LIMIT_WINDOW_S,
    factor=const.NAMED_LIMIT_FACTOR,
    slack=const.NAMED_LIMIT_SLACK,
)


@dataclass(kw_only=True, frozen=True, slots=True)
class RateShare:
    """Share of one instance: requests per second and the burst it may save."""

    rate_per_s: float
    burst: float = 1
    # Whether the instance is not a sender and only probes for a changed limit.
    probing: bool = False


def rank_sender(key: str, names: Iterable[str], *, own: str) -> int:
    """Return the rank of an instance among those that may send to a target.

    Rendezvous hashing: an instance that joins or leaves moves the ranks of the
    others by one at most.
    """
    own_hash = hash_share(key, own)
    return sum(hash_share(key, name) > own_hash for name in names)


def equal_share(
    rate: float, bound: RateBound, *, instances: int, rank: int
) -> RateShare:
    """Return the share of an instance in a limit of `rate` per second.

    All instances are senders if their bursts are within the bound; else the
    first ranks are, and the others probe.
    """
    senders = instances
    # An unknown sender knows itself and so has the share of a larger fleet.
    burst = _sender_burst(rate, bound, senders, unknown=rate / (senders + 1))
    if burst < 1:
        senders, burst = _limit_senders(rate, bound, instances)
    if rank >= senders:
        return _probing_share(bound, instances - senders)
    return RateShare(rate_per_s=rate / senders, burst=min(MAX_BURST, burst))


def _limit_senders(
    rate: float, bound: RateBound, instances: int
) -> tuple[int, float]:
    """Return the number of senders among more instances, and their burst.

    It is the largest number with the wanted burst, else the one with the
    largest burst.
    """
    without_probes = dataclasses.replace(
        bound, slack=bound.slack - PROBES_PER_WINDOW
    )
    bursts = {
        senders: _sender_burst(
            rate, without_probes, senders, unknown=rate / senders
        )
        for senders in range(1, instances)
    }
    wanted = [it for it, burst in bursts.items() if burst >= SENDER_BURST]
    senders = max(wanted) if wanted else max(bursts, key=bursts.__getitem__)
    return senders, max(1, bursts[senders])


def _sender_burst(
    rate: float, bound: RateBound, senders: int, *, unknown: float
) -> float:
    """Return the burst that each sender may save.

    `unknown` is the rate of a sender that not all instances know.
    """
    excess = bound.slack + rate * (bound.factor - 1) * bound.window_s
    excess -= UNKNOWN_SENDERS * unknown * bound.window_s
    return excess / (senders + UNKNOWN_SENDERS)


def delegate_share(
    rate: float, bound: RateBound, *, instances: int, rank: int
) -> RateShare:
    """Return the share of an instance if one of them sends for all others.

    `rank` is its rank among the candidates for that. The parts of the first
    ranks add up to less than the bound, so that all of them may send at once.
    """
    if rank >= len(DELEGATE_RATE_PARTS):
        others = max(1, instances - len(DELEGATE_RATE_PARTS))
        return _probing_share(bound, others)
    return RateShare(
        rate_per_s=rate * bound.factor * DELEGATE_RATE_PARTS[rank],
        burst=max(1, bound.slack * DELEGATE_SLACK_PARTS[rank]),
    )


def _probing_share(bound: RateBound, instances: int) -> RateShare:
    """Return the share of each of the instances that are not senders."""
    rate_per_s = PROBES_PER_WINDOW / (bound.window_s * instances)
    return RateShare(rate_per_s=rate_per_s, probing=True)
