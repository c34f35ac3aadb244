"""Tests of digests, votes, settled views, view edits and the detector."""

import random

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Incarnation, TargetId, Version
from bitternturn.membership import view as views
from bitternturn.membership.detector import FailureDetector
from bitternturn.membership.digests import DigestTable
from bitternturn.membership.models import MembershipTimes
from bitternturn.membership.ownership import OwnershipTable, find_owner
from bitternturn.membership.quorum import (
    is_settled,
    lease_extension_end,
    make_gone_check,
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


def table_with(*digests, requested_at=10.0):
    table = DigestTable(me=Incarnation(1), times=TIMES)
    table.record_own_version(Version(7), 5)
    table.merge(digests, received_at=11, requested_at=requested_at)
    return table


def vote(incarnation, age_ms, version=7):
    return MemberDigest(
        incarnation=incarnation, view_version=version, vouch_age_ms=age_ms
    )


class TestExtension:
    def test_extension_is_based_on_the_oldest_vote_of_a_majority(self):
        table = table_with(vote(2, 1000), vote(3, 2000), vote(4, 3000))
        until = lease_extension_end(view=VIEW, table=table, times=TIMES)
        assert until == pytest.approx(10 - 3 * 1.01 + TIMES.vote_lifetime_s)

    def test_votes_of_half_do_not_extend_the_lease(self):
        table = table_with(vote(2, 0))
        table.record_own_vote(10)
        assert lease_extension_end(view=VIEW, table=table, times=TIMES) is None

    def test_votes_under_another_view_do_not_count(self):
        table = table_with(vote(2, 0), vote(3, 0, 6), vote(4, 0, 8))
        table.record_own_vote(10)
        assert lease_extension_end(view=VIEW, table=table, times=TIMES) is None

    def test_votes_in_requests_do_not_count(self):
        table = table_with(vote(2, 0), vote(3, 0), requested_at=None)
        table.record_own_vote(10)
        assert lease_extension_end(view=VIEW, table=table, times=TIMES) is None


class TestSettling:
    def settled(self, table, now, gone=()):
        return is_settled(
            EARLIER,
            table=table,
            times=TIMES,
            is_gone=lambda member: member in gone,
            now=now,
        )

    def test_half_without_valid_votes_settles_at_once(self):
        clear = MemberDigest(incarnation=2, view_version=7, clear=True)
        assert self.settled(table_with(clear), 11)
        assert not self.settled(table_with(), 11)

    def test_others_count_once_their_votes_have_expired(self):
        table = table_with(vote(2, 0))
        assert not self.settled(table, 11 + TIMES.vote_lifetime_s)
        assert self.settled(table, 11 + TIMES.vote_expiry_wait_s)

    def test_gone_members_count_once_their_votes_have_expired(self):
        table = table_with()
        assert not self.settled(table, 20, gone=(3,))
        assert not self.settled(table, 20 + TIMES.vote_lifetime_s, gone=(3,))
        assert self.settled(table, 20 + TIMES.vote_expiry_wait_s, gone=(3,))

    def test_member_that_voted_is_not_clear_after_the_next_view(self):
        table = table_with()
        table.record_own_vote(10)
        table.record_own_version(Version(8), 11)
        (own,) = table.outgoing_digests(now=10 + TIMES.vote_lifetime_s, limit=1)
        assert not own.clear
        (own,) = table.outgoing_digests(
            now=10 + TIMES.vote_expiry_wait_s, limit=1
        )
        assert own.clear

    def test_later_incarnation_implies_that_the_earlier_ended(self):
        view = views.join(VIEW, Member(instance_id='i2', incarnation=9))
        is_gone = make_gone_check(view, is_gone=lambda *_: False, now=0)
        assert is_gone(Incarnation(2))
        assert not is_gone(Incarnation(3))


class TestDigests:
    def test_every_member_is_sent_in_turn(self):
        table = table_with(*(vote(n, 0) for n in range(2, 12)))
        sent = [
            digest.incarnation
            for _ in range(5)
            for digest in table.outgoing_digests(now=11, limit=3)[1:]
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
        assert views.drop_settled(view, lambda earlier: False) == view
        more = views.remove(view, [])
        with pytest.raises(BitternturnError) as caught:
            views.drop_settled(more, lambda earlier: False)
        assert caught.value.code is ErrorCode.OVERLOADED
        assert not views.drop_settled(more, lambda earlier: True).unsettled


class TestOwnershipTable:
    def test_incremental_updates_match_full_computation(self):
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
            table.update(view)
            for index in range(30):
                asked = (TargetId(f't{index}'), 'abcd'[index % 4])
                assert table.owner(*asked) == find_owner(
                    target_id=asked[0],
                    failure_domain=asked[1],
                    members=view.members,
                )


class TestDetector:
    def detector(self, members):
        detector = FailureDetector(
            me=Incarnation(0), times=TIMES, rng=random.Random(1)
        )
        detector.set_members(range(members))
        return detector

    def test_probes_each_member_once_a_round(self):
        detector = self.detector(6)
        probed = [detector.next_probe(0) for _ in range(10)]
        assert sorted(probed[:5]) == sorted(probed[5:]) == [1, 2, 3, 4, 5]

    def test_answer_ends_suspicion(self):
        detector = self.detector(3)
        detector.record_unanswered(Incarnation(1), 0)
        detector.record_unanswered(Incarnation(2), 0)
        detector.record_alive(Incarnation(2))
        assert detector.expired_suspects(TIMES.suspicion_s / 2) == []
        assert detector.expired_suspects(TIMES.suspicion_s) == [1]

    def test_instance_that_suspects_most_members_is_isolated(self):
        detector = self.detector(8)
        for member in range(1, 5):
            detector.record_unanswered(Incarnation(member), 0)
        assert not detector.is_isolated()
        detector.record_unanswered(Incarnation(5), 0)
        assert detector.is_isolated()
