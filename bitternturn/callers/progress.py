"""State of the shards of one fan-out."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from bitternturn.callers.models import QueryLink
from bitternturn.core.ids import ShardId, TargetId
from bitternturn.schema.peers_pb2 import SubQuery, SubResult


@unique
class ShardState(Enum):
    """How far a shard has come."""

    OPEN = 'open'
    ANSWERED = 'answered'
    FAILED = 'failed'


@dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """One sub-request."""

    shard: 'ShardProgress'
    target: TargetId
    link: QueryLink
    item: SubQuery
    started: float
    settled: bool = False
    future: 'asyncio.Future[SubResult] | None' = None


@dataclass(kw_only=True, slots=True, eq=False)
class ShardProgress:
    """One shard of a query."""

    shard: ShardId
    targets: list[TargetId]
    state: ShardState = ShardState.OPEN
    attempts: int = 0
    tried: set[TargetId] = field(default_factory=set)
    live: list[Attempt] = field(default_factory=list)
    hits: list[dict[str, Any]] = field(default_factory=list)
    # Code of the last failure; empty when none.
    code: str = ''
    retry_after_ms: int = 0
    # Whether some target may have run it.
    ran: bool = False

    def cancel_live(self) -> None:
        """Cancel what is still in flight."""
        for attempt in self.live:
            if not attempt.settled and attempt.future is not None:
                attempt.link.cancel(attempt.item.id)
