"""HTTP server that records when each connection was accepted."""

import asyncio
from collections.abc import Callable

from bitternturn.core.clock import Clock
from bitternturn.http.server import (
    Handler,
    HttpServer,
    ServerConnection,
    ServerLimits,
)


class TimedServer(HttpServer):
    """Records the accept time of each connection by its peer."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits,
        now: Clock,
        on_connect: Callable[[], None],
    ) -> None:
        """Initialise; the listener is not started yet."""
        super().__init__(handler=handler, limits=limits)
        self.now = now
        self.on_connect = on_connect
        self.accepted_at: dict[str, float] = {}

    async def async_start(self, *, host: str, port: int) -> None:
        """Start the listener; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: TimedConnection(server=self),
            host,
            port,
        )
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    def make_room(self) -> bool:
        """Keep the connections: targets refuse those above their limit."""
        return False


class TimedConnection(ServerConnection):
    """One connection of a `TimedServer`."""

    server: TimedServer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the accept time."""
        super().connection_made(transport)
        self.server.accepted_at[self.peer] = self.server.now()
        self.server.on_connect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the accept time."""
        self.server.accepted_at.pop(self.peer, None)
        super().connection_lost(exc)
