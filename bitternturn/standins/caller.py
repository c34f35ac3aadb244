"""Stand-in for the balancer and the callers behind it."""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from bitternturn.core.clock import Clock, monotonic
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.http import const as http
from bitternturn.http.client import (
    STEP_CONNECT,
    ClientConnection,
    async_connect,
)
from bitternturn.http.models import Response
from bitternturn.standins.caller_models import (
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
    CallerAnswer,
    CallerQuery,
    EntryAddress,
    QueryReply,
    no_answer,
)

DEFAULT_CHECK_INTERVAL_S: Final = 0.5
DEFAULT_TIMEOUT_S: Final = 10.0
# A busy entry is not an absent one.
DEFAULT_CHECK_TIMEOUT_S: Final = 2.0
PATH_READY: Final = '/ready'


class Caller:
    """Sends queries round-robin to the entries that are ready."""

    def __init__(
        self,
        *,
        addresses: Sequence[EntryAddress],
        now: Clock = monotonic,
        check_interval_s: float = DEFAULT_CHECK_INTERVAL_S,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Hold the addresses; none is ready before the first check."""
        self.addresses = list(addresses)
        self.now = now
        self.check_interval_s = check_interval_s
        self.check_timeout_s = DEFAULT_CHECK_TIMEOUT_S
        self.timeout_s = timeout_s
        self.ready: list[EntryAddress] = []
        self.idle: dict[EntryAddress, list[ClientConnection]] = {}
        self.turn = 0
        self.tasks = TaskSet()

    async def async_start(self) -> None:
        """Check every entry once, then on an interval."""
        await self.async_check()
        self.tasks.spawn(self._async_check_on())

    async def async_stop(self) -> None:
        """Stop checking and close the idle connections."""
        await self.tasks.async_stop()
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    async def async_check(self) -> None:
        """Ask every entry whether it is ready."""
        answers = await asyncio.gather(
            *(self._async_is_ready(it) for it in self.addresses),
        )
        self.ready = [
            address
            for address, is_ready in zip(self.addresses, answers, strict=True)
            if is_ready
        ]

    async def async_query(self, query: CallerQuery) -> CallerAnswer:
        """Send a query; an entry that refuses to connect is passed over."""
        started = self.now()
        for _ in self.addresses:
            entry = self._next_entry()
            if entry is None:
                break
            answer = await self._async_try(entry, query, started)
            if answer is not None:
                return answer
            # An entry that refuses to connect waits for the next check.
            self.ready = [it for it in self.ready if it != entry]
        return CallerAnswer(
            status=0,
            latency_s=self.now() - started,
            reply=no_answer(OUTCOME_NOT_RUN, ErrorCode.NOT_READY, 'no entry'),
        )

    async def _async_try(
        self,
        entry: EntryAddress,
        query: CallerQuery,
        started: float,
    ) -> CallerAnswer | None:
        """Send a query to one entry; None when it refuses to connect."""
        response: Response | None = None
        try:
            async with asyncio.timeout(self.timeout_s):
                response = await self._async_exchange(entry, query)
        except TimeoutError:
            reply = no_answer(OUTCOME_IN_DOUBT, ErrorCode.DEADLINE, 'timeout')
        except BitternturnError as error:
            if error.step == STEP_CONNECT:
                return None
            reply = no_answer(OUTCOME_IN_DOUBT, error.code, error.message)
        else:
            reply = _decode(response)
        return CallerAnswer(
            status=response.status if response is not None else 0,
            latency_s=self.now() - started,
            reply=reply,
            entry=entry,
            headers=response.headers if response is not None else {},
        )

    async def _async_exchange(
        self,
        entry: EntryAddress,
        query: CallerQuery,
    ) -> Response:
        """Make one exchange on a kept connection or a new one."""
        kept = self.idle.setdefault(entry, [])
        connection = _take(kept)
        if connection is None:
            connection = await async_connect(host=entry.host, port=entry.port)
        response = await connection.async_exchange(
            method='POST',
            path=f'/v1/query/{query.index}',
            headers={'content-type': 'application/json', **query.headers()},
            body=msgspec.json.encode(query.body()),
        )
        if connection.usable:
            kept.append(connection)
        return response

    def _next_entry(self) -> EntryAddress | None:
        """Return the entry whose turn it is."""
        if not self.ready:
            return None
        self.turn += 1
        return self.ready[self.turn % len(self.ready)]

    async def _async_is_ready(self, address: EntryAddress) -> bool:
        """Ask one entry."""
        try:
            async with asyncio.timeout(self.check_timeout_s):
                return await _async_ask_ready(address)
        except (TimeoutError, BitternturnError):
            return False

    async def _async_check_on(self) -> None:
        """Check on an interval."""
        while True:
            await asyncio.sleep(self.check_interval_s)
            await self.async_check()


async def _async_ask_ready(address: EntryAddress) -> bool:
    """Return whether an entry says that it is ready."""
    connection = await async_connect(host=address.host, port=address.port)
    try:
        response = await connection.async_exchange(
            method='GET',
            path=PATH_READY,
            headers={},
        )
    finally:
        connection.close()
    return response.status == http.STATUS_OK


def _take(kept: list[ClientConnection]) -> ClientConnection | None:
    """Return a usable kept connection."""
    while kept:
        connection = kept.pop()
        if connection.usable:
            return connection
    return None


def _decode(response: Response) -> QueryReply:
    """Return the body of an answer, or one that says it is malformed."""
    try:
        return msgspec.json.decode(response.body, type=QueryReply)
    except msgspec.DecodeError as error:
        return no_answer(OUTCOME_IN_DOUBT, ErrorCode.BAD_ANSWER, str(error))
