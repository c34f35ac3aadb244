"""Tests of digests, of what they settle, and of probes of suspects."""

import random

from bitternturn.core.ids import Incarnation, Version
from bitternturn.membership import const
from bitternturn.membership.detector import Detector
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
    return {it.incarnation for it in table.outgoing(now=1, limit=64)}


class TestOutgoing:
    def make_table(self):
        table = DigestTable(me=ME, times=MembershipTimes())
        table.hold(Version(1), 0)
        table.merge(digests(1), received_at=0, asked_at=None)
        return table

    def test_news_go_to_many_peers(self):
        table = self.make_table()
        for _ in range(const.DIGEST_SENDS):
            assert sent(table) == {ME, *OTHERS}

    def test_known_digests_cost_little(self):
        table = self.make_table()
        for _ in range(const.DIGEST_SENDS):
            sent(table)
        assert len(sent(table)) == 1 + const.KNOWN_DIGESTS

    def test_every_member_is_told_of_again(self):
        table = self.make_table()
        for _ in range(const.DIGEST_SENDS):
            sent(table)
        told = set()
        for _ in range(len(OTHERS)):
            told |= sent(table)
        assert told == {ME, *OTHERS}

    def test_a_change_is_news(self):
        table = self.make_table()
        for _ in range(2 * const.DIGEST_SENDS):
            sent(table)
        table.merge(digests(2)[:10], received_at=1, asked_at=None)
        assert sent(table) >= set(OTHERS[:10])


class TestSuspects:
    def test_probes_again_are_few_and_reach_everyone(self):
        times = MembershipTimes()
        detector = Detector(me=ME, times=times, rng=random.Random(1))
        detector.set_members(OTHERS)
        for key in OTHERS:
            detector.on_silent(key, 0)
        probed = set()
        rounds = -(-len(OTHERS) // const.SUSPECTS_PER_ROUND)
        for number in range(1, rounds + 1):
            due = detector.due_suspects(number * times.probe_interval_s)
            assert len(due) <= const.SUSPECTS_PER_ROUND
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
        state.on_view(view, [], 0)
        state.on_digests(digests(2), received_at=0, asked_at=None)
        assert not state.settled(view, 0)(earlier)
        later = times.vouch_wait_s + 1
        assert state.settled(view, later)(earlier)
        state.on_digests(digests(3), received_at=later, asked_at=None)
        assert state.settled(view, later)(earlier)
