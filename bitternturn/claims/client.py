"""Client side of claims: calls the coordinator of a key's bucket."""

import asyncio
import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import logbook

from bitternturn.claims import const
from bitternturn.claims.buckets import make_refusal
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
    """Key, token and fingerprint that identify a claim."""

    key: str
    token: str
    fingerprint: bytes


@dataclass(kw_only=True, frozen=True, slots=True)
class ClaimResult:
    """The reply to a claim, and the ticket under which it was made."""

    ticket: ClaimTicket
    reply: ClaimReply


def compute_fingerprint(*, index: str, body: bytes) -> bytes:
    """Return a digest that detects different requests under one key."""
    return hashlib.sha256(index.encode() + b'\0' + body).digest()


class ClaimClient:
    """Claims keys and records outcomes by calling bucket coordinators."""

    def __init__(
        self,
        *,
        coordinators: Callable[[str], list[ClaimPeer]],
        hello: Callable[[], Hello],
        rng: random.Random,
        tasks: TaskSet,
    ) -> None:
        """Initialise with links to the coordinators of a key, best first."""
        self.coordinators = coordinators
        self.hello = hello
        self.rng = rng
        self.tasks = tasks

    def make_ticket(self, *, key: str, index: str, body: bytes) -> ClaimTicket:
        """Return a new ticket with which to claim a key."""
        return ClaimTicket(
            key=key,
            token=self._make_token(),
            fingerprint=compute_fingerprint(index=index, body=body),
        )

    async def async_claim(self, ticket: ClaimTicket) -> ClaimResult:
        """Claim a key; REFUSED with a code if the request must not be sent.

        Each coordinator gets a token of its own, since one that failed may
        later remove the claim of that token as abandoned.
        """
        earlier: list[str] = []
        for coordinator in self.coordinators(ticket.key):
            request = self._make_request(ticket)
            request.earlier_tokens.extend(earlier)
            try:
                reply = await coordinator.async_claim(request)
            except BitternturnError as error:
                LOGGER.info(
                    'coordinator of key {} failed: {}', ticket.key, error
                )
                earlier.append(ticket.token)
                ticket = replace(ticket, token=self._make_token())
                continue
            return ClaimResult(ticket=ticket, reply=reply)
        return ClaimResult(
            ticket=ticket,
            reply=make_refusal(ErrorCode.CLAIM_UNAVAILABLE),
        )

    async def async_record(
        self,
        ticket: ClaimTicket,
        outcome: ClaimOutcome,
    ) -> None:
        """Record an outcome, retrying while the object API is unavailable."""
        request = self._make_request(ticket)
        request.outcome.CopyFrom(outcome)
        for _ in range(const.MAX_OUTCOME_ATTEMPTS):
            if await self._async_try_record(request):
                return
            await asyncio.sleep(const.OUTCOME_RETRY_INTERVAL_S)
        LOGGER.error('failed to record the outcome of key {}', ticket.key)

    async def _async_try_record(self, request: ClaimRequest) -> bool:
        """Call the coordinators in turn; return whether one was available."""
        for coordinator in self.coordinators(request.key):
            try:
                reply = await coordinator.async_claim(request)
            except BitternturnError as error:
                LOGGER.info(
                    'coordinator of key {} failed: {}', request.key, error
                )
                continue
            return reply.code != ErrorCode.CLAIM_UNAVAILABLE.value
        return False

    def _make_token(self) -> str:
        """Return a random unique token."""
        return f'{self.rng.getrandbits(const.TOKEN_BITS):032x}'

    def _make_request(self, ticket: ClaimTicket) -> ClaimRequest:
        """Return the request message for a ticket."""
        return ClaimRequest(
            hello=self.hello(),
            key=ticket.key,
            token=ticket.token,
            fingerprint=ticket.fingerprint,
        )
