"""Tests of callers that connect while a listener has no connection left."""

import asyncio
import socket

from bitternturn.http.models import Response
from bitternturn.http.server import HttpServer, ServerLimits

HOST = '127.0.0.1'
GET = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'


async def async_answer(request):
    return Response(body=b'ok')


async def async_read(peer):
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(5):
            return await loop.sock_recv(peer, 1000)
    except OSError:
        return b''


async def async_connect(server, wire):
    peer = socket.create_connection((HOST, server.port))
    peer.sendall(wire)
    peer.setblocking(False)
    return peer


async def test_callers_that_connect_together_replace_idle_connections():
    """Guards against newcomers that evict each other.

    A connection whose first request is not read yet ranks before idle ones, so
    that of several callers accepted in one turn only the last is served.
    """
    server = HttpServer(
        handler=async_answer, limits=ServerLimits(max_connections=8)
    )
    await server.async_start(host=HOST, port=0)
    idle = [await async_connect(server, GET) for _ in range(8)]
    answers = await asyncio.gather(*map(async_read, idle))
    assert all(answers)
    newcomers = [await async_connect(server, GET) for _ in range(6)]
    answers = await asyncio.gather(*map(async_read, newcomers))
    await server.async_stop()
    for peer in (*idle, *newcomers):
        peer.close()
    assert [answer[:12] for answer in answers] == [b'HTTP/1.1 200'] * 6


async def test_large_holder_makes_room_before_a_new_caller():
    """Guards against closing a caller before one that holds a lot of memory."""
    server = HttpServer(
        handler=async_answer, limits=ServerLimits(max_connections=8)
    )
    await server.async_start(host=HOST, port=0)
    stalled = b'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 200000\r\n\r\n'
    large_holders = [
        await async_connect(server, stalled + b'x' * 100_000) for _ in range(8)
    ]
    await asyncio.sleep(0.3)
    assert len(server.connections) == 8
    newcomers = [await async_connect(server, GET) for _ in range(6)]
    answers = await asyncio.gather(*map(async_read, newcomers))
    await server.async_stop()
    for peer in (*large_holders, *newcomers):
        peer.close()
    assert [answer[:12] for answer in answers] == [b'HTTP/1.1 200'] * 6
