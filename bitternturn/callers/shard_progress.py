"""Progress of the shards of one fan-out."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from bitternturn.callers.models import QueryLink
from bitternturn.core.ids import ShardId, TargetId
from bitternturn.schema.peers_pb2 import SubQuery, SubResult


@unique
class ShardState(Enum):
    """State of one shard of a fan-out."""

    PENDING = 'open'
    ANSWERED = 'answered'
    FAILED = 'failed'


@dataclass(kw_only=True, slots=True, eq=False)
class ShardRequest:
    """One sub-request to a replica of a shard."""

    shard: 'ShardProgress'
    target: TargetId
    link: QueryLink
    sub_query: SubQuery
    sent_at: float
    done: bool = False
    future: 'asyncio.Future[SubResult] | None' = None


@dataclass(kw_only=True, slots=True, eq=False)
class ShardProgress:
    """Progress of one shard of a query."""

    shard: ShardId
    targets: list[TargetId]
    state: ShardState = ShardState.PENDING
    attempts: int = 0
    tried: set[TargetId] = field(default_factory=set)
    in_flight: list[ShardRequest] = field(default_factory=list)
    hits: list[dict[str, Any]] = field(default_factory=list)
    # Code of the last failure; empty if none.
    code: str = ''
    retry_after_ms: int = 0
    # Whether a target has run or may have run a sub-request.
    may_have_run: bool = False

    def cancel_in_flight(self) -> None:
        """Cancel the sub-requests in flight."""
        for request in self.in_flight:
            if not request.done and request.future is not None:
                request.link.cancel(request.sub_query.id)
