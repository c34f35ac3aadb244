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
        for change in group:
            _undo(ranks, change, key)
        before = min(ranks.values(), default=None)
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


def moved_directly(
    view: View, key: OwnedTargetKey, old: Incarnation, held: Version
) -> bool:
    """Whether only the old and the present owner had a target since `held`."""
    spans = walk_owners(view, key)
    if next(spans).first <= held:
        return False
    previous = next(spans, None)
    if previous is None or previous.owner != old:
        return False
    return previous.first <= held


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


def _undo(ranks: dict[int, Rank], change: Change, key: OwnedTargetKey) -> None:
    """Go back to before a change."""
    if change.active:
        ranks.pop(change.incarnation, None)
        return
    ranks[change.incarnation] = _rank(
        key, change.incarnation, change.failure_domain
    )


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
