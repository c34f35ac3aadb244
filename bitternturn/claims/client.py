"""The entry's side of claims: asks the keeper of a key's bucket."""

import asyncio
import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import logbook

from bitternturn.claims import const
from bitternturn.claims.buckets import refuse
from bitternturn.claims.models import ClaimPeer
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.schema.peers_pb2 import (
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    Hello,
)

LOGGER = logbook.Logger('claims.client')


@dataclass(kw_only=True, frozen=True, slots=True)
class ClaimTicket:
    """The right to claim a key, or the claim itself."""

    key: str
    token: str
    fingerprint: bytes


@dataclass(kw_only=True, frozen=True, slots=True)
class ClaimResult:
    """The answer to a claim, with the ticket under which it stands."""

    ticket: ClaimTicket
    reply: ClaimReply


def fingerprint(*, index: str, body: bytes) -> bytes:
    """Return a digest by which two requests under one key are told apart."""
    return hashlib.sha256(index.encode() + b'\0' + body).digest()


class ClaimClient:
    """Claims keys and records outcomes through the buckets' keepers."""

    def __init__(
        self,
        *,
        keepers: Callable[[str], list[ClaimPeer]],
        hello: Callable[[], Hello],
        rng: random.Random,
        tasks: TaskSet,
    ) -> None:
        """Hold the links to the keepers of a key, the best first."""
        self.keepers = keepers
        self.hello = hello
        self.rng = rng
        self.tasks = tasks

    def ticket(self, *, key: str, index: str, body: bytes) -> ClaimTicket:
        """Return a ticket for a key that is not claimed yet."""
        return ClaimTicket(
            key=key,
            token=self._draw_token(),
            fingerprint=fingerprint(index=index, body=body),
        )

    async def async_claim(self, ticket: ClaimTicket) -> ClaimResult:
        """Claim a key; REFUSED with a code when nothing may be sent.

        Each keeper is asked under a token of its own: one that gave up may
        later drop the claim it had refused.
        """
        earlier: list[str] = []
        for keeper in self.keepers(ticket.key):
            request = self._request(ticket)
            request.earlier_tokens.extend(earlier)
            try:
                reply = await keeper.async_claim(request)
            except BitternturnError as error:
                LOGGER.info('keeper of {} failed: {}', ticket.key, error)
                earlier.append(ticket.token)
                ticket = replace(ticket, token=self._draw_token())
                continue
            return ClaimResult(ticket=ticket, reply=reply)
        return ClaimResult(
            ticket=ticket,
            reply=refuse(ErrorCode.CLAIM_UNAVAILABLE),
        )

    async def async_record(
        self,
        ticket: ClaimTicket,
        outcome: ClaimOutcome,
    ) -> None:
        """Record an outcome, again and again while the object API is down."""
        request = self._request(ticket)
        request.outcome.CopyFrom(outcome)
        for _ in range(const.OUTCOME_RETRIES):
            if await self._try_record(request):
                return
            await asyncio.sleep(const.OUTCOME_RETRY_S)
        LOGGER.error('outcome of key {} was not recorded', ticket.key)

    async def _try_record(self, request: ClaimRequest) -> bool:
        """Ask the keepers in turn to record an outcome."""
        for keeper in self.keepers(request.key):
            try:
                reply = await keeper.async_claim(request)
            except BitternturnError as error:
                LOGGER.info('keeper of {} failed: {}', request.key, error)
                continue
            return reply.code != ErrorCode.CLAIM_UNAVAILABLE.value
        return False

    def _draw_token(self) -> str:
        """Return a token that nobody else draws."""
        return f'{self.rng.getrandbits(const.TOKEN_BITS):032x}'

    def _request(self, ticket: ClaimTicket) -> ClaimRequest:
        """Return the message that claims a ticket's key."""
        return ClaimRequest(
            hello=self.hello(),
            key=ticket.key,
            token=ticket.token,
            fingerprint=ticket.fingerprint,
        )
