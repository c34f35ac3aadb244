"""Runs a query: choose a snapshot, fan out, build the answer."""

from collections.abc import Callable
from functools import partial

from bitternturn.callers import const
from bitternturn.callers.fan_out import FanOut
from bitternturn.callers.models import (
    QueryAnswer,
    QueryOutcome,
    QueryRequest,
    QueryServices,
)
from bitternturn.callers.observed_state import ObservedIndex, ObservedState
from bitternturn.callers.results import ERROR_CODES
from bitternturn.callers.shard_progress import ShardState
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import Snapshot, TargetId
from bitternturn.policy.coverage import meets_coverage
from bitternturn.policy.early_answer import Decision
from bitternturn.policy.snapshot import SnapshotChoice, choose_snapshot

STEP = 'fan out'

# Shard failures after which the caller is asked to retry later.
RETRY_LATER_CODES = frozenset(
    (
        ErrorCode.OVERLOADED.value,
        ErrorCode.SHED.value,
        ErrorCode.COLD.value,
    )
)


def select_snapshot(
    request: QueryRequest, observed_state: ObservedState
) -> SnapshotChoice:
    """Return the snapshot to answer a query from.

    Snapshots that targets have reported are preferred. If these do not give the
    least coverage, newer ones that targets may have loaded since are considered
    as well: only a request shows that they are available.
    """
    reported = _select_with(
        request, observed_state, observed_state.holds_snapshot
    )
    if meets_coverage(
        reported.reachable_coverage, request.profile.least_coverage
    ):
        return reported
    with_newer = _select_with(request, observed_state, observed_state.is_usable)
    return max(
        reported, with_newer, key=lambda choice: choice.reachable_coverage
    )


def _select_with(
    request: QueryRequest,
    observed_state: ObservedState,
    is_usable: Callable[[ObservedIndex, TargetId, Snapshot], bool],
) -> SnapshotChoice:
    """Return the best snapshot over the targets that `is_usable` accepts."""
    return choose_snapshot(
        index=request.index,
        wanted_shards=request.shards,
        least_coverage=request.profile.least_coverage,
        wanted_coverage=request.profile.wanted_coverage,
        is_usable=partial(is_usable, observed_state.get_index(request.index)),
    )


async def async_fan_out(
    *,
    request: QueryRequest,
    observed_state: ObservedState,
    services: QueryServices,
) -> tuple[FanOut, Decision]:
    """Run a query and return its last fan-out.

    Runs it at another snapshot if targets have dropped the first one.
    """
    choice = select_snapshot(request, observed_state)
    fan_out = _make_fan_out(request, choice, observed_state, services)
    decision = await fan_out.async_run()
    if not fan_out.snapshot_gone or not _may_cover_more(fan_out, decision):
        return fan_out, decision
    second = select_snapshot(request, observed_state)
    if second.snapshot == choice.snapshot:
        return fan_out, decision
    may_have_run_before = fan_out.may_have_run
    fan_out = _make_fan_out(request, second, observed_state, services)
    decision = await fan_out.async_run()
    for shard in fan_out.shards:
        shard.may_have_run = shard.may_have_run or may_have_run_before
    return fan_out, decision


def _make_fan_out(
    request: QueryRequest,
    choice: SnapshotChoice,
    observed_state: ObservedState,
    services: QueryServices,
) -> FanOut:
    """Return a fan-out at one snapshot."""
    return FanOut(
        request=request,
        choice=choice,
        observed_state=observed_state,
        services=services,
    )


def _may_cover_more(fan_out: FanOut, decision: Decision) -> bool:
    """Return whether the query may run again for more coverage.

    A query that is not repeatable and may have run never runs again.
    """
    if not fan_out.request.profile.repeatable and fan_out.may_have_run:
        return False
    wanted = fan_out.request.profile.wanted_coverage
    return decision is Decision.REFUSE or fan_out.coverage.share < wanted


def make_query_answer(
    fan_out: FanOut,
    decision: Decision,
    now: float,
) -> QueryAnswer:
    """Return the answer to the caller."""
    answer = QueryAnswer(
        request_id=fan_out.request.request_id,
        outcome=QueryOutcome.DONE,
        snapshot=fan_out.choice.snapshot,
        coverage=fan_out.coverage.share,
        missing=fan_out.coverage.missing(),
        hedges=fan_out.hedges,
        retries=fan_out.retries,
        sub_requests=fan_out.sub_requests,
    )
    if decision is Decision.ANSWER:
        answer.hits = fan_out.merged_hits()
        return answer
    answer.step = STEP
    answer.outcome = (
        QueryOutcome.IN_DOUBT if fan_out.may_have_run else QueryOutcome.NOT_RUN
    )
    answer.code = _refusal_code(fan_out, now)
    if answer.code is ErrorCode.OVERLOADED:
        answer.retry_after_ms = max(
            const.DEFAULT_RETRY_AFTER_MS,
            *(shard.retry_after_ms for shard in fan_out.shards),
        )
    return answer


def _refusal_code(fan_out: FanOut, now: float) -> ErrorCode:
    """Return the error code of a refused query."""
    if now >= fan_out.request.deadline - const.ANSWER_MARGIN_S:
        return ErrorCode.DEADLINE
    failed = [
        shard.code
        for shard in fan_out.shards
        if shard.state is ShardState.FAILED
    ]
    if failed and RETRY_LATER_CODES.issuperset(failed):
        return ErrorCode.OVERLOADED
    if len(fan_out.shards) == 1 and failed:
        return ERROR_CODES.get(failed[0], ErrorCode.COVERAGE)
    return ErrorCode.COVERAGE
