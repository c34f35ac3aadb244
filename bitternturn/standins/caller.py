"""Emulates callers and the load balancer between them and the tier."""

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
    InstanceAddress,
    QueryReply,
    make_failure_reply,
)

DEFAULT_CHECK_INTERVAL_S: Final = 0.5
DEFAULT_TIMEOUT_S: Final = 10.0
# Long enough that a busy instance is not taken for an unavailable one.
DEFAULT_CHECK_TIMEOUT_S: Final = 2.0
PATH_READY: Final = '/ready'


class Caller:
    """Sends queries round-robin to the instances that are ready."""

    def __init__(
        self,
        *,
        addresses: Sequence[InstanceAddress],
        now: Clock = monotonic,
        check_interval_s: float = DEFAULT_CHECK_INTERVAL_S,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Initialise; no instance counts as ready before the first check."""
        self.addresses = list(addresses)
        self.now = now
        self.check_interval_s = check_interval_s
        self.check_timeout_s = DEFAULT_CHECK_TIMEOUT_S
        self.timeout_s = timeout_s
        self.ready_instances: list[InstanceAddress] = []
        self.idle_connections: dict[
            InstanceAddress, list[ClientConnection]
        ] = {}
        self.round_robin_index = 0
        self.tasks = TaskSet()

    async def async_start(self) -> None:
        """Check every instance once, then periodically."""
        await self.async_check()
        self.tasks.spawn(self._async_check_periodically())

    async def async_stop(self) -> None:
        """Stop the readiness checks and close the idle connections."""
        await self.tasks.async_stop()
        for connections in self.idle_connections.values():
            for connection in connections:
                connection.close()
        self.idle_connections.clear()

    async def async_check(self) -> None:
        """Update the list of ready instances."""
        answers = await asyncio.gather(
            *(self._async_is_ready(it) for it in self.addresses),
        )
        self.ready_instances = [
            address
            for address, is_ready in zip(self.addresses, answers, strict=True)
            if is_ready
        ]

    async def async_query(self, query: CallerQuery) -> CallerAnswer:
        """Send a query; skip instances that refuse the connection."""
        started = self.now()
        for _ in self.addresses:
            instance = self._next_ready()
            if instance is None:
                break
            answer = await self._async_send(instance, query, started)
            if answer is not None:
                return answer
            # The connection was refused: skip it until the next check.
            self.ready_instances = [
                it for it in self.ready_instances if it != instance
            ]
        return CallerAnswer(
            status=0,
            latency_s=self.now() - started,
            reply=make_failure_reply(
                OUTCOME_NOT_RUN, ErrorCode.NOT_READY, 'no ready instance'
            ),
        )

    async def _async_send(
        self,
        instance: InstanceAddress,
        query: CallerQuery,
        started: float,
    ) -> CallerAnswer | None:
        """Send a query to one instance; None if the connection failed."""
        response: Response | None = None
        try:
            async with asyncio.timeout(self.timeout_s):
                response = await self._async_exchange(instance, query)
        except TimeoutError:
            reply = make_failure_reply(
                OUTCOME_IN_DOUBT, ErrorCode.DEADLINE, 'timeout'
            )
        except BitternturnError as error:
            if error.step == STEP_CONNECT:
                return None
            reply = make_failure_reply(
                OUTCOME_IN_DOUBT, error.code, error.message
            )
        else:
            reply = _decode_reply(response)
        return CallerAnswer(
            status=response.status if response is not None else 0,
            latency_s=self.now() - started,
            reply=reply,
            instance=instance,
            headers=response.headers if response is not None else {},
        )

    async def _async_exchange(
        self,
        instance: InstanceAddress,
        query: CallerQuery,
    ) -> Response:
        """Send the query on an idle connection, or else on a new one."""
        idle = self.idle_connections.setdefault(instance, [])
        connection = _pop_usable(idle)
        if connection is None:
            connection = await async_connect(
                host=instance.host, port=instance.port
            )
        response = await connection.async_exchange(
            method='POST',
            path=f'/v1/query/{query.index}',
            headers={'content-type': 'application/json', **query.headers()},
            body=msgspec.json.encode(query.body()),
        )
        if connection.usable:
            idle.append(connection)
        return response

    def _next_ready(self) -> InstanceAddress | None:
        """Return the next ready instance in round-robin order."""
        if not self.ready_instances:
            return None
        self.round_robin_index += 1
        return self.ready_instances[
            self.round_robin_index % len(self.ready_instances)
        ]

    async def _async_is_ready(self, address: InstanceAddress) -> bool:
        """Return whether an instance reports itself ready in time."""
        try:
            async with asyncio.timeout(self.check_timeout_s):
                return await _async_request_readiness(address)
        except (TimeoutError, BitternturnError):
            return False

    async def _async_check_periodically(self) -> None:
        """Check all instances periodically."""
        while True:
            await asyncio.sleep(self.check_interval_s)
            await self.async_check()


async def _async_request_readiness(address: InstanceAddress) -> bool:
    """Request the readiness of an instance over a new connection."""
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


def _pop_usable(idle: list[ClientConnection]) -> ClientConnection | None:
    """Remove and return an idle connection that is still usable."""
    while idle:
        connection = idle.pop()
        if connection.usable:
            return connection
    return None


def _decode_reply(response: Response) -> QueryReply:
    """Decode a response; a malformed body gives an in-doubt reply."""
    try:
        return msgspec.json.decode(response.body, type=QueryReply)
    except msgspec.DecodeError as error:
        return make_failure_reply(
            OUTCOME_IN_DOUBT, ErrorCode.BAD_ANSWER, str(error)
        )
