"""Tests of the tokens that a retry costs."""

import pytest

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.retries import RetryBudget, may_retry
from bitternturn.schema.peers_pb2 import OUTCOME_IN_DOUBT, OUTCOME_NOT_RUN


def make_spent_budget():
    budget = RetryBudget(share=0.05)
    while budget.try_spend():
        continue
    return budget


def is_allowed(code, outcome):
    return may_retry(
        code=code,
        outcome=outcome,
        repeatable=True,
        attempts=1,
        remaining_s=1,
        budget=make_spent_budget(),
    )


class TestRetryBudget:
    @pytest.mark.parametrize(
        'code',
        [
            ErrorCode.DRAINING,
            ErrorCode.NOT_OWNER,
            ErrorCode.PEER_UNREACHABLE,
            ErrorCode.TARGET_OUT,
            ErrorCode.TARGET_UNAVAILABLE,
        ],
    )
    def test_retry_without_extra_load_costs_no_token(self, code):
        assert is_allowed(code, OUTCOME_NOT_RUN)
        assert not is_allowed(code, OUTCOME_IN_DOUBT)

    @pytest.mark.parametrize(
        'code', [ErrorCode.OVERLOADED, ErrorCode.SHED, ErrorCode.COLD]
    )
    def test_retry_after_overload_costs_a_token(self, code):
        assert not is_allowed(code, OUTCOME_NOT_RUN)
