"""Parses and validates a caller's request."""

import random
from collections.abc import Callable

import msgspec

from bitternturn.callers import const
from bitternturn.callers.models import QueryBody, QueryRequest
from bitternturn.claims.const import MAX_KEY_BYTES
from bitternturn.core.decoding import DECODE_ERRORS, parse_unsigned
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import IndexName, ProfileName, RequestId, ShardId
from bitternturn.http.models import Request
from bitternturn.schema.config_pb2 import Index, Profile

STEP = 'check request'


def parse_query(
    *,
    request: Request,
    find_index: Callable[[IndexName], Index | None],
    find_profile: Callable[[ProfileName], Profile | None],
    rng: random.Random,
    now: float,
) -> QueryRequest:
    """Return the parsed request.

    Raises BitternturnError with a code if the request is invalid.
    """
    index_name = IndexName(request.path.removeprefix(const.PATH_QUERY))
    index = find_index(index_name)
    if index is None or not index.maps:
        raise _make_error(
            request,
            f'index {index_name!r} does not exist',
            ErrorCode.UNKNOWN_INDEX,
        )
    body = _decode_body(request)
    profile = find_profile(ProfileName(body.profile))
    if profile is None:
        raise _make_error(
            request,
            f'profile {body.profile!r} does not exist',
            ErrorCode.UNKNOWN_PROFILE,
        )
    shards = _parse_shards(request, body, index)
    key = request.headers.get(const.HEADER_IDEMPOTENCY_KEY, '')
    _check_key(request, profile, key, shards)
    return QueryRequest(
        request_id=_parse_request_id(request, rng),
        index=index,
        profile=profile,
        body=bytes(body.query),
        shards=shards,
        limit=_parse_limit(request, body, profile),
        received_at=now,
        deadline=now
        + _parse_deadline_ms(request, profile) / const.MS_PER_SECOND,
        idempotency_key=key,
    )


def _make_error(
    request: Request,
    message: str,
    code: ErrorCode = ErrorCode.BAD_REQUEST,
) -> BitternturnError:
    """Return the error for an invalid request."""
    return BitternturnError(message, code=code, step=STEP, peer=request.peer)


def _decode_body(request: Request) -> QueryBody:
    """Return the decoded body."""
    try:
        body = msgspec.json.decode(request.body, type=QueryBody)
    except DECODE_ERRORS as error:
        raise _make_error(request, str(error)) from error
    if not bytes(body.query).lstrip().startswith(b'{'):
        raise _make_error(request, 'query is not a JSON object')
    return body


def _parse_shards(
    request: Request,
    body: QueryBody,
    index: Index,
) -> tuple[ShardId, ...]:
    """Return the requested shards; empty for all."""
    if body.shards is None:
        return ()
    known = {shard.id for shard in index.maps[-1].shards}
    unknown = sorted(set(body.shards) - known)
    if unknown or not body.shards:
        raise _make_error(request, f'unknown shards: {unknown}')
    return tuple(ShardId(shard) for shard in dict.fromkeys(body.shards))


def _check_key(
    request: Request,
    profile: Profile,
    key: str,
    shards: tuple[ShardId, ...],
) -> None:
    """Check the idempotency key and the shards against the profile.

    A profile that is not repeatable needs exactly one shard; a repeatable one
    takes no key.
    """
    if len(key.encode()) > MAX_KEY_BYTES:
        raise _make_error(request, 'idempotency key is too long')
    if profile.repeatable and key:
        raise _make_error(
            request, 'repeatable profile takes no idempotency key'
        )
    if not profile.repeatable and len(shards) != 1:
        raise _make_error(
            request, 'profile that is not repeatable needs exactly one shard'
        )


def _parse_request_id(request: Request, rng: random.Random) -> RequestId:
    """Return the caller's request id, or a random one."""
    given = request.headers.get(const.HEADER_REQUEST_ID, '')
    if len(given) > const.MAX_REQUEST_ID_CHARS or not given.isascii():
        raise _make_error(request, 'request id is too long or not ASCII')
    return RequestId(given or f'{rng.getrandbits(const.REQUEST_ID_BITS):016x}')


def _parse_limit(request: Request, body: QueryBody, profile: Profile) -> int:
    """Return the maximum number of hits, capped by the profile."""
    if body.limit is None:
        return profile.result_limit
    if body.limit < 1:
        raise _make_error(request, 'limit is below 1')
    return min(body.limit, profile.result_limit)


def _parse_deadline_ms(request: Request, profile: Profile) -> int:
    """Return the caller's deadline, at most the profile's."""
    text = request.headers.get(const.HEADER_DEADLINE_MS)
    if text is None:
        return profile.deadline_ms
    given = parse_unsigned(text, maximum=profile.deadline_ms)
    if not given:
        raise _make_error(request, 'deadline is not a positive integer')
    return given
