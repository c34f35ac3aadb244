"""Counts of members that extend a lease or let a new owner start."""

from collections.abc import Callable

from bitternturn.core.ids import Incarnation, InstanceId, Version
from bitternturn.membership.digests import DigestTable
from bitternturn.membership.models import IsGone, MembershipTimes
from bitternturn.schema.membership_pb2 import EarlierView, View

IsGoneMember = Callable[[Incarnation], bool]


def extension_until(
    *, view: View, table: DigestTable, times: MembershipTimes
) -> float | None:
    """Return until when vouches extend a lease under a view, or None.

    It takes vouches of more than half of the members under just that view.
    """
    vouches = sorted(
        (
            at
            for member in view.members
            if (at := _vouched_at(table, member.incarnation, view)) is not None
        ),
        reverse=True,
    )
    needed = len(view.members) // 2 + 1
    if len(vouches) < needed:
        return None
    return vouches[needed - 1] + times.vouch_s


def is_settled(
    earlier: EarlierView,
    *,
    table: DigestTable,
    times: MembershipTimes,
    is_gone: IsGoneMember,
    now: float,
) -> bool:
    """Whether no lease can be extended under an earlier view any more.

    So it is once at least half of its members hold a later one or are gone,
    and their vouches under earlier ones have expired.
    """
    counted = 0
    for key in earlier.incarnations:
        member = Incarnation(key)
        counted += _is_past(
            table, member, earlier, times, now
        ) or table.vouches_gone(member, gone=is_gone(member), now=now)
    return counted * 2 >= len(earlier.incarnations)


def first_unsettled(
    view: View, *, settled: Callable[[EarlierView], bool]
) -> Version | None:
    """Return the least version under which leases may be extended still."""
    return min(
        (
            Version(earlier.version)
            for earlier in view.unsettled
            if not settled(earlier)
        ),
        default=None,
    )


def gone_members(view: View, *, is_gone: IsGone, now: float) -> IsGoneMember:
    """Return the test whether the process of an incarnation has ended.

    An instance runs one process at a time, so that a later incarnation of it
    tells of the end of the earlier ones.
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

    def test(incarnation: Incarnation) -> bool:
        """Whether a member's process has ended."""
        instance = instances.get(incarnation)
        if instance is None:
            return False
        if present.get(instance, incarnation) != incarnation:
            return True
        return is_gone(InstanceId(instance), now)

    return test


def _vouched_at(
    table: DigestTable, incarnation: int, view: View
) -> float | None:
    """Return when a member vouched under a view, at the latest known."""
    entry = table.entries.get(Incarnation(incarnation))
    if entry is None or entry.view_version != view.version:
        return None
    return entry.vouched_at


def _is_past(
    table: DigestTable,
    incarnation: Incarnation,
    earlier: EarlierView,
    times: MembershipTimes,
    now: float,
) -> bool:
    """Whether a member can't contribute to an earlier view's extension."""
    entry = table.entries.get(incarnation)
    if entry is None or entry.view_version <= earlier.version:
        return False
    return entry.clear or now >= entry.learnt_at + times.vouch_wait_s
