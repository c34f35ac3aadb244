"""Results of sub-requests for which there is no answer of a target."""

from bitternturn.core.errors import ErrorCode
from bitternturn.schema.peers_pb2 import (
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
    SubResult,
)


def not_run_result(
    sub_id: int,
    code: ErrorCode,
    *,
    retry_after_ms: int = 0,
) -> SubResult:
    """Return the result of a sub-request that no target has run."""
    return SubResult(
        id=sub_id,
        outcome=OUTCOME_NOT_RUN,
        code=code.value,
        retry_after_ms=retry_after_ms,
    )


def in_doubt_result(sub_id: int, code: ErrorCode) -> SubResult:
    """Return the result of a sub-request that a target may have run."""
    return SubResult(id=sub_id, outcome=OUTCOME_IN_DOUBT, code=code.value)
