"""Quorums of members that extend a lease or settle an earlier view."""

from collections.abc import Callable

from bitternturn.core.ids import Incarnation, InstanceId, Version
from bitternturn.membership.digests import DigestTable
from bitternturn.membership.models import IsGone, MembershipTimes
from bitternturn.schema.membership_pb2 import EarlierView, View

IsGoneMember = Callable[[Incarnation], bool]


def lease_extension_end(
    *, view: View, table: DigestTable, times: MembershipTimes
) -> float | None:
    """Return until when votes extend a lease under a view, or None.

    Needs votes under exactly that view by more than half of its members.
    """
    votes = sorted(
        (
            voted_at
            for member in view.members
            if (voted_at := _voted_at(table, member.incarnation, view))
            is not None
        ),
        reverse=True,
    )
    needed = len(view.members) // 2 + 1
    if len(votes) < needed:
        return None
    return votes[needed - 1] + times.vote_lifetime_s


def is_settled(
    earlier: EarlierView,
    *,
    table: DigestTable,
    times: MembershipTimes,
    is_gone: IsGoneMember,
    now: float,
) -> bool:
    """Whether no lease under an earlier view can be extended again.

    That holds once at least half of its members have a later view or are
    gone, and the votes that they gave before have expired.
    """
    count = 0
    for key in earlier.incarnations:
        member = Incarnation(key)
        count += _cannot_extend(
            table, member, earlier, times, now
        ) or table.gone_votes_expired(member, gone=is_gone(member), now=now)
    return count * 2 >= len(earlier.incarnations)


def first_unsettled(
    view: View, *, settled: Callable[[EarlierView], bool]
) -> Version | None:
    """Return the lowest unsettled earlier version, None if all are settled."""
    return min(
        (
            Version(earlier.version)
            for earlier in view.unsettled
            if not settled(earlier)
        ),
        default=None,
    )


def make_gone_check(view: View, *, is_gone: IsGone, now: float) -> IsGoneMember:
    """Return a predicate that tells whether an incarnation has ended.

    An instance runs one process at a time, so a later incarnation implies
    that the earlier ones have ended.
    """
    present = {
        member.instance_id: member.incarnation for member in view.members
    }
    instances = {
        change.incarnation: change.instance_id for change in view.changes
    }
    instances.update(
        {member.incarnation: member.instance_id for member in view.members}
    )

    def has_ended(incarnation: Incarnation) -> bool:
        """Whether a member's process has ended."""
        instance = instances.get(incarnation)
        if instance is None:
            return False
        if present.get(instance, incarnation) != incarnation:
            return True
        return is_gone(InstanceId(instance), now)

    return has_ended


def _voted_at(table: DigestTable, incarnation: int, view: View) -> float | None:
    """Return the latest known time of a vote under a view."""
    entry = table.entries.get(Incarnation(incarnation))
    if entry is None or entry.view_version != view.version:
        return None
    return entry.voted_at


def _cannot_extend(
    table: DigestTable,
    incarnation: Incarnation,
    earlier: EarlierView,
    times: MembershipTimes,
    now: float,
) -> bool:
    """Whether no vote of a member can extend leases of an earlier view."""
    entry = table.entries.get(incarnation)
    if entry is None or entry.view_version <= earlier.version:
        return False
    return (
        entry.votes_expired
        or now >= entry.version_seen_at + times.vote_expiry_wait_s
    )
