"""Tests of digests, of settled views and of probes of suspects."""

import random

from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership import const
from bitternturn.membership.detector import FailureDetector
from bitternturn.membership.digests import DigestTable
from bitternturn.membership.models import MembershipTimes
from bitternturn.membership.state import MemberState
from bitternturn.schema.membership_pb2 import EarlierView, Member, View
from bitternturn.schema.peers_pb2 import MemberDigest

ME = Incarnation(1)
OTHERS = range(2, 42)


def digests(version):
    return [
        MemberDigest(incarnation=key, view_version=version) for key in OTHERS
    ]


def sent(table):
    return {it.incarnation for it in table.outgoing_digests(now=1, limit=64)}


class TestOutgoing:
    def make_table(self):
        table = DigestTable(me=ME, times=MembershipTimes())
        table.record_own_version(Version(1), 0)
        table.merge(digests(1), received_at=0, requested_at=None)
        return table

    def test_changed_digests_are_sent_until_the_limit(self):
        table = self.make_table()
        for _ in range(const.DIGEST_TRANSMIT_LIMIT):
            assert sent(table) == {ME, *OTHERS}

    def test_few_digests_at_the_limit_are_repeated(self):
        table = self.make_table()
        for _ in range(const.DIGEST_TRANSMIT_LIMIT):
            sent(table)
        assert len(sent(table)) == 1 + const.MAX_REPEATED_DIGESTS

    def test_all_digests_at_the_limit_are_repeated_in_turn(self):
        table = self.make_table()
        for _ in range(const.DIGEST_TRANSMIT_LIMIT):
            sent(table)
        seen = set()
        for _ in range(len(OTHERS)):
            seen |= sent(table)
        assert seen == {ME, *OTHERS}

    def test_changed_digest_is_sent_again(self):
        table = self.make_table()
        for _ in range(2 * const.DIGEST_TRANSMIT_LIMIT):
            sent(table)
        table.merge(digests(2)[:10], received_at=1, requested_at=None)
        assert sent(table) >= set(OTHERS[:10])


class TestSuspects:
    def test_repeated_probes_are_limited_and_reach_all_suspects(self):
        times = MembershipTimes()
        detector = FailureDetector(me=ME, times=times, rng=random.Random(1))
        detector.set_members(OTHERS)
        for key in OTHERS:
            detector.record_unanswered(key, 0)
        probed = set()
        rounds = -(-len(OTHERS) // const.MAX_SUSPECT_PROBES)
        for number in range(1, rounds + 1):
            due = detector.due_suspects(number * times.probe_interval_s)
            assert len(due) <= const.MAX_SUSPECT_PROBES
            probed.update(due)
        assert probed == set(OTHERS)


class TestSettled:
    def test_a_settled_view_stays_settled(self):
        times = MembershipTimes()
        state = MemberState(me=ME, times=times)
        earlier = EarlierView(version=1, incarnations=[ME, *OTHERS])
        members = [
            Member(incarnation=key, instance_id=f'i{key}')
            for key in (ME, *OTHERS)
        ]
        view = View(version=2, members=members, unsettled=[earlier])
        state.apply_view(view, [], 0)
        state.merge_digests(digests(2), received_at=0, requested_at=None)
        assert not state.make_settled_check(view, 0)(earlier)
        later = times.vote_expiry_wait_s + 1
        assert state.make_settled_check(view, later)(earlier)
        state.merge_digests(digests(3), received_at=later, requested_at=None)
        assert state.make_settled_check(view, later)(earlier)
