"""Connection pool of one target."""

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
    """Callbacks of a pool.

    `wanted` returns the number of connections to keep, `limit` the maximum,
    `may_write` whether this instance may use the target now. `on_change` is
    called after each connection attempt and health check, `on_lost` when the
    target refuses or closes a connection, `on_health` for health responses.
    """

    wanted: Callable[[float], int]
    limit: Callable[[float], int]
    may_write: Callable[[float], bool]
    on_change: Callable[[], None]
    on_lost: Callable[[], None]
    on_health: Callable[[Response], None]


class ConnectionPool:
    """Keeps spare connections open within the target's limit."""

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
        """Initialise without a connection."""
        self.host = host
        self.port = port
        self.settings = settings
        self.hooks = hooks
        self.now = now
        self.rng = rng
        self.tasks = tasks
        # Ordered by last use, the most recent at the end.
        self.idle: list[PooledConnection] = []
        self.in_use: set[PooledConnection] = set()
        self.checking: set[PooledConnection] = set()
        self.connecting = 0
        self.connect_failures = 0
        self.connect_retry_at: float = 0
        self.closed = False

    @property
    def size(self) -> int:
        """Number of connections, including those being opened."""
        return (
            len(self.idle)
            + len(self.in_use)
            + len(self.checking)
            + self.connecting
        )

    def is_unreachable(self, now: float) -> bool:
        """Whether there is no connection and opening one has just failed."""
        return not self.size and now < self.connect_retry_at

    def acquire(self, now: float) -> PooledConnection | None:
        """Return an idle connection fit for use, None if there is none."""
        while self.idle:
            connection = self.idle.pop()
            if now >= connection.expires_at or not connection.http.usable:
                connection.http.close()
            elif self._needs_check(connection, now):
                self._start_check(connection)
            else:
                self.in_use.add(connection)
                return connection
        return None

    def put_back(self, connection: PooledConnection, now: float) -> None:
        """Return a connection after a complete exchange."""
        connection.last_returned_at = now
        self.put_back_unused(connection)

    def put_back_unused(self, connection: PooledConnection) -> None:
        """Return a connection that was not written to.

        It may have gone silent since its last exchange.
        """
        known = connection in self.in_use or connection in self.checking
        self.in_use.discard(connection)
        if self.closed or not known or not connection.http.usable:
            connection.http.close()
            return
        self.idle.append(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection whose exchange failed or was cancelled."""
        self.in_use.discard(connection)
        connection.http.close()

    def check_siblings(
        self,
        connection: PooledConnection,
        now: float,
    ) -> None:
        """Check idle connections of an age or idle time like a silent one's."""
        for other in list(self.idle):
            if _are_siblings(connection, other, now):
                self.idle.remove(other)
                self._start_check(other)

    def check_oldest_idle(self) -> None:
        """Check the health over the least recently used idle connection."""
        if self.idle:
            self._start_check(self.idle.pop(0))

    def open_missing(self, now: float) -> None:
        """Open missing connections in the background."""
        if (
            self.closed
            or now < self.connect_retry_at
            or not self.hooks.may_write(now)
        ):
            return
        missing = self.hooks.wanted(now) - self.size
        for _ in range(missing):
            self.connecting += 1
            self.tasks.spawn(self._async_connect(), name=f'to {self.host}')

    def maintain(self, now: float) -> None:
        """Close expired and surplus connections, check idle ones, refill."""
        surplus = self.size - self.hooks.limit(now)
        may_write = self.hooks.may_write(now)
        for connection in list(self.idle):
            idle_s = now - connection.last_returned_at
            expired = (
                now >= connection.expires_at
                or idle_s > self.settings.max_idle_s
            )
            if expired or surplus > 0:
                surplus -= 1
                self.idle.remove(connection)
                connection.http.close()
            elif may_write and self._needs_check(connection, now):
                self.idle.remove(connection)
                self._start_check(connection)
        self.open_missing(now)

    def close(self) -> None:
        """Close all connections."""
        self.closed = True
        for connection in (*self.idle, *self.in_use, *self.checking):
            connection.http.close()
        self.idle.clear()

    def _needs_check(self, connection: PooledConnection, now: float) -> bool:
        """Whether a connection was idle too long to be used unchecked."""
        return (
            now - connection.last_returned_at
            >= self.settings.check_after_idle_s
        )

    async def _async_connect(self) -> None:
        """Open one connection."""
        failure: Exception | None = None
        try:
            async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
                http = await async_connect(host=self.host, port=self.port)
        except (BitternturnError, TimeoutError) as error:
            failure = error
        finally:
            self.connecting -= 1
        if failure is None:
            self.connect_failures = 0
            self._add_connection(http, self.now())
        else:
            self._on_connect_failed(failure)
        self.hooks.on_change()

    def _add_connection(self, http: ClientConnection, now: float) -> None:
        """Add a new connection, or close it if the limit is reached."""
        if self.closed or self.size >= self.hooks.limit(now):
            http.close()
            return
        spread = self.rng.uniform(1 - const.MAX_AGE_JITTER, 1)
        connection = PooledConnection(
            http=http,
            opened_at=now,
            last_returned_at=now,
            expires_at=now + self.settings.max_age_s * spread,
        )
        http.size.max_body_bytes = const.MAX_BODY_BYTES
        http.on_closed = lambda: self._on_idle_closed(connection)
        self.idle.append(connection)

    def _on_connect_failed(self, error: Exception) -> None:
        """Schedule the next attempt with exponential backoff and jitter."""
        LOGGER.info(
            'failed to connect to target {}:{}: {!r}',
            self.host,
            self.port,
            error,
        )
        backoff_s = min(
            const.INITIAL_CONNECT_BACKOFF_S * 2**self.connect_failures,
            const.MAX_CONNECT_BACKOFF_S,
        )
        self.connect_failures += 1
        now = self.now()
        self.connect_retry_at = now + backoff_s * self.rng.uniform(0.5, 1)
        if isinstance(error, BitternturnError):
            self.hooks.on_lost()

    def _on_idle_closed(self, connection: PooledConnection) -> None:
        """Remove an idle connection that the target has closed."""
        if connection in self.idle:
            self.idle.remove(connection)
            if not self.closed:
                self.hooks.on_lost()

    def _start_check(self, connection: PooledConnection) -> None:
        """Start a health check: any response proves the connection usable."""
        self.checking.add(connection)
        self.tasks.spawn(self._async_check_health(connection), name='check')

    async def _async_check_health(self, connection: PooledConnection) -> None:
        """Return a connection to the pool if the health check succeeds."""
        if not self.hooks.may_write(self.now()):
            self.checking.discard(connection)
            connection.http.close()
            return
        try:
            async with asyncio.timeout(const.HEALTH_CHECK_TIMEOUT_S):
                response = await connection.http.async_exchange(
                    method='GET',
                    path=const.PATH_HEALTH,
                    headers={},
                )
        except TimeoutError:
            LOGGER.info(
                'health check of target {}:{} timed out',
                self.host,
                self.port,
            )
        except BitternturnError as error:
            LOGGER.info(
                'health check of target {}:{} failed: {}',
                self.host,
                self.port,
                error,
            )
            if not self.closed:
                self.hooks.on_lost()
        else:
            self.put_back(connection, self.now())
            self.hooks.on_health(response)
        finally:
            self.checking.discard(connection)
        self.hooks.on_change()


def _are_siblings(
    silent: PooledConnection,
    other: PooledConnection,
    now: float,
) -> bool:
    """Whether two connections may be silent for the same reason."""
    pairs = (
        (silent.opened_at, other.opened_at),
        (silent.last_returned_at, other.last_returned_at),
    )
    return any(
        abs(silent_at - other_at)
        <= max(
            const.SIBLING_TOLERANCE_S,
            (now - silent_at) * const.SIBLING_TOLERANCE_SHARE,
        )
        for silent_at, other_at in pairs
    )
