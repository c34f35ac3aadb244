"""Life of one query: choose a snapshot, fan out, answer."""

from collections.abc import Callable
from functools import partial

from bitternturn.callers import const
from bitternturn.callers.fanout import FanOut
from bitternturn.callers.knowledge import EntryKnowledge, IndexKnowledge
from bitternturn.callers.models import (
    EntryServices,
    QueryAnswer,
    QueryOutcome,
    QueryRequest,
)
from bitternturn.callers.progress import ShardState
from bitternturn.callers.results import ERROR_CODES
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import Snapshot, TargetId
from bitternturn.policy.coverage import meets_coverage
from bitternturn.policy.early_answer import Decision
from bitternturn.policy.snapshot import SnapshotChoice, choose_snapshot

STEP = 'fan out'

# Failures of a shard for which the caller is told to come back.
LOAD_CODES = frozenset(
    (
        ErrorCode.OVERLOADED.value,
        ErrorCode.SHED.value,
        ErrorCode.COLD.value,
    )
)


def choose(request: QueryRequest, knowledge: EntryKnowledge) -> SnapshotChoice:
    """Return the snapshot to answer from, by what is known now.

    When what targets told of does not suffice, they are asked for newer
    snapshots too: nothing else would show that these have come.
    """
    told = _choose(request, knowledge, knowledge.holds)
    if meets_coverage(told.reachable_coverage, request.profile.least_coverage):
        return told
    untold = _choose(request, knowledge, knowledge.usable)
    return max(told, untold, key=lambda choice: choice.reachable_coverage)


def _choose(
    request: QueryRequest,
    knowledge: EntryKnowledge,
    usable: Callable[[IndexKnowledge, TargetId, Snapshot], bool],
) -> SnapshotChoice:
    """Return the snapshot to answer from with the usable targets."""
    return choose_snapshot(
        index=request.index,
        wanted_shards=request.shards,
        least_coverage=request.profile.least_coverage,
        wanted_coverage=request.profile.wanted_coverage,
        is_usable=partial(usable, knowledge.of_index(request.index)),
    )


async def async_fan_out(
    *,
    request: QueryRequest,
    knowledge: EntryKnowledge,
    services: EntryServices,
) -> tuple[FanOut, Decision]:
    """Run a query; plan once more when targets have moved on."""
    choice = choose(request, knowledge)
    fan_out = _prepare(request, choice, knowledge, services)
    decision = await fan_out.async_run()
    if not fan_out.snapshot_gone or not _short(fan_out, decision):
        return fan_out, decision
    second = choose(request, knowledge)
    if second.snapshot == choice.snapshot:
        return fan_out, decision
    ran_before = fan_out.ran
    fan_out = _prepare(request, second, knowledge, services)
    decision = await fan_out.async_run()
    for shard in fan_out.shards:
        shard.ran = shard.ran or ran_before
    return fan_out, decision


def _prepare(
    request: QueryRequest,
    choice: SnapshotChoice,
    knowledge: EntryKnowledge,
    services: EntryServices,
) -> FanOut:
    """Return the fan-out at one snapshot."""
    return FanOut(
        request=request,
        choice=choice,
        knowledge=knowledge,
        services=services,
    )


def _short(fan_out: FanOut, decision: Decision) -> bool:
    """Return whether another snapshot could cover more."""
    if not fan_out.request.profile.repeatable and fan_out.ran:
        return False
    wanted = fan_out.request.profile.wanted_coverage
    return decision is Decision.REFUSE or fan_out.coverage.share < wanted


def conclude(
    fan_out: FanOut,
    decision: Decision,
    now: float,
) -> QueryAnswer:
    """Return what the caller is told."""
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
        answer.hits = fan_out.merged()
        return answer
    answer.step = STEP
    answer.outcome = (
        QueryOutcome.IN_DOUBT if fan_out.ran else QueryOutcome.NOT_RUN
    )
    answer.code = _refusal_code(fan_out, now)
    if answer.code is ErrorCode.OVERLOADED:
        answer.retry_after_ms = max(
            const.DEFAULT_RETRY_AFTER_MS,
            *(shard.retry_after_ms for shard in fan_out.shards),
        )
    return answer


def _refusal_code(fan_out: FanOut, now: float) -> ErrorCode:
    """Return why a query is refused."""
    if now >= fan_out.request.deadline - const.ANSWER_MARGIN_S:
        return ErrorCode.DEADLINE
    failed = [
        shard.code
        for shard in fan_out.shards
        if shard.state is ShardState.FAILED
    ]
    if failed and LOAD_CODES.issuperset(failed):
        return ErrorCode.OVERLOADED
    if len(fan_out.shards) == 1 and failed:
        return ERROR_CODES.get(failed[0], ErrorCode.COVERAGE)
    return ErrorCode.COVERAGE
