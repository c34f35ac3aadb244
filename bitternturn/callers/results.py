"""Decodes the results of sub-requests."""

import msgspec

from bitternturn.callers.shard_progress import ShardRequest
from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import ErrorCode
from bitternturn.policy.merge import is_well_formed
from bitternturn.schema.peers_pb2 import OUTCOME_IN_DOUBT, SubResult

# Error codes by their text in results.
ERROR_CODES = {code.value: code for code in ErrorCode}


def get_result(request: ShardRequest) -> SubResult:
    """Return the result of a completed sub-request.

    A cancelled or failed future counts as in doubt.
    """
    assert request.future is not None
    if request.future.cancelled() or request.future.exception() is not None:
        return SubResult(
            outcome=OUTCOME_IN_DOUBT,
            code=ErrorCode.CANCELLED.value,
        )
    return request.future.result()


def decode_hits(body: bytes) -> list[dict[str, object]] | None:
    """Return the hits of a target's answer; None if it is malformed."""
    try:
        answer = msgspec.json.decode(body)
    except DECODE_ERRORS:
        return None
    hits = answer.get('hits') if isinstance(answer, dict) else None
    return hits if is_well_formed(hits) else None
