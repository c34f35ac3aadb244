"""Single calls to one peer, on a connection of their own."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.peers.const import DEFAULT_CALL_TIMEOUT_S, STEP_HELLO
from bitternturn.peers.frames import abort
from bitternturn.peers.models import Observe
from bitternturn.schema import peers_pb2
from bitternturn.schema.peers_grpc import PeerStub

# asyncio.TimeoutError is among the OSErrors.
_UNANSWERED = (OSError, ProtocolError, StreamTerminatedError)
_CODES = {code.value: code for code in ErrorCode}
_HELLO = 'hello'


@dataclass(kw_only=True, slots=True)
class Connection:
    """A connection for calls; closed after its last call once given up."""

    channel: Channel
    calls: int = 0
    given_up: bool = False

    def close_when_unused(self) -> None:
        """Close if no call needs it and none will."""
        if self.given_up and not self.calls:
            abort(self.channel)


class PeerCalls:
    """Single calls; after an unanswered one the next call connects anew.

    Every call raises BitternturnError: PEER_UNREACHABLE when no answer came,
    else the code that the peer's handler raised.
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
        """Prepare; the first call connects. `hello` tells who calls."""
        self.host = host
        self.port = port
        self.peer = f'{host}:{port}'
        self.hello = hello
        self.versions = versions
        self.observe = observe
        self.peer_hello = peers_pb2.Hello()
        self._connection: Connection | None = None

    def drop(self) -> None:
        """Give up the connection; the next call makes another one."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.given_up = True
            connection.close_when_unused()

    async def async_probe(
        self,
        request: peers_pb2.ProbeRequest,
        *,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> peers_pb2.ProbeReply:
        """Ask whether the peer lives, and tell which versions are held."""
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
        """Fetch newer configuration objects and the view."""
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
        """Hand targets over to the peer."""
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
        """Fetch events."""
        reply: peers_pb2.TimelineReply = await self._async_call(
            'Timeline',
            request,
            timeout_s,
        )
        return reply

    async def _async_call(
        self,
        name: str,
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Make one call by the name of its method."""
        if _HELLO in request.DESCRIPTOR.fields_by_name:
            request.hello.CopyFrom(self.hello())
        if self._connection is None:
            self._connection = Connection(
                channel=Channel(self.host, self.port),
            )
        connection = self._connection
        connection.calls += 1
        method = getattr(PeerStub(connection.channel), name)
        try:
            return await method(request, timeout=timeout_s)
        except GRPCError as error:
            raise self._convert(error, name) from error
        except asyncio.CancelledError:
            # The connection may have gone silent.
            if self._connection is connection:
                self.drop()
            raise
        except _UNANSWERED as error:
            if self._connection is connection:
                self.drop()
            raise BitternturnError(
                repr(error),
                code=ErrorCode.PEER_UNREACHABLE,
                step=f'peer {name.lower()}',
                peer=self.peer,
            ) from error
        finally:
            connection.calls -= 1
            connection.close_when_unused()

    def _convert(self, error: GRPCError, name: str) -> BitternturnError:
        """Return the peer's error under its own code."""
        code, _, message = (error.message or '').partition(': ')
        known = _CODES.get(code, ErrorCode.PEER_UNREACHABLE)
        refused = known is ErrorCode.PEER_REFUSED
        return BitternturnError(
            message,
            code=known,
            step=STEP_HELLO if refused else f'peer {name.lower()}',
            peer=self.peer,
        )
