"""Tests of the frames between instances."""

import asyncio

import pytest

from bitternturn.gateway.models import Address
from bitternturn.relay.connection import RelayConnection, async_open_connection
from bitternturn.schema.relay_pb2 import Frame, Sends
from tests.relay.helpers import make_traffic

TRAFFIC = make_traffic()


class Listener:
    """A listener that records frames and lost connections."""

    def __init__(self):
        self.frames = []
        self.lost = 0

    async def async_start(self):
        self.server = await asyncio.get_running_loop().create_server(
            lambda: RelayConnection(
                on_frame=self.on_frame, on_lost=self.on_lost, traffic=TRAFFIC
            ),
            '127.0.0.1',
            0,
        )
        port = self.server.sockets[0].getsockname()[1]
        return Address(host='127.0.0.1', port=port)

    def on_frame(self, connection, frame):
        self.frames.append(frame)

    def on_lost(self, connection):
        self.lost += 1


@pytest.fixture
async def connected():
    """Provide a listener and a connection to it."""
    listener = Listener()
    address = await listener.async_start()
    connection = await async_open_connection(
        address,
        on_frame=lambda *_: None,
        on_lost=lambda *_: None,
        traffic=TRAFFIC,
    )
    yield listener, connection
    connection.close()
    listener.server.close()


class TestFrames:
    @pytest.mark.parametrize('size', [0, 100, 3000, 200_000])
    async def test_frames_arrive_complete_and_in_order(self, connected, size):
        listener, connection = connected
        sent = [
            Frame(number=number, sends=Sends(request_id='x' * size))
            for number in range(5)
        ]
        for frame in sent:
            connection.send(frame)
        async with asyncio.timeout(2):
            while len(listener.frames) < len(sent):
                await asyncio.sleep(0.001)
        assert listener.frames == sent

    @pytest.mark.parametrize(
        'wire',
        [
            b'\x00\x00\x00\x05\xff\xff\xff\xff\xff',
            b'\x80\x00\x00\x05nosuc',
            b'\x7f\xff\xff\xff',
        ],
    )
    async def test_invalid_frame_closes_the_connection(self, connected, wire):
        listener, connection = connected
        connection.transport.write(wire)
        async with asyncio.timeout(2):
            while not listener.lost:
                await asyncio.sleep(0.001)
        assert not listener.frames
