"""Faults on connections of the stand-ins' HTTP servers."""

import asyncio
from typing import Never

from bitternturn.http.models import Request
from bitternturn.http.server import HttpServer


async def async_drop(server: HttpServer, request: Request) -> Never:
    """Close the connection of a request; its handler is then cancelled."""
    for connection in list(server.connections):
        if connection.peer == request.peer:
            connection.abort()
    await async_hang()


async def async_hang() -> Never:
    """Wait until cancelled."""
    await asyncio.Event().wait()
    raise AssertionError
