"""Tests of starting and releasing targets, also across skipped views."""

from bitternturn.core.ids import FailureDomain, Incarnation, TargetId, Version
from bitternturn.membership import view as views
from bitternturn.membership.history import OwnerSpan, iter_owner_spans
from bitternturn.membership.lease import Lease
from bitternturn.membership.models import (
    MembershipTimes,
    OwnedTargetKey,
    OwnershipState,
)
from bitternturn.membership.ownership import members_by_rank
from bitternturn.membership.target_ownership import TargetOwnership
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import Member, View

TIMES = MembershipTimes()
TARGET = TargetId('t1')
TARGETS = [Target(id=TARGET, failure_domain='a')]
KEY = OwnedTargetKey(target=TARGET, failure_domain=FailureDomain('a'))

# Members in the rank order of the target.
FIRST, SECOND, THIRD = members_by_rank(
    target_id=TARGET,
    failure_domain=FailureDomain('a'),
    members=[
        Member(instance_id=f'i{n}', incarnation=n, failure_domain='a', state=1)
        for n in (11, 12, 13)
    ],
)


def make_views(*edits):
    """Apply edits in turn; return the views, with versions 10, 20, ..."""
    made = [View()]
    for number, edit in enumerate(edits, 1):
        view = edit(made[-1])
        view.version = number * 10
        made.append(view)
    return made[1:]


def joins(member):
    return lambda view: views.join(view, member)


def removes(member):
    return lambda view: views.remove(view, [Incarnation(member.incarnation)])


def ownership_of(member):
    lease = Lease(lease_s=TIMES.lease_s)
    return TargetOwnership(
        me=Incarnation(member.incarnation), lease=lease, times=TIMES
    )


def apply_view(ownership, view, now):
    ownership.apply_view(view, TARGETS, now)
    ownership.lease.confirm(Version(view.version), now)


def owner_under(member, view):
    """Return the ownership of a member that is the owner at time 10."""
    ownership = ownership_of(member)
    apply_view(ownership, view, 0)
    ownership.start_due(None, 10)
    ownership.lease.confirm(Version(view.version), 10)
    assert ownership.may_send(TARGET, 10)
    return ownership


class TestWaiting:
    def test_starts_after_the_longest_lease(self):
        (view,) = make_views(joins(FIRST))
        ownership = ownership_of(FIRST)
        apply_view(ownership, view, 5)
        ownership.lease.confirm(Version(10), 6)
        ownership.start_due(None, 5 + TIMES.lease_s)
        assert ownership.state(TARGET) is OwnershipState.WAITING
        ownership.start_due(None, 5 + TIMES.lease_expiry_wait_s)
        assert ownership.may_send(TARGET, 7)

    def test_stops_when_the_lease_ends(self):
        (view,) = make_views(joins(FIRST))
        ownership = owner_under(FIRST, view)
        assert ownership.may_send(TARGET, 11.49)
        assert not ownership.may_send(TARGET, 11.5)

    def test_waits_for_unsettled_views_before_its_own(self):
        one, two = make_views(joins(SECOND), joins(FIRST))
        ownership = ownership_of(FIRST)
        apply_view(ownership, two, 0)
        ownership.start_due(Version(one.version), 100)
        assert ownership.state(TARGET) is OwnershipState.WAITING
        ownership.start_due(Version(two.version), 100)
        assert ownership.state(TARGET) is OwnershipState.OWNED


class TestSkippedViews:
    def test_continues_when_no_other_owner_came_between(self):
        one, _, _, four = make_views(
            joins(SECOND), joins(THIRD), removes(THIRD), joins(THIRD)
        )
        ownership = owner_under(SECOND, one)
        apply_view(ownership, four, 11)
        assert ownership.may_send(TARGET, 11)

    def test_waits_when_another_may_have_started_under_a_skipped_view(self):
        one, _, three = make_views(joins(SECOND), joins(FIRST), removes(FIRST))
        ownership = owner_under(SECOND, one)
        apply_view(ownership, three, 11)
        assert ownership.state(TARGET) is OwnershipState.WAITING
        assert not ownership.may_send(TARGET, 11)

    def test_history_names_every_owner(self):
        three = make_views(joins(SECOND), joins(FIRST), removes(FIRST))[-1]
        assert list(iter_owner_spans(three, KEY)) == [
            OwnerSpan(owner=SECOND.incarnation, first=21),
            OwnerSpan(owner=FIRST.incarnation, first=11),
            OwnerSpan(owner=SECOND.incarnation, first=1),
            OwnerSpan(owner=None, first=0),
        ]

    def test_history_ends_where_it_was_cut(self):
        view = View()
        for number in range(1, 300):
            view = (joins if number % 2 else removes)(FIRST)(view)
            view.version = number
        assert len(view.changes) == 256
        assert view.history_from == 43
        spans = list(iter_owner_spans(view, KEY))
        assert spans[-1].first == 43
        assert spans[0].first == 299


class TestHandover:
    def test_release_starts_the_next_owner_at_once(self):
        one, two = make_views(joins(SECOND), joins(FIRST))
        old = owner_under(SECOND, one)
        apply_view(old, two, 11)
        (release,) = old.pending_releases(11)
        assert release.next_owner.incarnation == FIRST.incarnation
        assert old.may_send(TARGET, 11)
        assert old.finish_release(release)
        assert not old.may_send(TARGET, 11)
        new = ownership_of(FIRST)
        apply_view(new, two, 11)
        assert new.apply_handover(TARGET, old.me, release.view_version, 11)
        assert new.may_send(TARGET, 11)

    def test_release_before_the_view_starts_the_owner_with_the_view(self):
        one, two = make_views(joins(SECOND), joins(FIRST))
        new = ownership_of(FIRST)
        apply_view(new, one, 0)
        assert not new.apply_handover(
            TARGET, Incarnation(SECOND.incarnation), Version(20), 1
        )
        apply_view(new, two, 2)
        assert new.may_send(TARGET, 2)

    def test_skipped_owner_forwards_the_handover(self):
        one, two, three = make_views(joins(THIRD), joins(SECOND), joins(FIRST))
        old = owner_under(THIRD, one)
        between, last = ownership_of(SECOND), ownership_of(FIRST)
        apply_view(between, two, 5)
        for ownership in (old, between, last):
            apply_view(ownership, three, 11)
        (release,) = old.pending_releases(11)
        assert release.next_owner.incarnation == between.me
        assert old.finish_release(release)
        assert not between.apply_handover(
            TARGET, old.me, release.view_version, 11
        )
        (forwarded,) = between.pending_releases(11)
        assert not between.may_send(TARGET, 11)
        assert between.finish_release(forwarded)
        assert last.apply_handover(
            TARGET, between.me, forwarded.view_version, 11
        )
        assert last.may_send(TARGET, 11)

    def test_release_is_not_announced_when_the_next_owner_is_gone(self):
        one, _, _, four = make_views(
            joins(SECOND), joins(FIRST), removes(SECOND), removes(FIRST)
        )
        four = views.join(four, THIRD)
        four.version = 50
        old = owner_under(SECOND, one)
        apply_view(old, four, 11)
        (release,) = old.pending_releases(11)
        assert release.next_owner is None
        assert not old.finish_release(release)

    def test_late_release_of_an_earlier_ownership_is_ignored(self):
        _, two, _, _, five = make_views(
            joins(THIRD),
            joins(SECOND),
            joins(FIRST),
            removes(FIRST),
            joins(THIRD),
        )
        new = ownership_of(SECOND)
        apply_view(new, five, 0)
        assert not new.apply_handover(
            TARGET, Incarnation(THIRD.incarnation), Version(two.version), 1
        )
        assert new.state(TARGET) is OwnershipState.WAITING
