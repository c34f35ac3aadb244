"""Tests of hedge delays and of the decision when to answer."""

import pytest

from bitternturn.policy.answer_timing import (
    CALLER_ROUND_TRIP_S,
    CONNECTION_SETUP_S,
    HANDLING_CPU_S,
    MAX_ROUND_TRIP_MARGIN_S,
    MAX_ROUND_TRIP_S,
    ROUND_TRIP_MARGIN_S,
    AnswerDelay,
    LatencyEstimate,
    Progress,
    Verdict,
    evaluate_progress,
)


def verdict_at(arrived, still_open, now, wanted=20, least=18):
    """Return the verdict for a soft deadline of 1 s and a deadline of 2 s."""
    return evaluate_progress(
        Progress(
            total=wanted, answered=arrived, pending=still_open, min_parts=least
        ),
        now=now,
        soft_deadline=1.0,
        deadline=2.0,
    )


class TestVerdicts:
    @pytest.mark.parametrize(
        ('arrived', 'still_open', 'now', 'verdict'),
        [
            (20, 0, 0.1, Verdict.ANSWER),
            (19, 1, 0.1, Verdict.WAIT),
            (19, 0, 0.1, Verdict.ANSWER),
            (18, 2, 1.0, Verdict.ANSWER),
            (17, 3, 1.0, Verdict.WAIT),
            (17, 3, 2.0, Verdict.GIVE_UP),
            (15, 2, 0.1, Verdict.GIVE_UP),
        ],
    )
    def test_minimum_is_sufficient_from_the_soft_deadline_on(
        self, arrived, still_open, now, verdict
    ):
        assert verdict_at(arrived, still_open, now) is verdict


def make_delay(cores=1, link_mbps=1000):
    """Create the answer delay of an instance."""
    return AnswerDelay(cores=cores, link_mbps=link_mbps)


class TestAnswerDelay:
    def test_small_instance_on_a_slow_link_decides_earlier(self):
        small = make_delay(cores=0.5, link_mbps=20)
        large = make_delay(cores=2, link_mbps=1000)
        difference_s = small.reserve_s(first=False, parts=90) - large.reserve_s(
            first=False, parts=90
        )
        assert 0.002 < difference_s < 0.004

    def test_busy_instance_decides_earlier(self):
        delay = make_delay()
        idle_s = delay.reserve_s(first=False, parts=20)
        for _ in range(20):
            delay.record(0.03)
        assert delay.reserve_s(first=False, parts=20) > idle_s + 0.02
        assert (
            delay.reserve_s(first=False, parts=20) < CALLER_ROUND_TRIP_S + 0.032
        )

    def test_first_request_includes_the_connection_setup(self):
        delay = make_delay()
        reused_s = delay.reserve_s(first=False, parts=20)
        assert (
            delay.reserve_s(first=True, parts=20)
            == reused_s + CONNECTION_SETUP_S
        )

    def test_single_late_answer_decays(self):
        delay = make_delay()
        delay.record(0.1)
        for _ in range(150):
            delay.record(0.002)
        bound_s = CALLER_ROUND_TRIP_S + HANDLING_CPU_S + 0.003
        assert delay.reserve_s(first=False, parts=20) < bound_s


class TestHedgeDelay:
    def test_minority_of_slow_targets_keeps_the_delay(self):
        """Guard against a shift when 15 of 100 targets are ten times slower."""
        latency = LatencyEstimate(aim_s=0.145)
        for _ in range(300):
            latency.record(0.015)
        before_s = latency.hedge_delay_s()
        for index in range(1000):
            latency.record(0.015 if index % 100 >= 15 else 0.15)
        assert latency.hedge_delay_s() == pytest.approx(before_s, rel=0.25)
        assert 0.025 < before_s < 0.035

    def test_delay_leaves_time_for_the_hedge(self):
        latency = LatencyEstimate(aim_s=0.1)
        for _ in range(100):
            latency.record(0.5)
        assert latency.hedge_delay_s() == pytest.approx(0.04)


class TestMeasuredRoundTrip:
    """Callers at different distances, where each millisecond adds parts."""

    def reserve(self, round_trip_s, *, first=False):
        return make_delay().reserve_s(
            first=first, parts=90, round_trip_s=round_trip_s
        )

    def test_near_caller_leaves_more_time_for_parts(self):
        assumed = self.reserve(None)
        assert assumed - self.reserve(0.002) == pytest.approx(
            CALLER_ROUND_TRIP_S - 0.002 - MAX_ROUND_TRIP_MARGIN_S
        )

    def test_margin_shrinks_towards_the_assumed_round_trip(self):
        """Guards against earlier answers to callers at the usual distance."""
        assert self.reserve(0.006) == pytest.approx(self.reserve(None))

    def test_opening_a_connection_takes_one_round_trip_more(self):
        difference_s = self.reserve(0.002, first=True) - self.reserve(0.002)
        assert difference_s == pytest.approx(0.002 + ROUND_TRIP_MARGIN_S)

    def test_far_caller_is_answered_earlier(self):
        assert self.reserve(0.02) > self.reserve(None)

    def test_packets_that_were_sent_again_do_not_count(self):
        """Guards against answers at once after a lost first packet."""
        assert self.reserve(3) == self.reserve(MAX_ROUND_TRIP_S)
