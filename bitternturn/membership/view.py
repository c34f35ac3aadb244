"""Edits of a view; each returns a new one."""

from collections.abc import Callable, Iterable

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership.const import HISTORY_CHANGES, UNSETTLED_VIEWS
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    MEMBER_STATE_LEAVING,
    Change,
    EarlierView,
    Member,
    View,
)

STEP_EDIT = 'view_edit'

# Whether no lease can be extended under an earlier view any more.
IsSettled = Callable[[EarlierView], bool]


def join(view: View, member: Member) -> View:
    """Add a member; it replaces an older incarnation of its instance."""
    others = [
        other
        for other in view.members
        if other.instance_id != member.instance_id
    ]
    added = Member()
    added.CopyFrom(member)
    added.state = MEMBER_STATE_ACTIVE
    return _replaced(view, [*others, added])


def leave(view: View, incarnation: Incarnation) -> View:
    """Mark a member as leaving: it owns nothing in the new view."""
    members = []
    for member in view.members:
        copy = Member()
        copy.CopyFrom(member)
        if member.incarnation == incarnation:
            copy.state = MEMBER_STATE_LEAVING
        members.append(copy)
    return _replaced(view, members)


def remove(view: View, incarnations: Iterable[Incarnation]) -> View:
    """Remove members that are dead or have left."""
    gone = set(incarnations)
    return _replaced(
        view,
        [member for member in view.members if member.incarnation not in gone],
    )


def settle(view: View, is_settled: IsSettled) -> View:
    """Drop the earlier views that need not be waited for any more.

    Raises BitternturnError OVERLOADED when too many are left.
    """
    left = [earlier for earlier in view.unsettled if not is_settled(earlier)]
    if len(left) > UNSETTLED_VIEWS:
        raise BitternturnError(
            'too many unsettled views',
            code=ErrorCode.OVERLOADED,
            step=STEP_EDIT,
        )
    settled = View()
    settled.CopyFrom(view)
    settled.ClearField('unsettled')
    settled.unsettled.extend(left)
    return settled


def member_of(view: View, incarnation: Incarnation) -> Member | None:
    """Return the member with an incarnation."""
    for member in view.members:
        if member.incarnation == incarnation:
            return member
    return None


def _replaced(view: View, members: list[Member]) -> View:
    """Return the successor of a view with other members."""
    successor = View(
        members=members,
        unsettled=view.unsettled,
        changes=[*view.changes, *_changes(view, members)],
        history_from=view.history_from,
    )
    if view.members:
        successor.unsettled.add(
            version=view.version,
            incarnations=[member.incarnation for member in view.members],
        )
    _cut_history(successor)
    return successor


def _changes(view: View, members: list[Member]) -> list[Change]:
    """Return which members became active or ceased to be."""
    before = _active(view.members)
    after = _active(members)
    ceased = [before[key] for key in before if key not in after]
    began = [after[key] for key in after if key not in before]
    return [
        *(_change(view, member, active=False) for member in ceased),
        *(_change(view, member, active=True) for member in began),
    ]


def _active(members: Iterable[Member]) -> dict[int, Member]:
    """Return the active members by incarnation."""
    return {
        member.incarnation: member
        for member in members
        if member.state == MEMBER_STATE_ACTIVE
    }


def _change(view: View, member: Member, *, active: bool) -> Change:
    """Return the note of a change."""
    return Change(
        base_version=view.version,
        incarnation=member.incarnation,
        instance_id=member.instance_id,
        failure_domain=member.failure_domain,
        active=active,
    )


def _cut_history(view: View) -> None:
    """Drop the oldest changes beyond the limit, whole views at a time."""
    if len(view.changes) <= HISTORY_CHANGES:
        return
    excess = len(view.changes) - HISTORY_CHANGES
    cut = view.changes[excess - 1].base_version
    left = [change for change in view.changes if change.base_version > cut]
    view.ClearField('changes')
    view.changes.extend(left)
    view.history_from = Version(cut + 1)
