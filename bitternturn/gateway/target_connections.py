"""Connections of this instance to one target."""

import asyncio
from collections.abc import Callable

from bitternturn.core.errors import BitternturnError
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway import const
from bitternturn.gateway.models import Address
from bitternturn.http.client import ClientConnection, async_connect


class TargetConnections:
    """Opens connections to a target and keeps the idle ones."""

    def __init__(
        self,
        *,
        address: Address,
        tasks: TaskSet,
        now: Callable[[], float],
        on_open: Callable[[ClientConnection, float], None],
        on_failure: Callable[[float], None],
    ) -> None:
        """Initialise without connections.

        `on_open` and `on_failure` are called with the time at which the attempt
        started.
        """
        self.address = address
        self.tasks = tasks
        self.now = now
        self.on_open = on_open
        self.on_failure = on_failure
        self.max_count = 1
        # Idle connections with the time of their last use, latest last.
        self.idle: list[tuple[ClientConnection, float]] = []
        self.idle_timeout_s = const.DEFAULT_IDLE_TIMEOUT_S
        self.opening_count = 0

    def take_idle(
        self, request_id: str, now: float, *, fresh: bool
    ) -> ClientConnection | None:
        """Return an idle connection that the target should still keep open.

        It has not carried the request, to which it may get another answer.
        """
        max_idle_s = self.idle_timeout_s * const.IDLE_TIMEOUT_SHARE
        if fresh:
            max_idle_s = min(max_idle_s, const.NON_REPEATABLE_MAX_IDLE_S)
        for index in reversed(range(len(self.idle))):
            connection, since = self.idle[index]
            if fresh and now - since > max_idle_s:
                return None
            if not connection.usable or now - since > max_idle_s:
                self.idle.pop(index)
                connection.close()
            elif connection.carried_ids.allows(request_id):
                self.idle.pop(index)
                return connection
        return None

    def put_idle(self, connection: ClientConnection) -> None:
        """Keep a connection that is not used, unless it may not be again."""
        if connection.carried_ids.retired:
            connection.close()
        else:
            self.idle.append((connection, self.now()))

    def close_surplus(self, *, busy_count: int) -> None:
        """Close idle connections above the limit, the longest unused first.

        `busy_count` is the number of connections that carry a send.
        """
        room = self.max_count - busy_count - self.opening_count
        while self.idle and len(self.idle) > room:
            self.idle.pop(0)[0].close()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection, _ in self.idle:
            connection.close()
        self.idle.clear()

    def open(self, *, queued_count: int, busy_count: int) -> None:
        """Open a connection for a queued send, within the limit.

        `busy_count` is the number of connections that carry a send.
        """
        open_count = busy_count + self.opening_count
        if self.opening_count >= queued_count or open_count >= self.max_count:
            return
        # An idle connection that the queued send may not use is closed to make
        # room for a new one.
        if open_count + len(self.idle) >= self.max_count and self.idle:
            self.idle.pop(0)[0].close()
        self.opening_count += 1
        self.tasks.spawn(self._async_open())

    async def _async_open(self) -> None:
        """Open one connection and pass it on."""
        failed = False
        started_at = self.now()
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                connection = await async_connect(
                    host=self.address.host,
                    port=self.address.port,
                )
        except (TimeoutError, BitternturnError):
            failed = True
        self.opening_count -= 1
        if failed:
            self.on_failure(started_at)
        else:
            self.on_open(connection, started_at)
