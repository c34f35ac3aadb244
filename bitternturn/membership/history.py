"""Past owners of a target, derived from the change history of a view."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import groupby

from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership.models import OwnedTargetKey
from bitternturn.membership.ownership import Rank, compute_rank
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    Change,
    Member,
    View,
)


@dataclass(frozen=True, kw_only=True)
class OwnerSpan:
    """Owner of a target from view version `first` on."""

    owner: Incarnation | None
    first: Version


def iter_owner_spans(view: View, key: OwnedTargetKey) -> Iterator[OwnerSpan]:
    """Yield the successive owners of a target, the latest first.

    Ends at the start of the recorded history. Adjacent spans differ in owner.
    """
    ranks = _active_ranks(view, key)
    owner = min(ranks.values(), default=None)
    for base, group in groupby(
        reversed(view.changes), key=lambda change: change.base_version
    ):
        before = owner
        for change in group:
            before = _revert_change(ranks, change, key, before)
        if before != owner:
            yield OwnerSpan(owner=_incarnation(owner), first=Version(base + 1))
            owner = before
    yield OwnerSpan(owner=_incarnation(owner), first=Version(view.history_from))


def owned_since(
    view: View, key: OwnedTargetKey, me: Incarnation
) -> Version | None:
    """Return the version since which a member owns a target, or None."""
    span = next(iter_owner_spans(view, key))
    return span.first if span.owner == me else None


def owned_continuously(
    view: View, key: OwnedTargetKey, me: Member, version: Version
) -> bool:
    """Whether an owner at an earlier version has been the owner ever since.

    It must be the owner now. So any member that ranked before it in between
    has become inactive since.
    """
    if version < view.history_from:
        return False
    own_rank = _rank(key, me.incarnation, me.failure_domain)
    for change in reversed(view.changes):
        if change.base_version < version:
            return True
        rank = _rank(key, change.incarnation, change.failure_domain)
        if not change.active and rank < own_rank:
            return False
    return True


def find_next_owner(
    view: View, key: OwnedTargetKey, me: Incarnation, version: Version
) -> OwnerSpan | None:
    """Return the owner after a member that owned a target at a version."""
    later: OwnerSpan | None = None
    for span in iter_owner_spans(view, key):
        if span.first <= version:
            return later if span.owner == me else None
        later = span
    return None


def previous_owner_is_member(view: View, key: OwnedTargetKey) -> bool:
    """Whether the previous owner is still a member, or unknown."""
    spans = iter_owner_spans(view, key)
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


def _revert_change(
    ranks: dict[int, Rank],
    change: Change,
    key: OwnedTargetKey,
    owner: Rank | None,
) -> Rank | None:
    """Revert a change in the ranks; return the owner before it."""
    if change.active:
        ranks.pop(change.incarnation, None)
        if owner is None or owner.incarnation != change.incarnation:
            return owner
        return min(ranks.values(), default=None)
    rank = _rank(key, change.incarnation, change.failure_domain)
    ranks[change.incarnation] = rank
    return rank if owner is None else min(rank, owner)


def _rank(key: OwnedTargetKey, incarnation: int, domain: str) -> Rank:
    """Return the rank of an incarnation for a target."""
    return compute_rank(
        target_id=key.target,
        failure_domain=key.failure_domain,
        incarnation=Incarnation(incarnation),
        member_domain=domain,
    )


def _incarnation(rank: Rank | None) -> Incarnation | None:
    """Return the incarnation of a rank, None without one."""
    return None if rank is None else rank.incarnation
