"""HTTP handler of the callers' listener."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from bitternturn.callers import const
from bitternturn.callers.answer import encode_answer, make_refusal
from bitternturn.callers.fan_out import FanOut
from bitternturn.callers.idempotency import KeyedServices, async_run_keyed
from bitternturn.callers.models import (
    QueryAnswer,
    QueryOutcome,
    QueryRequest,
    QueryServices,
)
from bitternturn.callers.observed_state import ObservedState
from bitternturn.callers.parse import parse_query
from bitternturn.callers.query import async_fan_out, make_query_answer
from bitternturn.claims.client import ClaimClient
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import ProfileName, RequestId
from bitternturn.core.tasks import TaskSet
from bitternturn.http import const as http
from bitternturn.http.models import Request, Response, make_json_response
from bitternturn.policy.admission import Refusal
from bitternturn.policy.early_answer import Decision
from bitternturn.policy.query_admission import QueryAdmission
from bitternturn.schema.config_pb2 import Profile
from bitternturn.timeline.models import EventKind

STEP_ROUTE = 'route'
STEP_ADMIT = 'admit'


@dataclass(kw_only=True, frozen=True, slots=True)
class HandlerServices:
    """Dependencies of the callers' listener."""

    query_services: QueryServices
    observed_state: ObservedState
    admission: QueryAdmission
    claims: ClaimClient
    find_profile: Callable[[ProfileName], Profile | None]
    # Empty while the instance is ready.
    not_ready_reason: Callable[[], str]
    # Called with each answer and its latency in seconds.
    record_answer: Callable[[QueryRequest, QueryAnswer, float], None]
    tasks: TaskSet


def create_handler(
    services: HandlerServices,
) -> Callable[[Request], Awaitable[Response]]:
    """Return the HTTP handler of the callers' listener."""
    keyed = KeyedServices(
        claims=services.claims,
        run=partial(_async_run_once, services),
        tasks=services.tasks,
        event=services.query_services.event,
    )

    async def async_handle(request: Request) -> Response:
        if request.path == const.PATH_READY:
            return _make_ready_response(services.not_ready_reason())
        if not request.path.startswith(const.PATH_QUERY):
            return _make_refusal_response(
                ErrorCode.NOT_FOUND, STEP_ROUTE, request
            )
        if request.method != 'POST':
            return _make_refusal_response(
                ErrorCode.METHOD_NOT_ALLOWED, STEP_ROUTE, request
            )
        return await _async_query(request, services, keyed)

    return async_handle


def _make_refusal_response(
    code: ErrorCode, step: str, request: Request, message: str = ''
) -> Response:
    """Return the refusal of a request that was not parsed."""
    request_id = RequestId(request.headers.get(const.HEADER_REQUEST_ID, ''))
    return encode_answer(
        make_refusal(
            request_id=request_id, code=code, step=step, message=message
        ),
    )


def _make_ready_response(reason: str) -> Response:
    """Return the readiness response for the load balancer."""
    status = http.STATUS_UNAVAILABLE if reason else http.STATUS_OK
    return make_json_response(
        {'ready': not reason, 'reason': reason},
        status=status,
    )


async def _async_query(
    request: Request,
    services: HandlerServices,
    keyed: KeyedServices,
) -> Response:
    """Parse, admit and run one query."""
    query_services = services.query_services
    # The load balancer may send queries until it notices the drain.
    if services.not_ready_reason() not in {'', const.REASON_DRAINING}:
        return _make_refusal_response(ErrorCode.NOT_READY, STEP_ADMIT, request)
    try:
        query = parse_query(
            request=request,
            find_index=query_services.find_index,
            find_profile=services.find_profile,
            rng=query_services.rng,
            now=query_services.now(),
        )
    except BitternturnError as error:
        return _make_refusal_response(
            error.code, error.step, request, error.message
        )
    refusal = _admit(services, query)
    if refusal is not None:
        return encode_answer(
            make_refusal(
                request_id=query.request_id,
                code=refusal.code,
                step=STEP_ADMIT,
                retry_after_ms=refusal.retry_after_ms,
            ),
        )
    try:
        if query.idempotency_key:
            return await async_run_keyed(query, keyed)
        answer, _ = await _async_run_once(services, query)
        return encode_answer(answer)
    finally:
        _release(services, query)


def _admit(
    services: HandlerServices,
    query: QueryRequest,
) -> Refusal | None:
    """Admit a query, or refuse it because of overload."""
    now = services.query_services.now()
    observed_index = services.observed_state.get_index(query.index)
    refusal = observed_index.goodput.try_admit(query.profile.priority, now)
    return refusal or services.admission.try_admit(
        ProfileName(query.profile.name),
        query.profile.priority,
        now,
    )


def _release(services: HandlerServices, query: QueryRequest) -> None:
    """Record the end of an admitted query."""
    now = services.query_services.now()
    services.admission.on_done(
        ProfileName(query.profile.name),
        query.profile.priority,
        now - query.received_at,
        now,
    )


async def _async_run_once(
    services: HandlerServices,
    query: QueryRequest,
) -> tuple[QueryAnswer, Awaitable[QueryAnswer] | None]:
    """Run one query; the second result is its late answer.

    Only a query with an idempotency key that is in doubt has a late answer.
    """
    query_services = services.query_services
    query_services.event(
        EventKind.QUERY_STARTED,
        request_id=query.request_id,
        detail=f'{query.index.name} {query.profile.name}',
    )
    fan_out, decision = await async_fan_out(
        request=query,
        observed_state=services.observed_state,
        services=query_services,
    )
    answer = make_query_answer(fan_out, decision, query_services.now())
    _report_outcome(services, query, answer)
    late_answer = None
    if answer.outcome is QueryOutcome.IN_DOUBT and query.idempotency_key:
        late_answer = _async_wait_for_late_results(
            fan_out, answer, query_services
        )
    return answer, late_answer


def _report_outcome(
    services: HandlerServices,
    query: QueryRequest,
    answer: QueryAnswer,
) -> None:
    """Report the outcome of a query to goodput, time line and metrics."""
    _update_goodput(services, query, answer)
    latency_s = services.query_services.now() - query.received_at
    done = answer.outcome is QueryOutcome.DONE
    services.query_services.event(
        EventKind.QUERY_ANSWERED if done else EventKind.QUERY_REFUSED,
        request_id=query.request_id,
        detail=_describe_outcome(answer),
        duration_us=int(latency_s * const.US_PER_SECOND),
    )
    services.record_answer(query, answer, latency_s)


def _update_goodput(
    services: HandlerServices,
    query: QueryRequest,
    answer: QueryAnswer,
) -> None:
    """Update the goodput limit of the index with the outcome of a query."""
    goodput = services.observed_state.get_index(query.index).goodput
    if answer.outcome is QueryOutcome.DONE:
        goodput.on_answered(services.query_services.now())
    elif answer.code is ErrorCode.OVERLOADED:
        goodput.on_overload(services.query_services.now())


def _describe_outcome(answer: QueryAnswer) -> str:
    """Return the detail text of an answer's time line event."""
    if answer.code is None:
        return f'snapshot {answer.snapshot} coverage {answer.coverage:.4f}'
    return f'{answer.outcome.value} {answer.code.value}'


async def _async_wait_for_late_results(
    fan_out: FanOut,
    answer: QueryAnswer,
    query_services: QueryServices,
) -> QueryAnswer:
    """Return the final answer to a query whose caller got "in doubt".

    The query stays in doubt when the connection to the target was lost.
    """
    in_flight = [
        shard_request.future
        for shard in fan_out.shards
        for shard_request in shard.in_flight
        if shard_request.future is not None
    ]
    if not in_flight:
        return answer
    await asyncio.wait(in_flight)
    fan_out.apply_late_results(query_services.now())
    decision = Decision.ANSWER if fan_out.coverage.share else Decision.REFUSE
    return make_query_answer(fan_out, decision, query_services.now())
