"""Edits of one bucket of claims: pure functions of its content."""

from dataclasses import dataclass

import xxhash

from bitternturn.claims import const
from bitternturn.core.errors import ErrorCode
from bitternturn.schema.claims_pb2 import Claim, ClaimBucket
from bitternturn.schema.peers_pb2 import (
    CLAIM_STATE_DONE,
    CLAIM_STATE_GRANTED,
    CLAIM_STATE_IN_DOUBT,
    CLAIM_STATE_REFUSED,
    ClaimReply,
    ClaimRequest,
)


@dataclass(kw_only=True, slots=True)
class BucketEdit:
    """A changed bucket and the answer to each request, in their order."""

    bucket: ClaimBucket
    replies: list[ClaimReply]
    changed: bool


def bucket_name(key: str) -> str:
    """Return the name of the object that holds a key."""
    number = xxhash.xxh3_64_intdigest(key.encode()) % const.BUCKETS
    return f'bucket-{number}'


def refuse(code: ErrorCode) -> ClaimReply:
    """Return the answer that no claim was made."""
    return ClaimReply(state=CLAIM_STATE_REFUSED, code=code.value)


def edit_bucket(
    *,
    bucket: ClaimBucket,
    requests: list[ClaimRequest],
    abandoned: frozenset[str],
    now_ms: int,
) -> BucketEdit:
    """Apply requests in order; drop expired and abandoned claims.

    `abandoned` holds the tokens of claims that were refused to their askers
    although the write may have taken effect.
    """
    claims = {
        claim.key: claim
        for claim in bucket.claims
        if claim.expires_ms > now_ms and claim.token not in abandoned
    }
    before = ClaimBucket(claims=bucket.claims)
    replies = [_apply(claims, request, now_ms) for request in requests]
    after = ClaimBucket(claims=claims.values())
    return BucketEdit(
        bucket=after,
        replies=replies,
        changed=after != before,
    )


def _apply(
    claims: dict[str, Claim],
    request: ClaimRequest,
    now_ms: int,
) -> ClaimReply:
    """Apply one request to the live claims."""
    claim = claims.get(request.key)
    if request.HasField('outcome'):
        return _record(claims, claim, request, now_ms)
    own = request.earlier_tokens
    if claim is None or (
        claim.state == CLAIM_STATE_GRANTED and claim.token in own
    ):
        claims[request.key] = Claim(
            key=request.key,
            token=request.token,
            fingerprint=request.fingerprint,
            state=CLAIM_STATE_GRANTED,
            expires_ms=now_ms + const.IN_DOUBT_KEPT_MS,
        )
        return ClaimReply(state=CLAIM_STATE_GRANTED)
    return _find(claim, request)


def _find(claim: Claim, request: ClaimRequest) -> ClaimReply:
    """Answer a request whose key is taken."""
    if claim.fingerprint != request.fingerprint:
        return refuse(ErrorCode.CLAIM_MISMATCH)
    if claim.state == CLAIM_STATE_DONE:
        return ClaimReply(state=CLAIM_STATE_DONE, outcome=claim.outcome)
    if claim.token == request.token:
        # The asker's own claim, whose write took effect unheard.
        return ClaimReply(state=CLAIM_STATE_GRANTED)
    return ClaimReply(
        state=CLAIM_STATE_IN_DOUBT,
        code=ErrorCode.IN_DOUBT.value,
    )


def _record(
    claims: dict[str, Claim],
    claim: Claim | None,
    request: ClaimRequest,
    now_ms: int,
) -> ClaimReply:
    """Record how a claimed request ended; only its own token may."""
    if claim is None or claim.token != request.token:
        return refuse(ErrorCode.CONFLICT)
    if not request.outcome.done:
        if claim.state == CLAIM_STATE_DONE:
            return refuse(ErrorCode.CONFLICT)
        claims.pop(request.key)
        return ClaimReply(state=CLAIM_STATE_REFUSED)
    claims[request.key] = Claim(
        key=claim.key,
        token=claim.token,
        fingerprint=claim.fingerprint,
        state=CLAIM_STATE_DONE,
        outcome=request.outcome,
        expires_ms=now_ms + const.DONE_KEPT_MS,
    )
    return ClaimReply(state=CLAIM_STATE_DONE, outcome=request.outcome)
