"""Tests of the listener of peers against connections of anyone else."""

import asyncio

import pytest

from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.models import Address
from bitternturn.platform.caller_limits import count_new_peers
from bitternturn.relay import const
from bitternturn.relay.copies import StoreCopies
from bitternturn.relay.server import RelayServer
from bitternturn.schema.relay_pb2 import Frame, Leaving
from tests.gateway.helpers import make_gateway
from tests.relay.helpers import make_traffic

HOST = '127.0.0.1'
LEAVING = Frame(leaving=Leaving()).SerializeToString()
# Instances of the largest deployment; see docs/CAPACITY.md.
FLEET_SIZE = 440
PARTIAL_BYTES = 1024 * 1024


@pytest.fixture
async def listener():
    """Provide a listener of peers and its port."""
    gateway = make_gateway('i')
    tasks = TaskSet()
    server = RelayServer(
        gateway=gateway,
        copies=StoreCopies(kinds=()),
        tasks=tasks,
        traffic=make_traffic(gateway.metrics),
    )
    port = await server.async_start(Address(host=HOST, port=0))
    yield server, port
    server.close()
    await tasks.async_stop()


async def async_open(port, wire=b''):
    _, writer = await asyncio.open_connection(HOST, port)
    writer.write(wire)
    return writer


async def async_wait_for(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


class TestSilentConnections:
    async def test_oldest_are_closed_but_no_peer(self, listener):
        """Connections that only open used up the descriptors."""
        server, port = listener
        wire = len(LEAVING).to_bytes(const.LENGTH_BYTES) + LEAVING
        peer = await async_open(port, wire)
        await async_wait_for(lambda: server.connections and not server.silent)
        (known,) = server.connections
        others = [
            await async_open(port)
            for _ in range(const.MAX_SILENT_CONNECTIONS + 20)
        ]
        most = const.MAX_SILENT_CONNECTIONS
        await async_wait_for(
            lambda: (
                server.gateway.metrics.counts['silent_peers_closed', ()] == 20
                and len(server.connections) == most + 1
            )
        )
        assert known in server.connections
        for writer in (peer, *others):
            writer.transport.abort()
        await async_wait_for(lambda: not server.connections)
        assert not server.silent

    async def test_newest_are_kept_within_the_limit_of_descriptors(
        self, listener
    ):
        """Guards against connections that use up the descriptors at once.

        They are closed before the time in which peers send their first frame.
        """
        server, port = listener
        server.max_new_connections = 40
        others = [await async_open(port) for _ in range(50)]
        await async_wait_for(lambda: len(server.connections) == 40)
        assert server.gateway.metrics.counts['silent_peers_closed', ()] == 10
        for writer in others:
            writer.transport.abort()
        await async_wait_for(lambda: not server.connections)

    async def test_whole_fleet_connects_at_once(self, listener):
        """Guards against closing peers when all instances connect together.

        The number of connections without a frame is that of 1024 descriptors.
        """
        server, port = listener
        server.max_new_connections = count_new_peers(1024)
        wire = len(LEAVING).to_bytes(const.LENGTH_BYTES) + LEAVING
        async with asyncio.timeout(20):
            peers = await asyncio.gather(
                *(async_open(port, wire) for _ in range(FLEET_SIZE))
            )
        await async_wait_for(
            lambda: len(server.connections) == FLEET_SIZE and not server.silent
        )
        assert server.gateway.metrics.counts['silent_peers_closed', ()] == 0
        for writer in peers:
            writer.transport.abort()
        await async_wait_for(lambda: not server.connections)


class TestIncompleteFrames:
    async def test_largest_are_closed_above_the_memory(self, listener):
        server, port = listener
        server.buffers.max_bytes = 4 * PARTIAL_BYTES
        wire = const.MAX_FRAME_BYTES.to_bytes(const.LENGTH_BYTES)
        wire += b'x' * PARTIAL_BYTES
        writers = [await async_open(port, wire) for _ in range(8)]
        await async_wait_for(lambda: len(server.connections) <= 4)
        held = sum(len(it.buffer) for it in server.connections)
        assert held <= server.buffers.max_bytes
        for writer in writers:
            writer.transport.abort()
        await async_wait_for(lambda: not server.connections)
        assert server.buffers.total_bytes == 0
