"""Requests to targets and what their responses mean."""

from dataclasses import dataclass
from functools import lru_cache
from typing import Final

import msgspec

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.decoding import DECODE_ERRORS, read_unsigned
from bitternturn.core.errors import ErrorCode
from bitternturn.http import const as http
from bitternturn.http.models import Response
from bitternturn.owners import const
from bitternturn.owners.models import Work
from bitternturn.peers.results import in_doubt, not_run
from bitternturn.schema.peers_pb2 import OUTCOME_ANSWERED, SubResult

# Refusals of a target that has not run the request.
_NOT_RUN: Final = {
    (http.STATUS_CONFLICT, 'snapshot_gone'): ErrorCode.SNAPSHOT_GONE,
    (http.STATUS_TOO_MANY, 'shed'): ErrorCode.SHED,
    (http.STATUS_UNAVAILABLE, 'cold'): ErrorCode.COLD,
    (http.STATUS_UNAVAILABLE, 'draining'): ErrorCode.DRAINING,
    (http.STATUS_TIMEOUT, 'deadline'): ErrorCode.DEADLINE,
}


class _Answer(msgspec.Struct):
    """The part of an answer that decides whether it counts."""

    complete: bool = False
    hits: msgspec.Raw = msgspec.Raw()


class _Refusal(msgspec.Struct):
    """The body of a refusal."""

    code: str = ''


@dataclass(kw_only=True, slots=True)
class Verdict:
    """What one response says of the sub-request and of its target."""

    result: SubResult
    # Another request's response: the connection is out of step.
    crossed: bool = False
    state: str = ''
    cold_limit: int = 0
    held_snapshots: tuple[int, ...] = ()


def build_headers(
    work: Work,
    request_id: str,
    now: float,
) -> list[tuple[str, str]]:
    """Return the headers of a request to a target."""
    group = work.group
    remaining_ms = int((work.deadline - now) * MS_PER_SECOND)
    headers = [
        ('content-type', 'application/json'),
        ('x-request-id', request_id),
        ('x-index', group.index),
        ('x-shard', work.item.shard),
        ('x-snapshot', str(group.snapshot)),
        ('x-deadline-ms', str(remaining_ms)),
    ]
    if group.idempotency_key:
        headers.append(('idempotency-key', group.idempotency_key))
    return headers


def judge(work: Work, request_id: str, response: Response) -> Verdict:
    """Return what a whole response means for its sub-request."""
    headers = response.headers
    sub_id = work.item.id
    if headers.get('x-request-id') != request_id:
        doubt = in_doubt(sub_id, ErrorCode.BAD_ANSWER)
        return Verdict(result=doubt, crossed=True)
    verdict = Verdict(
        result=_read_result(work, response),
        state=headers.get('x-state', ''),
        cold_limit=_read_number(headers.get('x-cold-limit', '')),
        held_snapshots=_read_numbers(headers.get('x-held-snapshots', '')),
    )
    if verdict.held_snapshots:
        verdict.result.held_snapshots.extend(verdict.held_snapshots)
    verdict.result.cold = verdict.state == const.STATE_COLD
    return verdict


def _read_result(work: Work, response: Response) -> SubResult:
    """Return the result that a response to this request gives."""
    sub_id = work.item.id
    if response.status != http.STATUS_OK:
        return _read_refusal(sub_id, response)
    if not (_echoes(work, response) and _is_complete(response)):
        return in_doubt(sub_id, ErrorCode.BAD_ANSWER)
    return SubResult(
        id=sub_id,
        outcome=OUTCOME_ANSWERED,
        body=response.body,
    )


def _echoes(work: Work, response: Response) -> bool:
    """Whether an answer is for the index, shard and snapshot asked for."""
    headers = response.headers
    return (
        headers.get('x-shard') == work.item.shard
        and headers.get('x-snapshot') == str(work.group.snapshot)
        and headers.get('x-index') == work.group.index
        and headers.get('content-length') == str(len(response.body))
    )


def _is_complete(response: Response) -> bool:
    """Whether an answer is not cut short."""
    try:
        answer = msgspec.json.decode(response.body, type=_Answer)
    except DECODE_ERRORS:
        return False
    return answer.complete and bytes(memoryview(answer.hits)[:1]) == b'['


def _read_refusal(sub_id: int, response: Response) -> SubResult:
    """Return the result of a refusal; an unknown one leaves doubt."""
    try:
        refusal = msgspec.json.decode(response.body, type=_Refusal)
    except DECODE_ERRORS:
        return in_doubt(sub_id, ErrorCode.TARGET_ERROR)
    code = _NOT_RUN.get((response.status, refusal.code))
    if code is None:
        return in_doubt(sub_id, ErrorCode.TARGET_ERROR)
    return not_run(sub_id, code)


def _read_number(text: str) -> int:
    """Return a whole number, 0 if it is none."""
    return read_unsigned(text) or 0


@lru_cache(maxsize=const.HEADER_CACHE)
def _read_numbers(text: str) -> tuple[int, ...]:
    """Return the whole numbers of a comma-separated list."""
    numbers = (_read_number(part.strip()) for part in text.split(','))
    return tuple(number for number in numbers if number)
