"""Requests and peak loads of an emulated target, for checks."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique

from bitternturn.core.ids import (
    IndexName,
    RequestId,
    ShardId,
    Snapshot,
    TargetId,
)


@unique
class RunState(Enum):
    """Progress of a request at a target."""

    REFUSED = 'refused'
    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'
    FAILED = 'failed'


@dataclass(kw_only=True, slots=True)
class Run:
    """One request at one target; times are in seconds since 1970."""

    target: TargetId
    request_id: RequestId
    idempotency_key: str
    index: IndexName
    shard: ShardId
    snapshot: Snapshot
    arrived_s: float
    started_s: float | None = None
    state: RunState = RunState.WAITING
    code: str = ''
    cold: bool = False


@dataclass(kw_only=True, slots=True)
class TargetRecords:
    """All requests received by a target, and its peak loads."""

    runs: list[Run] = field(default_factory=list)
    in_flight: int = 0
    peak_in_flight: int = 0
    # Peak at arrivals during cold start; counts also requests that arrived before
    # the target went cold.
    peak_in_flight_cold: int = 0
    # The same, without arrivals before the tier could know of the cold start.
    peak_in_flight_reported_cold: int = 0
    peak_connections: int = 0
    connections: int = 0
    overload_outages: int = 0

    @property
    def started(self) -> list[Run]:
        """Return the requests that started to run."""
        return [run for run in self.runs if run.started_s is not None]

    @property
    def cancelled(self) -> int:
        """Return the number of cancelled requests."""
        return sum(run.state is RunState.CANCELLED for run in self.runs)


def count_runs_by_request(runs: list[Run]) -> Counter[RequestId]:
    """Return how often each request id started to run."""
    return Counter(run.request_id for run in runs if run.started_s is not None)


def count_runs_by_key(runs: list[Run]) -> Counter[str]:
    """Return how often each idempotency key started to run."""
    return Counter(
        run.idempotency_key
        for run in runs
        if run.started_s is not None and run.idempotency_key
    )
