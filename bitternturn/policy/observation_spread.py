"""Decides to which instances an observation is sent, and how often again.

Guards against an instance that sends hundreds of messages for each observation,
and against observations that a lost message or a cut keeps from an instance.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from bitternturn.policy.delegate_selection import (
    DelegateCandidate,
    rank_delegates,
)

# Instances of another failure domain that get an observation first and pass it
# on there. Two, as one may be lost or unreachable.
FORWARDERS_PER_DOMAIN: Final = 2
# Interval at which an instance exchanges its observations with a random peer,
# and the same once none has been new for some time.
GOSSIP_INTERVAL_S: Final = 1.0
SLOW_GOSSIP_INTERVAL_S: Final = 10.0
GOSSIP_DURATION_S: Final = 30.0


@dataclass(kw_only=True, frozen=True, slots=True)
class Receivers:
    """Instances of one failure domain that get an observation."""

    names: Sequence[str]
    # Whether they pass it on to the others of their domain.
    forward: bool


def choose_receivers(
    domain: str,
    members: Sequence[DelegateCandidate],
    *,
    own_name: str,
    own_domain: str,
    is_available: Callable[[str], bool],
) -> Receivers:
    """Return which members of a domain an observation is sent to."""
    available = [
        name
        for name in rank_delegates(f'observations/{domain}', members)
        if name != own_name and is_available(name)
    ]
    if domain == own_domain or len(members) <= FORWARDERS_PER_DOMAIN:
        return Receivers(names=available, forward=False)
    return Receivers(names=available[:FORWARDERS_PER_DOMAIN], forward=True)


def gossip_delay_s(unchanged_s: float) -> float:
    """Return the time until the next exchange with a random peer.

    `unchanged_s` is the time since the last new observation.
    """
    if unchanged_s <= GOSSIP_DURATION_S:
        return GOSSIP_INTERVAL_S
    return SLOW_GOSSIP_INTERVAL_S
