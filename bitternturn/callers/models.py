"""Queries, their answers and the services for running them."""

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
    """Outcome of a query as reported to the caller."""

    DONE = 'done'
    # No target ran the query.
    NOT_RUN = 'not_run'
    # A target may have run the query.
    IN_DOUBT = 'in_doubt'


class QueryBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """JSON body of a caller's request."""

    profile: str
    query: msgspec.Raw
    shards: list[str] | None = None
    limit: int | None = None


@dataclass(kw_only=True, frozen=True, slots=True)
class QueryRequest:
    """One checked request; its times are on the monotonic clock."""

    request_id: RequestId
    index: Index
    profile: Profile
    body: bytes
    shards: tuple[ShardId, ...]
    limit: int
    received_at: float
    deadline: float
    idempotency_key: str = ''

    def to_group(self, snapshot: int, now: float) -> QueryGroup:
        """Return the fields shared by the sub-requests of one group."""
        remaining_s = self.deadline - const.ANSWER_MARGIN_S - now
        return QueryGroup(
            query_id=self.request_id,
            index=self.index.name,
            snapshot=snapshot,
            body=self.body,
            remaining_ms=max(0, int(remaining_s * const.MS_PER_SECOND)),
            priority=self.profile.priority,
            repeatable=self.profile.repeatable,
            idempotency_key=self.idempotency_key,
        )


@dataclass(kw_only=True, slots=True)
class QueryAnswer:
    """Answer to a caller, or a refusal if `code` is set."""

    request_id: RequestId
    outcome: QueryOutcome
    code: ErrorCode | None = None
    snapshot: int = 0
    coverage: float = 0
    missing: Sequence[ShardId] = ()
    hits: list[dict[str, Any]] = field(default_factory=list)
    retry_after_ms: int = 0
    step: str = ''
    # What was wrong with the request; empty if the code says it all.
    message: str = ''
    # Numbers of hedges, retries and sub-requests sent for this query.
    hedges: int = 0
    retries: int = 0
    sub_requests: int = 0


class QueryLink(Protocol):
    """Link to the owner of a target."""

    def submit(
        self,
        group: QueryGroup,
        items: list[SubQuery],
    ) -> list['asyncio.Future[SubResult]']:
        """Send sub-requests; sets each item's id."""

    def cancel(self, sub_id: int) -> None:
        """Cancel one sub-request."""


# Returns the link to a target's owner, or None if the target has no owner.
FindOwnerLink = Callable[[TargetId], QueryLink | None]


@dataclass(kw_only=True, frozen=True, slots=True)
class QueryServices:
    """Dependencies of running a query."""

    owner_link: FindOwnerLink
    is_out: Callable[[TargetId], bool]
    find_index: Callable[[IndexName], Index | None]
    now: Clock
    rng: random.Random
    event: Callable[..., None]
