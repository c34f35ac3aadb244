"""Non-repeatable requests with an idempotency key."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bitternturn.callers import const
from bitternturn.callers.answer import encode_answer, make_refusal
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

# Runs a request. The second result is its late answer if the request is in
# doubt, else None.
RunOnce = Callable[
    [QueryRequest],
    Awaitable[tuple[QueryAnswer, Awaitable[QueryAnswer] | None]],
]

STEP_CLAIM = 'claim key'


@dataclass(kw_only=True, frozen=True, slots=True)
class KeyedServices:
    """Dependencies of requests with an idempotency key."""

    claims: ClaimClient
    run: RunOnce
    tasks: TaskSet
    event: EventSink


async def async_run_keyed(
    request: QueryRequest,
    services: KeyedServices,
) -> Response:
    """Claim the key, run the request once and record its outcome.

    The request continues when the caller disconnects; a later request with the
    same key then gets the recorded outcome.
    """
    task = services.tasks.spawn(_async_claim_and_run(request, services))
    response: Response = await asyncio.shield(task)
    return response


async def _async_claim_and_run(
    request: QueryRequest,
    services: KeyedServices,
) -> Response:
    """Run a request whose key was granted.

    Otherwise the response is made from the existing claim.
    """
    ticket = services.claims.make_ticket(
        key=request.idempotency_key,
        index=request.index.name,
        body=request.body,
    )
    result = await services.claims.async_claim(ticket)
    if result.reply.state != CLAIM_STATE_GRANTED:
        return _answer_from_claim(request, result.reply)
    services.event(
        EventKind.CLAIM_MADE,
        request_id=request.request_id,
        detail=request.idempotency_key,
    )
    answer, late_answer = await services.run(request)
    if late_answer is not None:
        services.tasks.spawn(
            _async_record_late(result.ticket, late_answer, services),
        )
    elif answer.outcome is not QueryOutcome.IN_DOUBT:
        await _async_record(result.ticket, answer, services)
    return encode_answer(answer)


def _answer_from_claim(request: QueryRequest, reply: ClaimReply) -> Response:
    """Return the response for a key that was claimed before or refused."""
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
        codes = {it.value: it for it in ErrorCode}
        code = codes.get(reply.code, ErrorCode.CLAIM_UNAVAILABLE)
    return encode_answer(
        make_refusal(
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
    """Record an outcome under the key.

    Waits for at most `RECORD_TIMEOUT_S`, so that a slow object API does not
    delay the answer; the write continues in the background.
    """
    task = services.tasks.spawn(
        services.claims.async_record(ticket, _make_claim_outcome(answer)),
    )
    await asyncio.wait([task], timeout=const.RECORD_TIMEOUT_S)
    services.event(
        EventKind.CLAIM_RECORDED,
        request_id=answer.request_id,
        detail=f'{ticket.key} {answer.outcome.value}',
    )


async def _async_record_late(
    ticket: ClaimTicket,
    late_answer: Awaitable[QueryAnswer],
    services: KeyedServices,
) -> None:
    """Record an outcome that arrived after the caller was answered."""
    answer = await late_answer
    if answer.outcome is not QueryOutcome.IN_DOUBT:
        await _async_record(ticket, answer, services)


def _make_claim_outcome(answer: QueryAnswer) -> ClaimOutcome:
    """Return the outcome to record under the key."""
    if answer.outcome is QueryOutcome.NOT_RUN:
        return ClaimOutcome(done=False)
    response = encode_answer(answer)
    return ClaimOutcome(
        done=True,
        status=response.status,
        body=response.body,
    )
