"""Requests that may not be repeated, under an idempotency key."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bitternturn.callers import const
from bitternturn.callers.answer import encode_answer, refusal
from bitternturn.callers.models import (
    QueryAnswer,
    QueryOutcome,
    QueryRequest,
)
from bitternturn.claims.client import ClaimClient, ClaimTicket
from bitternturn.core.errors import ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.http.models import Response
from bitternturn.schema.peers_pb2 import (
    CLAIM_STATE_DONE,
    CLAIM_STATE_GRANTED,
    CLAIM_STATE_IN_DOUBT,
    ClaimOutcome,
    ClaimReply,
)
from bitternturn.timeline.models import EventKind, EventSink

# Runs a request; the second result is its late end, when it is in doubt and
# may still end.
RunOnce = Callable[
    [QueryRequest],
    Awaitable[tuple[QueryAnswer, Awaitable[QueryAnswer] | None]],
]

STEP_CLAIM = 'claim key'


@dataclass(kw_only=True, frozen=True, slots=True)
class KeyedServices:
    """What running a keyed request needs."""

    claims: ClaimClient
    run: RunOnce
    tasks: TaskSet
    event: EventSink


async def async_run_keyed(
    request: QueryRequest,
    services: KeyedServices,
) -> Response:
    """Claim the key, run the request once, record how it ended.

    It goes on when the caller leaves: the outcome is then found by the key.
    """
    task = services.tasks.spawn(_async_claim_and_run(request, services))
    response: Response = await asyncio.shield(task)
    return response


async def _async_claim_and_run(
    request: QueryRequest,
    services: KeyedServices,
) -> Response:
    """Run a request if its key is free, else tell what is known."""
    ticket = services.claims.make_ticket(
        key=request.key,
        index=request.index.name,
        body=request.body,
    )
    result = await services.claims.async_claim(ticket)
    if result.reply.state != CLAIM_STATE_GRANTED:
        return _found(request, result.reply)
    services.event(
        EventKind.CLAIM_MADE,
        request_id=request.request_id,
        detail=request.key,
    )
    answer, late = await services.run(request)
    if late is not None:
        services.tasks.spawn(
            _async_record_late(result.ticket, late, services),
        )
    elif answer.outcome is not QueryOutcome.IN_DOUBT:
        await _async_record(result.ticket, answer, services)
    return encode_answer(answer)


def _found(request: QueryRequest, reply: ClaimReply) -> Response:
    """Answer from a claim that somebody else made."""
    if reply.state == CLAIM_STATE_DONE:
        return Response(
            status=reply.outcome.status,
            headers={
                'content-type': 'application/json',
                const.HEADER_REQUEST_ID: request.request_id,
            },
            body=reply.outcome.body,
        )
    in_doubt = reply.state == CLAIM_STATE_IN_DOUBT
    code = ErrorCode.IN_DOUBT
    if not in_doubt:
        known = {one.value: one for one in ErrorCode}
        code = known.get(reply.code, ErrorCode.CLAIM_UNAVAILABLE)
    return encode_answer(
        refusal(
            request_id=request.request_id,
            code=code,
            step=STEP_CLAIM,
            in_doubt=in_doubt,
        ),
    )


async def _async_record(
    ticket: ClaimTicket,
    answer: QueryAnswer,
    services: KeyedServices,
) -> None:
    """Record an outcome; a slow object API does not hold up the answer."""
    task = services.tasks.spawn(
        services.claims.async_record(ticket, _outcome(answer)),
    )
    await asyncio.wait([task], timeout=const.RECORD_WAIT_S)
    services.event(
        EventKind.CLAIM_RECORDED,
        request_id=answer.request_id,
        detail=f'{ticket.key} {answer.outcome.value}',
    )


async def _async_record_late(
    ticket: ClaimTicket,
    late: Awaitable[QueryAnswer],
    services: KeyedServices,
) -> None:
    """Record an outcome that came after the caller was answered."""
    answer = await late
    if answer.outcome is not QueryOutcome.IN_DOUBT:
        await _async_record(ticket, answer, services)


def _outcome(answer: QueryAnswer) -> ClaimOutcome:
    """Return what is recorded under the key."""
    if answer.outcome is QueryOutcome.NOT_RUN:
        return ClaimOutcome(done=False)
    response = encode_answer(answer)
    return ClaimOutcome(
        done=True,
        status=response.status,
        body=response.body,
    )
