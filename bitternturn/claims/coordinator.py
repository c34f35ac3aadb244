"""Coordinator of claims: batches the edits of a bucket into single writes.

Conditional updates keep buckets consistent, so any instance may coordinate any
bucket. Using the same instance for a bucket only makes batches larger and
conflicts rarer.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from bitternturn.claims import const
from bitternturn.claims.buckets import (
    BucketEdit,
    bucket_name,
    edit_bucket,
    make_refusal,
)
from bitternturn.claims.models import ObjectStore
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.core.tasks import TaskSet
from bitternturn.schema.claims_pb2 import ClaimBucket
from bitternturn.schema.peers_pb2 import ClaimReply, ClaimRequest

LOGGER = logbook.Logger('claims.keeper')

STEP_WRITE = 'write claims'


@dataclass(kw_only=True, slots=True)
class PendingClaim:
    """A request queued for the next write of its bucket."""

    request: ClaimRequest
    reply: asyncio.Future[ClaimReply]


@dataclass(kw_only=True, slots=True)
class CachedBucket:
    """Cached content of one bucket, and its queued requests.

    `valid` is false when the bucket must be read before the next edit.
    """

    name: str
    version: Version = Version(0)
    content: ClaimBucket = field(default_factory=ClaimBucket)
    valid: bool = False
    pending: list[PendingClaim] = field(default_factory=list)
    abandoned_tokens: set[str] = field(default_factory=set)
    has_writer: bool = False


class ClaimCoordinator:
    """Grants and records claims by conditional updates."""

    def __init__(
        self,
        *,
        objects: ObjectStore,
        wall_ms: Callable[[], int],
        tasks: TaskSet,
    ) -> None:
        """Initialise without cached buckets."""
        self.objects = objects
        self.wall_ms = wall_ms
        self.tasks = tasks
        self.buckets: dict[str, CachedBucket] = {}

    async def async_handle(self, request: ClaimRequest) -> ClaimReply:
        """Grant, look up or record a claim; REFUSED if the store fails."""
        name = bucket_name(request.key)
        bucket = self.buckets.setdefault(name, CachedBucket(name=name))
        reply = asyncio.get_running_loop().create_future()
        bucket.pending.append(PendingClaim(request=request, reply=reply))
        if not bucket.has_writer:
            bucket.has_writer = True
            self.tasks.spawn(
                self._async_write_pending(bucket), name=f'claims {name}'
            )
        return await asyncio.shield(reply)

    async def _async_write_pending(self, bucket: CachedBucket) -> None:
        """Write batches until no request is pending."""
        try:
            while bucket.pending:
                batch, bucket.pending = bucket.pending, []
                await self._async_write_batch(bucket, batch)
        finally:
            bucket.has_writer = False

    async def _async_write_batch(
        self,
        bucket: CachedBucket,
        batch: list[PendingClaim],
    ) -> None:
        """Write one batch and reply to each of its requests."""
        requests = [pending.request for pending in batch]
        try:
            replies = await self._async_apply(bucket, requests)
        except BitternturnError as error:
            LOGGER.warning(
                'failed to write claims of {}: {}', bucket.name, error
            )
            self._mark_abandoned(bucket, requests)
            replies = [make_refusal(ErrorCode.CLAIM_UNAVAILABLE) for _ in batch]
        for pending, reply in zip(batch, replies, strict=True):
            if not pending.reply.done():
                pending.reply.set_result(reply)

    async def _async_apply(
        self,
        bucket: CachedBucket,
        requests: list[ClaimRequest],
    ) -> list[ClaimReply]:
        """Apply requests to the bucket, retrying after conflicts."""
        for _ in range(const.MAX_WRITE_ATTEMPTS):
            just_read = not bucket.valid
            if just_read:
                await self._async_read(bucket)
            edit = edit_bucket(
                bucket=bucket.content,
                requests=requests,
                abandoned_tokens=frozenset(bucket.abandoned_tokens),
                now_ms=self.wall_ms(),
            )
            if not edit.changed and just_read:
                return edit.replies
            if not edit.changed:
                # The conditional write would have checked the cached version;
                # without one, the bucket has to be read again.
                bucket.valid = False
            elif await self._async_put(bucket, edit):
                return edit.replies
        raise BitternturnError(
            'too many write conflicts',
            code=ErrorCode.CONFLICT,
            step=STEP_WRITE,
            peer=bucket.name,
        )

    async def _async_read(self, bucket: CachedBucket) -> None:
        """Read the bucket from the object API into the cache."""
        stored = await self.objects.async_get(const.KIND_CLAIMS, bucket.name)
        bucket.version = Version(0) if stored is None else stored.version
        bucket.content = ClaimBucket()
        if stored is not None:
            bucket.content.ParseFromString(stored.value)
        bucket.valid = True

    async def _async_put(self, bucket: CachedBucket, edit: BucketEdit) -> bool:
        """Write an edit; return False if the cached version was outdated."""
        encoded = edit.bucket.SerializeToString()
        if len(encoded) > const.MAX_BUCKET_BYTES:
            raise BitternturnError(
                'bucket is full',
                code=ErrorCode.OVERLOADED,
                step=STEP_WRITE,
                peer=bucket.name,
            )
        bucket.valid = False
        try:
            bucket.version = await self.objects.async_put(
                kind=const.KIND_CLAIMS,
                name=bucket.name,
                value=encoded,
                if_version=bucket.version,
            )
        except BitternturnError as error:
            if error.code is ErrorCode.CONFLICT:
                return False
            raise
        bucket.content = edit.bucket
        bucket.valid = True
        bucket.abandoned_tokens.clear()
        return True

    def _mark_abandoned(
        self,
        bucket: CachedBucket,
        requests: list[ClaimRequest],
    ) -> None:
        """Mark refused claims for removal, as their write may take effect."""
        bucket.valid = False
        bucket.abandoned_tokens.update(
            request.token
            for request in requests
            if not request.HasField('outcome')
        )
