"""Assigns targets to active members by rendezvous hashing."""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

import xxhash

from bitternturn.core.ids import FailureDomain, Incarnation, TargetId
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    Member,
    View,
)


class Rank(NamedTuple):
    """Rank of a member for a target; the lowest rank owns the target.

    A named tuple, since it is cheap: the loss of a failure domain creates
    several hundred thousand ranks at once.
    """

    in_other_domain: bool
    score: int
    incarnation: Incarnation


def compute_rank(
    *,
    target_id: TargetId,
    failure_domain: FailureDomain,
    incarnation: Incarnation,
    member_domain: str,
) -> Rank:
    """Compute the rank of an incarnation for a target."""
    return Rank(
        in_other_domain=member_domain != failure_domain,
        score=xxhash.xxh3_64_intdigest(target_id.encode(), seed=incarnation),
        incarnation=incarnation,
    )


def members_by_rank(
    *,
    target_id: TargetId,
    failure_domain: FailureDomain,
    members: Iterable[Member],
) -> list[Member]:
    """Return the active members ordered by rank, the owner first."""
    return sorted(
        (member for member in members if member.state == MEMBER_STATE_ACTIVE),
        key=lambda member: member_rank(target_id, failure_domain, member),
    )


def find_owner(
    *,
    target_id: TargetId,
    failure_domain: FailureDomain,
    members: Iterable[Member],
) -> Member | None:
    """Return the owner of a target, None without active members."""
    return min(
        (member for member in members if member.state == MEMBER_STATE_ACTIVE),
        key=lambda member: member_rank(target_id, failure_domain, member),
        default=None,
    )


def member_rank(
    target_id: TargetId, failure_domain: FailureDomain, member: Member
) -> Rank:
    """Return the rank of a member for a target."""
    return compute_rank(
        target_id=target_id,
        failure_domain=failure_domain,
        incarnation=Incarnation(member.incarnation),
        member_domain=member.failure_domain,
    )


@dataclass(frozen=True, kw_only=True)
class CachedOwner:
    """Cached owner of a target and its rank."""

    failure_domain: FailureDomain
    member: Member
    rank: Rank


class OwnershipTable:
    """Owners under the latest view, computed on first use and cached.

    A later view costs at most one hash per cached target and joined member;
    only targets whose owner is no longer active are computed again.
    """

    def __init__(self, *, view: View) -> None:
        """Initialise with an empty cache."""
        self.cached: dict[TargetId, CachedOwner] = {}
        self.by_domain: dict[str, list[int]] = {}
        self.active: dict[int, Member] = {}
        self._index_members(view)

    def update(self, view: View) -> None:
        """Update the members and the cached owners to a later view."""
        before = set(self.active)
        self._index_members(view)
        joined = [
            member
            for incarnation, member in self.active.items()
            if incarnation not in before
        ]
        for target_id, cached in list(self.cached.items()):
            if cached.member.incarnation not in self.active:
                self.cached.pop(target_id)
                continue
            for member in joined:
                self._update_cached_owner(target_id, member)

    def owner(
        self, target_id: TargetId, failure_domain: FailureDomain
    ) -> Member | None:
        """Return the owner of a target, None without active members."""
        cached = self.cached.get(target_id)
        if cached is not None and cached.failure_domain == failure_domain:
            return cached.member
        candidates = self.by_domain.get(failure_domain) or sorted(self.active)
        if not candidates:
            return None
        score = partial(xxhash.xxh3_64_intdigest, target_id.encode())
        member = self.active[min(candidates, key=score)]
        self.cached[target_id] = CachedOwner(
            failure_domain=failure_domain,
            member=member,
            rank=member_rank(target_id, failure_domain, member),
        )
        return member

    def _index_members(self, view: View) -> None:
        """Index the active members of a view by incarnation and domain."""
        self.active = {}
        self.by_domain = {}
        for member in view.members:
            if member.state == MEMBER_STATE_ACTIVE:
                self.active[member.incarnation] = member
        for incarnation in sorted(self.active):
            domain = self.active[incarnation].failure_domain
            self.by_domain.setdefault(domain, []).append(incarnation)

    def _update_cached_owner(self, target_id: TargetId, member: Member) -> None:
        """Replace the cached owner if a joined member ranks before it."""
        cached = self.cached[target_id]
        in_other_domain = member.failure_domain != cached.failure_domain
        if in_other_domain and not cached.rank.in_other_domain:
            return
        rank = member_rank(target_id, cached.failure_domain, member)
        if rank < cached.rank:
            self.cached[target_id] = CachedOwner(
                failure_domain=cached.failure_domain, member=member, rank=rank
            )
