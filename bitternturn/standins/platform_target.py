"""Emulates a target that the gateway sends requests to.

It uses the headers and statuses of the platform.
"""

import asyncio
import math
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

import h11

from bitternturn.http import const as http
from bitternturn.platform import wire_names
from bitternturn.standins.crashing_request import CrashingRequest
from bitternturn.standins.proxy import LINGER_RESET
from bitternturn.standins.rate_limit_check import (
    GRACE_S,
    NamedLimits,
    count_worst_window,
)
from bitternturn.standins.received_request import (
    ReceivedRequest,
    async_read_request,
)

STAMP_FORMAT = '{target}.{request}.{count}'
# Time after the request for a pause in which requests may still arrive.
PAUSE_GRACE_S = 0.5
# Size of what an endless answer writes at once.
ENDLESS_WRITE_BYTES = 32 * 1024


@unique
class ScriptedBehaviour(Enum):
    """How a target handles one request."""

    ANSWER = 'answer'
    # Runs the request and closes the connection without an answer.
    DROP_ANSWER = 'lose'
    # Runs the request and resets the connection without an answer.
    RESET = 'reset'
    # Leaves out the last byte of the answer and closes the connection.
    TRUNCATE = 'truncate'
    # Stops in the middle of the answer's head and closes the connection.
    TRUNCATE_HEAD = 'truncate_head'
    # Sends bytes that are not HTTP.
    GARBAGE = 'garbage'
    # Sends the same answer twice.
    DUPLICATE_ANSWER = 'extra'
    # Sends an answer without a length, which ends with the connection.
    UNFRAMED = 'unframed'
    # Resets the connection within an answer without a length.
    UNFRAMED_RESET = 'unframed_reset'
    # Answers 503 with the header that says that the request did not run.
    NOT_RUN = 'not_run'
    # Answers 503 without running the request, and asks for a pause.
    PAUSE = 'pause'
    # Answers 421 without running the request.
    MISDIRECTED = 'misdirected'
    # Runs the request but answers 500.
    FAIL = 'fail'
    # Runs the request but answers 503, as if the target were unavailable.
    RUN_BUT_UNAVAILABLE = 'false_promise'
    # Leaves out the header with the stamp.
    MISSING_STAMP = 'unsigned'
    # Declares the body as compressed with gzip.
    ENCODED = 'encoded'
    # Answers with the id of another request.
    WRONG_REQUEST = 'wrong_request'
    # Answers without the id of the request.
    MISSING_ID = 'missing_id'
    # Sends another copy of the answer, without an id, once the connection
    # carries the next request.
    LATE_COPY = 'late_copy'
    # Answers as NOT_RUN does, and sends an identical copy, with the id, in place
    # of the answer to the next request on the connection.
    LATE_REJECTION = 'late_rejection'
    # Runs the request but does not answer before the caller closes.
    HANG = 'hang'
    # Sends bytes until the caller closes: in the head, as interim responses, in
    # a body without and with a length, around tiny chunks, or as trailers.
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_INTERIM = 'endless_interim'
    ENDLESS_BODY = 'endless_body'
    ENDLESS_LENGTH = 'endless_length'
    ENDLESS_CHUNKS = 'endless_chunks'
    ENDLESS_TRAILERS = 'endless_trailers'


# Behaviours that answer 503 and state that the request has not run.
REJECTIONS: Final = frozenset(
    (
        ScriptedBehaviour.NOT_RUN,
        ScriptedBehaviour.PAUSE,
        ScriptedBehaviour.LATE_REJECTION,
    )
)
# Behaviours that leave out the last byte.
TRUNCATED: Final = frozenset(
    (ScriptedBehaviour.TRUNCATE, ScriptedBehaviour.UNFRAMED_RESET)
)
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED_HEAD = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
# What an endless answer starts with, and what it repeats.
ENDLESS_ANSWERS: Final = {
    ScriptedBehaviour.ENDLESS_HEAD: (_HEAD, b'x-more: and more\r\n'),
    ScriptedBehaviour.ENDLESS_INTERIM: (b'', b'HTTP/1.1 102 Wait\r\n\r\n'),
    ScriptedBehaviour.ENDLESS_BODY: (_HEAD + b'\r\n', b'a record of text'),
    ScriptedBehaviour.ENDLESS_LENGTH: (
        _HEAD + b'content-length: 99999999999\r\n\r\n',
        b'a record of text',
    ),
    ScriptedBehaviour.ENDLESS_CHUNKS: (
        _CHUNKED_HEAD,
        b'1;%b\r\na\r\n' % (b'x' * 4096),
    ),
    ScriptedBehaviour.ENDLESS_TRAILERS: (
        _CHUNKED_HEAD + b'0\r\n',
        b'x-more: and more\r\n',
    ),
}


@dataclass(kw_only=True, slots=True)
class PlatformTarget:
    """Listens on loopback and handles each request as scripted."""

    id: str
    body: bytes = b''
    delay_s: float = 0
    # Maps the number of a request, counted from 0, to its behaviour.
    script: Callable[[int], ScriptedBehaviour] = lambda _count: (
        ScriptedBehaviour.ANSWER
    )
    requests: list[ReceivedRequest] = field(default_factory=list)
    connection_count: int = 0
    host: str = ''
    port: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    # Whether all answers state that the target leaves, and when the first one
    # did, on the monotonic clock.
    leaving: bool = False
    leaving_told_at: float = math.inf
    # Pause that `PAUSE` asks for, in seconds, and when it did so for which
    # request.
    retry_after: str = '1'
    pauses_told: list[tuple[float, str]] = field(default_factory=list)
    # Rate limit that all answers name, and what they have named so far.
    rate_limit: str | None = None
    named_limits: NamedLimits = field(default_factory=NamedLimits)
    # Copies of answers that precede the next answer on a connection.
    late_copies: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)
    # Request that ends the target, shared by all targets, if there is one.
    crashing: CrashingRequest | None = None
    # Whether the target has ended by it, and has not been started again.
    crashed: bool = False
    # Called just before the target ends.
    on_crash: Callable[[], None] = lambda: None

    @property
    def run_request_ids(self) -> list[str]:
        """Return the ids of the requests that ran."""
        return [received.id for received in self.requests if received.run]

    def requests_after_leaving(self, grace_s: float) -> list[str]:
        """Return the ids of requests later than a time after the first notice."""
        return [
            received.id
            for received in self.requests
            if received.arrived_at > self.leaving_told_at + grace_s
        ]

    def requests_in_pauses(self) -> list[str]:
        """Return the ids of requests in pauses, without their first half second."""
        return [
            received.id
            for received in self.requests
            if any(
                told_at + PAUSE_GRACE_S
                < received.arrived_at
                < told_at + float(self.retry_after)
                for told_at, _ in self.pauses_told
            )
        ]

    def worst_window_under_limit(self) -> int:
        """Return the most requests in a window since the limit was named."""
        counted_from = self.named_limits.first_named_at + GRACE_S
        return count_worst_window(
            received.arrived_at
            for received in self.requests
            if received.arrived_at > counted_from
        )

    async def async_start(self) -> None:
        """Start the listener; reuse its port after a stop."""
        self.crashed = False
        self.server = await asyncio.start_server(
            self._async_serve,
            '127.0.0.1',
            self.port,
        )
        self.host, self.port = self.server.sockets[0].getsockname()[:2]

    async def async_stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _async_serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection until it ends."""
        self.connection_count += 1
        self.writers.add(writer)
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._async_serve_request(connection, reader, writer):
                connection.start_next_cycle()
        except (ConnectionError, h11.ProtocolError):
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _async_serve_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        received = await async_read_request(connection, reader)
        if received is None:
            return False
        behaviour = self.script(len(self.requests))
        received.run = (
            behaviour not in REJECTIONS
            and behaviour is not ScriptedBehaviour.MISDIRECTED
        )
        self.requests.append(received)
        if received.run and await self._async_crash(received):
            return False
        if behaviour is ScriptedBehaviour.HANG:
            await reader.read(http.READ_BYTES)
            return False
        await asyncio.sleep(self.delay_s)
        if behaviour in {
            ScriptedBehaviour.DROP_ANSWER,
            ScriptedBehaviour.RESET,
        }:
            if behaviour is ScriptedBehaviour.RESET:
                _reset(writer)
            return False
        return await self._async_answer(connection, writer, received, behaviour)

    async def _async_crash(self, received: ReceivedRequest) -> bool:
        """End if a request makes the target do so; return whether it did."""
        crashing = self.crashing
        if crashing is None or received.target != crashing.request_target:
            return False
        crashing.record_arrival(received.id)
        await asyncio.sleep(crashing.run_s)
        if not self.crashed:
            self.crashed = True
            crashing.record_end()
            self.on_crash()
            await self.async_stop()
        return True

    async def _async_answer(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        received: ReceivedRequest,
        behaviour: ScriptedBehaviour,
    ) -> bool:
        """Send an answer; return whether the connection stays open."""
        if behaviour in ENDLESS_ANSWERS:
            await _async_write_endless(writer, *ENDLESS_ANSWERS[behaviour])
            return False
        data = self._encode(connection, received, behaviour)
        late_copy = self.late_copies.pop(writer, b'')
        if behaviour is ScriptedBehaviour.LATE_COPY:
            status, headers, body = self._make_content(
                received, ScriptedBehaviour.MISSING_ID
            )
            headers.append(('content-length', str(len(body))))
            self.late_copies[writer] = _encode_plain(status, headers, body)
        elif behaviour is ScriptedBehaviour.LATE_REJECTION:
            self.late_copies[writer] = data
        if late_copy:
            data = late_copy
        if behaviour is ScriptedBehaviour.GARBAGE:
            data = b'\x00\x01 no answer\r\n\r\n'
        elif behaviour is ScriptedBehaviour.TRUNCATE_HEAD:
            data = data[: data.index(b'\r\n\r\n') // 2]
        elif behaviour is ScriptedBehaviour.DUPLICATE_ANSWER:
            data += data
        elif behaviour in TRUNCATED:
            data = data[:-1]
        writer.write(data)
        await writer.drain()
        if behaviour is ScriptedBehaviour.UNFRAMED_RESET:
            # Gives the data time to arrive before the reset.
            await asyncio.sleep(0.01)
            _reset(writer)
        return connection.our_state is h11.DONE and behaviour not in {
            ScriptedBehaviour.TRUNCATE,
            ScriptedBehaviour.TRUNCATE_HEAD,
            ScriptedBehaviour.GARBAGE,
            ScriptedBehaviour.UNFRAMED_RESET,
        }

    def _encode(
        self,
        connection: h11.Connection,
        received: ReceivedRequest,
        behaviour: ScriptedBehaviour,
    ) -> bytes:
        """Return the encoded answer to a request."""
        status, headers, body = self._make_content(received, behaviour)
        if behaviour in {
            ScriptedBehaviour.UNFRAMED,
            ScriptedBehaviour.UNFRAMED_RESET,
        }:
            # Without a length, the end of the connection ends the body.
            connection.send_failed()
            return _encode_plain(status, headers, body)
        headers.append(('content-length', str(len(body))))
        events = (
            h11.Response(status_code=status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        return b''.join(connection.send(event) or b'' for event in events)

    def _make_content(
        self,
        received: ReceivedRequest,
        behaviour: ScriptedBehaviour,
    ) -> tuple[int, list[tuple[str, str]], bytes]:
        """Return the status, headers and body of an answer."""
        echoed = received.id
        if behaviour is ScriptedBehaviour.WRONG_REQUEST:
            echoed = 'another'
        headers = [(wire_names.HEADER_KEEP_ALIVE, 'timeout=5')]
        if self.leaving:
            self.leaving_told_at = min(self.leaving_told_at, time.monotonic())
            headers.append((wire_names.HEADER_LEAVING, '1'))
        self.named_limits.record_answer(self.rate_limit, time.monotonic())
        if self.rate_limit is not None:
            headers.append((wire_names.HEADER_RATE_LIMIT, self.rate_limit))
        if behaviour is not ScriptedBehaviour.MISSING_ID:
            headers.append((wire_names.HEADER_REQUEST_ID, echoed))
        if behaviour is ScriptedBehaviour.PAUSE:
            self.pauses_told.append((time.monotonic(), received.id))
            headers.append((wire_names.HEADER_RETRY_AFTER, self.retry_after))
        if behaviour in REJECTIONS:
            return (
                http.STATUS_UNAVAILABLE,
                [*headers, (wire_names.HEADER_NOT_RUN, '1')],
                b'',
            )
        if behaviour is ScriptedBehaviour.MISDIRECTED:
            return http.STATUS_MISDIRECTED_REQUEST, headers, b''
        if behaviour is not ScriptedBehaviour.MISSING_STAMP:
            stamp = STAMP_FORMAT.format(
                target=self.id,
                request=received.id,
                count=len(self.requests),
            )
            headers.append((wire_names.HEADER_STAMP, stamp))
        if behaviour is ScriptedBehaviour.FAIL:
            return http.STATUS_INTERNAL, headers, b'failed'
        if behaviour is ScriptedBehaviour.RUN_BUT_UNAVAILABLE:
            return http.STATUS_UNAVAILABLE, headers, b'failed'
        if behaviour is ScriptedBehaviour.ENCODED:
            headers.append((wire_names.HEADER_CONTENT_ENCODING, 'gzip'))
        return http.STATUS_OK, headers, self.body


def _encode_plain(
    status: int, headers: Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Return an encoded answer regardless of the state of the connection."""
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers)
    return f'HTTP/1.1 {status} OK\r\n{lines}\r\n'.encode() + body


async def _async_write_endless(
    writer: asyncio.StreamWriter,
    start: bytes,
    repeated: bytes,
) -> None:
    """Write an answer without end until the caller closes the connection."""
    block = repeated * (ENDLESS_WRITE_BYTES // len(repeated) + 1)
    writer.write(start)
    while not writer.transport.is_closing():
        writer.write(block)
        await writer.drain()
        # A drain without a full buffer does not yield to the event loop.
        await asyncio.sleep(0)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset instead of an end of stream."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
