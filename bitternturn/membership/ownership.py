"""Owners of targets by rendezvous hashing over the active members."""

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
    """Place of a member in the order of a target; the least one owns it.

    A tuple: the loss of a failure domain makes some hundred thousand at once.
    """

    foreign: bool
    score: int
    incarnation: Incarnation


def rank_of(
    *,
    target_id: TargetId,
    failure_domain: FailureDomain,
    incarnation: Incarnation,
    member_domain: str,
) -> Rank:
    """Return the rank of a member for a target."""
    return Rank(
        foreign=member_domain != failure_domain,
        score=xxhash.xxh3_64_intdigest(target_id.encode(), seed=incarnation),
        incarnation=incarnation,
    )


def order_of(
    *,
    target_id: TargetId,
    failure_domain: FailureDomain,
    members: Iterable[Member],
) -> list[Member]:
    """Return the active members, the owner first."""
    return sorted(
        (member for member in members if member.state == MEMBER_STATE_ACTIVE),
        key=lambda member: member_rank(target_id, failure_domain, member),
    )


def owner_of(
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
    return rank_of(
        target_id=target_id,
        failure_domain=failure_domain,
        incarnation=Incarnation(member.incarnation),
        member_domain=member.failure_domain,
    )


@dataclass(frozen=True, kw_only=True)
class CachedOwner:
    """Owner of a target and its rank."""

    failure_domain: FailureDomain
    member: Member
    rank: Rank


class OwnershipTable:
    """Owners under the latest view, computed when first asked for.

    A later view costs one hash per cached target and joined member, and a
    new computation just for targets whose owner is no longer active.
    """

    def __init__(self, *, view: View) -> None:
        """Start with nothing cached."""
        self.cached: dict[TargetId, CachedOwner] = {}
        self.by_domain: dict[str, list[int]] = {}
        self.active: dict[int, Member] = {}
        self._index(view)

    def advance(self, view: View) -> None:
        """Take in a later view."""
        before = set(self.active)
        self._index(view)
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
                self._offer(target_id, member)

    def owner(
        self, target_id: TargetId, failure_domain: FailureDomain
    ) -> Member | None:
        """Return the owner of a target, None without active members."""
        cached = self.cached.get(target_id)
        if cached is not None and cached.failure_domain == failure_domain:
            return cached.member
        near = self.by_domain.get(failure_domain) or sorted(self.active)
        if not near:
            return None
        score = partial(xxhash.xxh3_64_intdigest, target_id.encode())
        member = self.active[min(near, key=score)]
        self.cached[target_id] = CachedOwner(
            failure_domain=failure_domain,
            member=member,
            rank=member_rank(target_id, failure_domain, member),
        )
        return member

    def _index(self, view: View) -> None:
        """Index the active members of a view."""
        self.active = {}
        self.by_domain = {}
        for member in view.members:
            if member.state == MEMBER_STATE_ACTIVE:
                self.active[member.incarnation] = member
        for incarnation in sorted(self.active):
            domain = self.active[incarnation].failure_domain
            self.by_domain.setdefault(domain, []).append(incarnation)

    def _offer(self, target_id: TargetId, member: Member) -> None:
        """Replace a cached owner that ranks behind a joined member."""
        cached = self.cached[target_id]
        foreign = member.failure_domain != cached.failure_domain
        if foreign and not cached.rank.foreign:
            return
        rank = member_rank(target_id, cached.failure_domain, member)
        if rank < cached.rank:
            self.cached[target_id] = CachedOwner(
                failure_domain=cached.failure_domain, member=member, rank=rank
            )
