"""Edits of a bucket of claims, as pure functions of its content."""

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
    """An edited bucket, and the replies in the order of the requests."""

    bucket: ClaimBucket
    replies: list[ClaimReply]
    changed: bool


def bucket_name(key: str) -> str:
    """Return the name of the bucket object that stores a key."""
    number = xxhash.xxh3_64_intdigest(key.encode()) % const.BUCKET_COUNT
    return f'bucket-{number}'


def make_refusal(code: ErrorCode) -> ClaimReply:
    """Return the reply that no claim was made."""
    return ClaimReply(state=CLAIM_STATE_REFUSED, code=code.value)


def edit_bucket(
    *,
    bucket: ClaimBucket,
    requests: list[ClaimRequest],
    abandoned_tokens: frozenset[str],
    now_ms: int,
) -> BucketEdit:
    """Apply requests in order; remove expired and abandoned claims.

    `abandoned_tokens` are the tokens of claims that were refused because
    their write failed, although it may have taken effect.
    """
    claims = {
        claim.key: claim
        for claim in bucket.claims
        if claim.expires_ms > now_ms and claim.token not in abandoned_tokens
    }
    before = ClaimBucket(claims=bucket.claims)
    replies = [_apply_request(claims, request, now_ms) for request in requests]
    after = ClaimBucket(claims=claims.values())
    return BucketEdit(
        bucket=after,
        replies=replies,
        changed=after != before,
    )


def _apply_request(
    claims: dict[str, Claim],
    request: ClaimRequest,
    now_ms: int,
) -> ClaimReply:
    """Apply one request to the claims of the bucket."""
    claim = claims.get(request.key)
    if request.HasField('outcome'):
        return _record_outcome(claims, claim, request, now_ms)
    earlier_tokens = request.earlier_tokens
    if claim is None or (
        claim.state == CLAIM_STATE_GRANTED and claim.token in earlier_tokens
    ):
        claims[request.key] = Claim(
            key=request.key,
            token=request.token,
            fingerprint=request.fingerprint,
            state=CLAIM_STATE_GRANTED,
            expires_ms=now_ms + const.UNFINISHED_RETENTION_MS,
        )
        return ClaimReply(state=CLAIM_STATE_GRANTED)
    return _answer_existing(claim, request)


def _answer_existing(claim: Claim, request: ClaimRequest) -> ClaimReply:
    """Reply to a request for a key that is already claimed."""
    if claim.fingerprint != request.fingerprint:
        return make_refusal(ErrorCode.CLAIM_MISMATCH)
    if claim.state == CLAIM_STATE_DONE:
        return ClaimReply(state=CLAIM_STATE_DONE, outcome=claim.outcome)
    if claim.token == request.token:
        # The write of the requester's own claim took effect, but its result
        # was lost.
        return ClaimReply(state=CLAIM_STATE_GRANTED)
    return ClaimReply(
        state=CLAIM_STATE_IN_DOUBT,
        code=ErrorCode.IN_DOUBT.value,
    )


def _record_outcome(
    claims: dict[str, Claim],
    claim: Claim | None,
    request: ClaimRequest,
    now_ms: int,
) -> ClaimReply:
    """Record an outcome if the token matches.

    An outcome that is not `done` removes the claim, so that the key can be
    claimed again.
    """
    if claim is None or claim.token != request.token:
        return make_refusal(ErrorCode.CONFLICT)
    if not request.outcome.done:
        if claim.state == CLAIM_STATE_DONE:
            return make_refusal(ErrorCode.CONFLICT)
        claims.pop(request.key)
        return ClaimReply(state=CLAIM_STATE_REFUSED)
    claims[request.key] = Claim(
        key=claim.key,
        token=claim.token,
        fingerprint=claim.fingerprint,
        state=CLAIM_STATE_DONE,
        outcome=request.outcome,
        expires_ms=now_ms + const.OUTCOME_RETENTION_MS,
    )
    return ClaimReply(state=CLAIM_STATE_DONE, outcome=request.outcome)
