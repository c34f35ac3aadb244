"""Builds requests to targets and interprets the responses."""

from dataclasses import dataclass
from functools import lru_cache
from typing import Final

import msgspec

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.decoding import DECODE_ERRORS, parse_unsigned
from bitternturn.core.errors import ErrorCode
from bitternturn.http import const as http
from bitternturn.http.models import Response
from bitternturn.owners import const
from bitternturn.owners.models import SubRequest
from bitternturn.peers.results import in_doubt_result, not_run_result
from bitternturn.schema.peers_pb2 import OUTCOME_ANSWERED, SubResult

# Refusals by which a target states that it has not run the request.
_NOT_RUN: Final = {
    (http.STATUS_CONFLICT, 'snapshot_gone'): ErrorCode.SNAPSHOT_GONE,
    (http.STATUS_TOO_MANY_REQUESTS, 'shed'): ErrorCode.SHED,
    (http.STATUS_UNAVAILABLE, 'cold'): ErrorCode.COLD,
    (http.STATUS_UNAVAILABLE, 'draining'): ErrorCode.DRAINING,
    (http.STATUS_GATEWAY_TIMEOUT, 'deadline'): ErrorCode.DEADLINE,
}


class _Answer(msgspec.Struct):
    """The part of an answer that is needed to validate it."""

    complete: bool = False
    hits: msgspec.Raw = msgspec.Raw()


class _Refusal(msgspec.Struct):
    """Body of a refusal."""

    code: str = ''


@dataclass(kw_only=True, slots=True)
class ParsedResponse:
    """Result of a sub-request and state of its target from one response."""

    result: SubResult
    # The response belongs to another request: the connection is out of sync.
    mismatched: bool = False
    state: str = ''
    cold_limit: int = 0
    held_snapshots: tuple[int, ...] = ()


def build_headers(
    sub_request: SubRequest,
    request_id: str,
    now: float,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a target."""
    group = sub_request.group
    remaining_ms = int((sub_request.deadline - now) * MS_PER_SECOND)
    headers = [
        ('content-type', 'application/json'),
        ('x-request-id', request_id),
        ('x-index', group.index),
        ('x-shard', sub_request.item.shard),
        ('x-snapshot', str(group.snapshot)),
        ('x-deadline-ms', str(remaining_ms)),
    ]
    if group.idempotency_key:
        headers.append(('idempotency-key', group.idempotency_key))
    return headers


def interpret_response(
    sub_request: SubRequest,
    request_id: str,
    response: Response,
) -> ParsedResponse:
    """Return the sub-request's result and the target's state."""
    headers = response.headers
    sub_id = sub_request.item.id
    if headers.get('x-request-id') != request_id:
        doubt = in_doubt_result(sub_id, ErrorCode.BAD_ANSWER)
        return ParsedResponse(result=doubt, mismatched=True)
    parsed = ParsedResponse(
        result=_read_result(sub_request, response),
        state=headers.get('x-state', ''),
        cold_limit=_read_number(headers.get('x-cold-limit', '')),
        held_snapshots=_read_numbers(headers.get('x-held-snapshots', '')),
    )
    if parsed.held_snapshots:
        parsed.result.held_snapshots.extend(parsed.held_snapshots)
    parsed.result.cold = parsed.state == const.STATE_COLD
    return parsed


def _read_result(sub_request: SubRequest, response: Response) -> SubResult:
    """Return the result of a response to this request."""
    sub_id = sub_request.item.id
    if response.status != http.STATUS_OK:
        return _read_refusal(sub_id, response)
    if not (_matches_request(sub_request, response) and _is_complete(response)):
        return in_doubt_result(sub_id, ErrorCode.BAD_ANSWER)
    return SubResult(
        id=sub_id,
        outcome=OUTCOME_ANSWERED,
        body=response.body,
    )


def _matches_request(sub_request: SubRequest, response: Response) -> bool:
    """Whether the headers match the request and the body's length."""
    headers = response.headers
    return (
        headers.get('x-shard') == sub_request.item.shard
        and headers.get('x-snapshot') == str(sub_request.group.snapshot)
        and headers.get('x-index') == sub_request.group.index
        and headers.get('content-length') == str(len(response.body))
    )


def _is_complete(response: Response) -> bool:
    """Whether the body is a complete answer."""
    try:
        answer = msgspec.json.decode(response.body, type=_Answer)
    except DECODE_ERRORS:
        return False
    return answer.complete and bytes(memoryview(answer.hits)[:1]) == b'['


def _read_refusal(sub_id: int, response: Response) -> SubResult:
    """Return the result of a refusal; in doubt if it is unknown."""
    try:
        refusal = msgspec.json.decode(response.body, type=_Refusal)
    except DECODE_ERRORS:
        return in_doubt_result(sub_id, ErrorCode.TARGET_ERROR)
    code = _NOT_RUN.get((response.status, refusal.code))
    if code is None:
        return in_doubt_result(sub_id, ErrorCode.TARGET_ERROR)
    return not_run_result(sub_id, code)


def _read_number(text: str) -> int:
    """Return an unsigned integer, 0 if the text is invalid."""
    return parse_unsigned(text) or 0


@lru_cache(maxsize=const.HEADER_CACHE_SIZE)
def _read_numbers(text: str) -> tuple[int, ...]:
    """Return the positive integers of a comma-separated list."""
    numbers = (_read_number(part.strip()) for part in text.split(','))
    return tuple(number for number in numbers if number)
