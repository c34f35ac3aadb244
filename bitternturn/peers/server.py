"""gRPC server for the other instances."""

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
from bitternturn.peers.handshake import find_incompatibility
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

GRPC_CONFIGURATION = Configuration(
    http2_connection_window_size=const.FLOW_CONTROL_WINDOW_BYTES,
    http2_stream_window_size=const.FLOW_CONTROL_WINDOW_BYTES,
)


class _GrpcServer(Server):
    """A gRPC server that can close its open connections."""

    def __init__(self, handlers: Any, *, config: Configuration) -> None:
        """Initialise without connections."""
        super().__init__(handlers, config=config)
        self.protocols: weakref.WeakSet[H2Protocol] = weakref.WeakSet()

    def stop_listening(self) -> None:
        """Accept no new connections; keep serving the open ones."""
        if self._server is not None:
            self._server.close()

    def close_connections(self) -> None:
        """Close every connection after flushing written data."""
        for protocol in list(self.protocols):
            if hasattr(protocol, 'processor'):
                protocol.processor.close('server stopped')

    def has_connections(self) -> bool:
        """Return whether any client connection is open."""
        return any(
            hasattr(protocol, 'connection')
            and not protocol.connection.is_closing()
            for protocol in self.protocols
        )

    def _protocol_factory(self) -> H2Protocol:
        """Register the protocol of a new connection."""
        protocol = super()._protocol_factory()
        self.protocols.add(protocol)
        return protocol


Request = TypeVar('Request')
Reply = TypeVar('Reply')


class PeerServer(PeerBase):
    """Serves exchange streams and unary calls of the other instances."""

    def __init__(
        self,
        *,
        handlers: PeerHandlers,
        now: Clock = monotonic,
        session_silence_timeout_s: float = const.SESSION_SILENCE_TIMEOUT_S,
    ) -> None:
        """Initialise with the handlers; `async_start` listens."""
        self.handlers = handlers
        self.now = now
        self.session_silence_timeout_s = session_silence_timeout_s
        self.tasks = TaskSet()
        self.sessions: dict[ExchangeSession, asyncio.Task[Any]] = {}
        self.calls_in_flight = 0
        self.refuses_streams = False
        self.host = ''
        self.port = 0
        self._work_ended = asyncio.Event()
        self._server: _GrpcServer | None = None

    async def async_start(self, *, host: str, port: int) -> None:
        """Start listening; port 0 selects a free port."""
        self._server = _GrpcServer([self], config=GRPC_CONFIGURATION)
        await self._server.start(host, port)
        sockets = self._server._server.sockets  # type: ignore[union-attr]
        self.host, self.port = sockets[0].getsockname()[:2]
        self.tasks.spawn(self._async_expire_sessions(), name='session sweep')

    async def async_drain(self) -> None:
        """Answer outstanding requests, then end every stream and stop.

        New streams are accepted until the streams open at the start of the
        drain have ended, each once no sub-request is running; later ones
        are refused as draining.
        """
        await self._async_drain_sessions(set(self.sessions))
        self.refuses_streams = True
        await self._async_drain_sessions(set(self.sessions))
        while self.calls_in_flight:
            self._work_ended.clear()
            await self._work_ended.wait()
        if self._server is not None:
            self._server.stop_listening()
        await self._async_wait_for_clients()
        await self.async_stop()

    async def async_stop(self) -> None:
        """Stop at once, closing every connection."""
        await self.tasks.async_stop()
        if self._server is not None:
            self._server.close()
            self._server.close_connections()
            await self._server.wait_closed()

    async def Exchange(self, stream: Any) -> None:
        """Serve one stream of sub-requests."""
        if self.refuses_streams:
            raise GRPCError(Status.UNAVAILABLE, ErrorCode.DRAINING.value)
        session = ExchangeSession(
            stream=stream,
            handlers=self.handlers,
            tasks=self.tasks,
            now=self.now,
            peer=_client_address(stream),
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
            self._work_ended.set()

    async def Probe(self, stream: Any) -> None:
        """Answer a probe."""
        await self._async_serve_call(
            stream, ProbeRequest.FromString, self._async_probe
        )

    async def Fetch(self, stream: Any) -> None:
        """Return newer configuration objects."""
        await self._async_serve_call(
            stream, FetchRequest.FromString, self.handlers.fetch
        )

    async def Handover(self, stream: Any) -> None:
        """Take over the ownership of targets."""
        await self._async_serve_call(
            stream,
            HandoverRequest.FromString,
            self.handlers.handover,
        )

    async def Claim(self, stream: Any) -> None:
        """Claim an idempotency key for a peer."""
        await self._async_serve_call(
            stream, ClaimRequest.FromString, self.handlers.claim
        )

    async def Timeline(self, stream: Any) -> None:
        """Return timeline events."""
        await self._async_serve_call(
            stream,
            TimelineRequest.FromString,
            self.handlers.timeline,
        )

    async def _async_probe(self, request: ProbeRequest) -> ProbeReply:
        """Answer a probe with the hello and versions of this instance."""
        reply = await self.handlers.probe(request)
        reply.hello.CopyFrom(self.handlers.hello())
        # Peers without an exchange stream learn of new versions only by probes.
        reply.versions.CopyFrom(self.handlers.versions())
        return reply

    async def _async_serve_call(
        self,
        stream: Any,
        decode: Callable[[bytes], Request],
        handler: Callable[[Request], Awaitable[Reply]],
    ) -> None:
        """Serve one unary call."""
        self.calls_in_flight += 1
        try:
            request = await async_receive(
                stream,
                decode,
                peer=_client_address(stream),
            )
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, 'no request message')
            self._check_sender(request)
            await stream.send_message(await handler(request))
        except BitternturnError as error:
            raise _to_grpc_error(error) from error
        finally:
            self.calls_in_flight -= 1
            self._work_ended.set()

    def _check_sender(self, request: Any) -> None:
        """Check the hello of a request; report its sender and versions."""
        if isinstance(request, TimelineRequest):
            return
        hello = request.hello
        refusal = find_incompatibility(own=self.handlers.hello(), other=hello)
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

    async def _async_drain_sessions(
        self, sessions: set[ExchangeSession]
    ) -> None:
        """Drain sessions and wait until they end."""
        for session in sessions:
            session.drain()
        while not sessions.isdisjoint(self.sessions):
            self._work_ended.clear()
            await self._work_ended.wait()

    async def _async_wait_for_clients(self) -> None:
        """Wait for clients to disconnect, so that they read all results.

        A connection reset could discard results not read yet.
        """
        assert self._server is not None
        for _ in range(const.MAX_CLOSE_POLLS):
            if not self._server.has_connections():
                return
            await asyncio.sleep(const.CLOSE_POLL_INTERVAL_S)

    async def _async_expire_sessions(self) -> None:
        """Cancel sessions whose clients sent nothing within the timeout."""
        last_checked_at = self.now()
        while True:
            await asyncio.sleep(self.session_silence_timeout_s / 4)
            now = self.now()
            paused = now - last_checked_at > self.session_silence_timeout_s / 2
            last_checked_at = now
            if paused:
                # This process was suspended: received frames may be unread.
                continue
            for session, task in list(self.sessions.items()):
                if (
                    now - session.last_received_at
                    > self.session_silence_timeout_s
                ):
                    task.cancel()


def _client_address(stream: Any) -> str:
    """Return the address of the client of a stream."""
    address = stream.peer.addr() or ('', 0)
    return f'{address[0]}:{address[1]}'


def _to_grpc_error(error: BitternturnError) -> GRPCError:
    """Convert an error of a handler to a gRPC error."""
    return GRPCError(
        Status.ABORTED,
        f'{error.code.value}: {error.step}: {error.message}',
    )
