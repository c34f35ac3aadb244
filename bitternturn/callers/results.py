"""Results of sub-requests as the entry reads them."""

import msgspec

from bitternturn.callers.progress import Attempt
from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import ErrorCode
from bitternturn.policy.merge import is_well_formed
from bitternturn.schema.peers_pb2 import OUTCOME_IN_DOUBT, SubResult

# Error codes by the texts that results carry.
ERROR_CODES = {code.value: code for code in ErrorCode}


def result_of(attempt: Attempt) -> SubResult:
    """Return the result of a sub-request that has ended."""
    assert attempt.future is not None
    if attempt.future.cancelled() or attempt.future.exception() is not None:
        return SubResult(
            outcome=OUTCOME_IN_DOUBT,
            code=ErrorCode.CANCELLED.value,
        )
    return attempt.future.result()


def decode_hits(body: bytes) -> list[dict[str, object]] | None:
    """Return the hits of a target's answer; None when it has none."""
    try:
        answer = msgspec.json.decode(body)
    except DECODE_ERRORS:
        return None
    hits = answer.get('hits') if isinstance(answer, dict) else None
    return hits if is_well_formed(hits) else None
