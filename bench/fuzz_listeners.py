"""Sends corrupted input to real listeners and corrupts stand-ins' answers."""

import asyncio
import random
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError

from bench.fuzz_inputs import (
    corrupt_bytes,
    corrupt_text,
    encode_header_value,
    maybe_corrupt_json,
    sample_headers,
)
from bench.processes import HOST
from bitternturn.http.models import Request, Response
from bitternturn.http.server import HttpServer

ANSWER_TIMEOUT_S = 0.4
PEER_TIMEOUT_S = 0.5
CONCURRENT_INPUTS = 64
RECONNECT_S = 0.5
ENDLESS_WRITE_BYTES = 8 * 1024
ENDLESS_INTERVAL_S = 0.1
PEER_METHODS = ('Exchange', 'Probe', 'Fetch', 'Handover', 'Claim', 'Timeline')


class RawCodec(CodecBase):
    """Codec that passes bytes through unchanged."""

    __content_subtype__ = 'proto'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message, which holds the encoded bytes."""
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the received bytes undecoded."""
        return data


async def async_send_raw(port: int, data: bytes) -> None:
    """Send bytes on a new connection and wait briefly for an answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await writer.drain()
            await reader.read(1 << 16)
    except (TimeoutError, OSError):
        pass
    finally:
        writer.transport.abort()


class OpenMessages:
    """Connections with messages that do not end, kept open.

    Each sends a partial message once, or repeats a part of an endless one until
    the listener closes; it then connects again.
    """

    def __init__(self, port: int) -> None:
        """Initialise without connections."""
        self.port = port
        self.tasks: list[asyncio.Task[None]] = []
        self.connection_count = 0

    def start(self, messages: Iterable[tuple[bytes, bytes]]) -> None:
        """Send messages: the start, and the part that is repeated, if any."""
        for start, repeated in messages:
            self.tasks.append(
                asyncio.create_task(self._async_keep_sending(start, repeated))
            )

    async def async_close(self) -> None:
        """Close all connections; raises what failed unexpectedly."""
        for task in self.tasks:
            task.cancel()
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def _async_keep_sending(self, start: bytes, repeated: bytes) -> None:
        """Send a message whenever the connection has been closed."""
        while True:
            self.connection_count += 1
            try:
                await self._async_send(start, repeated)
            except OSError:
                await asyncio.sleep(RECONNECT_S)

    async def _async_send(self, start: bytes, repeated: bytes) -> None:
        """Send a message on one connection until it is closed."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        # Many repetitions are sent at once, so that the writes do not use up
        # the processor time of the listener, which shares the event loop.
        repetitions = repeated * (ENDLESS_WRITE_BYTES // max(1, len(repeated)))
        try:
            writer.write(start)
            while repetitions:
                writer.write(repetitions)
                await writer.drain()
                await asyncio.sleep(ENDLESS_INTERVAL_S)
            while await reader.read(1 << 16):
                continue
            await asyncio.sleep(RECONNECT_S)
        finally:
            writer.transport.abort()


def make_http_request(
    rng: random.Random,
    method: str,
    path: str,
    headers: dict[str, str],
    content: Any,
) -> bytes:
    """Return an HTTP request whose body, headers or bytes may be corrupted."""
    body = maybe_corrupt_json(rng, content)
    headers = sample_headers(rng, headers)
    if headers and rng.random() < 0.7:
        name = rng.choice(sorted(headers))
        headers = {**headers, name: corrupt_text(rng, headers[name])}
    header_lines = b''.join(
        name.encode() + b': ' + encode_header_value(text) + b'\r\n'
        for name, text in headers.items()
    )
    valid = (
        f'{method} {path} HTTP/1.1\r\nhost: x\r\n'.encode()
        + header_lines
        + f'content-length: {len(body)}\r\n\r\n'.encode()
        + body
    )
    return corrupt_bytes(rng, valid) if rng.random() < 0.3 else valid


async def async_send_all(port: int, inputs: list[bytes]) -> None:
    """Send inputs, a limited number of them concurrently."""
    for start in range(0, len(inputs), CONCURRENT_INPUTS):
        await asyncio.gather(
            *(
                async_send_raw(port, data)
                for data in inputs[start : start + CONCURRENT_INPUTS]
            ),
        )


async def async_send_all_to_peer(
    port: int, inputs: list[tuple[str, bytes]]
) -> None:
    """Send messages to a peer listener, each on a separate stream."""
    channel = Channel(HOST, port, codec=RawCodec())
    try:
        for start in range(0, len(inputs), CONCURRENT_INPUTS):
            await asyncio.gather(
                *(
                    _async_call_peer(channel, name, data)
                    for name, data in inputs[start : start + CONCURRENT_INPUTS]
                ),
            )
    finally:
        channel.close()


async def _async_call_peer(channel: Channel, name: str, data: bytes) -> None:
    """Call a method of the peer service with arbitrary message bytes."""
    try:
        async with (
            asyncio.timeout(PEER_TIMEOUT_S),
            channel.request(
                f'/bitternturn.schema.Peer/{name}',
                Cardinality.STREAM_STREAM,
                bytes,
                bytes,
            ) as stream,
        ):
            await stream.send_message(data, end=True)
            await stream.recv_message()
    except (TimeoutError, GRPCError, StreamTerminatedError):
        pass


@contextmanager
def corrupted_answers(
    server: HttpServer,
    rng: random.Random,
    counter: list[int],
) -> Iterator[None]:
    """Make a stand-in corrupt its answers within the context.

    The first element of `counter` is incremented for each corrupted answer.
    """
    handler = server.handler

    async def async_answer_corrupted(request: Request) -> Response:
        """Handle a request and corrupt status, header or body of the answer."""
        response = await handler(request)
        if response.stream is not None:
            return response
        counter[0] += 1
        headers = dict(response.headers)
        if headers and rng.random() < 0.6:
            name = rng.choice(sorted(headers))
            text = corrupt_text(rng, headers[name])
            headers[name] = ''.join(
                character if ' ' <= character <= '~' else '?'
                for character in text
            ).strip()
        body = response.body
        if rng.random() < 0.6:
            body = corrupt_bytes(rng, body)
        status = response.status
        if rng.random() < 0.2:
            status = rng.choice((200, 204, 409, 429, 500, 503, 504, 599))
        return Response(
            status=status,
            headers=headers,
            body=b'' if status == 204 else body,
        )

    server.handler = async_answer_corrupted
    try:
        yield
    finally:
        server.handler = handler
