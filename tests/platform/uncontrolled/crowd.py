"""Callers that hold as much of a gateway as they can."""

import asyncio
import contextlib
import itertools
import socket

from tests.platform.uncontrolled.gateway_process import (
    HOST,
    POLL_S,
    ROUTE_TIMEOUT_MS,
)

# Size of a legal body, and what its sender keeps back.
BODY_BYTES = 262_000
WITHHELD_BYTES = 10
WRITE_BYTES = 64 * 1024
PIECE_BYTES = 8 * 1024
PIECE_INTERVAL_S = 0.05
PIPELINED_REQUESTS = 8000
# Just below the limit of a head, 16,384 bytes.
LONG_HEAD_BYTES = 16_000
SLOW_READ_INTERVAL_S = 1.0
OK_START = b'HTTP/1.1 200'
# Receive buffer of a slow reader, so that the system holds little for it.
SLOW_READ_BUFFER_BYTES = 4096
# Time that a crowd gets to send what it can.
SEND_S = 6.0
# Time after which a caller whose connection was closed connects again.
RECONNECT_S = 0.5
# Connections that are opened at a time, so that the backlog does not overflow.
OPENED_TOGETHER = 50

HEAD = (
    'POST /small/x HTTP/1.1\r\nhost: search.example\r\n'
    f'x-deadline-remaining: {ROUTE_TIMEOUT_MS}\r\n'
).encode()
LENGTH_HEAD = HEAD + f'content-length: {BODY_BYTES}\r\n\r\n'.encode()
CHUNKED_HEAD = HEAD + b'transfer-encoding: chunked\r\n\r\n'
MOST_OF_BODY = b'x' * (BODY_BYTES - WITHHELD_BYTES)


async def async_write(writer, data):
    """Write a large message as fast as the gateway reads it."""
    for start in range(0, len(data), WRITE_BYTES):
        writer.write(data[start : start + WRITE_BYTES])
        await writer.drain()


async def async_send_length(reader, writer):
    """Send a body with a length, all but its last bytes."""
    await async_write(writer, LENGTH_HEAD + MOST_OF_BODY)


async def async_send_one_chunk(reader, writer):
    """Send a body as one chunk, all but its last bytes."""
    start = CHUNKED_HEAD + f'{BODY_BYTES:x}\r\n'.encode()
    await async_write(writer, start + MOST_OF_BODY)


async def async_send_tiny_chunks(reader, writer):
    """Send a body in chunks of one byte, all but its last bytes."""
    await async_write(writer, CHUNKED_HEAD)
    piece = b'1\r\nx\r\n' * 10_000
    for _ in range(0, len(MOST_OF_BODY), 10_000):
        await async_write(writer, piece)


async def async_send_pieces(reader, writer):
    """Send a body with a length in slow pieces, all but its last bytes."""
    writer.write(LENGTH_HEAD)
    for start in range(0, len(MOST_OF_BODY), PIECE_BYTES):
        writer.write(MOST_OF_BODY[start : start + PIECE_BYTES])
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)


async def async_pipeline(reader, writer):
    """Send many requests without the usual headers; read no response."""
    request = b'GET /small/x HTTP/1.1\r\nhost: search.example\r\n\r\n'
    reader._transport.pause_reading()
    await async_write(writer, request * PIPELINED_REQUESTS)


async def async_send_long_head(reader, writer):
    """Send a head of many lines that goes on in small pieces."""
    await async_write(writer, HEAD + b'x-more: and more\r\n' * 800)
    for number in itertools.count():
        writer.write(b'x%d: 1\r\n' % number)
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)


async def async_send_headerless(reader, writer):
    """Send a long head without a host, which never ends."""
    await async_write(writer, b'GET /small/' + b'x' * LONG_HEAD_BYTES)


async def async_only_open(reader, writer):
    """Send nothing."""


async def async_read_slowly(reader, writer):
    """Request a large answer and read a byte of it each second.

    Asks again if the answer is another one: the gateway receives few large
    answers at a time.
    """
    reader._transport.pause_reading()
    sock = reader._transport._sock
    writer.write(HEAD.replace(b'POST /small', b'GET /large') + b'\r\n')
    await writer.drain()
    start = b''
    while len(start) < len(OK_START):
        await asyncio.sleep(POLL_S)
        with contextlib.suppress(BlockingIOError):
            received = sock.recv(len(OK_START) - len(start))
            if not received:
                raise ConnectionAbortedError
            start += received
    if start != OK_START:
        raise ConnectionAbortedError
    while True:
        await asyncio.sleep(SLOW_READ_INTERVAL_S)
        with contextlib.suppress(BlockingIOError):
            if not sock.recv(1):
                raise ConnectionAbortedError


KINDS = (
    async_send_length,
    async_send_one_chunk,
    async_send_tiny_chunks,
    async_send_pieces,
    async_pipeline,
    async_send_long_head,
    async_send_headerless,
    async_only_open,
    async_read_slowly,
)


class Crowd:
    """Callers of some kinds that stay connected, and come back if closed."""

    def __init__(self, port):
        self.port = port
        self.tasks = []

    async def async_send(self, kinds, count):
        """Let callers send what they can for a time; they stay connected."""
        for number, kind in zip(range(count), itertools.cycle(kinds)):
            self.tasks.append(asyncio.create_task(self._async_call(kind)))
            if number % OPENED_TOGETHER == 0:
                await asyncio.sleep(0.05)
        await asyncio.sleep(SEND_S)

    async def async_close(self):
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _async_call(self, kind):
        """Send as one caller of a kind and stay connected."""
        while True:
            with contextlib.suppress(OSError):
                await self._async_connect(kind)
            await asyncio.sleep(RECONNECT_S)

    async def _async_connect(self, kind):
        """Send on one connection and stay on it until it is closed."""
        sock = socket.socket()
        sock.setblocking(False)
        if kind is async_read_slowly:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BUFFER_BYTES
            )
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            await kind(reader, writer)
            # Ends with the connection; responses are discarded.
            while await reader.read(WRITE_BYTES):
                continue
        finally:
            writer.transport.abort()
