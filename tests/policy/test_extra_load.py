"""Tests of hedging, retries and their budgets."""

from fractions import Fraction

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.hedging import (
    HedgeBudget,
    LatencyWindow,
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
NEVER_RETRIED = (ErrorCode.NOT_READY, ErrorCode.DEADLINE, ErrorCode.CANCELLED)


def is_retried(**overrides):
    arguments = {
        'code': ErrorCode.CONNECTION_LOST,
        'outcome': peers_pb2.OUTCOME_NOT_RUN,
        'repeatable': True,
        'attempts': 1,
        'remaining_s': 1,
        'budget': RetryBudget(share=0.1),
    }
    return may_retry(**(arguments | overrides))


class TestBudget:
    @given(
        st.integers(0, 100),
        st.integers(0, 5),
        st.lists(st.integers(0, 40), max_size=80),
    )
    def test_limits_extra_load_and_grants_the_share(
        self, percent, burst, rounds
    ):
        budget = HedgeBudget(share=percent / 100, burst=burst)
        share, requests, granted_total = Fraction(percent, 100), 0, 0
        for request_count in rounds:
            for _ in range(request_count):
                budget.record_request()
            requests += request_count
            granted = sum(1 for _ in iter(budget.try_spend, False))
            granted_total += granted
            assert granted_total <= share * requests + burst
            assert granted <= burst
            assert granted >= min(burst, int(share * request_count))


class TestRetry:
    @given(
        st.sampled_from(ErrorCode),
        st.sampled_from(FAILED),
        st.booleans(),
        st.integers(0, 2),
    )
    def test_unrepeatable_requests_are_never_run_twice(
        self, code, outcome, repeatable, untried
    ):
        allowed = is_retried(
            code=code, outcome=outcome, repeatable=repeatable, untried=untried
        )
        if outcome != peers_pb2.OUTCOME_NOT_RUN and not repeatable:
            assert not allowed
        if code in NEVER_RETRIED:
            assert not allowed
        if code is ErrorCode.OVERLOADED and not untried:
            assert not allowed

    def test_retries_another_replica_within_all_limits(self):
        assert is_retried()
        assert is_retried(code=ErrorCode.OVERLOADED, repeatable=False)
        assert is_retried(outcome=peers_pb2.OUTCOME_IN_DOUBT)
        assert is_retried(untried=0)
        assert not is_retried(code=ErrorCode.TARGET_ERROR, untried=0)
        assert not is_retried(outcome=peers_pb2.OUTCOME_ANSWERED)
        assert not is_retried(attempts=3)
        assert not is_retried(remaining_s=0.004)
        assert not is_retried(budget=RetryBudget(share=0))

    def test_rejected_retries_spend_no_token(self):
        budget = RetryBudget(share=0.1, burst=1)
        assert not is_retried(code=ErrorCode.DEADLINE, budget=budget)
        assert is_retried(budget=budget)
        assert not is_retried(budget=budget)

    @pytest.mark.parametrize(
        'code',
        [
            ErrorCode.NOT_OWNER,
            ErrorCode.PEER_UNREACHABLE,
            ErrorCode.TARGET_OUT,
            ErrorCode.TARGET_UNAVAILABLE,
        ],
    )
    def test_requests_that_no_target_ran_are_retried_without_budget(self, code):
        budget = RetryBudget(share=0.1, burst=0)
        assert is_retried(code=code, budget=budget)
        assert not is_retried(
            code=code, budget=budget, outcome=peers_pb2.OUTCOME_IN_DOUBT
        )
        assert not is_retried(code=ErrorCode.SHED, budget=budget)


class TestLatencyWindow:
    @given(st.lists(st.floats(0.0001, 10), min_size=50, max_size=300))
    def test_quantile_is_close_to_the_exact_one(self, latencies):
        window = LatencyWindow()
        for number, latency_s in enumerate(latencies):
            window.record(latency_s, number * 0.01)
        rank = int(len(latencies) * 0.95 + 0.5) - 1
        exact = sorted(latencies)[rank]
        assert window.quantile(0.95, 4) == pytest.approx(exact, 0.02, 1e-4)

    def test_samples_expire_after_two_windows(self):
        window = LatencyWindow(window_s=10)
        for _ in range(100):
            window.record(5, 0)
        for _ in range(100):
            window.record(0.01, 19)
        assert window.quantile(0.95, 19) > 4
        assert window.quantile(0.95, 29.5) < 0.02
        window = LatencyWindow(window_s=10)
        for _ in range(100):
            window.record(5, 0)
        assert window.quantile(0.95, 1) > 4
        assert window.quantile(0.95, 21) is None


class TestHedgeDelay:
    @given(st.floats(0.0001, 0.5), st.floats(0.001, 2))
    def test_delay_exceeds_slow_answers_and_leaves_time_for_the_hedge(
        self, latency_s, remaining_s
    ):
        window = LatencyWindow()
        for _ in range(100):
            window.record(latency_s, 0)
        delay_s = hedge_delay_s(
            latencies=window, now=1, remaining_s=remaining_s
        )
        if delay_s is None:
            assert remaining_s < max(latency_s, 0.002) + latency_s * 1.04 + 2e-4
        else:
            assert delay_s >= max(latency_s * 0.98 - 1e-4, 0.002)
            assert delay_s + latency_s * 0.98 - 1e-4 <= remaining_s

    def test_delay_without_samples_is_half_of_the_remaining_time(self):
        window = LatencyWindow()
        for _ in range(49):
            window.record(0.01, 0)
        assert hedge_delay_s(latencies=window, now=1, remaining_s=0.8) == 0.4
        assert hedge_delay_s(latencies=window, now=1, remaining_s=0.003) is None

    def test_hedges_only_replicas_with_room_in_normal_state(self):
        eligible = {
            'target': 'a',
            'in_flight': 1,
            'latency_s': 0.01,
            'limit': 2,
        }
        assert may_hedge_to(ReplicaView(**eligible))
        for reason in ('cold', 'ejected', 'out_of_service'):
            assert not may_hedge_to(ReplicaView(**eligible, **{reason: True}))
        assert not may_hedge_to(ReplicaView(**eligible | {'in_flight': 2}))
