"""Tests of hedging, retries and their budgets."""

from fractions import Fraction

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.hedging import (
    HedgeBudget,
    LatencyTrack,
    hedge_delay_s,
    may_hedge_to,
)
from bitternturn.policy.replicas import ReplicaView
from bitternturn.policy.retries import RetryBudget, may_retry
from bitternturn.schema import peers_pb2

FAILED = (
    peers_pb2.OUTCOME_NOT_RUN,
    peers_pb2.OUTCOME_IN_DOUBT,
    peers_pb2.OUTCOME_UNSPECIFIED,
)
EVERYWHERE = (ErrorCode.NOT_READY, ErrorCode.DEADLINE, ErrorCode.CANCELLED)


def asked(**changed):
    arguments = {
        'code': ErrorCode.CONNECTION_LOST,
        'outcome': peers_pb2.OUTCOME_NOT_RUN,
        'repeatable': True,
        'attempts': 1,
        'remaining_s': 1,
        'budget': RetryBudget(share=0.1),
    }
    return may_retry(**(arguments | changed))


class TestBudget:
    @given(
        st.integers(0, 100),
        st.integers(0, 5),
        st.lists(st.integers(0, 40), max_size=80),
    )
    def test_bounds_extra_load_and_grants_what_is_due(
        self, percent, burst, rounds
    ):
        budget = HedgeBudget(share=percent / 100, burst=burst)
        share, requests, spent = Fraction(percent, 100), 0, 0
        for requested in rounds:
            for _ in range(requested):
                budget.note_request()
            requests += requested
            granted = sum(1 for _ in iter(budget.try_spend, False))
            spent += granted
            assert spent <= share * requests + burst
            assert granted <= burst
            assert granted >= min(burst, int(share * requested))


class TestRetry:
    @given(
        st.sampled_from(ErrorCode),
        st.sampled_from(FAILED),
        st.booleans(),
        st.integers(0, 2),
    )
    def test_never_runs_twice_what_may_not_be_repeated(
        self, code, outcome, repeatable, untried
    ):
        allowed = asked(
            code=code, outcome=outcome, repeatable=repeatable, untried=untried
        )
        if outcome != peers_pb2.OUTCOME_NOT_RUN and not repeatable:
            assert not allowed
        if code in EVERYWHERE:
            assert not allowed
        if code is ErrorCode.OVERLOADED and not untried:
            assert not allowed

    def test_goes_to_another_replica_until_a_bound_is_met(self):
        assert asked()
        assert asked(code=ErrorCode.OVERLOADED, repeatable=False)
        assert asked(outcome=peers_pb2.OUTCOME_IN_DOUBT)
        assert asked(untried=0)
        assert not asked(code=ErrorCode.TARGET_ERROR, untried=0)
        assert not asked(outcome=peers_pb2.OUTCOME_ANSWERED)
        assert not asked(attempts=3)
        assert not asked(remaining_s=0.004)
        assert not asked(budget=RetryBudget(share=0))

    def test_refused_tries_spend_nothing(self):
        budget = RetryBudget(share=0.1, burst=1)
        assert not asked(code=ErrorCode.DEADLINE, budget=budget)
        assert asked(budget=budget)
        assert not asked(budget=budget)

    @pytest.mark.parametrize(
        'code',
        [
            ErrorCode.NOT_OWNER,
            ErrorCode.PEER_UNREACHABLE,
            ErrorCode.TARGET_OUT,
            ErrorCode.TARGET_UNAVAILABLE,
        ],
    )
    def test_what_was_never_sent_is_tried_elsewhere_without_budget(self, code):
        budget = RetryBudget(share=0.1, burst=0)
        assert asked(code=code, budget=budget)
        assert not asked(
            code=code, budget=budget, outcome=peers_pb2.OUTCOME_IN_DOUBT
        )
        assert not asked(code=ErrorCode.SHED, budget=budget)


class TestLatencyTrack:
    @given(st.lists(st.floats(0.0001, 10), min_size=50, max_size=300))
    def test_is_near_the_exact_quantile(self, latencies):
        track = LatencyTrack()
        for number, latency_s in enumerate(latencies):
            track.record(latency_s, number * 0.01)
        rank = int(len(latencies) * 0.95 + 0.5) - 1
        exact = sorted(latencies)[rank]
        assert track.quantile(0.95, 4) == pytest.approx(exact, 0.02, 1e-4)

    def test_forgets_after_two_windows(self):
        track = LatencyTrack(window_s=10)
        for _ in range(100):
            track.record(5, 0)
        for _ in range(100):
            track.record(0.01, 19)
        assert track.quantile(0.95, 19) > 4
        assert track.quantile(0.95, 29.5) < 0.02
        track = LatencyTrack(window_s=10)
        for _ in range(100):
            track.record(5, 0)
        assert track.quantile(0.95, 1) > 4
        assert track.quantile(0.95, 21) is None


class TestHedgeDelay:
    @given(st.floats(0.0001, 0.5), st.floats(0.001, 2))
    def test_waits_for_the_slow_and_leaves_time_for_the_second(
        self, latency_s, remaining_s
    ):
        track = LatencyTrack()
        for _ in range(100):
            track.record(latency_s, 0)
        delay_s = hedge_delay_s(track=track, now=1, remaining_s=remaining_s)
        if delay_s is None:
            assert remaining_s < max(latency_s, 0.002) + latency_s * 1.04 + 2e-4
        else:
            assert delay_s >= max(latency_s * 0.98 - 1e-4, 0.002)
            assert delay_s + latency_s * 0.98 - 1e-4 <= remaining_s

    def test_is_late_before_there_are_samples(self):
        track = LatencyTrack()
        for _ in range(49):
            track.record(0.01, 0)
        assert hedge_delay_s(track=track, now=1, remaining_s=0.8) == 0.4
        assert hedge_delay_s(track=track, now=1, remaining_s=0.003) is None

    def test_only_goes_to_a_replica_that_bears_it(self):
        fit = {
            'target': 'a',
            'outstanding': 1,
            'latency_s': 0.01,
            'limit': 2,
        }
        assert may_hedge_to(ReplicaView(**fit))
        for reason in ('cold', 'ejected', 'out'):
            assert not may_hedge_to(ReplicaView(**fit, **{reason: True}))
        assert not may_hedge_to(ReplicaView(**fit | {'outstanding': 2}))
