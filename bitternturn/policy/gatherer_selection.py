"""Selection of the instance that gathers the parts of a request over shards.

Guards against urgent requests that are late at weak instances. Selecting the
targets of many parts and merging their reports takes milliseconds of processor
time, which pass slowly on a third of a core. Each of many weak instances serves
few such requests besides, so that it has neither connections nor recent
statistics for them. A strong instance that gathers for many has both.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Final, TypeVar

from bitternturn.policy.delegate_selection import (
    MAX_BUSY_SHARE,
    DelegateCandidate,
    rank_delegates,
)

# Multiple of an instance's own cores from which on another one gathers for it.
# Its time is then less by more than the way to it and back takes.
MIN_CORES_RATIO: Final = 2.0

Domain = TypeVar('Domain', bound=str)


def rank_gatherers(
    own: DelegateCandidate,
    members: Mapping[Domain, Sequence[DelegateCandidate]],
    near: Iterable[Domain],
) -> list[str]:
    """Return the instances that may gather for an instance, best first.

    `members` are the instances by failure domain; those in the domains in `near`
    come first, in this order. The instances that ask are spread over the strong
    members of a domain, and over those of all other domains.
    """
    nearest = list(dict.fromkeys(near))
    others = [
        it
        for domain in members
        if domain not in nearest
        for it in members[domain]
    ]
    min_cores = own.cores * MIN_CORES_RATIO
    return [
        name
        for group in (*(members.get(it, ()) for it in nearest), others)
        for name in rank_delegates(
            own.name, [it for it in group if it.cores >= min_cores]
        )
    ]


def may_gather(
    *, busy_share: float, outdated: bool, sender_outdated: bool
) -> bool:
    """Return whether an instance gathers for another one.

    `outdated` and `sender_outdated` are whether what it knows of the fleet, and
    what the instance that asks knows, is out of date.
    """
    if outdated and not sender_outdated:
        return False
    return busy_share <= MAX_BUSY_SHARE
