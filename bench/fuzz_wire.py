"""Bad inputs on real listeners: sockets, streams of peers, stand-ins."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError

from bench.fuzz_inputs import (
    either,
    http_text,
    some,
    spoil_bytes,
    spoil_text,
)
from bench.processes import HOST
from bitternturn.http.models import Request, Response
from bitternturn.http.server import HttpServer

ANSWER_LIMIT_S = 0.4
PEER_LIMIT_S = 0.5
WIDTH = 64
CALLS = ('Exchange', 'Probe', 'Fetch', 'Handover', 'Claim', 'Timeline')


class RawCodec(CodecBase):
    """Sends bytes as they are."""

    __content_subtype__ = 'proto'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes."""
        return bytes(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the bytes."""
        return data


async def async_send_raw(port: int, data: bytes) -> None:
    """Send bytes on a connection of their own and read until quiet."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await writer.drain()
            await reader.read(1 << 16)
    except (TimeoutError, OSError):
        pass
    finally:
        writer.transport.abort()


def make_http(
    rng: random.Random,
    method: str,
    path: str,
    headers: dict[str, str],
    content: Any,
) -> bytes:
    """Return a request with some part spoiled."""
    body = either(rng, content)
    headers = some(rng, headers)
    if headers and rng.random() < 0.7:
        name = rng.choice(sorted(headers))
        headers = {**headers, name: spoil_text(rng, headers[name])}
    head = b''.join(
        name.encode() + b': ' + http_text(text) + b'\r\n'
        for name, text in headers.items()
    )
    sound = (
        f'{method} {path} HTTP/1.1\r\nhost: x\r\n'.encode()
        + head
        + f'content-length: {len(body)}\r\n\r\n'.encode()
        + body
    )
    return spoil_bytes(rng, sound) if rng.random() < 0.3 else sound


async def async_flood(port: int, inputs: list[bytes]) -> None:
    """Send inputs, some at a time."""
    for start in range(0, len(inputs), WIDTH):
        await asyncio.gather(
            *(
                async_send_raw(port, data)
                for data in inputs[start : start + WIDTH]
            ),
        )


async def async_flood_peer(port: int, inputs: list[tuple[str, bytes]]) -> None:
    """Send messages to a peers' listener, each on a stream of its own."""
    channel = Channel(HOST, port, codec=RawCodec())
    try:
        for start in range(0, len(inputs), WIDTH):
            await asyncio.gather(
                *(
                    _async_call(channel, name, data)
                    for name, data in inputs[start : start + WIDTH]
                ),
            )
    finally:
        channel.close()


async def _async_call(channel: Channel, name: str, data: bytes) -> None:
    """Make one call with a message of any bytes."""
    try:
        async with (
            asyncio.timeout(PEER_LIMIT_S),
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
def spoiled(
    server: HttpServer,
    rng: random.Random,
    counted: list[int],
) -> Iterator[None]:
    """Let a stand-in spoil its answers."""
    sound = server.handler

    async def async_spoil(request: Request) -> Response:
        """Answer with a changed status, header or body."""
        response = await sound(request)
        if response.stream is not None:
            return response
        counted[0] += 1
        headers = dict(response.headers)
        if headers and rng.random() < 0.6:
            name = rng.choice(sorted(headers))
            text = spoil_text(rng, headers[name])
            headers[name] = ''.join(
                letter if ' ' <= letter <= '~' else '?' for letter in text
            ).strip()
        body = response.body
        if rng.random() < 0.6:
            body = spoil_bytes(rng, body)
        status = response.status
        if rng.random() < 0.2:
            status = rng.choice((200, 204, 409, 429, 500, 503, 504, 599))
        return Response(
            status=status,
            headers=headers,
            body=b'' if status == 204 else body,
        )

    server.handler = async_spoil
    try:
        yield
    finally:
        server.handler = sound
