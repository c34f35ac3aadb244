"""Tests of the choice of the instance that gathers for another one."""

import pytest

from bitternturn.policy.delegate_selection import (
    MAX_BUSY_SHARE,
    DelegateCandidate,
)
from bitternturn.policy.gatherer_selection import (
    MIN_CORES_RATIO,
    may_gather,
    rank_gatherers,
)

WEAK = 0.36
STRONG = 2.15


def make_member(name, cores, domain='a'):
    """Return one instance."""
    return DelegateCandidate(name=name, domain=domain, cores=cores)


MEMBERS = {
    'a': [
        make_member('a1', STRONG),
        make_member('a2', WEAK),
        make_member('a3', STRONG),
    ],
    'b': [make_member('b1', STRONG, 'b'), make_member('b2', WEAK, 'b')],
    'c': [make_member('c1', WEAK, 'c')],
}


class TestRanking:
    """Load pattern: urgent wide requests at weak instances."""

    def test_strong_members_of_the_first_domain_come_first(self):
        ranked = rank_gatherers(make_member('a2', WEAK), MEMBERS, 'ba')
        assert ranked[0] == 'b1'
        assert sorted(ranked[1:]) == ['a1', 'a3']

    def test_weak_instances_are_spread_over_the_strong_ones(self):
        first = {
            rank_gatherers(make_member(f'w{number}', WEAK), MEMBERS, 'a')[0]
            for number in range(20)
        }
        assert first == {'a1', 'a3'}

    def test_fleet_without_strong_instances_hands_nothing_over(self):
        members = {'c': MEMBERS['c']}
        assert not rank_gatherers(make_member('c2', WEAK), members, 'c')

    def test_strong_instance_gathers_itself(self):
        assert not rank_gatherers(make_member('a1', STRONG), MEMBERS, 'ab')

    def test_instance_that_is_hardly_stronger_does_not_gain_the_way(self):
        cores = STRONG / MIN_CORES_RATIO
        own = make_member('x', cores * 1.01)
        assert not rank_gatherers(own, MEMBERS, 'a')
        own = make_member('x', cores * 0.99)
        assert rank_gatherers(own, MEMBERS, 'a')

    def test_domain_that_is_named_twice_counts_once(self):
        own = make_member('b2', WEAK, 'b')
        ranked = rank_gatherers(own, MEMBERS, 'bb')
        assert sorted(ranked) == ['a1', 'a3', 'b1']

    def test_strong_instances_of_other_domains_come_last(self):
        own = make_member('c1', WEAK, 'c')
        ranked = rank_gatherers(own, MEMBERS, 'cb')
        assert ranked[0] == 'b1'
        assert sorted(ranked[1:]) == ['a1', 'a3']

    def test_instances_without_strong_ones_nearby_are_spread(self):
        first = {
            rank_gatherers(make_member(f'c{number}', WEAK, 'c'), MEMBERS, 'c')[
                0
            ]
            for number in range(20)
        }
        assert first == {'a1', 'a3', 'b1'}


class TestMayGather:
    @pytest.mark.parametrize(
        ('busy_share', 'outdated', 'sender_outdated', 'expected'),
        [
            (0, False, False, True),
            (MAX_BUSY_SHARE, False, False, True),
            (MAX_BUSY_SHARE + 0.01, False, False, False),
            (0, True, False, False),
            # In an outage of the store, all are out of date.
            (0, True, True, True),
        ],
    )
    def test_busy_and_outdated_instances_decline(
        self, busy_share, outdated, sender_outdated, expected
    ):
        found = may_gather(
            busy_share=busy_share,
            outdated=outdated,
            sender_outdated=sender_outdated,
        )
        assert found is expected
