"""Tests of the order of the instances that send for others."""

from hypothesis import given
from hypothesis import strategies as st

from bitternturn.policy.delegate_selection import (
    STRONG_SHARE,
    DelegateCandidate,
    rank_delegates,
    rank_strong_first,
)

CORES = st.floats(min_value=0.1, max_value=8)


def make_members(cores):
    """Return instances with some numbers of cores."""
    return [
        DelegateCandidate(name=f'i{number}', domain='a', cores=count)
        for number, count in enumerate(cores)
    ]


class TestStrongFirst:
    """Load pattern: few requests, each of which waits for its delegates."""

    def test_weak_instances_come_last(self):
        members = make_members([0.36, 2.15, 0.36, 2.15, 0.36])
        for key in '012345':
            assert set(rank_strong_first(key, members)[:2]) == {'i1', 'i3'}

    @given(st.lists(CORES, max_size=12))
    def test_all_members_are_ranked(self, cores):
        members = make_members(cores)
        ranked = rank_strong_first('1', members)
        assert sorted(ranked) == sorted(member.name for member in members)

    @given(st.lists(st.floats(min_value=1, max_value=1 / STRONG_SHARE)))
    def test_members_of_like_strength_keep_their_order(self, cores):
        members = make_members(cores)
        ranked = rank_strong_first('1', members)
        assert ranked == rank_delegates('1', members)
