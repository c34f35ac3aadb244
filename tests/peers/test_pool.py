"""Tests of PeerPool and LocalLink."""

import asyncio

from bitternturn.core.errors import ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.peers.link import PeerLink
from bitternturn.peers.pool import PeerAddress, PeerPool
from bitternturn.schema.peers_pb2 import OUTCOME_IN_DOUBT, SubQuery
from tests.peers.helpers import FAST, HEADER, FakePeer


def make_pool(peer, now=lambda: 0.0) -> PeerPool:
    return PeerPool(
        handlers=peer.handlers,
        tasks=TaskSet(),
        own_address=lambda: PeerAddress('127.0.0.1', 1),
        now=now,
        settings=FAST,
    )


class TestPool:
    async def test_one_link_per_peer(self):
        pool = make_pool(FakePeer())
        link = pool.link('127.0.0.1', 2)
        assert isinstance(link, PeerLink)
        assert pool.link('127.0.0.1', 2) is link
        assert pool.link('127.0.0.1', 3) is not link

    async def test_closes_idle_links(self):
        clock = [0.0]
        pool = make_pool(FakePeer(), now=lambda: clock[0])
        pool.link('127.0.0.1', 2)
        clock[0] = FAST.idle_timeout_s
        kept = pool.link('127.0.0.1', 3)
        clock[0] = FAST.idle_timeout_s + 1
        await pool.async_close_unused(clock[0])
        assert list(pool.links.values()) == [kept]


class TestLocalLink:
    async def test_runs_without_a_connection(self):
        pool = make_pool(FakePeer())
        link = pool.link('127.0.0.1', 1)
        futures = link.submit(
            HEADER, [SubQuery(shard='1'), SubQuery(shard='2')]
        )
        results = await asyncio.gather(*futures)
        assert [result.body for result in results] == [b'1', b'2']
        assert [result.id for result in results] == [1, 2]

    async def test_handler_error_is_in_doubt(self):
        async def fail(group, item):
            raise RuntimeError

        link = make_pool(FakePeer(run=fail)).link('127.0.0.1', 1)
        result = await link.submit(HEADER, [SubQuery(shard='1')])[0]
        assert result.outcome == OUTCOME_IN_DOUBT
        assert result.code == ErrorCode.INTERNAL.value

    async def test_cancel_reaches_the_handler(self):
        started = asyncio.Event()
        cancelled = asyncio.Event()

        async def wait(group, item):
            started.set()
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        link = make_pool(FakePeer(run=wait)).link('127.0.0.1', 1)
        future = link.submit(HEADER, [SubQuery(shard='1')])[0]
        await started.wait()
        link.cancel(1)
        await cancelled.wait()
        assert future.cancelled() or future.cancelling()
