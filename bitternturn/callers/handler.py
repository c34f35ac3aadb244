"""Handler of the callers' listener."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from bitternturn.callers import const
from bitternturn.callers.answer import encode_answer, refusal
from bitternturn.callers.fanout import FanOut
from bitternturn.callers.keyed import KeyedServices, async_run_keyed
from bitternturn.callers.knowledge import EntryKnowledge
from bitternturn.callers.models import (
    EntryServices,
    QueryAnswer,
    QueryOutcome,
    QueryRequest,
)
from bitternturn.callers.parse import parse_query
from bitternturn.callers.query import async_fan_out, conclude
from bitternturn.claims.client import ClaimClient
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import ProfileName, RequestId
from bitternturn.core.tasks import TaskSet
from bitternturn.http import const as http
from bitternturn.http.models import Request, Response, json_response
from bitternturn.policy.admission import Refusal
from bitternturn.policy.early_answer import Decision
from bitternturn.policy.query_admission import QueryAdmission
from bitternturn.schema.config_pb2 import Profile
from bitternturn.timeline.models import EventKind

STEP_ROUTE = 'route'
STEP_ADMIT = 'admit'


@dataclass(kw_only=True, frozen=True, slots=True)
class CallersServices:
    """What the callers' listener needs from the rest of the instance."""

    entry: EntryServices
    knowledge: EntryKnowledge
    admission: QueryAdmission
    claims: ClaimClient
    profile: Callable[[ProfileName], Profile | None]
    # Empty when queries are taken, else why not.
    unready: Callable[[], str]
    # Called with each answer and its latency in seconds.
    observe: Callable[[QueryRequest, QueryAnswer, float], None]
    tasks: TaskSet


def create_handler(
    services: CallersServices,
) -> Callable[[Request], Awaitable[Response]]:
    """Return the HTTP handler of the callers' listener."""
    keyed = KeyedServices(
        claims=services.claims,
        run=partial(_async_run_once, services),
        tasks=services.tasks,
        event=services.entry.event,
    )

    async def async_handle(request: Request) -> Response:
        if request.path == const.PATH_READY:
            return _ready(services.unready())
        if not request.path.startswith(const.PATH_QUERY):
            return _refuse(ErrorCode.NOT_FOUND, STEP_ROUTE, request)
        if request.method != 'POST':
            return _refuse(ErrorCode.METHOD_NOT_ALLOWED, STEP_ROUTE, request)
        return await _async_query(request, services, keyed)

    return async_handle


def _refuse(code: ErrorCode, step: str, request: Request) -> Response:
    """Return a refusal of a request that was not checked whole."""
    request_id = RequestId(request.headers.get(const.HEADER_REQUEST_ID, ''))
    return encode_answer(
        refusal(request_id=request_id, code=code, step=step),
    )


def _ready(reason: str) -> Response:
    """Return whether the balancer may send queries here."""
    status = http.STATUS_UNAVAILABLE if reason else http.STATUS_OK
    return json_response(
        {'ready': not reason, 'reason': reason},
        status=status,
    )


async def _async_query(
    request: Request,
    services: CallersServices,
    keyed: KeyedServices,
) -> Response:
    """Check, admit and run one query."""
    entry = services.entry
    # A draining instance still answers what its balancer has sent.
    if services.unready() not in {'', const.REASON_DRAINING}:
        return _refuse(ErrorCode.NOT_READY, STEP_ADMIT, request)
    try:
        query = parse_query(
            request=request,
            index_of=entry.index,
            profile_of=services.profile,
            rng=entry.rng,
            now=entry.now(),
        )
    except BitternturnError as error:
        return _refuse(error.code, error.step, request)
    refused = _admit(services, query)
    if refused is not None:
        return encode_answer(
            refusal(
                request_id=query.request_id,
                code=refused.code,
                step=STEP_ADMIT,
                retry_after_ms=refused.retry_after_ms,
            ),
        )
    try:
        if query.key:
            return await async_run_keyed(query, keyed)
        answer, _ = await _async_run_once(services, query)
        return encode_answer(answer)
    finally:
        _release(services, query)


def _admit(
    services: CallersServices,
    query: QueryRequest,
) -> Refusal | None:
    """Count a query in, or refuse it for load."""
    now = services.entry.now()
    known = services.knowledge.of_index(query.index)
    refused = known.goodput.try_admit(query.profile.priority, now)
    return refused or services.admission.try_admit(
        ProfileName(query.profile.name),
        query.profile.priority,
        now,
    )


def _release(services: CallersServices, query: QueryRequest) -> None:
    """Count a query out."""
    now = services.entry.now()
    services.admission.on_done(
        ProfileName(query.profile.name),
        query.profile.priority,
        now - query.started,
        now,
    )


async def _async_run_once(
    services: CallersServices,
    query: QueryRequest,
) -> tuple[QueryAnswer, Awaitable[QueryAnswer] | None]:
    """Run one query; the second result is the end of a doubtful one."""
    entry = services.entry
    entry.event(
        EventKind.QUERY_STARTED,
        request_id=query.request_id,
        detail=f'{query.index.name} {query.profile.name}',
    )
    fan_out, decision = await async_fan_out(
        request=query,
        knowledge=services.knowledge,
        services=entry,
    )
    answer = conclude(fan_out, decision, entry.now())
    _observe(services, query, answer)
    late = None
    if answer.outcome is QueryOutcome.IN_DOUBT and query.key:
        late = _async_late(fan_out, answer, entry)
    return answer, late


def _observe(
    services: CallersServices,
    query: QueryRequest,
    answer: QueryAnswer,
) -> None:
    """Tell the time line, the metrics and admission how a query ended."""
    _learn(services, query, answer)
    latency_s = services.entry.now() - query.started
    done = answer.outcome is QueryOutcome.DONE
    services.entry.event(
        EventKind.QUERY_ANSWERED if done else EventKind.QUERY_REFUSED,
        request_id=query.request_id,
        detail=_detail(answer),
        duration_us=int(latency_s * const.US_PER_SECOND),
    )
    services.observe(query, answer, latency_s)


def _learn(
    services: CallersServices,
    query: QueryRequest,
    answer: QueryAnswer,
) -> None:
    """Follow what the index bears."""
    goodput = services.knowledge.of_index(query.index).goodput
    if answer.outcome is QueryOutcome.DONE:
        goodput.on_answered(services.entry.now())
    elif answer.code is ErrorCode.OVERLOADED:
        goodput.on_overload(services.entry.now())


def _detail(answer: QueryAnswer) -> str:
    """Return the text of an answer's event."""
    if answer.code is None:
        return f'snapshot {answer.snapshot} coverage {answer.coverage:.4f}'
    return f'{answer.outcome.value} {answer.code.value}'


async def _async_late(
    fan_out: FanOut,
    answer: QueryAnswer,
    entry: EntryServices,
) -> QueryAnswer:
    """Return how a request ended whose caller was told that it is in doubt.

    Still in doubt when its connection was lost.
    """
    live = [
        attempt.future
        for shard in fan_out.shards
        for attempt in shard.live
        if attempt.future is not None
    ]
    if not live:
        return answer
    await asyncio.wait(live)
    fan_out.take_late(entry.now())
    decision = Decision.ANSWER if fan_out.coverage.share else Decision.REFUSE
    return conclude(fan_out, decision, entry.now())
