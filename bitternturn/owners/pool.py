"""Connections to one target."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from bitternturn.core.clock import Clock
from bitternturn.core.errors import BitternturnError
from bitternturn.core.tasks import TaskSet
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.http.models import Response
from bitternturn.owners import const
from bitternturn.owners.models import PooledConnection, PoolSettings

LOGGER = logbook.Logger('owners.pool')


@dataclass(kw_only=True, slots=True)
class PoolHooks:
    """What a pool asks and tells its target.

    `wanted` is the number of connections to keep, `limit` the most there may
    be, `may_write` whether this instance may use the target now.
    """

    wanted: Callable[[float], int]
    limit: Callable[[float], int]
    may_write: Callable[[float], bool]
    on_ready: Callable[[], None]
    on_lost: Callable[[], None]
    on_health: Callable[[Response], None]


class ConnectionPool:
    """Keeps spare connections ready within the target's limit."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        settings: PoolSettings,
        hooks: PoolHooks,
        now: Clock,
        rng: random.Random,
        tasks: TaskSet,
    ) -> None:
        """Start without a connection."""
        self.host = host
        self.port = port
        self.settings = settings
        self.hooks = hooks
        self.now = now
        self.rng = rng
        self.tasks = tasks
        # The one used last at the end.
        self.idle: list[PooledConnection] = []
        self.busy: set[PooledConnection] = set()
        self.checking: set[PooledConnection] = set()
        self.connecting = 0
        self.failures = 0
        self.retry_at: float = 0
        self.closed = False

    @property
    def size(self) -> int:
        """Connections, with those being made."""
        return (
            len(self.idle)
            + len(self.busy)
            + len(self.checking)
            + self.connecting
        )

    def failing(self, now: float) -> bool:
        """Whether there is no connection and the target refuses new ones."""
        return not self.size and now < self.retry_at

    def take(self, now: float) -> PooledConnection | None:
        """Return a connection that can be written to, None if none can."""
        while self.idle:
            connection = self.idle.pop()
            if now >= connection.ends_at or not connection.http.usable:
                connection.http.close()
            elif self._stale(connection, now):
                self._check(connection)
            else:
                self.busy.add(connection)
                return connection
        return None

    def give_back(self, connection: PooledConnection, now: float) -> None:
        """Take back a connection after a whole exchange or none."""
        known = connection in self.busy or connection in self.checking
        self.busy.discard(connection)
        if self.closed or not known or not connection.http.usable:
            connection.http.close()
            return
        connection.heard_at = now
        self.idle.append(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection whose exchange did not end well."""
        self.busy.discard(connection)
        connection.http.close()

    def check_siblings(
        self,
        connection: PooledConnection,
        now: float,
    ) -> None:
        """Check those idle that share the age or idle time of a silent one."""
        for other in list(self.idle):
            if _are_siblings(connection, other, now):
                self.idle.remove(other)
                self._check(other)

    def check_idle(self) -> None:
        """Ask for the target's health over an idle connection."""
        if self.idle:
            self._check(self.idle.pop(0))

    def top_up(self, now: float) -> None:
        """Make connections in the background until there are enough."""
        if self.closed or now < self.retry_at or not self.hooks.may_write(now):
            return
        missing = self.hooks.wanted(now) - self.size
        for _ in range(missing):
            self.connecting += 1
            self.tasks.spawn(self._async_connect(), name=f'to {self.host}')

    def maintain(self, now: float) -> None:
        """Close old and surplus connections, check idle ones, replace them."""
        surplus = self.size - self.hooks.limit(now)
        may_write = self.hooks.may_write(now)
        for connection in list(self.idle):
            idle_s = now - connection.heard_at
            old = now >= connection.ends_at or idle_s > self.settings.max_idle_s
            if old or surplus > 0:
                surplus -= 1
                self.idle.remove(connection)
                connection.http.close()
            elif may_write and self._stale(connection, now):
                self.idle.remove(connection)
                self._check(connection)
        self.top_up(now)

    def close(self) -> None:
        """Close every connection."""
        self.closed = True
        for connection in (*self.idle, *self.busy, *self.checking):
            connection.http.close()
        self.idle.clear()

    def _stale(self, connection: PooledConnection, now: float) -> bool:
        """Whether a connection was idle too long to be trusted."""
        return now - connection.heard_at >= self.settings.check_after_idle_s

    async def _async_connect(self) -> None:
        """Make one connection."""
        failure: Exception | None = None
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                http = await async_connect(host=self.host, port=self.port)
        except (BitternturnError, TimeoutError) as error:
            failure = error
        finally:
            self.connecting -= 1
        if failure is None:
            self.failures = 0
            self._add(http, self.now())
        else:
            self._connect_failed(failure)
        self.hooks.on_ready()

    def _add(self, http: ClientConnection, now: float) -> None:
        """Take in a new connection if there is still room for it."""
        if self.closed or self.size >= self.hooks.limit(now):
            http.close()
            return
        spread = self.rng.uniform(1 - const.AGE_SPREAD, 1)
        connection = PooledConnection(
            http=http,
            opened_at=now,
            heard_at=now,
            ends_at=now + self.settings.max_age_s * spread,
        )
        http.max_body_bytes = const.MAX_BODY_BYTES
        http.on_closed = lambda: self._note_closed(connection)
        self.idle.append(connection)

    def _connect_failed(self, error: Exception) -> None:
        """Back off, and tell the target's owner."""
        LOGGER.info('no connection to {}:{}: {!r}', self.host, self.port, error)
        longest_s = min(
            const.CONNECT_BACK_OFF_S * 2**self.failures,
            const.MAX_CONNECT_BACK_OFF_S,
        )
        self.failures += 1
        now = self.now()
        self.retry_at = now + longest_s * self.rng.uniform(0.5, 1)
        if isinstance(error, BitternturnError):
            self.hooks.on_lost()

    def _note_closed(self, connection: PooledConnection) -> None:
        """Forget a connection that the target closed while it was idle."""
        if connection in self.idle:
            self.idle.remove(connection)
            if not self.closed:
                self.hooks.on_lost()

    def _check(self, connection: PooledConnection) -> None:
        """Ask for the target's health: any answer proves the connection."""
        self.checking.add(connection)
        self.tasks.spawn(self._async_check(connection), name='check')

    async def _async_check(self, connection: PooledConnection) -> None:
        """Put a connection back when it answers; else it is closed."""
        if not self.hooks.may_write(self.now()):
            self.checking.discard(connection)
            connection.http.close()
            return
        try:
            async with asyncio.timeout(const.CHECK_TIMEOUT_S):
                response = await connection.http.async_exchange(
                    method='GET',
                    path=const.PATH_HEALTH,
                    headers={},
                )
        except TimeoutError:
            LOGGER.info('silent: a connection to {}:{}', self.host, self.port)
        except BitternturnError as error:
            LOGGER.info('check of {}:{}: {}', self.host, self.port, error)
            if not self.closed:
                self.hooks.on_lost()
        else:
            self.give_back(connection, self.now())
            self.hooks.on_health(response)
        finally:
            self.checking.discard(connection)
        self.hooks.on_ready()


def _are_siblings(
    silent: PooledConnection,
    other: PooledConnection,
    now: float,
) -> bool:
    """Whether what silenced one connection may have silenced the other."""
    pairs = (
        (silent.opened_at, other.opened_at),
        (silent.heard_at, other.heard_at),
    )
    return any(
        abs(mine - theirs)
        <= max(const.SIBLING_S, (now - mine) * const.SIBLING_SHARE)
        for mine, theirs in pairs
    )
