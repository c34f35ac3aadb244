"""Tests of starting and releasing targets over views that were skipped."""

from bitternturn.core.ids import FailureDomain, Incarnation, TargetId, Version
from bitternturn.membership import view as views
from bitternturn.membership.history import OwnerSpan, walk_owners
from bitternturn.membership.lease import Lease
from bitternturn.membership.models import (
    MembershipTimes,
    OwnedTargetKey,
    OwnershipState,
)
from bitternturn.membership.ownership import order_of
from bitternturn.membership.takeover import TargetOwnership
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import Member, View

TIMES = MembershipTimes()
TARGET = TargetId('t1')
TARGETS = [Target(id=TARGET, failure_domain='a')]
KEY = OwnedTargetKey(target=TARGET, failure_domain=FailureDomain('a'))

# The members in the order of the target.
FIRST, SECOND, THIRD = order_of(
    target_id=TARGET,
    failure_domain=FailureDomain('a'),
    members=[
        Member(instance_id=f'i{n}', incarnation=n, failure_domain='a', state=1)
        for n in (11, 12, 13)
    ],
)


def chain(*edits):
    """Return the views that the edits make, with versions 10, 20, ..."""
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


def adopt(ownership, view, now):
    ownership.on_view(view, TARGETS, now)
    ownership.lease.confirm(Version(view.version), now)


def owned(member, view):
    """Return a member that owns the target under a view at time 10."""
    ownership = ownership_of(member)
    adopt(ownership, view, 0)
    ownership.start_due(None, 10)
    ownership.lease.confirm(Version(view.version), 10)
    assert ownership.may_send(TARGET, 10)
    return ownership


class TestWaiting:
    def test_starts_after_the_longest_lease(self):
        (view,) = chain(joins(FIRST))
        ownership = ownership_of(FIRST)
        adopt(ownership, view, 5)
        ownership.lease.confirm(Version(10), 6)
        ownership.start_due(None, 5 + TIMES.lease_s)
        assert ownership.state(TARGET) is OwnershipState.WAITING
        ownership.start_due(None, 5 + TIMES.lease_wait_s)
        assert ownership.may_send(TARGET, 7)

    def test_stops_when_the_lease_ends(self):
        (view,) = chain(joins(FIRST))
        ownership = owned(FIRST, view)
        assert ownership.may_send(TARGET, 11.49)
        assert not ownership.may_send(TARGET, 11.5)

    def test_waits_for_unsettled_views_before_its_own(self):
        one, two = chain(joins(SECOND), joins(FIRST))
        ownership = ownership_of(FIRST)
        adopt(ownership, two, 0)
        ownership.start_due(Version(one.version), 100)
        assert ownership.state(TARGET) is OwnershipState.WAITING
        ownership.start_due(Version(two.version), 100)
        assert ownership.state(TARGET) is OwnershipState.OWNED


class TestSkippedViews:
    def test_goes_on_when_nobody_came_between(self):
        one, _, _, four = chain(
            joins(SECOND), joins(THIRD), removes(THIRD), joins(THIRD)
        )
        ownership = owned(SECOND, one)
        adopt(ownership, four, 11)
        assert ownership.may_send(TARGET, 11)

    def test_waits_when_another_may_start_under_a_skipped_view(self):
        one, _, three = chain(joins(SECOND), joins(FIRST), removes(FIRST))
        ownership = owned(SECOND, one)
        adopt(ownership, three, 11)
        assert ownership.state(TARGET) is OwnershipState.WAITING
        assert not ownership.may_send(TARGET, 11)

    def test_history_names_every_owner(self):
        three = chain(joins(SECOND), joins(FIRST), removes(FIRST))[-1]
        assert list(walk_owners(three, KEY)) == [
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
        spans = list(walk_owners(view, KEY))
        assert spans[-1].first == 43
        assert spans[0].first == 299


class TestHandover:
    def test_release_is_clean_from_owner_to_owner(self):
        one, two = chain(joins(SECOND), joins(FIRST))
        old = owned(SECOND, one)
        adopt(old, two, 11)
        (release,) = old.to_release(11)
        assert release.to.incarnation == FIRST.incarnation
        assert old.may_send(TARGET, 11)
        assert old.on_release_done(release)
        assert not old.may_send(TARGET, 11)
        new = ownership_of(FIRST)
        adopt(new, two, 11)
        assert new.on_released(TARGET, old.me, release.view_version, 11)
        assert new.may_send(TARGET, 11)

    def test_release_that_comes_before_the_view(self):
        one, two = chain(joins(SECOND), joins(FIRST))
        new = ownership_of(FIRST)
        adopt(new, one, 0)
        assert not new.on_released(
            TARGET, Incarnation(SECOND.incarnation), Version(20), 1
        )
        adopt(new, two, 2)
        assert new.may_send(TARGET, 2)

    def test_skipped_owner_passes_the_target_on(self):
        one, two, three = chain(joins(THIRD), joins(SECOND), joins(FIRST))
        old = owned(THIRD, one)
        between, last = ownership_of(SECOND), ownership_of(FIRST)
        adopt(between, two, 5)
        for ownership in (old, between, last):
            adopt(ownership, three, 11)
        (release,) = old.to_release(11)
        assert release.to.incarnation == between.me
        assert old.on_release_done(release)
        assert not between.on_released(TARGET, old.me, release.view_version, 11)
        (passed,) = between.to_release(11)
        assert not between.may_send(TARGET, 11)
        assert between.on_release_done(passed)
        assert last.on_released(TARGET, between.me, passed.view_version, 11)
        assert last.may_send(TARGET, 11)

    def test_release_is_not_announced_when_the_next_owner_is_gone(self):
        one, _, _, four = chain(
            joins(SECOND), joins(FIRST), removes(SECOND), removes(FIRST)
        )
        four = views.join(four, THIRD)
        four.version = 50
        old = owned(SECOND, one)
        adopt(old, four, 11)
        (release,) = old.to_release(11)
        assert release.to is None
        assert not old.on_release_done(release)

    def test_late_release_of_an_earlier_ownership_is_ignored(self):
        _, two, _, _, five = chain(
            joins(THIRD),
            joins(SECOND),
            joins(FIRST),
            removes(FIRST),
            joins(THIRD),
        )
        new = ownership_of(SECOND)
        adopt(new, five, 0)
        assert not new.on_released(
            TARGET, Incarnation(THIRD.incarnation), Version(two.version), 1
        )
        assert new.state(TARGET) is OwnershipState.WAITING
