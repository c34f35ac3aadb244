"""Tests of the requests to one other instance."""

import asyncio
import time

import pytest

from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.models import Address
from bitternturn.relay.connection import RelayConnection
from bitternturn.relay.peer import Peer, PeerFailure, async_request
from bitternturn.schema.relay_pb2 import Follow, Frame, Receipt, Sends
from tests.platform.test_mirror import async_until
from tests.relay.helpers import make_traffic

TRAFFIC = make_traffic()


class Instance:
    """Replies to each request, and can drop its connections."""

    def __init__(self):
        self.connections = []
        self.requests = []
        self.replying = True

    async def async_start(self):
        self.server = await asyncio.get_running_loop().create_server(
            self._accept, '127.0.0.1', 0
        )
        port = self.server.sockets[0].getsockname()[1]
        return Address(host='127.0.0.1', port=port)

    def _accept(self):
        connection = RelayConnection(
            on_frame=self._on_frame, on_lost=lambda _: None, traffic=TRAFFIC
        )
        self.connections.append(connection)
        return connection

    def _on_frame(self, connection, frame):
        self.requests.append(frame.number)
        if self.replying and not frame.HasField('follow'):
            connection.send(Frame(number=frame.number, receipt=Receipt()))


@pytest.fixture
async def connected():
    """Provide an instance and a client of it."""
    instance = Instance()
    tasks = TaskSet()
    peer = Peer(
        name='p',
        address=await instance.async_start(),
        tasks=tasks,
        now=time.monotonic,
        traffic=TRAFFIC,
        on_cut_off=lambda domains: None,
        on_notices=lambda notices: None,
    )
    yield instance, peer
    await tasks.async_stop()
    peer.close()
    instance.server.close()


class TestLostConnections:
    async def test_only_written_requests_are_lost(self, connected):
        """Guards against a lost request that never left this instance."""
        instance, peer = connected
        instance.replying = False
        written, queued = [], []
        peer.send_request(lambda: Frame(sends=Sends()), written.append)
        await async_until(lambda: instance.requests)
        peer.connection.close()
        instance.replying = True
        # The loss of the connection has not been reported yet.
        peer.send_request(lambda: Frame(sends=Sends()), queued.append)
        await async_until(lambda: written and queued)
        assert written == [PeerFailure.LOST]
        assert queued[0].HasField('receipt')
        assert instance.requests == [1, 2]

    async def test_requests_without_a_connection_were_not_sent(self, connected):
        instance, peer = connected
        instance.server.close()
        failed = []
        for _ in range(3):
            peer.send_request(lambda: Frame(sends=Sends()), failed.append)
        await async_until(lambda: len(failed) == 3)
        assert set(failed) == {PeerFailure.NOT_SENT}
        assert not peer.send_queue


class TestLateReplies:
    """Guards against a busy instance whose replies come after a timeout."""

    TIMEOUT_S = 0.1

    def send(self, peer):
        """Send a request; return the list that gets its replies."""
        replies = []
        peer.send_request(lambda: Frame(sends=Sends()), replies.append)
        return replies

    async def test_late_reply_ends_requests_of_others(self, connected):
        instance, peer = connected
        replies = self.send(peer)
        follow = asyncio.create_task(
            async_request(peer, Frame(follow=Follow()), self.TIMEOUT_S)
        )
        await async_until(lambda: len(instance.requests) == 2)
        others = self.send(peer)
        assert await follow is PeerFailure.LOST
        await async_until(lambda: replies and others)
        await asyncio.sleep(self.TIMEOUT_S)
        assert peer.connection is not None
        assert PeerFailure.LOST not in replies + others

    async def test_silent_instance_loses_requests_under_way(self, connected):
        """It may only be slow, while a new connection may find it alive."""
        instance, peer = connected
        instance.replying = False
        replies = self.send(peer)
        await async_until(lambda: instance.requests)
        first = peer.connection
        follow = Frame(follow=Follow())
        reply = await async_request(peer, follow, self.TIMEOUT_S)
        assert reply is PeerFailure.LOST
        assert peer.connection is None
        instance.replying = True
        others = self.send(peer)
        await async_until(lambda: others)
        assert first.usable
        assert not replies
        instance.connections[0].send(Frame(number=1, receipt=Receipt()))
        await async_until(lambda: replies)
        assert replies[0].HasField('receipt')
        peer.drop_handler(1)
        assert not first.usable
        assert peer.connection.usable

    async def test_lost_connection_ends_requests_over_another(self, connected):
        instance, peer = connected
        instance.replying = False
        replies = self.send(peer)
        await async_until(lambda: instance.requests)
        first = peer.connection
        peer.replace_connection()
        others = self.send(peer)
        await async_until(lambda: len(instance.requests) == 2)
        first.close()
        await async_until(lambda: replies)
        assert replies == [PeerFailure.LOST]
        assert not others
        assert peer.connection.usable
