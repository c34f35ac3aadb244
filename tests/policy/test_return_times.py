"""Tests of the times at which refused callers are told to return.

Load patterns: a burst of 2.4 times the usual load, of which 1.4 times is refused;
one tenant with 7 times its usual load beside it; a shard whose targets are down, so
that nothing is answered; a single refusal in calm.
"""

from collections import Counter

import pytest

from bitternturn.policy.return_times import MIN_RETURN_S, ReturnTimes

CAPACITY_PER_S = 400
REFUSED_PER_S = int(CAPACITY_PER_S * 1.4)
REMAINING_S = 2.0
START_S = 1000.0


def make_times(answers_per_s=CAPACITY_PER_S, seconds=2):
    """Return times after some seconds with a rate of answers."""
    times = ReturnTimes()
    for number in range(answers_per_s * seconds):
        times.record_answer(START_S - seconds + number / answers_per_s)
    return times


def book_burst(
    times,
    *,
    priorities=(0, 1, 2),
    remaining_s=REMAINING_S,
    answers_per_s=CAPACITY_PER_S,
):
    """Refuse callers for a second; return priority, wait and time of each.

    The targets answer at their capacity meanwhile.
    """
    waits = []
    answer_count = 0
    for number in range(REFUSED_PER_S):
        now = START_S + number / REFUSED_PER_S
        while answer_count < answers_per_s * (now - START_S):
            times.record_answer(now)
            answer_count += 1
        priority = priorities[number % len(priorities)]
        wait_s = times.book(priority=priority, remaining_s=remaining_s, now=now)
        waits.append((priority, wait_s, now + wait_s))
    return waits


def mean_wait_s(waits, priority):
    """Return the mean wait of a priority."""
    mine = [wait_s for other, wait_s, _ in waits if other == priority]
    return sum(mine) / len(mine)


class TestCalm:
    """A changed Retry-After would change deployments that are not loaded."""

    @pytest.mark.parametrize('answers_per_s', [0, 3, CAPACITY_PER_S])
    @pytest.mark.parametrize('remaining_s', [0, 0.05, 0.3, 2, 60])
    def test_single_refusal_returns_after_the_minimum(
        self, answers_per_s, remaining_s
    ):
        times = make_times(answers_per_s)
        wait_s = times.book(priority=1, remaining_s=remaining_s, now=START_S)
        assert wait_s == MIN_RETURN_S

    def test_refusals_that_are_far_apart_are_independent(self):
        times = make_times(0)
        waits = [
            times.book(priority=1, remaining_s=2, now=START_S + number)
            for number in range(10)
        ]
        assert waits == [MIN_RETURN_S] * 10


class TestBurst:
    """Callers that return together repeat the overload that refused them."""

    def test_returns_are_spread_by_the_rate_of_answers(self):
        waits = book_burst(make_times(), priorities=(1,))
        per_slot = Counter(int(at / 0.1) for _, _, at in waits)
        # With a constant delay it is what was refused in 0.1 s: 56.
        assert max(per_slot.values()) <= CAPACITY_PER_S * 0.12

    def test_more_urgent_callers_return_earlier(self):
        waits = book_burst(make_times())
        means = [mean_wait_s(waits, priority) for priority in (0, 1, 2)]
        assert means == sorted(means)
        assert means[0] < means[2] / 1.5

    def test_less_urgent_callers_do_not_delay_urgent_ones(self):
        times = make_times()
        book_burst(times, priorities=(2,))
        now = START_S + 1
        wait_s = times.book(priority=0, remaining_s=REMAINING_S, now=now)
        assert wait_s == MIN_RETURN_S

    @pytest.mark.parametrize('remaining_s', [0.1, 0.5, 1, 2])
    def test_wait_is_at_most_a_third_of_what_is_left(self, remaining_s):
        """Callers ignore a longer time, and return at once."""
        waits = book_burst(make_times(), remaining_s=remaining_s)
        longest_s = max(MIN_RETURN_S, remaining_s / 3)
        assert all(MIN_RETURN_S <= it <= longest_s for _, it, _ in waits)

    def test_callers_that_exceed_the_time_left_are_spread_over_it(self):
        """Clamping to the bound would let all of them return together."""
        times = make_times(answers_per_s=20)
        waits = book_burst(
            times, priorities=(1,), remaining_s=1.5, answers_per_s=20
        )
        per_slot = Counter(int(at / 0.1) for _, _, at in waits)
        assert max(per_slot.values()) <= REFUSED_PER_S * 0.1

    def test_seven_times_the_load_of_a_tenant_delays_its_priority_only(self):
        times = make_times()
        waits = book_burst(times, priorities=(0, *[1] * 7))
        assert mean_wait_s(waits, 0) < MIN_RETURN_S + 0.1
        assert mean_wait_s(waits, 1) > mean_wait_s(waits, 0)


class TestTargetsDown:
    def test_without_answers_returns_are_spread_over_the_bound(self):
        """Without a rate, all would be told the same time."""
        waits = book_burst(make_times(0), priorities=(1,), answers_per_s=0)
        assert len({round(it, 2) for _, it, _ in waits}) > 20

    def test_memory_is_bounded_while_nothing_is_answered(self):
        times = ReturnTimes()
        for number in range(5000):
            times.book(
                priority=number % 3,
                remaining_s=60,
                now=START_S + number / 500,
            )
        assert len(times.booked) <= 101
