"""Tests of many peers that connect to an instance at the same time."""

import asyncio
import socket

import pytest

from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.models import Address
from bitternturn.relay import const
from bitternturn.relay.copies import StoreCopies
from bitternturn.relay.server import RelayServer
from bitternturn.schema.relay_pb2 import Follow, Frame
from tests.gateway.helpers import make_gateway
from tests.relay.helpers import make_traffic

HOST = '127.0.0.1'
FOLLOW = Frame(number=1, follow=Follow(wait_ms=0)).SerializeToString()


@pytest.mark.parametrize('count', [30, 70])
async def test_peers_that_connect_at_once_are_all_answered(count):
    """Guards against closing peers whose first frame is not read yet.

    An instance that has restarted is connected to by all others at once. Each
    has written its frame before the connection is accepted; a closed
    connection makes it count as lost, so that a request may have run.
    """
    gateway = make_gateway('i')
    tasks = TaskSet()
    server = RelayServer(
        gateway=gateway,
        copies=StoreCopies(kinds=()),
        tasks=tasks,
        traffic=make_traffic(gateway.metrics),
    )
    port = await server.async_start(Address(host=HOST, port=0))
    wire = len(FOLLOW).to_bytes(const.LENGTH_BYTES) + FOLLOW
    peers = []
    for _ in range(count):
        peer = socket.create_connection((HOST, port))
        peer.sendall(wire)
        peer.setblocking(False)
        peers.append(peer)
    loop = asyncio.get_running_loop()

    async def async_read(peer):
        try:
            async with asyncio.timeout(5):
                return await loop.sock_recv(peer, 100)
        except OSError:
            return b''

    replies = await asyncio.gather(*map(async_read, peers))
    for peer in peers:
        peer.close()
    server.close()
    await tasks.async_stop()
    closed = sum(not reply for reply in replies)
    assert (closed, gateway.metrics.counts['silent_peers_closed', ()]) == (0, 0)
