"""Connection faults of the emulators' HTTP servers."""

import asyncio
from typing import Never

from bitternturn.http.models import Request
from bitternturn.http.server import HttpServer


async def async_abort_connection(server: HttpServer, request: Request) -> Never:
    """Abort the connection of a request, which cancels its handler."""
    for connection in list(server.connections):
        if connection.peer == request.peer:
            connection.abort()
    await async_wait_forever()


async def async_wait_forever() -> Never:
    """Wait until the task is cancelled."""
    await asyncio.Event().wait()
    raise AssertionError
