"""Choice of the coordinators of an idempotency key."""

from collections.abc import Callable

import xxhash

from bitternturn.claims.buckets import bucket_name
from bitternturn.claims.models import ClaimPeer
from bitternturn.daemon import const
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    Member,
    View,
)


def coordinators_of(
    *,
    view: View,
    key: str,
    link_to: Callable[[Member], ClaimPeer],
) -> list[ClaimPeer]:
    """Return links to the coordinators of a key.

    The active members are ranked by rendezvous hashing of the key's bucket.
    """
    bucket = bucket_name(key)
    active = [
        member for member in view.members if member.state == MEMBER_STATE_ACTIVE
    ]
    active.sort(key=lambda member: _weight(bucket, member), reverse=True)
    return [
        link_to(member) for member in active[: const.MAX_CLAIM_COORDINATORS]
    ]


def _weight(bucket: str, member: Member) -> int:
    """Return the rendezvous weight of a member for a bucket."""
    return xxhash.xxh3_64_intdigest(f'{bucket}/{member.incarnation}'.encode())
