"""Forms of callers' and targets' HTTP messages."""

from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from h11._headers import Headers

from bitternturn.core.decoding import read_unsigned
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
from bitternturn.platform import names

# Values of one header whose meaning is remembered; they hardly vary.
CACHED_HEADERS: Final = 64
KEEP_ALIVE_TIMEOUT: Final = 'timeout='
# Headers of callers that are not passed on, or that are set anew.
REPLACED: Final = frozenset(
    name.encode()
    for name in (
        *names.HOP_BY_HOP,
        names.DEADLINE,
        names.TARGET,
        'content-length',
    )
)
# Headers of targets that the server of callers sets itself.
OWN_RESPONSE_HEADERS: Final = frozenset((*names.HOP_BY_HOP, 'content-length'))

# 429 and 503 promise that the request has not run; 502 and 504 do not.
STATUS_OF_REASON: Final = {
    RefusalReason.NO_ROUTE: http.STATUS_NOT_FOUND,
    RefusalReason.NOT_READY: http.STATUS_UNAVAILABLE,
    RefusalReason.DRAINING: http.STATUS_UNAVAILABLE,
    RefusalReason.NO_TARGET: http.STATUS_UNAVAILABLE,
    RefusalReason.SILENT_TARGETS: http.STATUS_UNAVAILABLE,
    RefusalReason.BUSY: http.STATUS_UNAVAILABLE,
    RefusalReason.NOT_RUN: http.STATUS_UNAVAILABLE,
    RefusalReason.FAILED: http.STATUS_BAD_GATEWAY,
    RefusalReason.DEADLINE: http.STATUS_TIMEOUT,
}


def read_caller(request: Request) -> CallerRequest:
    """Return a caller's request."""
    headers = request.headers
    dropped = REPLACED
    named = headers.get('connection', '')
    if named:
        dropped = dropped | _named(named)
    left_ms = read_unsigned(headers.get(names.DEADLINE, ''))
    return CallerRequest(
        id=headers.get(names.REQUEST_ID, ''),
        method=request.method,
        request_target=request.target,
        path=request.path,
        host=headers.get('host', ''),
        remaining_s=None if left_ms is None else left_ms / names.MS_PER_SECOND,
        headers=[
            pair for pair in request.header_pairs if pair[0] not in dropped
        ],
        body=request.body,
        first_on_connection=request.first,
    )


def write_send(
    caller: CallerRequest,
    target: TargetEntry,
    left_s: float,
) -> Headers:
    """Return the headers of a request to a target."""
    left_ms = int(left_s * names.MS_PER_SECOND)
    pairs = [
        *caller.headers,
        (names.DEADLINE.encode(), b'%d' % left_ms),
        (names.TARGET.encode(), target.id.encode()),
    ]
    if caller.body or caller.method not in {'GET', 'HEAD'}:
        pairs.append((b'content-length', b'%d' % len(caller.body)))
    return raw_headers(pairs)


def read_answer(response: Response) -> TargetAnswer:
    """Return a target's answer."""
    headers = response.headers
    misdirected = response.status == http.STATUS_MISDIRECTED
    return TargetAnswer(
        status=response.status,
        stamp=headers.get(names.STAMP, ''),
        request_id=headers.get(names.REQUEST_ID, ''),
        not_run=misdirected or names.NOT_RUN in headers,
        misdirected=misdirected,
        encoded=names.CONTENT_ENCODING in headers,
        idle_timeout_s=_read_idle(headers.get(names.KEEP_ALIVE, '')),
        headers=headers,
        body=response.body,
    )


def write_merged(
    caller: CallerRequest,
    answers: Sequence[TargetAnswer],
    missing: int,
    body: bytes,
) -> Response:
    """Return the answer to a request over shards."""
    return Response(
        headers={
            names.REQUEST_ID: caller.id,
            names.PARTS: ', '.join(answer.stamp for answer in answers),
            names.MISSING: str(missing),
        },
        body=body,
    )


def write_answer(answer: TargetAnswer) -> Response:
    """Return a target's answer as it is."""
    return Response(
        status=answer.status,
        headers={
            name: content
            for name, content in answer.headers.items()
            if name not in OWN_RESPONSE_HEADERS
        },
        body=answer.body,
    )


def write_refusal(
    caller: CallerRequest,
    reason: RefusalReason,
    retry_s: float | None,
) -> Response:
    """Return a refusal or failure of our own."""
    headers = {names.REQUEST_ID: caller.id}
    if retry_s is not None:
        headers[names.RETRY_AFTER] = f'{retry_s:.3f}'
    return Response(
        status=STATUS_OF_REASON[reason],
        headers=headers,
        body=reason.value.encode(),
    )


WIRE: Final = Wire(
    read_request=read_caller,
    write_send_headers=write_send,
    read_answer=read_answer,
    write_merged=write_merged,
    write_answer=write_answer,
    write_refusal=write_refusal,
    record_bytes=names.RECORD_BYTES,
)


@lru_cache(maxsize=CACHED_HEADERS)
def _read_idle(text: str) -> float | None:
    """Return the idle time that a target states, in seconds."""
    for word in text.replace(',', ' ').split():
        if word.startswith(KEEP_ALIVE_TIMEOUT):
            stated = read_unsigned(word.removeprefix(KEEP_ALIVE_TIMEOUT))
            return None if stated is None else float(stated)
    return None


@lru_cache(maxsize=CACHED_HEADERS)
def _named(text: str) -> frozenset[bytes]:
    """Return the headers that concern this connection only."""
    return frozenset(
        name.strip().lower().encode('latin-1') for name in text.split(',')
    )
