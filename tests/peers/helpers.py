"""Helpers shared by the tests of peers."""

import asyncio

from bitternturn.core.tasks import TaskSet
from bitternturn.peers.handshake import set_protocol_range
from bitternturn.peers.link import PeerLink
from bitternturn.peers.models import LinkSettings, PeerHandlers
from bitternturn.peers.server import PeerServer
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    ClaimReply,
    FetchReply,
    HandoverReply,
    Hello,
    ProbeReply,
    QueryGroup,
    SubQuery,
    SubResult,
    TimelineReply,
    Versions,
)

FAST = LinkSettings(
    keep_alive_interval_s=0.02,
    idle_keep_alive_interval_s=0.05,
    silence_timeout_s=0.1,
    min_backoff_s=0.001,
    max_backoff_s=0.01,
)
HEADER = QueryGroup(query_id='q', index='i', snapshot=1, remaining_ms=60000)


def make_hello(name: str, cluster: str = 'test') -> Hello:
    return set_protocol_range(Hello(cluster=cluster, instance_id=name))


async def echo(group: QueryGroup, item: SubQuery) -> SubResult:
    return SubResult(
        id=item.id,
        outcome=OUTCOME_ANSWERED,
        body=group.body + item.shard.encode(),
    )


class FakePeer:
    """A peer server with stub handlers that records observed versions."""

    def __init__(self, *, run=echo, name='b', cluster='test') -> None:
        self.observed = []
        self.own_hello = make_hello(name, cluster)
        self.handlers = PeerHandlers(
            run_sub_request=run,
            probe=self.async_probe,
            fetch=self.async_fetch,
            handover=self.async_handover,
            claim=self.async_claim,
            timeline=self.async_timeline,
            hello=lambda: self.own_hello,
            versions=lambda: Versions(view=7),
            observe=self.observe,
        )
        self.server = PeerServer(handlers=self.handlers)

    def observe(self, hello, versions) -> None:
        self.observed.append((hello.instance_id, versions.view))

    async def async_probe(self, request):
        return ProbeReply(hello=self.own_hello, versions=Versions(view=7))

    async def async_fetch(self, request):
        return FetchReply(versions=Versions(view=7))

    async def async_handover(self, request):
        return HandoverReply(versions=Versions(view=7))

    async def async_claim(self, request):
        return ClaimReply(code=request.key)

    async def async_timeline(self, request):
        return TimelineReply()

    async def async_start(self, port=0) -> None:
        await self.server.async_start(host='127.0.0.1', port=port)


def make_link(port, *, settings=FAST, hello=None, observe=None) -> PeerLink:
    handlers = FakePeer(name='a').handlers
    handlers.hello = lambda: hello or make_hello('a')
    handlers.versions = lambda: Versions(view=3)
    if observe is not None:
        handlers.observe = observe
    return PeerLink(
        host='127.0.0.1',
        port=port,
        handlers=handlers,
        tasks=TaskSet(),
        settings=settings,
    )


class SilenceableProxy:
    """TCP proxy that can stop forwarding while keeping connections open."""

    def __init__(self, port: int) -> None:
        self.upstream_port = port
        self.silent = False
        self.port = 0
        self.tasks = TaskSet()

    async def async_start(self) -> None:
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server

    async def async_stop(self) -> None:
        self.server.close()
        await self.tasks.async_stop()

    async def _accept(self, reader, writer) -> None:
        silenced = [self.silent]
        upstream_reader, upstream_writer = await asyncio.open_connection(
            '127.0.0.1', self.upstream_port
        )
        self.tasks.spawn(self._copy(reader, upstream_writer, silenced))
        self.tasks.spawn(self._copy(upstream_reader, writer, silenced))

    async def _copy(self, reader, writer, silenced) -> None:
        # A silenced connection stays silent; later connections are forwarded.
        while data := await reader.read(65536):
            silenced[0] = silenced[0] or self.silent
            if not silenced[0]:
                writer.write(data)
        writer.close()
