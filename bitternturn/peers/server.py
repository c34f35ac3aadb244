"""Server for the other instances."""

import asyncio
import weakref
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from bitternturn.core.clock import Clock, monotonic
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.peers import const
from bitternturn.peers.frames import async_receive
from bitternturn.peers.handshake import find_refusal
from bitternturn.peers.models import PeerHandlers
from bitternturn.peers.session import ExchangeSession
from bitternturn.schema.peers_grpc import PeerBase
from bitternturn.schema.peers_pb2 import (
    ClaimRequest,
    FetchRequest,
    HandoverRequest,
    ProbeReply,
    ProbeRequest,
    TimelineRequest,
    Versions,
)

CONFIGURATION = Configuration(
    http2_connection_window_size=const.WINDOW_BYTES,
    http2_stream_window_size=const.WINDOW_BYTES,
)


class _Listener(Server):
    """A server that closes its connections when it stops."""

    def __init__(self, handlers: Any, *, config: Configuration) -> None:
        """Start with no connection."""
        super().__init__(handlers, config=config)
        self.protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def close_listener(self) -> None:
        """Take no further connections; serve those that there are."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> None:
        """Close every connection after what is written."""
        for protocol in list(self.protocols):
            if hasattr(protocol, 'processor'):
                protocol.processor.close('server stopped')

    def connected(self) -> bool:
        """Whether some client still holds a connection."""
        return any(
            hasattr(protocol, 'connection')
            and not protocol.connection.is_closing()
            for protocol in self.protocols
        )

    def _protocol_factory(self) -> H2Protocol:
        """Keep the protocol of a new connection."""
        protocol = super()._protocol_factory()
        self.protocols.add(protocol)
        return protocol


Request = TypeVar('Request')
Reply = TypeVar('Reply')


class PeerServer(PeerBase):
    """Serves exchange streams and single calls of the other instances."""

    def __init__(
        self,
        *,
        handlers: PeerHandlers,
        now: Clock = monotonic,
        session_silent_s: float = const.SESSION_SILENT_S,
    ) -> None:
        """Hold the handlers; nothing listens yet."""
        self.handlers = handlers
        self.now = now
        self.session_silent_s = session_silent_s
        self.tasks = TaskSet()
        self.sessions: dict[ExchangeSession, asyncio.Task[Any]] = {}
        self.calls = 0
        self.refusing = False
        self.host = ''
        self.port = 0
        self._changed = asyncio.Event()
        self._server: _Listener | None = None

    async def async_start(self, *, host: str, port: int) -> None:
        """Listen; port 0 takes a free one."""
        self._server = _Listener([self], config=CONFIGURATION)
        await self._server.start(host, port)
        sockets = self._server._server.sockets  # type: ignore[union-attr]
        self.host, self.port = sockets[0].getsockname()[:2]
        self.tasks.spawn(self._async_sweep(), name='session sweep')

    async def async_drain(self) -> None:
        """Answer what is outstanding, then end every stream and close.

        Streams are taken on until those of the drain's start have ended, each
        between two of its sub-requests; later ones are refused as draining.
        """
        await self._async_end(set(self.sessions))
        self.refusing = True
        await self._async_end(set(self.sessions))
        while self.calls:
            self._changed.clear()
            await self._changed.wait()
        if self._server is not None:
            self._server.close_listener()
        await self._async_linger()
        await self.async_stop()

    async def async_stop(self) -> None:
        """Close at once."""
        await self.tasks.async_stop()
        if self._server is not None:
            self._server.close()
            self._server.close_connections()
            await self._server.wait_closed()

    async def Exchange(self, stream: Any) -> None:
        """Serve one stream of sub-requests."""
        if self.refusing:
            raise GRPCError(Status.UNAVAILABLE, ErrorCode.DRAINING.value)
        session = ExchangeSession(
            stream=stream,
            handlers=self.handlers,
            tasks=self.tasks,
            now=self.now,
            peer=_address(stream),
        )
        task = asyncio.current_task()
        assert task is not None
        self.sessions[session] = task
        try:
            await session.async_run()
        except BitternturnError as error:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f'{error.code.value}: {error.message}',
            ) from error
        finally:
            self.sessions.pop(session, None)
            self._changed.set()

    async def Probe(self, stream: Any) -> None:
        """Answer a probe."""
        await self._async_answer(
            stream, ProbeRequest.FromString, self._async_probe
        )

    async def Fetch(self, stream: Any) -> None:
        """Send newer configuration objects."""
        await self._async_answer(
            stream, FetchRequest.FromString, self.handlers.fetch
        )

    async def Handover(self, stream: Any) -> None:
        """Take targets over."""
        await self._async_answer(
            stream,
            HandoverRequest.FromString,
            self.handlers.handover,
        )

    async def Claim(self, stream: Any) -> None:
        """Claim an idempotency key for a peer."""
        await self._async_answer(
            stream, ClaimRequest.FromString, self.handlers.claim
        )

    async def Timeline(self, stream: Any) -> None:
        """Send events."""
        await self._async_answer(
            stream,
            TimelineRequest.FromString,
            self.handlers.timeline,
        )

    async def _async_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer a probe under the name of this instance."""
        reply = await self.handlers.probe(request)
        reply.hello.CopyFrom(self.handlers.hello())
        # Peers without an exchange stream learn of changes by probes alone.
        reply.versions.CopyFrom(self.handlers.versions())
        return reply

    async def _async_answer(
        self,
        stream: Any,
        decode: Callable[[bytes], Request],
        handler: Callable[[Request], Awaitable[Reply]],
    ) -> None:
        """Serve one call."""
        self.calls += 1
        try:
            request = await async_receive(
                stream,
                decode,
                peer=_address(stream),
            )
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, 'no message')
            self._greet(request)
            await stream.send_message(await handler(request))
        except BitternturnError as error:
            raise _convert(error) from error
        finally:
            self.calls -= 1
            self._changed.set()

    def _greet(self, request: Any) -> None:
        """Check the sender of a request that names it."""
        if isinstance(request, TimelineRequest):
            return
        hello = request.hello
        refusal = find_refusal(own=self.handlers.hello(), other=hello)
        if refusal:
            raise BitternturnError(
                refusal,
                code=ErrorCode.PEER_REFUSED,
                step=const.STEP_HELLO,
                peer=hello.instance_id,
            )
        if isinstance(request, (ProbeRequest, FetchRequest)):
            self.handlers.observe(hello, request.versions)
        elif isinstance(request, HandoverRequest):
            self.handlers.observe(hello, Versions(view=request.view_version))
        else:
            self.handlers.observe(hello, Versions())

    async def _async_end(self, sessions: set[ExchangeSession]) -> None:
        """Drain sessions and wait until they have ended."""
        for session in sessions:
            session.drain()
        while not sessions.isdisjoint(self.sessions):
            self._changed.clear()
            await self._changed.wait()

    async def _async_linger(self) -> None:
        """Let clients read their last results before a reset can drop them."""
        assert self._server is not None
        for _ in range(const.LINGER_STEPS):
            if not self._server.connected():
                return
            await asyncio.sleep(const.LINGER_STEP_S)

    async def _async_sweep(self) -> None:
        """Give up sessions whose clients went silent."""
        swept_at = self.now()
        while True:
            await asyncio.sleep(self.session_silent_s / 4)
            now = self.now()
            paused = now - swept_at > self.session_silent_s / 2
            swept_at = now
            if paused:
                # What came meanwhile is not read yet.
                continue
            for session, task in list(self.sessions.items()):
                if now - session.heard_at > self.session_silent_s:
                    task.cancel()


def _address(stream: Any) -> str:
    """Return the client's address."""
    address = stream.peer.addr() or ('', 0)
    return f'{address[0]}:{address[1]}'


def _convert(error: BitternturnError) -> GRPCError:
    """Return the form in which an error of a handler travels."""
    return GRPCError(
        Status.ABORTED,
        f'{error.code.value}: {error.step}: {error.message}',
    )
