"""Edits of a view; each returns a new view."""

from collections.abc import Callable, Iterable

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership.const import (
    MAX_HISTORY_CHANGES,
    MAX_UNSETTLED_VIEWS,
)
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    MEMBER_STATE_LEAVING,
    Change,
    EarlierView,
    Member,
    View,
)

STEP_EDIT = 'view_edit'

# Whether an earlier view is settled: no lease under it can be extended again.
IsSettled = Callable[[EarlierView], bool]


def join(view: View, member: Member) -> View:
    """Add a member; replace an earlier incarnation of its instance."""
    others = [
        other
        for other in view.members
        if other.instance_id != member.instance_id
    ]
    added = Member()
    added.CopyFrom(member)
    added.state = MEMBER_STATE_ACTIVE
    return _make_successor(view, [*others, added])


def leave(view: View, incarnation: Incarnation) -> View:
    """Mark a member as leaving: it owns nothing in the new view."""
    members = []
    for member in view.members:
        copy = Member()
        copy.CopyFrom(member)
        if member.incarnation == incarnation:
            copy.state = MEMBER_STATE_LEAVING
        members.append(copy)
    return _make_successor(view, members)


def remove(view: View, incarnations: Iterable[Incarnation]) -> View:
    """Remove members that are dead or have left."""
    removed = set(incarnations)
    return _make_successor(
        view,
        [
            member
            for member in view.members
            if member.incarnation not in removed
        ],
    )


def drop_settled(view: View, is_settled: IsSettled) -> View:
    """Drop the settled earlier views.

    Raises BitternturnError OVERLOADED if too many unsettled ones are left.
    """
    remaining = [
        earlier for earlier in view.unsettled if not is_settled(earlier)
    ]
    if len(remaining) > MAX_UNSETTLED_VIEWS:
        raise BitternturnError(
            'too many unsettled views',
            code=ErrorCode.OVERLOADED,
            step=STEP_EDIT,
        )
    trimmed = View()
    trimmed.CopyFrom(view)
    trimmed.ClearField('unsettled')
    trimmed.unsettled.extend(remaining)
    return trimmed


def find_member(view: View, incarnation: Incarnation) -> Member | None:
    """Return the member with an incarnation, None if there is none."""
    for member in view.members:
        if member.incarnation == incarnation:
            return member
    return None


def _make_successor(view: View, members: list[Member]) -> View:
    """Return the successor of a view, with the given members."""
    successor = View(
        members=members,
        unsettled=view.unsettled,
        changes=[*view.changes, *_list_changes(view, members)],
        history_from=view.history_from,
    )
    if view.members:
        successor.unsettled.add(
            version=view.version,
            incarnations=[member.incarnation for member in view.members],
        )
    _trim_history(successor)
    return successor


def _list_changes(view: View, members: list[Member]) -> list[Change]:
    """Return the changes of members that became active or inactive."""
    before = _active(view.members)
    after = _active(members)
    deactivated = [before[key] for key in before if key not in after]
    activated = [after[key] for key in after if key not in before]
    return [
        *(_make_change(view, member, active=False) for member in deactivated),
        *(_make_change(view, member, active=True) for member in activated),
    ]


def _active(members: Iterable[Member]) -> dict[int, Member]:
    """Return the active members by incarnation."""
    return {
        member.incarnation: member
        for member in members
        if member.state == MEMBER_STATE_ACTIVE
    }


def _make_change(view: View, member: Member, *, active: bool) -> Change:
    """Return the record of a change."""
    return Change(
        base_version=view.version,
        incarnation=member.incarnation,
        instance_id=member.instance_id,
        failure_domain=member.failure_domain,
        active=active,
    )


def _trim_history(view: View) -> None:
    """Drop the oldest changes beyond the limit, in whole views."""
    if len(view.changes) <= MAX_HISTORY_CHANGES:
        return
    excess = len(view.changes) - MAX_HISTORY_CHANGES
    last_dropped = view.changes[excess - 1].base_version
    remaining = [
        change for change in view.changes if change.base_version > last_dropped
    ]
    view.ClearField('changes')
    view.changes.extend(remaining)
    view.history_from = Version(last_dropped + 1)
