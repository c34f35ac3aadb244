"""Selection of the instance that sends to a group of shards.

Guards against overload by requests over many shards: a single instance would
need tens of milliseconds of processor time for all sends, and the bytes of all
parts would pass through its network link and cross failure domains.

Parts are late if a weak instance sends them, so that strong ones come first. Those
that are busy are passed over.

Requests over fewer shards are sent by their entry instance, except to targets
in another failure domain: an instance there merges their parts, so that only
the records of the answer cross.
"""

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from bitternturn.policy.rendezvous import hash_share

# Share of the cores of the strongest instance of a domain from which on an
# instance counts as strong.
STRONG_SHARE: Final = 0.5
# Share of its time in which an instance that works for others may be busy. Above
# it, requests wait for each other, and weak instances are as fast.
MAX_BUSY_SHARE: Final = 0.6


@dataclass(kw_only=True, frozen=True, slots=True)
class DelegateCandidate:
    """One instance that may send for others, weighted by `cores`."""

    name: str
    domain: str
    cores: float


def count_groups(shards: int, shards_per_peer: int) -> int:
    """Return the number of groups that the shards are divided into."""
    return max(1, -(-shards // shards_per_peer))


def assign_group(service: str, groups: int) -> int:
    """Return the group of a shard, which is the same on all instances."""
    return zlib.crc32(service.encode()) % groups


def rank_delegates(key: str, members: Sequence[DelegateCandidate]) -> list[str]:
    """Return the names of the members, the preferred one for a key first.

    The key is a group of shards, for which one member then knows the targets
    well, or an entry instance, which spreads the load over the members.

    Weighted rendezvous hashing: all instances that know the same members
    compute the same order, and only the keys of a leaving member move.
    """
    scored = sorted(
        ((_score(key, member), member.name) for member in members),
        reverse=True,
    )
    return [name for _, name in scored]


def rank_strong_first(
    key: str, members: Sequence[DelegateCandidate]
) -> list[str]:
    """Return the names of the members as `rank_delegates`, strong ones first."""
    most = max((member.cores for member in members), default=0)
    strong = [it for it in members if it.cores >= most * STRONG_SHARE]
    weak = [it for it in members if it.cores < most * STRONG_SHARE]
    return [*rank_delegates(key, strong), *rank_delegates(key, weak)]


def _score(key: str, member: DelegateCandidate) -> float:
    """Return the rendezvous score of a member for a key."""
    return -member.cores / math.log(hash_share(key, member.name))
