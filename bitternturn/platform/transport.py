"""Single calls to the object API over pooled connections."""

import asyncio
from collections.abc import Mapping

from bitternturn.core.clock import Clock
from bitternturn.core.decoding import parse_unsigned
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.store_position import MAX_ERA
from bitternturn.http import const as http
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.http.models import Response
from bitternturn.platform import const, wire_names
from bitternturn.platform.budget import CallBudget
from bitternturn.platform.models import ApiResponse

# Statuses that the store itself returns: it was reached.
STORE_STATUSES = frozenset(
    (
        http.STATUS_OK,
        http.STATUS_NOT_FOUND,
        http.STATUS_CONFLICT,
        http.STATUS_GONE,
        http.STATUS_BAD_REQUEST,
        http.STATUS_CONTENT_TOO_LARGE,
    ),
)


class ObjectTransport:
    """Makes calls within a budget and records when the API was reached."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout_s: float,
        now: Clock,
        budget: CallBudget,
    ) -> None:
        """Initialise; connections are opened on demand."""
        self.host = host
        self.port = port
        self.peer = f'{host}:{port}'
        self.timeout_s = timeout_s
        self.now = now
        self.budget = budget
        self.idle_connections: list[ClientConnection] = []
        # Start time of the last successful call.
        self.reached_at: float | None = None
        # Time of the last failure.
        self.failed_at: float | None = None

    async def async_call(
        self,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b'',
        timeout_s: float | None = None,
    ) -> ApiResponse:
        """Make one call without retries.

        `timeout_s` replaces the default timeout for calls on which the store
        waits.

        Raises BitternturnError: PLATFORM_BUSY when the call was not admitted,
        PLATFORM_UNREACHABLE when the connection could not be opened, and
        UNKNOWN_RESULT when the call may have taken effect.
        """
        started_at = self.now()
        self.spend_call(path)
        try:
            async with asyncio.timeout(timeout_s or self.timeout_s):
                connection = await self._async_take_connection()
                response = await connection.async_exchange(
                    method=method,
                    path=path,
                    headers=headers or {},
                    body=body,
                )
        except (TimeoutError, BitternturnError) as error:
            raise self._record_failure(error, path) from error
        if (
            connection.usable
            and len(self.idle_connections) < const.MAX_IDLE_CONNECTIONS
        ):
            self.idle_connections.append(connection)
        self.check_status(response.status, path, started_at)
        return ApiResponse(
            status=response.status,
            body=response.body,
            started_at=started_at,
            era=_read_era(response),
        )

    def spend_call(self, path: str) -> None:
        """Spend one call of the budget; raises PLATFORM_BUSY when exhausted."""
        if not self.budget.try_spend(self.now()):
            raise self.make_error(
                ErrorCode.PLATFORM_BUSY, path, 'call budget exhausted'
            )

    def check_status(self, status: int, path: str, started_at: float) -> None:
        """Record whether the store was reached; raises if it was not."""
        if status in STORE_STATUSES:
            # Calls may not end in the order in which they started.
            self.reached_at = max(started_at, self.reached_at or started_at)
            return
        self.failed_at = self.now()
        code = ErrorCode.UNKNOWN_RESULT
        if status == http.STATUS_TOO_MANY_REQUESTS:
            code = ErrorCode.PLATFORM_BUSY
        raise self.make_error(code, path, f'status {status}')

    def make_error(
        self,
        code: ErrorCode,
        step: str,
        message: str = '',
    ) -> BitternturnError:
        """Return an error that names the store as its peer."""
        return BitternturnError(message, code=code, step=step, peer=self.peer)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()

    async def _async_take_connection(self) -> ClientConnection:
        """Return an idle connection or open a new one.

        Opening has the default timeout, whatever the timeout of the call: TCP
        backs off further with each lost SYN, so that a connection attempt
        that began during a network outage succeeds only long after it.
        """
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.usable:
                return connection
        async with asyncio.timeout(self.timeout_s):
            return await async_connect(host=self.host, port=self.port)

    def _record_failure(self, error: Exception, path: str) -> BitternturnError:
        """Record a failed call and return its error.

        The error code says whether the call may have taken effect.
        """
        self.failed_at = self.now()
        # If one connection has failed, the idle ones probably have as well.
        self.close()
        code = ErrorCode.UNKNOWN_RESULT
        if isinstance(error, BitternturnError) and error.step == 'connect':
            code = ErrorCode.PLATFORM_UNREACHABLE
        return self.make_error(code, path, str(error) or 'timeout')


def _read_era(response: Response) -> int:
    """Return the era that a response states, 0 without one."""
    text = response.headers.get(wire_names.HEADER_STORE_ERA, '')
    return parse_unsigned(text, maximum=MAX_ERA) or 0


def as_read_error(error: BitternturnError) -> BitternturnError:
    """Return the error of a failed read, whose result can't be in doubt."""
    if error.code is not ErrorCode.UNKNOWN_RESULT:
        return error
    return BitternturnError(
        error.message,
        code=ErrorCode.PLATFORM_UNREACHABLE,
        step=error.step,
        peer=error.peer,
    )
