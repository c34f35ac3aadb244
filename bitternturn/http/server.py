"""HTTP server with one handler, limits and graceful drain."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11
import logbook

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.http import const
from bitternturn.http.models import Request, Response, make_error_response
from bitternturn.http.round_trip import read_round_trip_s

LOGGER = logbook.Logger('http.server')

Handler = Callable[[Request], Awaitable[Response]]


@dataclass(kw_only=True, frozen=True, slots=True)
class ServerLimits:
    """Limits of one listener; timeouts are in seconds."""

    max_body_bytes: int = const.DEFAULT_BODY_BYTES
    max_header_bytes: int = const.DEFAULT_HEADER_BYTES
    header_timeout_s: float = const.DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = const.DEFAULT_IDLE_TIMEOUT_S
    max_connections: int = const.DEFAULT_MAX_CONNECTIONS


DEFAULT_LIMITS = ServerLimits()


class HttpServer:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: ServerLimits = DEFAULT_LIMITS,
    ) -> None:
        """Initialise; `async_start` listens."""
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.tasks = TaskSet()
        self.draining = False
        self.host = ''
        self.port = 0
        self._server: asyncio.Server | None = None

    async def async_start(self, *, host: str, port: int) -> None:
        """Listen; port 0 selects a free one."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(server=self),
            host,
            port,
        )
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
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def async_stop(self) -> None:
        """Stop without draining: abort connections and handlers."""
        self.close_listener()
        for connection in list(self.connections):
            connection.abort()
        await self.tasks.async_stop()


class ServerConnection(asyncio.Protocol):
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
        self.is_first_request = True
        self.handler_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection unless the limit is exceeded."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        address = transport.get_extra_info('peername') or ('', 0)
        self.peer = f'{address[0]}:{address[1]}'
        self.server.connections.add(self)
        if len(self.server.connections) > self.server.limits.max_connections:
            self._reject(
                const.STATUS_UNAVAILABLE,
                ErrorCode.OVERLOADED,
                'connections',
            )
            return
        self._start_timer(self.server.limits.header_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler, as its response can't be delivered."""
        self.server.connections.discard(self)
        self._cancel_timer()
        self.writable.set()
        if self.handler_task is not None:
            self.handler_task.cancel()
        if not self.closed.done():
            self.closed.set_result(None)

    def pause_writing(self) -> None:
        """Pause a stream while the peer reads slowly."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Resume a paused stream."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Feed the parser and process a request that is complete."""
        if self.transport is None or self.transport.is_closing():
            return
        try:
            self.h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
            return
        if self.handler_task is None:
            self._process_events()

    def eof_received(self) -> bool:
        """Close when the peer closes its side."""
        return False

    def close_when_idle(self) -> None:
        """Close unless a request is in flight; that one closes at its end."""
        if self.handler_task is None and self.request is None:
            self.close()

    def close(self) -> None:
        """Close after the write buffer is flushed."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close without flushing the write buffer."""
        if self.transport is not None:
            self.transport.abort()

    def _process_events(self) -> None:
        """Process events of the parser until a request is complete."""
        while self.handler_task is None:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject_malformed(error)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            self._handle_event(event)
            if self.transport is None or self.transport.is_closing():
                return

    def _handle_event(self, event: object) -> None:
        """Handle one event of the parser."""
        if isinstance(event, h11.Request):
            self._start_request(event)
        elif isinstance(event, h11.Data):
            self.body += event.data
            if len(self.body) > self.server.limits.max_body_bytes:
                self._reject(
                    const.STATUS_CONTENT_TOO_LARGE,
                    ErrorCode.BODY_TOO_LARGE,
                    'read body',
                )
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch_request()

    def _start_request(self, event: h11.Request) -> None:
        """Validate the head of a request and start to read its body."""
        names = [name for name, _ in event.headers]
        if b'transfer-encoding' in names and b'content-length' in names:
            self._reject(
                const.STATUS_BAD_REQUEST,
                ErrorCode.BAD_REQUEST,
                'read head',
            )
            return
        self.request = event
        self.body = bytearray()
        self._start_timer(self.server.limits.header_timeout_s)
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
        self._cancel_timer()
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
        self.handler_task = self.server.tasks.spawn(self._async_answer(request))

    async def _async_answer(self, request: Request) -> None:
        """Run the handler and write its response."""
        try:
            response = await self.server.handler(request)
        except BitternturnError as error:
            response = make_error_response(
                error, status=const.STATUS_BAD_REQUEST
            )
        except Exception:
            LOGGER.exception('handler failed for {}', request.path)
            response = make_error_response(
                BitternturnError(code=ErrorCode.INTERNAL, step='handler'),
                status=const.STATUS_INTERNAL,
            )
        if response.stream is None:
            self._write_response(response)
        else:
            await self._async_write_stream(response)
        self._finish_response()

    def _write_response(self, response: Response) -> None:
        """Write a response with a complete body."""
        headers = _encode_headers(response)
        headers.append(
            (b'content-length', str(len(response.body)).encode('ascii')),
        )
        if self.server.draining:
            headers.append((b'connection', b'close'))
        self._send(
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )

    async def _async_write_stream(self, response: Response) -> None:
        """Write a response in chunks until its stream ends."""
        assert response.stream is not None
        self._send(
            h11.Response(
                status_code=response.status,
                headers=_encode_headers(response),
            ),
        )
        async with contextlib.aclosing(response.stream) as stream:  # type: ignore[type-var]
            async for chunk in stream:
                await self.writable.wait()
                self._send(h11.Data(data=chunk))
        self._send(h11.EndOfMessage())

    def _send(self, *events: h11.Event) -> None:
        """Write events with a single call of the transport."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(
            b''.join(self.h11.send(event) or b'' for event in events),
        )

    def _finish_response(self) -> None:
        """Prepare for the next request, or close."""
        self.handler_task = None
        self.request = None
        reusable = (
            self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE
        )
        if self.server.draining or not reusable:
            self.close()
            return
        self.h11.start_next_cycle()
        self._start_timer(self.server.limits.idle_timeout_s)
        self._process_events()

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        """Reject a request that the parser can't read."""
        status = error.error_status_hint
        code = ErrorCode.BAD_REQUEST
        if status == const.STATUS_HEADERS_TOO_LARGE:
            code = ErrorCode.HEADERS_TOO_LARGE
        self._reject(status, code, 'read head')

    def _reject(self, status: int, code: ErrorCode, step: str) -> None:
        """Respond with an error unless a response was started, and close."""
        if self.handler_task is not None:
            self.abort()
            return
        if self.h11.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            response = make_error_response(
                BitternturnError(code=code, step=step, peer=self.peer),
                status=status,
                headers={'connection': 'close'},
            )
            self._write_response(response)
        self.close()

    def _start_timer(self, timeout_s: float) -> None:
        """Restart the timeout of the request or the idle connection."""
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(timeout_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        """Cancel the timeout, if any."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_timeout(self) -> None:
        """Reject an incomplete request, or close an idle connection."""
        if self.request is None and self.h11.trailing_data == (b'', False):
            self.close()
            return
        self._reject(
            const.STATUS_REQUEST_TIMEOUT,
            ErrorCode.REQUEST_TIMEOUT,
            'read request',
        )


def _encode_headers(response: Response) -> list[tuple[bytes, bytes]]:
    """Convert the headers for h11."""
    return [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in response.headers.items()
    ]
