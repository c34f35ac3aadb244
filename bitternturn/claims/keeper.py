"""Keeper of claims: batches the changes of a bucket into single writes.

Any instance may keep any bucket: the conditional update decides. That one
instance usually does only makes the batches larger and the conflicts few.
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
    refuse,
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
    """A request that waits for the next write of its bucket."""

    request: ClaimRequest
    reply: asyncio.Future[ClaimReply]


@dataclass(kw_only=True, slots=True)
class KeptBucket:
    """What the keeper knows of one bucket."""

    name: str
    version: Version = Version(0)
    content: ClaimBucket = field(default_factory=ClaimBucket)
    known: bool = False
    pending: list[PendingClaim] = field(default_factory=list)
    abandoned: set[str] = field(default_factory=set)
    busy: bool = False


class ClaimKeeper:
    """Grants and records claims by conditional updates."""

    def __init__(
        self,
        *,
        objects: ObjectStore,
        wall_ms: Callable[[], int],
        tasks: TaskSet,
    ) -> None:
        """Start with no bucket known."""
        self.objects = objects
        self.wall_ms = wall_ms
        self.tasks = tasks
        self.buckets: dict[str, KeptBucket] = {}

    async def async_handle(self, request: ClaimRequest) -> ClaimReply:
        """Grant, find or record one claim; REFUSED when it can't be told."""
        name = bucket_name(request.key)
        bucket = self.buckets.setdefault(name, KeptBucket(name=name))
        reply = asyncio.get_running_loop().create_future()
        bucket.pending.append(PendingClaim(request=request, reply=reply))
        if not bucket.busy:
            bucket.busy = True
            self.tasks.spawn(self._serve(bucket), name=f'claims {name}')
        return await asyncio.shield(reply)

    async def _serve(self, bucket: KeptBucket) -> None:
        """Write batches until nothing is pending."""
        try:
            while bucket.pending:
                batch, bucket.pending = bucket.pending, []
                await self._serve_batch(bucket, batch)
        finally:
            bucket.busy = False

    async def _serve_batch(
        self,
        bucket: KeptBucket,
        batch: list[PendingClaim],
    ) -> None:
        """Write one batch and answer each of its requests."""
        requests = [pending.request for pending in batch]
        try:
            replies = await self._write(bucket, requests)
        except BitternturnError as error:
            LOGGER.warning('claims of {} not written: {}', bucket.name, error)
            self._abandon(bucket, requests)
            replies = [refuse(ErrorCode.CLAIM_UNAVAILABLE) for _ in batch]
        for pending, reply in zip(batch, replies, strict=True):
            if not pending.reply.done():
                pending.reply.set_result(reply)

    async def _write(
        self,
        bucket: KeptBucket,
        requests: list[ClaimRequest],
    ) -> list[ClaimReply]:
        """Apply requests to the bucket as it stands in the object API."""
        for _ in range(const.MAX_CONFLICTS):
            fresh = not bucket.known
            if fresh:
                await self._read(bucket)
            edit = edit_bucket(
                bucket=bucket.content,
                requests=requests,
                abandoned=frozenset(bucket.abandoned),
                now_ms=self.wall_ms(),
            )
            if not edit.changed and fresh:
                return edit.replies
            if not edit.changed:
                # Only the object API tells whether the cache is current.
                bucket.known = False
            elif await self._put(bucket, edit):
                return edit.replies
        raise BitternturnError(
            'too many conflicts',
            code=ErrorCode.CONFLICT,
            step=STEP_WRITE,
            peer=bucket.name,
        )

    async def _read(self, bucket: KeptBucket) -> None:
        """Take over the bucket as it stands."""
        stored = await self.objects.async_get(const.KIND_CLAIMS, bucket.name)
        bucket.version = Version(0) if stored is None else stored.version
        bucket.content = ClaimBucket()
        if stored is not None:
            bucket.content.ParseFromString(stored.value)
        bucket.known = True

    async def _put(self, bucket: KeptBucket, edit: BucketEdit) -> bool:
        """Write an edit; return False when the bucket was not current."""
        encoded = edit.bucket.SerializeToString()
        if len(encoded) > const.MAX_BUCKET_BYTES:
            raise BitternturnError(
                'bucket is full',
                code=ErrorCode.OVERLOADED,
                step=STEP_WRITE,
                peer=bucket.name,
            )
        bucket.known = False
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
        bucket.known = True
        bucket.abandoned.clear()
        return True

    def _abandon(
        self,
        bucket: KeptBucket,
        requests: list[ClaimRequest],
    ) -> None:
        """Remember claims whose askers are told that nothing was claimed."""
        bucket.known = False
        bucket.abandoned.update(
            request.token
            for request in requests
            if not request.HasField('outcome')
        )
