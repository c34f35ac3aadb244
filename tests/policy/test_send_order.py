"""Tests of the order of sends that wait.

Load pattern: targets answer 400 requests per second while 2.4 times as many wait, so
that the queue never empties.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitternturn.policy.send_order import URGENT_TURNS, SendQueue


def make_queue(*sends):
    """Return a queue with names, priorities and deadlines."""
    queue = SendQueue()
    for name, priority, deadline in sends:
        queue.add(name, priority=priority, deadline=deadline)
    return queue


def take_all(queue):
    """Return the sends in the order in which they get connections."""
    taken = []
    while queue:
        taken.append(queue.candidates()[0])
        queue.take(taken[-1])
    return taken


class TestOrder:
    def test_equal_sends_keep_the_order_of_arrival(self):
        """Deployments without priorities keep the order that they had."""
        queue = make_queue(*((number, 1, 5.0) for number in range(20)))
        assert take_all(queue) == list(range(20))

    def test_urgent_sends_come_first_then_the_earliest_deadline(self):
        queue = make_queue(
            ('late', 1, 9.0), ('later', 2, 1.0), ('soon', 1, 2.0), ('u', 0, 9.0)
        )
        assert list(queue) == ['u', 'soon', 'late', 'later']
        assert queue.candidates() == list(queue)

    def test_removed_sends_are_not_candidates(self):
        """A send that has ended must not be written."""
        queue = make_queue(('a', 1, 5.0), ('b', 0, 5.0), ('c', 1, 4.0))
        queue.remove('b')
        assert 'b' not in queue
        assert queue.candidates() == ['c', 'a']
        assert len(queue) == 2

    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.sampled_from([1.0, 2.0, 3.0]))
        ),
        st.data(),
    )
    def test_no_send_is_lost_or_repeated(self, ranks, data):
        queue = make_queue(
            *((number, *rank) for number, rank in enumerate(ranks))
        )
        removed = set()
        if ranks:
            numbers = st.integers(0, len(ranks) - 1)
            removed = data.draw(st.sets(numbers))
        for number in removed:
            queue.remove(number)
        taken = take_all(queue)
        assert sorted([*taken, *removed]) == list(range(len(ranks)))
        assert not queue


class TestShare:
    @pytest.mark.parametrize('priorities', [(0, 1), (0, 2, 5)])
    def test_less_urgent_sends_do_not_starve(self, priorities):
        """Urgent sends arrive as fast as connections become free."""
        queue = make_queue(
            *((('later', it), priorities[-1], 5.0) for it in range(100))
        )
        taken = []
        for number in range(100):
            queue.add(number, priority=0, deadline=5.0)
            queue.add(number + 1000, priority=0, deadline=5.0)
            taken.append(queue.candidates()[0])
            queue.take(taken[-1])
        later = sum(isinstance(it, tuple) for it in taken)
        assert later == 100 // (URGENT_TURNS + 1)

    def test_share_goes_to_the_earliest_deadline_of_the_others(self):
        queue = make_queue(
            ('late', 1, 9.0),
            ('soon', 2, 3.0),
            *((number, 0, 5.0) for number in range(9)),
        )
        taken = take_all(queue)
        assert taken[URGENT_TURNS] == 'soon'
        assert taken[2 * URGENT_TURNS + 1] == 'late'

    def test_unused_share_is_not_kept(self):
        """Less urgent sends that arrive later wait their turn."""
        queue = make_queue(*((number, 0, 5.0) for number in range(20)))
        for _ in range(10):
            queue.take(queue.candidates()[0])
        queue.add('later', priority=1, deadline=1.0)
        assert queue.candidates()[0] != 'later'
