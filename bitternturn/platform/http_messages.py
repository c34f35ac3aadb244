"""Conversion between HTTP messages and the types of the gateway."""

import math
from collections.abc import Mapping, Sequence
from functools import lru_cache
from typing import Final

from h11._headers import Headers

from bitternturn.core.decoding import parse_decimal, parse_unsigned
from bitternturn.gateway.models import (
    CallerRequest,
    RefusalReason,
    TargetAnswer,
    TargetEntry,
)
from bitternturn.gateway.wire import Wire
from bitternturn.http import const as http
from bitternturn.http.headers import raw_headers
from bitternturn.http.models import Request, Response
from bitternturn.platform import wire_names

# Size of the caches of parsed header values; few distinct values occur.
HEADER_CACHE_SIZE: Final = 64
KEEP_ALIVE_TIMEOUT_PREFIX: Final = 'timeout='
LEAVING_VALUE: Final = '1'
# Headers of callers that are dropped or replaced in requests to targets.
REPLACED_HEADERS: Final = frozenset(
    name.encode()
    for name in (
        *wire_names.HOP_BY_HOP_HEADERS,
        wire_names.HEADER_DEADLINE,
        wire_names.HEADER_TARGET,
        'content-length',
    )
)
API_KEY_HEADER: Final = wire_names.HEADER_API_KEY.encode()
TENANT_HEADER: Final = wire_names.HEADER_TENANT.encode()
# Headers of callers that are withheld where tenants are configured.
TENANT_HEADERS: Final = frozenset((API_KEY_HEADER, TENANT_HEADER))
# Method of authentication that responses with status 401 name.
AUTHENTICATION_METHOD: Final = 'ApiKey'
# Headers of targets that our own HTTP server sets in responses to callers.
DROPPED_RESPONSE_HEADERS: Final = frozenset(
    (*wire_names.HOP_BY_HOP_HEADERS, 'content-length')
)

# 429 and 503 guarantee that the request has not run; 502 and 504 do not.
STATUS_BY_REASON: Final = {
    RefusalReason.NO_ROUTE: http.STATUS_NOT_FOUND,
    RefusalReason.UNAUTHORIZED: http.STATUS_UNAUTHORIZED,
    RefusalReason.OVER_QUOTA: http.STATUS_TOO_MANY_REQUESTS,
    RefusalReason.QUOTA_UNKNOWN: http.STATUS_UNAVAILABLE,
    RefusalReason.NOT_READY: http.STATUS_UNAVAILABLE,
    RefusalReason.DRAINING: http.STATUS_UNAVAILABLE,
    RefusalReason.NO_TARGET: http.STATUS_UNAVAILABLE,
    RefusalReason.SILENT_TARGETS: http.STATUS_UNAVAILABLE,
    RefusalReason.PAUSED_TARGETS: http.STATUS_UNAVAILABLE,
    RefusalReason.LIMITED_TARGETS: http.STATUS_UNAVAILABLE,
    RefusalReason.CRASHES_TARGETS: http.STATUS_UNAVAILABLE,
    RefusalReason.TRIED_ELSEWHERE: http.STATUS_UNAVAILABLE,
    RefusalReason.BUSY: http.STATUS_UNAVAILABLE,
    RefusalReason.NOT_RUN: http.STATUS_UNAVAILABLE,
    RefusalReason.FAILED: http.STATUS_BAD_GATEWAY,
    RefusalReason.DEADLINE: http.STATUS_GATEWAY_TIMEOUT,
}


def read_request(request: Request) -> CallerRequest:
    """Convert an HTTP request into a caller's request."""
    headers = request.headers
    excluded = REPLACED_HEADERS
    connection_header = headers.get('connection', '')
    if connection_header:
        excluded = excluded | _parse_connection_header(connection_header)
    remaining_ms = parse_unsigned(headers.get(wire_names.HEADER_DEADLINE, ''))
    return CallerRequest(
        id=headers.get(wire_names.HEADER_REQUEST_ID, ''),
        method=request.method,
        request_target=request.request_target,
        path=request.path,
        host=headers.get('host', ''),
        remaining_s=None
        if remaining_ms is None
        else remaining_ms / wire_names.MS_PER_SECOND,
        headers=[
            pair for pair in request.header_pairs if pair[0] not in excluded
        ],
        body=request.body,
        first_on_connection=request.first_on_connection,
        round_trip_s=request.round_trip_s,
        api_key=_read_api_key(request.header_pairs),
    )


def withhold_credentials(caller: CallerRequest) -> None:
    """Remove the API key and the tenant that the caller states."""
    caller.headers = [
        pair for pair in caller.headers if pair[0] not in TENANT_HEADERS
    ]


def withhold_forwarded_credentials(caller: CallerRequest) -> None:
    """Remove the API key that a peer has forwarded, if there is one.

    Only a peer that does not know the tenants forwards it; the tenant is then
    what its caller states.
    """
    if any(name == API_KEY_HEADER for name, _ in caller.headers):
        withhold_credentials(caller)


def forwarded_headers(caller: CallerRequest) -> Sequence[tuple[bytes, bytes]]:
    """Return the headers of a request that targets get over any path."""
    if not caller.tenant:
        return caller.headers
    return [*caller.headers, (TENANT_HEADER, caller.tenant.encode())]


def write_send_headers(
    caller: CallerRequest,
    target: TargetEntry,
    remaining_s: float,
) -> Headers:
    """Return the headers of a request to a target."""
    remaining_ms = int(remaining_s * wire_names.MS_PER_SECOND)
    pairs = [
        *forwarded_headers(caller),
        (wire_names.HEADER_DEADLINE.encode(), b'%d' % remaining_ms),
        (wire_names.HEADER_TARGET.encode(), target.id.encode()),
    ]
    if caller.body or caller.method not in {'GET', 'HEAD'}:
        pairs.append((b'content-length', b'%d' % len(caller.body)))
    return raw_headers(pairs)


def read_answer(response: Response) -> TargetAnswer:
    """Convert an HTTP response into a target's answer."""
    headers = response.headers
    misdirected = response.status == http.STATUS_MISDIRECTED_REQUEST
    return TargetAnswer(
        status=response.status,
        stamp=headers.get(wire_names.HEADER_STAMP, ''),
        request_id=headers.get(wire_names.HEADER_REQUEST_ID, ''),
        not_run=misdirected or wire_names.HEADER_NOT_RUN in headers,
        misdirected=misdirected,
        leaving=headers.get(wire_names.HEADER_LEAVING, '').strip()
        == LEAVING_VALUE,
        limit_per_s=_read_rate_limit(headers),
        pause_s=_read_pause(response.status, headers),
        encoded=wire_names.HEADER_CONTENT_ENCODING in headers,
        idle_timeout_s=_read_idle_timeout(
            headers.get(wire_names.HEADER_KEEP_ALIVE, '')
        ),
        headers=headers,
        body=response.body,
    )


def write_merged(
    caller: CallerRequest,
    answers: Sequence[TargetAnswer],
    missing: int,
    body: bytes,
) -> Response:
    """Return the response with the merged answers of several shards."""
    return Response(
        headers={
            wire_names.HEADER_REQUEST_ID: caller.id,
            wire_names.HEADER_PART_STAMPS: ', '.join(
                answer.stamp for answer in answers
            ),
            wire_names.HEADER_MISSING_PARTS: str(missing),
        },
        body=body,
    )


def write_answer(answer: TargetAnswer) -> Response:
    """Return the response that forwards a target's answer unchanged."""
    return Response(
        status=answer.status,
        headers={
            name: value
            for name, value in answer.headers.items()
            if name not in DROPPED_RESPONSE_HEADERS
        },
        body=answer.body,
    )


def write_refusal(
    caller: CallerRequest,
    reason: RefusalReason,
    retry_s: float | None,
) -> Response:
    """Return the response to a request that is refused or has failed."""
    headers = {wire_names.HEADER_REQUEST_ID: caller.id}
    if retry_s is not None:
        headers[wire_names.HEADER_RETRY_AFTER] = f'{retry_s:.3f}'
    if reason is RefusalReason.UNAUTHORIZED:
        headers[wire_names.HEADER_AUTHENTICATE] = AUTHENTICATION_METHOD
    return Response(
        status=STATUS_BY_REASON[reason],
        headers=headers,
        body=reason.value.encode(),
    )


WIRE: Final = Wire(
    read_request=read_request,
    withhold_credentials=withhold_credentials,
    withhold_forwarded_credentials=withhold_forwarded_credentials,
    forwarded_headers=forwarded_headers,
    write_send_headers=write_send_headers,
    read_answer=read_answer,
    write_merged=write_merged,
    write_answer=write_answer,
    write_refusal=write_refusal,
    record_bytes=wire_names.RECORD_BYTES,
)


def _read_api_key(pairs: Sequence[tuple[bytes, bytes]]) -> bytes | None:
    """Return the API key; see `CallerRequest`."""
    keys = [content for name, content in pairs if name == API_KEY_HEADER]
    if not keys:
        return None
    return keys[0] if len(keys) == 1 else b''


def _read_pause(status: int, headers: Mapping[str, str]) -> float | None:
    """Return the pause that a rejection asks for; see `TargetAnswer`."""
    text = headers.get(wire_names.HEADER_RETRY_AFTER)
    if status != http.STATUS_UNAVAILABLE or text is None:
        return None
    pause_s = parse_decimal(text.strip())
    return math.nan if pause_s is None else pause_s


def _read_rate_limit(headers: Mapping[str, str]) -> float | None:
    """Return the rate limit that an answer names; see `TargetAnswer`."""
    text = headers.get(wire_names.HEADER_RATE_LIMIT)
    if text is None:
        return None
    per_s = parse_decimal(text.strip())
    return math.nan if per_s is None else per_s


@lru_cache(maxsize=HEADER_CACHE_SIZE)
def _read_idle_timeout(text: str) -> float | None:
    """Return the idle timeout in a keep-alive header, in seconds."""
    for word in text.replace(',', ' ').split():
        if word.startswith(KEEP_ALIVE_TIMEOUT_PREFIX):
            timeout_s = parse_unsigned(
                word.removeprefix(KEEP_ALIVE_TIMEOUT_PREFIX)
            )
            return None if timeout_s is None else float(timeout_s)
    return None


@lru_cache(maxsize=HEADER_CACHE_SIZE)
def _parse_connection_header(text: str) -> frozenset[bytes]:
    """Return the names that a connection header lists as hop-by-hop."""
    return frozenset(
        name.strip().lower().encode('latin-1') for name in text.split(',')
    )
