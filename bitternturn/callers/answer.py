"""Encodes answers and refusals for callers."""

import math
from typing import Any, Final

from bitternturn.callers import const
from bitternturn.callers.models import QueryAnswer, QueryOutcome
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import RequestId
from bitternturn.http import const as http
from bitternturn.http.models import Response, make_json_response

HTTP_STATUS_BY_CODE: Final = {
    ErrorCode.BAD_REQUEST: http.STATUS_BAD_REQUEST,
    ErrorCode.UNKNOWN_PROFILE: http.STATUS_BAD_REQUEST,
    ErrorCode.UNKNOWN_INDEX: http.STATUS_NOT_FOUND,
    ErrorCode.NOT_FOUND: http.STATUS_NOT_FOUND,
    ErrorCode.METHOD_NOT_ALLOWED: http.STATUS_METHOD_NOT_ALLOWED,
    ErrorCode.CLAIM_MISMATCH: http.STATUS_CONFLICT,
    ErrorCode.IN_DOUBT: http.STATUS_CONFLICT,
    ErrorCode.OVERLOADED: http.STATUS_TOO_MANY_REQUESTS,
    ErrorCode.DEADLINE: http.STATUS_GATEWAY_TIMEOUT,
    ErrorCode.INTERNAL: http.STATUS_INTERNAL,
}


def make_refusal(
    *,
    request_id: RequestId,
    code: ErrorCode,
    step: str,
    message: str = '',
    in_doubt: bool = False,
    retry_after_ms: int = 0,
) -> QueryAnswer:
    """Return the answer to a request that was refused or is in doubt."""
    outcome = QueryOutcome.IN_DOUBT if in_doubt else QueryOutcome.NOT_RUN
    return QueryAnswer(
        request_id=request_id,
        outcome=outcome,
        code=code,
        step=step,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def encode_answer(answer: QueryAnswer) -> Response:
    """Return the HTTP response of an answer."""
    headers: dict[str, str] = {const.HEADER_REQUEST_ID: answer.request_id}
    if answer.code is None:
        return make_json_response(_make_answer_body(answer), headers=headers)
    if answer.retry_after_ms:
        seconds = math.ceil(answer.retry_after_ms / const.MS_PER_SECOND)
        headers[const.HEADER_RETRY_AFTER] = str(seconds)
    return make_json_response(
        _make_refusal_body(answer, answer.code),
        status=HTTP_STATUS_BY_CODE.get(answer.code, http.STATUS_UNAVAILABLE),
        headers=headers,
    )


def _make_answer_body(answer: QueryAnswer) -> dict[str, Any]:
    """Return the response body of a query that was answered."""
    return {
        'request_id': answer.request_id,
        'outcome': answer.outcome.value,
        'snapshot': answer.snapshot,
        'coverage': answer.coverage,
        'missing': list(answer.missing),
        'hits': answer.hits,
    }


def _make_refusal_body(answer: QueryAnswer, code: ErrorCode) -> dict[str, Any]:
    """Return the response body of a refusal."""
    body: dict[str, Any] = {
        'request_id': answer.request_id,
        'outcome': answer.outcome.value,
        'code': code.value,
        'step': answer.step,
        'peer': '',
        'message': answer.message,
    }
    if answer.retry_after_ms:
        body['retry_after_ms'] = answer.retry_after_ms
    return body
