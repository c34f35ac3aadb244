"""Tests of the round-trip time that TCP measures."""

import asyncio
import socket

from bitternturn.http import round_trip
from bitternturn.http.client import async_connect
from bitternturn.http.models import Response
from bitternturn.http.round_trip import INFO_BYTES, read_round_trip_s
from bitternturn.http.server import HttpServer

# Longer than any round trip on a loopback address.
LONG_S = 5


class FakeSocket:
    """Socket whose TCP state is given."""

    def __init__(self, content):
        self.content = content

    def getsockopt(self, level, option, size):
        if isinstance(self.content, OSError):
            raise self.content
        return self.content


class FakeTransport(asyncio.BaseTransport):
    """Transport of one socket."""


def read_from(content):
    """Return the round-trip time in some TCP state."""
    return read_round_trip_s(FakeTransport({'socket': FakeSocket(content)}))


class TestReading:
    def test_microseconds_are_converted(self):
        tcp_info = bytes(68) + (2400).to_bytes(4, 'little')
        assert read_from(tcp_info) == 0.0024

    def test_unknown_state_is_ignored(self):
        """Guards against a kernel that states less or refuses to."""
        assert read_from(b'') is None
        assert read_from(bytes(INFO_BYTES)) is None
        assert read_from(OSError(92, 'not supported')) is None

    def test_system_without_tcp_state_is_supported(self, monkeypatch):
        monkeypatch.delattr(socket, 'TCP_INFO')
        assert read_from(bytes(INFO_BYTES)) is None
        assert round_trip.read_round_trip_s(FakeTransport()) is None


class TestServer:
    async def test_requests_state_the_round_trip(self):
        stated = []

        async def handle(request):
            stated.append(request.round_trip_s)
            return Response()

        server = HttpServer(handler=handle)
        await server.async_start(host='127.0.0.1', port=0)
        client = await async_connect(host=server.host, port=server.port)
        await client.async_exchange(method='GET', path='/', headers={})
        assert 0 < stated[0] < LONG_S
        await server.async_stop()
