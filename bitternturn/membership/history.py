"""Owners of a target under the views that the view's changes tell of."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import groupby

from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership.models import OwnedTargetKey
from bitternturn.membership.ownership import Rank, rank_of
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    Change,
    Member,
    View,
)


@dataclass(frozen=True, kw_only=True)
class OwnerSpan:
    """Versions from `first` on in which a target had one owner."""

    owner: Incarnation | None
    first: Version


def walk_owners(view: View, key: OwnedTargetKey) -> Iterator[OwnerSpan]:
    """Yield the successive owners of a target, the latest first.

    Ends where the history of the view does. Neighbouring spans differ.
    """
    ranks = _active_ranks(view, key)
    owner = min(ranks.values(), default=None)
    for base, group in groupby(
        reversed(view.changes), key=lambda change: change.base_version
    ):
        before = owner
        for change in group:
            before = _undo(ranks, change, key, before)
        if before != owner:
            yield OwnerSpan(owner=_incarnation(owner), first=Version(base + 1))
            owner = before
    yield OwnerSpan(owner=_incarnation(owner), first=Version(view.history_from))


def owned_since(
    view: View, key: OwnedTargetKey, me: Incarnation
) -> Version | None:
    """Return the version from which on a member has been the owner."""
    span = next(walk_owners(view, key))
    return span.first if span.owner == me else None


def owned_throughout(
    view: View, key: OwnedTargetKey, me: Member, held: Version
) -> bool:
    """Whether an owner under `held` and now has been it in between, too.

    Nobody but a member that has left since can have come before it.
    """
    if held < view.history_from:
        return False
    mine = _rank(key, me.incarnation, me.failure_domain)
    for change in reversed(view.changes):
        if change.base_version < held:
            return True
        rank = _rank(key, change.incarnation, change.failure_domain)
        if not change.active and rank < mine:
            return False
    return True


def next_owner(
    view: View, key: OwnedTargetKey, me: Incarnation, version: Version
) -> OwnerSpan | None:
    """Return who followed a member that owned a target at a version."""
    later: OwnerSpan | None = None
    for span in walk_owners(view, key):
        if span.first <= version:
            return later if span.owner == me else None
        later = span
    return None


def may_hand_over(view: View, key: OwnedTargetKey) -> bool:
    """Whether the owner before the present one is still a member."""
    spans = walk_owners(view, key)
    next(spans)
    previous = next(spans, None)
    return previous is None or any(
        member.incarnation == previous.owner for member in view.members
    )


def _active_ranks(view: View, key: OwnedTargetKey) -> dict[int, Rank]:
    """Return the ranks of the active members by incarnation."""
    return {
        member.incarnation: _rank(
            key, member.incarnation, member.failure_domain
        )
        for member in view.members
        if member.state == MEMBER_STATE_ACTIVE
    }


def _undo(
    ranks: dict[int, Rank],
    change: Change,
    key: OwnedTargetKey,
    owner: Rank | None,
) -> Rank | None:
    """Go back to before a change; return the owner at that time."""
    if change.active:
        ranks.pop(change.incarnation, None)
        if owner is None or owner.incarnation != change.incarnation:
            return owner
        return min(ranks.values(), default=None)
    rank = _rank(key, change.incarnation, change.failure_domain)
    ranks[change.incarnation] = rank
    return rank if owner is None else min(rank, owner)


def _rank(key: OwnedTargetKey, incarnation: int, domain: str) -> Rank:
    """Return the rank of a member for a target."""
    return rank_of(
        target_id=key.target,
        failure_domain=key.failure_domain,
        incarnation=Incarnation(incarnation),
        member_domain=domain,
    )


def _incarnation(rank: Rank | None) -> Incarnation | None:
    """Return the incarnation of a rank."""
    return None if rank is None else rank.incarnation
