"""Selection of the instances from which followers learn the store's objects.

Guards against control traffic that grows with the fleet: with a few readers for
all followers, each reader serves hundreds of them, and every change crosses
between failure domains once for each follower. So in each large failure domain
a few instances, its relays, follow the readers, and the others follow them.
"""

from collections.abc import Sequence
from typing import Final

from bitternturn.policy.delegate_selection import (
    DelegateCandidate,
    rank_delegates,
)

RELAYS_PER_DOMAIN: Final = 2
# Number of instances of a failure domain from which on it has relays.
MIN_RELAYED_DOMAIN_SIZE: Final = 8
# Multiple of the time without an up-to-date source after which a follower reads
# the store although a relay answers.
RELAYED_PATIENCE: Final = 2.5


def rank_relays(
    domain: str, members: Sequence[DelegateCandidate]
) -> Sequence[str]:
    """Return the names of a domain's instances, preferred relays first.

    Returns none for a domain that is too small for relays.
    """
    if len(members) < MIN_RELAYED_DOMAIN_SIZE:
        return ()
    return rank_delegates(f'relay/{domain}', members)


def should_poll_relay(failed_polls: int) -> bool:
    """Return whether a follower polls a relay next, and not a reader.

    `failed_polls` is the number of polls since the last one that succeeded.
    After a failure relays and readers alternate, since either may be lost.
    """
    return failed_polls % 2 == 0


def should_read_store(
    *,
    failed_polls: int,
    not_updated_s: float,
    read_after_s: float,
    has_relay: bool,
) -> bool:
    """Return whether a follower reads the store itself.

    `has_relay` is whether a relay answers but is not up to date. It then reads
    the store for its domain, unless the store rejects just this relay, which
    the follower finds out by waiting longer.
    """
    if has_relay:
        read_after_s *= RELAYED_PATIENCE
    return failed_polls > 1 and not_updated_s >= read_after_s
