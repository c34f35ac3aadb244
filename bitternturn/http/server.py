"""HTTP server with one handler, limits and graceful drain."""

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import h11
import logbook

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.http import const
from bitternturn.http.deadline import Deadline
from bitternturn.http.holding import (
    ConnectionHolding,
    Occupancy,
    read_occupancy,
)
from bitternturn.http.memory import (
    CallerMemory,
    Eviction,
    EvictionListener,
    EvictionReason,
)
from bitternturn.http.models import Request, Response, make_error_response
from bitternturn.http.parser_turns import ParserTurns
from bitternturn.http.round_trip import read_round_trip_s

LOGGER = logbook.Logger('http.server')

Handler = Callable[[Request], Awaitable[Response]]
# Called with a request whose handler or response failed, and the error.
FailureListener = Callable[[Request, Exception], None]


@dataclass(kw_only=True, frozen=True, slots=True)
class ServerLimits:
    """Limits of one listener; timeouts are in seconds."""

    max_body_bytes: int = const.DEFAULT_BODY_BYTES
    max_header_bytes: int = const.DEFAULT_HEADER_BYTES
    header_timeout_s: float = const.DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = const.DEFAULT_IDLE_TIMEOUT_S
    max_connections: int = const.DEFAULT_MAX_CONNECTIONS


DEFAULT_LIMITS = ServerLimits()


def ignore_eviction(eviction: Eviction) -> None:
    """Record nothing about an eviction."""


def log_failure(request: Request, error: Exception) -> None:
    """Log that no response, or only a part of it, could be written."""
    LOGGER.error('{} {} failed', request.method, request.path, exc_info=error)


class HttpServer:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits = DEFAULT_LIMITS,
        memory: CallerMemory | None = None,
        turns: ParserTurns | None = None,
        on_eviction: EvictionListener = ignore_eviction,
        on_failure: FailureListener = log_failure,
    ) -> None:
        """Initialise; `async_start` listens.

        The listeners of a process share `memory` and `turns`.
        """
        self.handler = handler
        self.limits = limits
        self.memory = memory or CallerMemory(
            max_bytes=const.DEFAULT_CALLER_MEMORY_BYTES
        )
        self.turns = turns or ParserTurns()
        self.on_eviction = on_eviction
        self.on_failure = on_failure
        # Shared by all connections: the parser copies what was read at once.
        self.read_buffer = memoryview(bytearray(const.SERVER_READ_BYTES))
        self.connections: set[ServerConnection] = set()
        self.tasks = TaskSet()
        self.draining = False
        self.host = ''
        self.port = 0
        self._server: asyncio.Server | None = None
        self._limit_timer: asyncio.TimerHandle | None = None

    async def async_start(self, *, host: str, port: int) -> None:
        """Listen; port 0 selects a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(server=self),
            host,
            port,
            backlog=const.ACCEPTED_PER_TURN,
        )
        extend_backlog(self._server)
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    def close_listener(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def async_drain(self, *, grace_s: float = 0) -> None:
        """Finish the requests in flight, then close.

        New requests are answered during the grace period, with `connection:
        close`, so that clients can move to other instances gradually.
        """
        self.draining = True
        await asyncio.sleep(grace_s)
        self.close_listener()
        for connection in list(self.connections):
            connection.close_when_idle()
        while self.connections:
            await asyncio.wait(
                [connection.closed for connection in self.connections],
            )

    async def async_stop(self) -> None:
        """Stop without draining: abort connections and handlers."""
        self.close_listener()
        for connection in list(self.connections):
            connection.abort()
        await self.tasks.async_stop()

    def make_room(self) -> bool:
        """Make room for a connection just added; return whether there is any."""
        occupancy = read_occupancy(it.holding for it in self.connections)
        excess = occupancy.open_count - self.limits.max_connections
        # One that may be given up is the new connection itself.
        if excess > 0 and excess >= len(occupancy.ranked):
            return False
        self._apply_limit(occupancy)
        return True

    def _apply_limit(self, occupancy: Occupancy) -> None:
        """Evict connections above the limit; check again if some were new."""
        limit = self.limits.max_connections
        for holding in occupancy.choose(limit):
            holding.evict(EvictionReason.CONNECTIONS)
        if occupancy.open_count > limit and self._limit_timer is None:
            self._limit_timer = asyncio.get_running_loop().call_later(
                const.LIMIT_CHECK_DELAY_S, self._check_limit
            )

    def _check_limit(self) -> None:
        """Apply the limit to connections that were new."""
        self._limit_timer = None
        if len(self.connections) > self.limits.max_connections:
            self._apply_limit(
                read_occupancy(it.holding for it in self.connections)
            )


def extend_backlog(
    server: asyncio.Server,
    backlog: int = const.LISTEN_BACKLOG,
) -> None:
    """Let the system queue more connections than are accepted in a turn.

    asyncio uses one number for both.
    """
    for listener in server.sockets:
        with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
            duplicate.listen(backlog)


class ServerConnection(asyncio.BufferedProtocol):
    """One connection: reads requests, runs the handler, writes responses."""

    def __init__(self, *, server: HttpServer) -> None:
        """Initialise for the first request."""
        self.server = server
        self.h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.max_header_bytes,
        )
        self.closed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.peer = ''
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body = bytearray()
        # Size of the body that is being read or handled.
        self.body_bytes = 0
        # Bytes received since the timeout of the request was started.
        self.progress_bytes = 0
        # Unsent bytes of responses when the timeout was started.
        self.unsent_bytes = 0
        self.holding = ConnectionHolding(connection=self)
        # Whether a part of the input waits for a turn of the parser.
        self.awaits_turn = False
        # Whether the input is discarded after a refusal, and how much was.
        self.lingering = False
        self.discarded_bytes = 0
        self.is_first_request = True
        self.handler_task: asyncio.Task[None] | None = None
        # Timeout of the request, the idle connection or an unread response.
        self.deadline = Deadline(on_due=self._on_timeout)
        self.reading = True
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection unless the limit is exceeded."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        address = transport.get_extra_info('peername') or ('', 0)
        self.peer = f'{address[0]}:{address[1]}'
        transport.set_write_buffer_limits(high=const.MAX_UNSENT_BYTES)
        self.server.connections.add(self)
        full = len(self.server.connections) > self.server.limits.max_connections
        if full and not self.server.make_room():
            self.holding.report(EvictionReason.CONNECTIONS)
            self.refuse(EvictionReason.CONNECTIONS)
            return
        self.deadline.start(self.server.limits.header_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler, as its response can't be delivered."""
        self.server.connections.discard(self)
        self.server.memory.discard(self.holding)
        self.deadline.clear()
        self.deadline.stop_timer()
        self.writable.set()
        if self.handler_task is not None:
            self.handler_task.cancel()
        if not self.closed.done():
            self.closed.set_result(None)

    def pause_writing(self) -> None:
        """Handle no further request while the peer reads slowly."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Resume a paused stream or the next request."""
        self.writable.set()
        self._continue()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feed the parser and process a request that is complete."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.lingering:
            self.discarded_bytes += nbytes
            if self.discarded_bytes > const.MAX_LINGER_BYTES:
                self.abort()
            return
        if self.request is None and self.handler_task is None:
            self._start_head()
        self.progress_bytes += nbytes
        try:
            self.h11.receive_data(bytes(self.server.read_buffer[:nbytes]))
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
            return
        self._continue()

    def eof_received(self) -> bool:
        """Close when the peer closes its side."""
        return False

    def close_when_idle(self) -> None:
        """Close unless a request is in flight; that one closes at its end."""
        if self.handler_task is None and self.request is None:
            self.close()

    def close(self) -> None:
        """Close after the write buffer is flushed."""
        if self.transport is None:
            return
        self.transport.close()
        self.unsent_bytes = self.transport.get_write_buffer_size()
        if self.unsent_bytes:
            self.deadline.start(self.server.limits.idle_timeout_s)

    def abort(self) -> None:
        """Close without flushing the write buffer."""
        if self.transport is not None:
            self.transport.abort()

    def refuse(self, reason: EvictionReason) -> None:
        """Refuse a request as not run, and close.

        Input is discarded for a time unless the descriptor is needed.
        """
        self._reject(
            const.STATUS_UNAVAILABLE,
            ErrorCode.OVERLOADED,
            reason.value,
            lingers=reason is not EvictionReason.CONNECTIONS,
        )

    def take_turn(self) -> bool:
        """Parse a part of the input; return whether more is left."""
        more = self._process_events()
        if not more:
            self.awaits_turn = False
            self._update_holdings()
        return more

    def _continue(self) -> None:
        """Parse what can be parsed now, and bound what is held."""
        if not self.awaits_turn and self._process_events():
            self.awaits_turn = True
            self.server.turns.add(self)
        self._update_holdings()

    def _update_holdings(self) -> None:
        """Update the memory budget; stop reading while enough waits."""
        if self.transport is None or self.lingering or self.closed.done():
            return
        unparsed_bytes = self.holding.unparsed_bytes()
        self.server.memory.update(self.holding, self.holding.held_bytes())
        blocked = self.handler_task is not None or not self.writable.is_set()
        self._set_reading(
            not self.awaits_turn
            and not (blocked and unparsed_bytes >= const.MAX_BYTES_AHEAD)
        )

    def _set_reading(self, reading: bool) -> None:
        """Start or stop to read, if that is a change."""
        if reading == self.reading or self.transport is None:
            return
        self.reading = reading
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def _process_events(self) -> bool:
        """Process some events of the parser; return whether more may follow."""
        for _ in range(const.MAX_EVENTS_PER_TURN):
            if not self._can_process():
                return False
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject_malformed(error)
                return False
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return False
            self._handle_event(event)
        return self._can_process()

    def _can_process(self) -> bool:
        """Whether the next event of the parser may be handled now."""
        if self.transport is None or self.transport.is_closing():
            return False
        busy = self.handler_task is not None or self.lingering
        return self.writable.is_set() and not busy

    def _handle_event(self, event: object) -> None:
        """Handle one event of the parser."""
        if isinstance(event, h11.Request):
            self._start_request(event)
        elif isinstance(event, h11.Data):
            self.body += event.data
            self.body_bytes = len(self.body)
            if self.body_bytes > self.server.limits.max_body_bytes:
                self._reject(
                    const.STATUS_CONTENT_TOO_LARGE,
                    ErrorCode.BODY_TOO_LARGE,
                    'read body',
                )
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch_request()

    def _start_head(self) -> None:
        """Start the timeout of a head with its first bytes."""
        if not self.is_first_request and not self.h11.trailing_data[0]:
            self.holding.restart()
            self.deadline.start(self.server.limits.header_timeout_s)

    def _start_request(self, event: h11.Request) -> None:
        """Validate the head of a request and start to read its body."""
        self.request = event
        names = [name for name, _ in event.headers]
        if b'transfer-encoding' in names and b'content-length' in names:
            self._reject(
                const.STATUS_BAD_REQUEST,
                ErrorCode.BAD_REQUEST,
                'read head',
            )
            return
        self.holding.restart()
        self.progress_bytes = 0
        self.deadline.start(self.server.limits.header_timeout_s)
        expects = self.h11.they_are_waiting_for_100_continue
        if expects and self.transport is not None:
            self.transport.write(
                self.h11.send(
                    h11.InformationalResponse(status_code=100, headers=[]),
                )
                or b'',
            )

    def _dispatch_request(self) -> None:
        """Start the handler for a complete request."""
        head = self.request
        assert head is not None
        self.deadline.clear()
        target = head.target.decode('ascii')
        path, _, query = target.partition('?')
        request = Request(
            method=head.method.decode('ascii'),
            path=path,
            query=query,
            headers={
                name.decode('ascii'): value.decode('latin-1')
                for name, value in head.headers
            },
            body=bytes(self.body),
            peer=self.peer,
            request_target=target,
            header_pairs=list(head.headers),
            first_on_connection=self.is_first_request,
            round_trip_s=None
            if self.transport is None
            else read_round_trip_s(self.transport),
        )
        self.is_first_request = False
        self.body = bytearray()
        self.handler_task = self.server.tasks.spawn(self._async_answer(request))

    async def _async_answer(self, request: Request) -> None:
        """Run the handler and write its response, or close."""
        response = await self._async_handle(request)
        try:
            if response.stream is None:
                self._write_response(response)
            else:
                await self._async_write_stream(response, response.stream)
        except Exception as error:
            self.server.on_failure(request, error)
            self.abort()
            return
        self._finish_response()

    async def _async_handle(self, request: Request) -> Response:
        """Return the response of the handler, or that to its error."""
        try:
            return await self.server.handler(request)
        except BitternturnError as error:
            return make_error_response(error, status=const.STATUS_BAD_REQUEST)
        except Exception as error:
            self.server.on_failure(request, error)
            return make_error_response(
                BitternturnError(code=ErrorCode.INTERNAL, step='handler'),
                status=const.STATUS_INTERNAL,
            )

    def _write_response(self, response: Response) -> None:
        """Write a response with a complete body."""
        headers = _encode_headers(response)
        if response.status not in const.STATUSES_WITHOUT_CONTENT:
            headers.append(
                (b'content-length', str(len(response.body)).encode('ascii')),
            )
        if self.server.draining:
            headers.append((b'connection', b'close'))
        events: list[h11.Event] = [
            h11.Response(status_code=response.status, headers=headers)
        ]
        if _has_body(self.request, response):
            events.append(h11.Data(data=response.body))
        self._send(*events, h11.EndOfMessage())

    async def _async_write_stream(
        self, response: Response, stream: AsyncIterator[bytes]
    ) -> None:
        """Write a response in chunks until its stream ends."""
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            self._send(
                h11.Response(
                    status_code=response.status,
                    headers=_encode_headers(response),
                ),
            )
            if _has_body(self.request, response):
                async for chunk in stream:
                    await self.writable.wait()
                    self._send(h11.Data(data=chunk))
        self._send(h11.EndOfMessage())

    def _send(self, *events: h11.Event) -> None:
        """Write events, small ones with a single call of the transport."""
        if self.transport is None or self.transport.is_closing():
            return
        parts = [self.h11.send(event) or b'' for event in events]
        if sum(map(len, parts)) <= const.MAX_JOINED_BYTES:
            parts = [b''.join(parts)]
        for part in parts:
            self.transport.write(part)

    def _finish_response(self) -> None:
        """Prepare for the next request, or close."""
        self.handler_task = None
        self.request = None
        self.body_bytes = 0
        self.holding.restart()
        reusable = (
            self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE
        )
        if self.server.draining or not reusable:
            self.close()
            self._update_holdings()
            return
        self.h11.start_next_cycle()
        if self.transport is not None:
            self.unsent_bytes = self.transport.get_write_buffer_size()
        timeout_s = self.server.limits.idle_timeout_s
        if self.h11.trailing_data[0] and not self.unsent_bytes:
            timeout_s = self.server.limits.header_timeout_s
        self.deadline.start(timeout_s)
        self._continue()

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Reject a request that the parser can't read."""
        status = error.error_status_hint
        code = ErrorCode.BAD_REQUEST
        if status == const.STATUS_HEADERS_TOO_LARGE:
            code = ErrorCode.HEADERS_TOO_LARGE
        self._reject(status, code, 'read head')

    def _reject(
        self,
        status: int,
        code: ErrorCode,
        step: str,
        *,
        lingers: bool = True,
    ) -> None:
        """Respond with an error unless a response was started, and close."""
        if self.handler_task is not None:
            self.abort()
            return
        if self.h11.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            headers = {'connection': 'close'}
            if status == const.STATUS_UNAVAILABLE:
                headers['retry-after'] = str(const.REFUSED_RETRY_AFTER_S)
            response = make_error_response(
                BitternturnError(code=code, step=step, peer=self.peer),
                status=status,
                headers=headers,
            )
            self._write_response(response)
        self.request = None
        self.body = bytearray()
        self.body_bytes = 0
        self.server.memory.discard(self.holding)
        if lingers:
            self._linger()
        else:
            self.close()

    def _linger(self) -> None:
        """End the response, and discard input until the peer closes."""
        if self.transport is None or self.transport.is_closing():
            return
        self.lingering = True
        self.transport.write_eof()
        self._set_reading(True)
        self.deadline.start(const.LINGER_S)

    def _on_timeout(self) -> None:
        """Reject an incomplete request, or close an idle connection."""
        assert self.transport is not None
        unsent_bytes = self.transport.get_write_buffer_size()
        if self.lingering:
            self.abort()
        elif unsent_bytes:
            self._check_unsent(unsent_bytes)
        elif self._is_progressing():
            self.progress_bytes = 0
            self.deadline.start(self.server.limits.header_timeout_s)
        elif self.request is None and not self.h11.trailing_data[0]:
            self.close()
        else:
            self.holding.report(EvictionReason.STALLED_REQUEST)
            self._reject(
                const.STATUS_REQUEST_TIMEOUT,
                ErrorCode.REQUEST_TIMEOUT,
                'read request',
            )

    def _is_progressing(self) -> bool:
        """Whether a body still arrives, or waits for this process."""
        if self.awaits_turn:
            return True
        return (
            self.request is not None
            and self.progress_bytes >= const.MIN_BODY_PROGRESS_BYTES
        )

    def _check_unsent(self, unsent_bytes: int) -> None:
        """Close if the peer has read nothing of a response for a time."""
        if unsent_bytes >= self.unsent_bytes:
            self.holding.report(EvictionReason.UNREAD_RESPONSE)
            self.abort()
            return
        self.unsent_bytes = unsent_bytes
        self.deadline.start(self.server.limits.idle_timeout_s)


def _encode_headers(response: Response) -> list[tuple[bytes, bytes]]:
    """Convert the headers for h11."""
    return [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in response.headers.items()
    ]


def _has_body(head: h11.Request | None, response: Response) -> bool:
    """Return whether the body of a response to a request is written."""
    if head is not None and head.method == b'HEAD':
        return False
    return response.status not in const.STATUSES_WITHOUT_CONTENT
