"""Unary gRPC calls to one peer, on a connection of their own."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.peers.const import DEFAULT_CALL_TIMEOUT_S, STEP_HELLO
from bitternturn.peers.frames import abort_channel
from bitternturn.peers.models import Observe
from bitternturn.schema import peers_pb2
from bitternturn.schema.peers_grpc import PeerStub

# OSError includes asyncio.TimeoutError.
_NO_REPLY_ERRORS = (OSError, ProtocolError, StreamTerminatedError)
_CODES_BY_VALUE = {code.value: code for code in ErrorCode}
_HELLO_FIELD = 'hello'


@dataclass(kw_only=True, slots=True)
class Connection:
    """A connection for unary calls.

    A discarded connection is closed when its last call in flight ends.
    """

    channel: Channel
    calls_in_flight: int = 0
    discarded: bool = False

    def close_if_unused(self) -> None:
        """Close a discarded connection that has no call in flight."""
        if self.discarded and not self.calls_in_flight:
            abort_channel(self.channel)


class PeerCalls:
    """Unary calls; reconnects after a call that got no reply.

    Every call may raise BitternturnError: with PEER_UNREACHABLE if no reply
    was received, otherwise with the code that the peer's handler raised.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        hello: Callable[[], peers_pb2.Hello],
        versions: Callable[[], peers_pb2.Versions],
        observe: Observe,
    ) -> None:
        """Initialise without connecting; the first call does.

        `hello` returns the identification of this instance.
        """
        self.host = host
        self.port = port
        self.peer = f'{host}:{port}'
        self.hello = hello
        self.versions = versions
        self.observe = observe
        self.peer_hello = peers_pb2.Hello()
        self._connection: Connection | None = None

    def discard_connection(self) -> None:
        """Discard the connection; the next call opens a new one."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.discarded = True
            connection.close_if_unused()

    async def async_probe(
        self,
        request: peers_pb2.ProbeRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.ProbeReply:
        """Check that the peer is alive, and exchange versions with it."""
        request.versions.CopyFrom(self.versions())
        reply: peers_pb2.ProbeReply = await self._async_call(
            'Probe', request, timeout_s
        )
        self.peer_hello = reply.hello
        self.observe(reply.hello, reply.versions)
        return reply

    async def async_fetch(
        self,
        request: peers_pb2.FetchRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.FetchReply:
        """Fetch newer configuration objects and the membership view."""
        reply: peers_pb2.FetchReply = await self._async_call(
            'Fetch', request, timeout_s
        )
        self.observe(self.peer_hello, reply.versions)
        return reply

    async def async_handover(
        self,
        request: peers_pb2.HandoverRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.HandoverReply:
        """Transfer the ownership of targets to the peer."""
        reply: peers_pb2.HandoverReply = await self._async_call(
            'Handover',
            request,
            timeout_s,
        )
        self.observe(self.peer_hello, reply.versions)
        return reply

    async def async_claim(
        self,
        request: peers_pb2.ClaimRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.ClaimReply:
        """Claim an idempotency key through the peer."""
        reply: peers_pb2.ClaimReply = await self._async_call(
            'Claim', request, timeout_s
        )
        return reply

    async def async_timeline(
        self,
        request: peers_pb2.TimelineRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.TimelineReply:
        """Fetch timeline events."""
        reply: peers_pb2.TimelineReply = await self._async_call(
            'Timeline',
            request,
            timeout_s,
        )
        return reply

    async def _async_call(
        self,
        method_name: str,
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Call a method of the peer by its name."""
        if _HELLO_FIELD in request.DESCRIPTOR.fields_by_name:
            request.hello.CopyFrom(self.hello())
        if self._connection is None:
            self._connection = Connection(
                channel=Channel(self.host, self.port),
            )
        connection = self._connection
        connection.calls_in_flight += 1
        method = getattr(PeerStub(connection.channel), method_name)
        try:
            return await method(request, timeout=timeout_s)
        except GRPCError as error:
            raise self._from_grpc_error(error, method_name) from error
        except asyncio.CancelledError:
            # The caller may have timed out because the connection is dead.
            if self._connection is connection:
                self.discard_connection()
            raise
        except _NO_REPLY_ERRORS as error:
            if self._connection is connection:
                self.discard_connection()
            raise BitternturnError(
                repr(error),
                code=ErrorCode.PEER_UNREACHABLE,
                step=f'peer {method_name.lower()}',
                peer=self.peer,
            ) from error
        finally:
            connection.calls_in_flight -= 1
            connection.close_if_unused()

    def _from_grpc_error(
        self, error: GRPCError, method_name: str
    ) -> BitternturnError:
        """Convert a gRPC error to the error that the peer's handler raised."""
        code, _, message = (error.message or '').partition(': ')
        error_code = _CODES_BY_VALUE.get(code, ErrorCode.PEER_UNREACHABLE)
        refused = error_code is ErrorCode.PEER_REFUSED
        return BitternturnError(
            message,
            code=error_code,
            step=STEP_HELLO if refused else f'peer {method_name.lower()}',
            peer=self.peer,
        )
