"""Tests of leases, digests, vouches, the detector and edits of the view."""

import random

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Incarnation, TargetId, Version
from bitternturn.membership import view as views
from bitternturn.membership.detector import Detector
from bitternturn.membership.digests import DigestTable
from bitternturn.membership.models import MembershipTimes
from bitternturn.membership.ownership import OwnershipTable, owner_of
from bitternturn.membership.vouches import (
    extension_until,
    gone_members,
    is_settled,
)
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    EarlierView,
    Member,
    View,
)
from bitternturn.schema.peers_pb2 import MemberDigest

TIMES = MembershipTimes(clock_drift=0.01)
VIEW = View(
    version=7,
    members=[
        Member(
            instance_id=f'i{n}',
            incarnation=n,
            failure_domain='ab'[n % 2],
            state=MEMBER_STATE_ACTIVE,
        )
        for n in range(1, 5)
    ],
)
EARLIER = EarlierView(version=6, incarnations=[1, 2, 3, 4])


def table_with(*digests, asked_at=10.0):
    table = DigestTable(me=Incarnation(1), times=TIMES)
    table.hold(Version(7), 5)
    table.merge(digests, received_at=11, asked_at=asked_at)
    return table


def vouch(incarnation, age_ms, version=7):
    return MemberDigest(
        incarnation=incarnation, view_version=version, vouch_age_ms=age_ms
    )


class TestExtension:
    def test_rests_on_the_oldest_vouch_of_more_than_half(self):
        table = table_with(vouch(2, 1000), vouch(3, 2000), vouch(4, 3000))
        until = extension_until(view=VIEW, table=table, times=TIMES)
        assert until == pytest.approx(10 - 3 * 1.01 + TIMES.vouch_s)

    def test_half_is_not_enough(self):
        table = table_with(vouch(2, 0))
        table.vouch(10)
        assert extension_until(view=VIEW, table=table, times=TIMES) is None

    def test_vouches_under_another_view_do_not_count(self):
        table = table_with(vouch(2, 0), vouch(3, 0, 6), vouch(4, 0, 8))
        table.vouch(10)
        assert extension_until(view=VIEW, table=table, times=TIMES) is None

    def test_vouches_of_requests_do_not_count(self):
        table = table_with(vouch(2, 0), vouch(3, 0), asked_at=None)
        table.vouch(10)
        assert extension_until(view=VIEW, table=table, times=TIMES) is None


class TestGate:
    def settled(self, table, now, gone=()):
        return is_settled(
            EARLIER,
            table=table,
            times=TIMES,
            is_gone=lambda member: member in gone,
            now=now,
        )

    def test_half_that_is_clear_opens_it_at_once(self):
        clear = MemberDigest(incarnation=2, view_version=7, clear=True)
        assert self.settled(table_with(clear), 11)
        assert not self.settled(table_with(), 11)

    def test_others_count_once_their_vouches_have_expired(self):
        table = table_with(vouch(2, 0))
        assert not self.settled(table, 11 + TIMES.vouch_s)
        assert self.settled(table, 11 + TIMES.vouch_wait_s)

    def test_gone_members_count_once_their_vouches_have_expired(self):
        table = table_with()
        assert not self.settled(table, 20, gone=(3,))
        assert not self.settled(table, 20 + TIMES.vouch_s, gone=(3,))
        assert self.settled(table, 20 + TIMES.vouch_wait_s, gone=(3,))

    def test_member_that_vouched_is_not_clear_after_the_next_view(self):
        table = table_with()
        table.vouch(10)
        table.hold(Version(8), 11)
        (own,) = table.outgoing(now=10 + TIMES.vouch_s, limit=1)
        assert not own.clear
        (own,) = table.outgoing(now=10 + TIMES.vouch_wait_s, limit=1)
        assert own.clear

    def test_later_incarnation_ends_the_earlier(self):
        view = views.join(VIEW, Member(instance_id='i2', incarnation=9))
        is_gone = gone_members(view, is_gone=lambda *_: False, now=0)
        assert is_gone(Incarnation(2))
        assert not is_gone(Incarnation(3))


class TestDigests:
    def test_every_member_is_sent_in_turn(self):
        table = table_with(*(vouch(n, 0) for n in range(2, 12)))
        sent = [
            digest.incarnation
            for _ in range(5)
            for digest in table.outgoing(now=11, limit=3)[1:]
        ]
        assert sorted(sent) == list(range(2, 12))


class TestViewEdits:
    def test_join_replaces_the_older_incarnation(self):
        view = views.join(VIEW, Member(instance_id='i2', incarnation=9))
        assert [m.incarnation for m in view.members] == [1, 3, 4, 9]
        assert view.unsettled[0].incarnations == [1, 2, 3, 4]

    def test_too_many_unsettled_views_are_refused(self):
        view = VIEW
        for version in range(8, 24):
            view = views.remove(view, [])
            view.version = version
        assert views.settle(view, lambda earlier: False) == view
        more = views.remove(view, [])
        with pytest.raises(BitternturnError) as caught:
            views.settle(more, lambda earlier: False)
        assert caught.value.code is ErrorCode.OVERLOADED
        assert not views.settle(more, lambda earlier: True).unsettled


class TestOwnershipTable:
    def test_follows_the_views_as_if_computed_anew(self):
        rng = random.Random(3)
        view = View()
        table = OwnershipTable(view=view)
        for number in range(1, 40):
            if rng.random() < 0.7:
                domain = rng.choice('abc')
                member = Member(
                    instance_id=f'i{number}',
                    incarnation=number,
                    failure_domain=domain,
                )
                view = views.join(view, member)
            elif view.members:
                leaver = rng.choice(view.members).incarnation
                view = views.leave(view, Incarnation(leaver))
            table.advance(view)
            for index in range(30):
                asked = (TargetId(f't{index}'), 'abcd'[index % 4])
                assert table.owner(*asked) == owner_of(
                    target_id=asked[0],
                    failure_domain=asked[1],
                    members=view.members,
                )


class TestDetector:
    def detector(self, members):
        detector = Detector(
            me=Incarnation(0), times=TIMES, rng=random.Random(1)
        )
        detector.set_members(range(members))
        return detector

    def test_probes_each_member_once_a_round(self):
        detector = self.detector(6)
        rounds = [detector.next_probe(0) for _ in range(10)]
        assert sorted(rounds[:5]) == sorted(rounds[5:]) == [1, 2, 3, 4, 5]

    def test_sign_of_life_ends_suspicion(self):
        detector = self.detector(3)
        detector.on_silent(Incarnation(1), 0)
        detector.on_silent(Incarnation(2), 0)
        detector.on_alive(Incarnation(2))
        assert detector.overdue(TIMES.suspicion_s / 2) == []
        assert detector.overdue(TIMES.suspicion_s) == [1]

    def test_instance_that_misses_most_is_cut_off_itself(self):
        detector = self.detector(8)
        for member in range(1, 5):
            detector.on_silent(Incarnation(member), 0)
        assert not detector.cut_off()
        detector.on_silent(Incarnation(5), 0)
        assert detector.cut_off()
