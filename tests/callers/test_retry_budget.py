"""Tests of what a retry costs."""

import pytest

from bitternturn.core.errors import ErrorCode
from bitternturn.policy.retries import RetryBudget, may_retry
from bitternturn.schema.peers_pb2 import OUTCOME_IN_DOUBT, OUTCOME_NOT_RUN


def spent_budget():
    budget = RetryBudget(share=0.05)
    while budget.try_spend():
        continue
    return budget


def allowed(code, outcome):
    return may_retry(
        code=code,
        outcome=outcome,
        repeatable=True,
        attempts=1,
        remaining_s=1,
        budget=spent_budget(),
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
    def test_refusal_without_work_costs_nothing(self, code):
        assert allowed(code, OUTCOME_NOT_RUN)
        assert not allowed(code, OUTCOME_IN_DOUBT)

    @pytest.mark.parametrize(
        'code', [ErrorCode.OVERLOADED, ErrorCode.SHED, ErrorCode.COLD]
    )
    def test_refusal_for_load_costs_a_token(self, code):
        assert not allowed(code, OUTCOME_NOT_RUN)
