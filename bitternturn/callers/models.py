"""Queries, their answers, and what the entry needs from other parts."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Protocol

import msgspec

from bitternturn.callers import const
from bitternturn.core.clock import Clock
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import IndexName, RequestId, ShardId, TargetId
from bitternturn.schema.config_pb2 import Index, Profile
from bitternturn.schema.peers_pb2 import QueryGroup, SubQuery, SubResult


@unique
class QueryOutcome(Enum):
    """How a query ended."""

    DONE = 'done'
    # No target ran anything.
    NOT_RUN = 'not_run'
    # A target may have run it.
    IN_DOUBT = 'in_doubt'


class QueryBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The body of a caller's request."""

    profile: str
    query: msgspec.Raw
    shards: list[str] | None = None
    limit: int | None = None


@dataclass(kw_only=True, frozen=True, slots=True)
class QueryRequest:
    """One checked request; `deadline` is on the monotonic clock."""

    request_id: RequestId
    index: Index
    profile: Profile
    body: bytes
    shards: tuple[ShardId, ...]
    limit: int
    started: float
    deadline: float
    key: str = ''

    def to_group(self, snapshot: int, now: float) -> QueryGroup:
        """Return what the sub-requests of one group share."""
        remaining_s = self.deadline - const.ANSWER_MARGIN_S - now
        return QueryGroup(
            query_id=self.request_id,
            index=self.index.name,
            snapshot=snapshot,
            body=self.body,
            remaining_ms=max(0, int(remaining_s * const.MS_PER_SECOND)),
            priority=self.profile.priority,
            repeatable=self.profile.repeatable,
            idempotency_key=self.key,
        )


@dataclass(kw_only=True, slots=True)
class QueryAnswer:
    """What the caller is told."""

    request_id: RequestId
    outcome: QueryOutcome
    code: ErrorCode | None = None
    snapshot: int = 0
    coverage: float = 0
    missing: Sequence[ShardId] = ()
    hits: list[dict[str, Any]] = field(default_factory=list)
    retry_after_ms: int = 0
    step: str = ''
    # Hedges and retries sent for this query.
    hedges: int = 0
    retries: int = 0
    sub_requests: int = 0


class QueryLink(Protocol):
    """A link to the owner of targets."""

    def submit(
        self,
        head: QueryGroup,
        items: list[SubQuery],
    ) -> list['asyncio.Future[SubResult]']:
        """Send sub-requests; sets each item's id."""

    def cancel(self, sub_id: int) -> None:
        """Cancel one sub-request."""


# Returns the link to a target's owner; None while it has none.
OwnerLink = Callable[[TargetId], QueryLink | None]


@dataclass(kw_only=True, frozen=True, slots=True)
class EntryServices:
    """What running a query needs from the rest of the instance."""

    owner_link: OwnerLink
    is_out: Callable[[TargetId], bool]
    index: Callable[[IndexName], Index | None]
    now: Clock
    rng: random.Random
    event: Callable[..., None]
