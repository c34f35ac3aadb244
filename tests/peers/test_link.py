"""Tests of PeerLink against PeerServer."""

import asyncio

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.peers import const
from bitternturn.peers.models import LinkSettings
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_IN_DOUBT,
    OUTCOME_NOT_RUN,
    ClaimRequest,
    Hello,
    ProbeRequest,
    QueryFrame,
    QueryGroup,
    ResultFrame,
    SubQuery,
    SubResult,
    Versions,
)
from tests.peers.helpers import (
    FAST,
    HEADER,
    FakePeer,
    SilenceableProxy,
    make_hello,
    make_link,
)


def items(*shards):
    return [SubQuery(shard=shard, target=f't-{shard}') for shard in shards]


class BlockingHandler:
    """A handler that blocks every sub-request until released."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def __call__(self, group, item):
        self.started.set()
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return SubResult(id=item.id, outcome=OUTCOME_ANSWERED)


@pytest.fixture
async def peer():
    started = FakePeer()
    await started.async_start()
    yield started
    await started.server.async_stop()


class TestExchange:
    async def test_each_future_gets_its_own_result(self, peer):
        link = make_link(peer.server.port)
        header = QueryGroup(body=b'x', remaining_ms=60000)
        futures = link.submit(header, items('1', '2', '3'))
        results = await asyncio.gather(*futures)
        assert [result.body for result in results] == [b'x1', b'x2', b'x3']
        await link.async_close()

    async def test_one_frame_per_loop_iteration(self, peer):
        frames = []
        observe = peer.handlers.observe

        def count(hello, versions):
            frames.append(hello)
            observe(hello, versions)

        peer.handlers.observe = count
        slow = LinkSettings(keep_alive_interval_s=60)
        link = make_link(peer.server.port, settings=slow)
        await link.submit(HEADER, items('0'))[0]
        frames.clear()
        futures = [
            future
            for query in range(5)
            for future in link.submit(HEADER, items(f'{query}', 'b'))
        ]
        await asyncio.gather(*futures)
        assert len(frames) == 1
        await link.async_close()

    async def test_versions_of_both_sides_are_observed(self, peer):
        observed = []
        link = make_link(
            peer.server.port,
            observe=lambda hello, versions: observed.append(
                (hello.instance_id, versions.view),
            ),
        )
        await link.submit(HEADER, items('1'))[0]
        assert ('b', 7) in observed
        assert ('a', 3) in peer.observed
        await link.async_close()

    async def test_large_bodies_pass_flow_control(self, peer):
        link = make_link(peer.server.port, settings=LinkSettings())
        header = QueryGroup(body=b'x' * 900_000, remaining_ms=60000)
        futures = [link.submit(header, items('1'))[0] for _ in range(12)]
        results = await asyncio.gather(*futures)
        assert {len(result.body) for result in results} == {900_001}
        await link.async_close()

    async def test_outstanding_sub_requests_are_limited(self):
        blocking = BlockingHandler()
        peer = FakePeer(run=blocking)
        await peer.async_start()
        settings = LinkSettings(max_outstanding=2)
        link = make_link(peer.server.port, settings=settings)
        kept = link.submit(HEADER, items('1', '2'))
        over = await link.submit(HEADER, items('3'))[0]
        assert over.outcome == OUTCOME_NOT_RUN
        assert over.code == ErrorCode.OVERLOADED.value
        blocking.release.set()
        await asyncio.gather(*kept)
        assert link.submit(HEADER, items('4'))
        await link.async_close()
        await peer.server.async_stop()

    async def test_handler_error_is_in_doubt(self):
        async def fail(group, item):
            raise RuntimeError

        peer = FakePeer(run=fail)
        await peer.async_start()
        link = make_link(peer.server.port)
        result = await link.submit(HEADER, items('1'))[0]
        assert result.outcome == OUTCOME_IN_DOUBT
        assert result.code == ErrorCode.INTERNAL.value
        await link.async_close()
        await peer.server.async_stop()


class TestCancel:
    async def test_cancel_reaches_the_handler(self):
        blocking = BlockingHandler()
        peer = FakePeer(run=blocking)
        await peer.async_start()
        link = make_link(peer.server.port)
        future = link.submit(HEADER, items('1'))[0]
        await blocking.started.wait()
        future.cancel()
        await blocking.cancelled.wait()
        assert not link.outbox.outstanding
        await link.async_close()
        await peer.server.async_stop()

    async def test_sub_request_cancelled_before_write_is_not_sent(self, peer):
        link = make_link(peer.server.port)
        first, second = link.submit(HEADER, items('1', '2'))
        first.cancel()
        assert (await second).body == b'2'
        assert not link.outbox.ignored_count
        assert all(
            not session.ignored_count for session in peer.server.sessions
        )
        await link.async_close()

    async def test_unexpected_results_are_ignored(self, peer):
        link = make_link(peer.server.port)
        future = link.submit(HEADER, items('1'))[0]
        link.outbox.deliver(SubResult(id=1, outcome=OUTCOME_ANSWERED))
        link.outbox.deliver(SubResult(id=99, outcome=OUTCOME_ANSWERED))
        assert link.outbox.ignored_count == 2
        assert (await future).body == b'1'
        await link.async_close()


class TestFailures:
    async def test_refused_connection_is_not_run(self, peer):
        await peer.server.async_stop()
        link = make_link(peer.server.port)
        result = await link.submit(HEADER, items('1'))[0]
        assert result.outcome == OUTCOME_NOT_RUN
        assert result.code == ErrorCode.PEER_UNREACHABLE.value
        await link.async_close()

    async def test_silent_stream_fails_and_link_reconnects(self):
        blocking = BlockingHandler()
        peer = FakePeer(run=blocking)
        await peer.async_start()
        proxy = SilenceableProxy(peer.server.port)
        await proxy.async_start()
        link = make_link(proxy.port)
        written = link.submit(HEADER, items('1'))[0]
        await blocking.started.wait()
        proxy.silent = True
        result = await written
        assert result.outcome == OUTCOME_IN_DOUBT
        assert result.code == ErrorCode.PEER_UNREACHABLE.value
        proxy.silent = False
        blocking.release.set()
        while result.outcome != OUTCOME_ANSWERED:
            result = await link.submit(HEADER, items('1'))[0]
            await asyncio.sleep(0.001)
        await link.async_close()
        await proxy.async_stop()
        await peer.server.async_stop()

    async def test_written_sub_request_is_in_doubt_after_server_stop(self):
        blocking = BlockingHandler()
        peer = FakePeer(run=blocking)
        await peer.async_start()
        link = make_link(peer.server.port)
        future = link.submit(HEADER, items('1'))[0]
        await blocking.started.wait()
        await peer.server.async_stop()
        assert (await future).outcome == OUTCOME_IN_DOUBT
        await link.async_close()

    async def test_idle_stream_stays_open(self, peer):
        link = make_link(peer.server.port)
        await link.submit(HEADER, items('1'))[0]
        received = len(peer.observed)
        while len(peer.observed) < received + 3:
            await asyncio.sleep(0.001)
        assert len(peer.server.sessions) == 1
        assert link.failures == 0
        await link.async_close()

    async def test_server_closes_session_of_silent_client(self):
        blocking = BlockingHandler()
        peer = FakePeer(run=blocking)
        peer.server.session_silence_timeout_s = 0.05
        await peer.async_start()
        no_keep_alive = LinkSettings(keep_alive_interval_s=60)
        link = make_link(peer.server.port, settings=no_keep_alive)
        link.submit(HEADER, items('1'))
        await blocking.cancelled.wait()
        while peer.server.sessions:
            await asyncio.sleep(0.001)
        await link.async_close()
        await peer.server.async_stop()


class TestHandshake:
    @pytest.mark.parametrize(
        'hello',
        [
            make_hello('a', 'other'),
            Hello(cluster='test', protocol=1, oldest_protocol=1),
            Hello(
                cluster='test',
                instance_id='a',
                protocol=const.PROTOCOL + 2,
                oldest_protocol=const.PROTOCOL + 1,
            ),
            Hello(),
        ],
    )
    async def test_incompatible_hello_is_rejected(self, peer, hello):
        link = make_link(peer.server.port, hello=hello)
        result = await link.submit(HEADER, items('1'))[0]
        assert result.outcome == OUTCOME_NOT_RUN
        assert result.code == ErrorCode.PEER_REFUSED.value
        assert not peer.observed
        with pytest.raises(BitternturnError) as caught:
            await link.async_probe(ProbeRequest(hello=hello))
        assert caught.value.code is ErrorCode.PEER_REFUSED
        await link.async_close()

    async def test_later_release_with_common_protocol_works(self, peer):
        later = Hello(
            cluster='test',
            instance_id='a',
            protocol=const.PROTOCOL + 5,
            oldest_protocol=const.PROTOCOL,
        )
        link = make_link(peer.server.port, hello=later)
        result = await link.submit(HEADER, items('1'))[0]
        assert result.outcome == OUTCOME_ANSWERED
        await link.async_close()

    async def test_oversize_frame_ends_the_stream(self, peer, monkeypatch):
        link = make_link(peer.server.port)
        await link.submit(HEADER, items('1'))[0]
        monkeypatch.setattr('bitternturn.peers.frames.MAX_FRAME_BYTES', 500)
        header = QueryGroup(body=b'x' * 1000, remaining_ms=60000)
        result = await link.submit(header, items('1'))[0]
        assert result.outcome == OUTCOME_IN_DOUBT
        await link.async_close()


class TestCalls:
    async def test_probe_reply_contains_every_version(self, peer):
        peer.handlers.versions = lambda: Versions(view=8, profiles=5)
        link = make_link(peer.server.port)
        reply = await link.async_probe(ProbeRequest(hello=make_hello('a')))
        assert reply.versions == Versions(view=8, profiles=5)
        await link.async_close()

    async def test_call_returns_reply_or_error(self, peer):
        link = make_link(peer.server.port)
        hello = make_hello('a')
        reply = await link.async_probe(ProbeRequest(hello=hello))
        assert reply.versions.view == 7

        async def refuse(request):
            raise BitternturnError(
                code=ErrorCode.CLAIM_UNAVAILABLE, step='claim'
            )

        peer.handlers.claim = refuse
        with pytest.raises(BitternturnError) as caught:
            await link.async_claim(ClaimRequest(hello=hello, key='k'))
        assert caught.value.code is ErrorCode.CLAIM_UNAVAILABLE
        await link.async_close()

    async def test_probe_exchanges_versions_of_both_sides(self, peer):
        received = []
        link = make_link(
            peer.server.port,
            observe=lambda hello, versions: received.append(versions),
        )
        link.versions = lambda: Versions(profiles=5, switches=6)
        peer.handlers.versions = lambda: Versions(view=7, indexes=8)
        seen = []
        peer.handlers.observe = lambda hello, versions: seen.append(versions)
        await link.async_probe(ProbeRequest(hello=make_hello('a')))
        assert seen == [Versions(profiles=5, switches=6)]
        assert received == [Versions(view=7, indexes=8)]
        await link.async_close()

    async def test_call_after_timeout_reconnects(self, peer):
        proxy = SilenceableProxy(peer.server.port)
        await proxy.async_start()
        link = make_link(proxy.port)
        request = ProbeRequest(hello=make_hello('a'))
        await link.async_probe(request)
        proxy.silent = True
        with pytest.raises(BitternturnError) as caught:
            await link.async_probe(request, timeout_s=0.05)
        assert caught.value.code is ErrorCode.PEER_UNREACHABLE
        assert caught.value.step == 'peer probe'
        proxy.silent = False
        assert (await link.async_probe(request)).versions.view == 7
        await link.async_close()
        await proxy.async_stop()


class TestDrain:
    async def test_drain_answers_outstanding_sub_requests(self):
        blocking = BlockingHandler()
        peer = FakePeer(run=blocking)
        await peer.async_start()
        link = make_link(peer.server.port)
        futures = link.submit(HEADER, items('1', '2'))
        await blocking.started.wait()
        drain = asyncio.create_task(peer.server.async_drain())
        await asyncio.sleep(0)
        late = link.submit(HEADER, items('3'))[0]
        await asyncio.sleep(0)
        blocking.release.set()
        results = await asyncio.gather(*futures)
        assert {result.outcome for result in results} == {OUTCOME_ANSWERED}
        # Either answered or not run, but never in doubt.
        assert (await late).outcome in {OUTCOME_ANSWERED, OUTCOME_NOT_RUN}
        await drain
        refused = await link.submit(HEADER, items('4'))[0]
        assert refused.outcome == OUTCOME_NOT_RUN
        await link.async_close()

    async def test_unanswered_at_clean_end_is_not_run(self):
        peer = FakePeer()
        await peer.async_start()
        link = make_link(peer.server.port, settings=FAST)
        await link.submit(HEADER, items('1'))[0]
        drain = asyncio.create_task(peer.server.async_drain())
        outcomes = []
        while not drain.done():
            result = await link.submit(HEADER, items('2'))[0]
            outcomes.append(result.outcome)
            await asyncio.sleep(0)
        assert OUTCOME_IN_DOUBT not in outcomes
        assert outcomes[-1] == OUTCOME_NOT_RUN
        await link.async_close()


class TestSchema:
    def test_unknown_fields_are_skipped(self):
        later = QueryFrame(clock=5).SerializeToString() + b'\xa2\x06\x01x'
        assert QueryFrame.FromString(later).clock == 5
        assert ResultFrame.FromString(b'\xa2\x06\x01x').clock == 0
