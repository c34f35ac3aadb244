"""HTTP client connection with one exchange at a time."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from functools import partial
from typing import Final

import h11
from h11._headers import Headers

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http import const
from bitternturn.http.carried_ids import CarriedIds
from bitternturn.http.headers import encode_headers
from bitternturn.http.models import Response
from bitternturn.http.parser_turns import client_turns
from bitternturn.http.reads import limit_reads
from bitternturn.http.response_size import BodyBuffers, ResponseSize

# Called with the complete response, or with the error of the exchange.
OnExchangeEnd = Callable[[Response | BitternturnError], None]

# TCP keepalive: on; idle time before the first probe and interval between
# probes, in seconds; failed probes after which the connection is lost.
TCP_KEEPALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)

# Chunks of a stream that are queued before reading pauses.
MAX_QUEUED_CHUNKS: Final = 64

# End of any request: events do not change.
END_OF_REQUEST: Final = h11.EndOfMessage()

STEP_CONNECT = 'connect'
STEP_EXCHANGE = 'exchange'


class ClientConnection(asyncio.Protocol):
    """One connection to a server, reusable after each completed exchange.

    A cancelled or failed exchange closes it.
    """

    def __init__(self, *, peer: str) -> None:
        """Initialise; `async_connect` returns a connected one."""
        self.peer = peer
        self.h11 = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        # Whether the current request was passed to the transport.
        self.request_sent = False
        # Whether any bytes of the current response have been received.
        self.response_started = False
        # Called when the connection is lost or closed.
        self.on_closed: Callable[[], None] | None = None
        self.size = ResponseSize(max_body_bytes=const.MAX_RESPONSE_BYTES)
        # Bounds the bodies of several connections together, None if nothing
        # does.
        self.buffers: BodyBuffers | None = None
        # Ids of the requests that the connection has carried, for users that
        # tell responses apart by them.
        self.carried_ids = CarriedIds()
        # Bytes sent and received in the current or last exchange.
        self.exchange_bytes = 0
        self._response_head: h11.Response | None = None
        # One buffer: an object for each tiny chunk would take twenty times the
        # memory that is counted for it.
        self.body = bytearray()
        # Whether a part of the response waits for a turn of the parser.
        self.awaits_turn = False
        self._on_end: OnExchangeEnd | None = None
        self._chunks: asyncio.Queue[bytes | None] | None = None

    @property
    def usable(self) -> bool:
        """Whether a new exchange can start."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.h11.our_state is h11.IDLE
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; enable keepalive to detect a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        limit_reads(transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            for level, option, number in TCP_KEEPALIVE_OPTIONS:
                sock.setsockopt(level, option, number)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; end the exchange when the response is complete."""
        if self._on_end is None and self._chunks is None:
            # Unsolicited bytes would be taken for the next response.
            self.close()
            return
        self.response_started = True
        self.size.received_bytes += len(data)
        self.exchange_bytes += len(data)
        try:
            self.h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail(ErrorCode.BAD_ANSWER, str(error))
            return
        if not self.awaits_turn and self._parse(ErrorCode.BAD_ANSWER):
            self.awaits_turn = True
            self._update_reading()
            client_turns().add(self)

    def take_turn(self) -> bool:
        """Parse a part of the response; return whether more is left."""
        if self._parse(ErrorCode.BAD_ANSWER):
            return True
        self.awaits_turn = False
        self._update_reading()
        return False

    def abort(self) -> None:
        """Fail the exchange, as its response can't be parsed."""
        self._fail(ErrorCode.BAD_ANSWER, 'parsing failed')

    def _parse(self, fault: ErrorCode) -> bool:
        """Process some events of the parser; return whether more may follow.

        `fault` is the error of a response that is malformed.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            more = self._process_events()
        except h11.RemoteProtocolError as error:
            self._fail(fault, str(error))
            return False
        if self._on_end is not None:
            self._check_size()
        return more and not self.transport.is_closing()

    def eof_received(self) -> bool:
        """End a response that is delimited by end of file, and close."""
        if self.h11.their_state is h11.SEND_BODY:
            self.h11.receive_data(b'')
            self._parse(ErrorCode.CONNECTION_LOST)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in flight."""
        self._fail(ErrorCode.CONNECTION_LOST, str(exc or 'closed by peer'))
        if self.on_closed is not None:
            self.on_closed()

    def close(self) -> None:
        """Abort the connection; servers treat this as cancellation."""
        if self.transport is not None:
            self.transport.abort()

    def start_exchange(
        self,
        *,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] | Headers,
        body: bytes = b'',
        on_end: OnExchangeEnd,
    ) -> None:
        """Send a request and call `on_end` once with the complete response.

        h11 `Headers` are sent unchanged, without added host and length.

        Raises BitternturnError with CONNECTION_LOST when no exchange can
        start, and h11.LocalProtocolError for invalid headers; nothing was
        sent then. `on_end` is called with the errors of `async_exchange`,
        also after `close`.
        """
        self._send_request(method, path, headers, body)
        self._on_end = on_end

    async def async_exchange(
        self,
        *,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> Response:
        """Send a request and return the complete response.

        Raises BitternturnError with CONNECTION_LOST or BAD_ANSWER.
        """
        waiter: asyncio.Future[Response] = (
            asyncio.get_running_loop().create_future()
        )
        self.start_exchange(
            method=method,
            path=path,
            headers=headers.items(),
            body=body,
            on_end=partial(_set_result, waiter),
        )
        return await self._async_wait_for_response(waiter)

    async def async_stream(
        self,
        *,
        path: str,
        headers: Mapping[str, str],
    ) -> tuple[Response, AsyncIterator[bytes]]:
        """Send a GET; return the response head and an iterator over chunks."""
        waiter: asyncio.Future[Response] = (
            asyncio.get_running_loop().create_future()
        )
        self._chunks = asyncio.Queue()
        self._send_request('GET', path, headers.items(), b'')
        self._on_end = partial(_set_result, waiter)
        return await self._async_wait_for_response(waiter), self._iter_chunks()

    async def _async_wait_for_response(
        self,
        waiter: asyncio.Future[Response],
    ) -> Response:
        """Wait for a response; close on failure or cancellation."""
        try:
            return await waiter
        except BaseException:
            self.close()
            raise

    async def _iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks until the response or connection ends, then close."""
        assert self._chunks is not None
        try:
            while True:
                chunk = await self._chunks.get()
                if chunk is None:
                    return
                self._update_reading()
                yield chunk
        finally:
            self.close()

    def _send_request(
        self,
        method: str,
        path: str,
        headers: Iterable[tuple[str, str]] | Headers,
        body: bytes,
    ) -> None:
        """Write a request with a single call of the transport."""
        self.request_sent = False
        self.response_started = False
        if self.transport is None or not self.usable:
            raise BitternturnError(
                'connection is closed or in use',
                code=ErrorCode.CONNECTION_LOST,
                step=STEP_EXCHANGE,
                peer=self.peer,
            )
        head = h11.Request(
            method=method,
            target=path,
            headers=self._complete_headers(method, headers, body),
        )
        events: list[h11.Event] = [head]
        if body:
            events.append(h11.Data(data=body))
        events.append(END_OF_REQUEST)
        wire = b''.join([self.h11.send(event) or b'' for event in events])
        self.request_sent = True
        self.exchange_bytes = len(wire)
        self.transport.write(wire)

    def _complete_headers(
        self,
        method: str,
        headers: Iterable[tuple[str, str]] | Headers,
        body: bytes,
    ) -> Headers:
        """Add the host and the content length to headers that lack them."""
        if isinstance(headers, Headers):
            return headers
        pairs = [('host', self.peer), *headers]
        if body or method != 'GET':
            pairs.append(('content-length', str(len(body))))
        return encode_headers(pairs)

    def _process_events(self) -> bool:
        """Process some events of the parser; return whether more may follow."""
        for _ in range(const.MAX_EVENTS_PER_TURN):
            event = self.h11.next_event()
            if isinstance(event, h11.Response):
                fault = self._find_head_fault(event)
                if fault:
                    self._fail(ErrorCode.BAD_ANSWER, fault)
                    return False
                self._response_head = event
                if self._chunks is not None:
                    self._deliver(self._make_response())
            elif isinstance(event, h11.Data):
                self._on_body_data(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._on_response_end()
                return False
            elif isinstance(event, h11.InformationalResponse):
                self.size.interim_count += 1
                self._check_size()
            else:
                return False
            if self._on_end is None and self._chunks is None:
                return False
        return True

    def _find_head_fault(self, head: h11.Response) -> str:
        """Return what the parser accepts but HTTP does not allow, else empty.

        The parser accepts statuses up to 999, and takes the body after a 204
        for bytes of a later response.
        """
        if head.status_code > const.MAX_STATUS:
            return f'status {head.status_code} does not exist'
        if head.status_code != const.STATUS_NO_CONTENT:
            return ''
        headers = dict(head.headers)
        has_body = (
            headers.get(b'content-length', b'0').strip(b'0')
            or b'transfer-encoding' in headers
            or self.h11.trailing_data[0]
        )
        return 'status 204 with a body' if has_body else ''

    def _update_reading(self) -> None:
        """Read unless the parser or the consumer of the chunks is behind."""
        if self.transport is None or self.transport.is_closing():
            return
        chunks = self._chunks
        full = chunks is not None and chunks.qsize() >= MAX_QUEUED_CHUNKS
        if self.awaits_turn or full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _on_body_data(self, data: bytes | bytearray) -> None:
        """Append received data to the body, or enqueue it as a chunk."""
        if self._chunks is not None:
            self._chunks.put_nowait(bytes(data))
            self._update_reading()
            return
        self.body += data
        self.size.body_bytes += len(data)
        self._check_size()
        if self.buffers is not None and self._on_end is not None:
            self.buffers.update(self._abort_oversized, self.size.body_bytes)

    def _check_size(self) -> None:
        """Fail the exchange if its response exceeds a limit."""
        excess = self.size.excess()
        if excess:
            self._fail(ErrorCode.BAD_ANSWER, excess)

    def _abort_oversized(self) -> None:
        """Fail the exchange to free the memory of its body."""
        self._fail(ErrorCode.BAD_ANSWER, 'too many large response bodies')

    def _on_response_end(self) -> None:
        """Deliver the response and prepare for the next exchange, or close."""
        response = self._make_response()
        if self._chunks is not None:
            self._chunks.put_nowait(None)
        reusable = (
            self.h11.our_state is h11.DONE
            and self.h11.their_state is h11.DONE
            and self.h11.trailing_data == (b'', False)
            and self._chunks is None
        )
        if reusable:
            self.h11.start_next_cycle()
        else:
            self.close()
        self._clear_body()
        self._deliver(response)

    def _make_response(self) -> Response:
        """Return a response with the head and the body received so far."""
        assert self._response_head is not None
        return Response(
            status=self._response_head.status_code,
            headers={
                name.decode('ascii').lower(): value.decode('latin-1')
                for name, value in self._response_head.headers.raw_items()
            },
            body=bytes(self.body),
        )

    def _clear_body(self) -> None:
        """Release the body that was received."""
        self.body = bytearray()
        self.size.reset()
        if self.buffers is not None:
            self.buffers.discard(self._abort_oversized)

    def _deliver(self, response: Response) -> None:
        """Call the callback of the exchange with the response."""
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(response)

    def _fail(self, code: ErrorCode, message: str) -> None:
        """Close the connection and fail the exchange in flight."""
        self.close()
        self._clear_body()
        if self._chunks is not None:
            self._chunks.put_nowait(None)
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(
                BitternturnError(
                    message,
                    code=code,
                    step=STEP_EXCHANGE,
                    peer=self.peer,
                ),
            )


def _set_result(
    waiter: asyncio.Future[Response],
    result: Response | BitternturnError,
) -> None:
    """Set the result or the error of an exchange."""
    if waiter.done():
        return
    if isinstance(result, BitternturnError):
        waiter.set_exception(result)
    else:
        waiter.set_result(result)


async def async_connect(*, host: str, port: int) -> ClientConnection:
    """Connect to a server; raises BitternturnError when that fails."""
    peer = f'{host}:{port}'
    loop = asyncio.get_running_loop()
    try:
        _, connection = await loop.create_connection(
            lambda: ClientConnection(peer=peer),
            host,
            port,
        )
    except (OSError, OverflowError, ValueError) as error:
        # The last two are for ports and names that no address can have.
        raise BitternturnError(
            str(error),
            code=ErrorCode.CONNECTION_LOST,
            step=STEP_CONNECT,
            peer=peer,
        ) from error
    return connection
