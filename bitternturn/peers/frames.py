"""Bounded reading of messages from streams of grpclib."""

import struct
from collections.abc import Callable
from typing import Any, TypeVar

from google.protobuf.message import DecodeError

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.peers.const import MAX_FRAME_BYTES, STEP_EXCHANGE

_PREFIX = struct.Struct('>?I')

Decoded = TypeVar('Decoded')


async def async_receive(
    stream: Any,
    decode: Callable[[bytes], Decoded],
    *,
    peer: str,
) -> Decoded | None:
    """Return the next message, None at the end of the stream.

    grpclib reads a message of any announced length into memory; this raises
    BitternturnError with BODY_TOO_LARGE for one above `MAX_FRAME_BYTES`, and
    with BAD_ANSWER for what is no message.
    """
    wire = stream._stream
    prefix = await wire.recv_data(_PREFIX.size)
    if not prefix:
        return None
    if len(prefix) < _PREFIX.size:
        raise _unreadable('cut short', peer)
    compressed, size = _PREFIX.unpack(prefix)
    if compressed or size > MAX_FRAME_BYTES:
        raise BitternturnError(
            f'frame of {size} bytes',
            code=ErrorCode.BODY_TOO_LARGE,
            step=STEP_EXCHANGE,
            peer=peer,
        )
    body = await wire.recv_data(size)
    if len(body) < size:
        raise _unreadable('cut short', peer)
    try:
        return decode(body)
    except DecodeError as error:
        raise _unreadable(str(error), peer) from error


def _unreadable(message: str, peer: str) -> BitternturnError:
    """Return the error of a frame that holds no message."""
    return BitternturnError(
        message,
        code=ErrorCode.BAD_ANSWER,
        step=STEP_EXCHANGE,
        peer=peer,
    )


def ended_cleanly(stream: Any) -> bool:
    """Whether the server ended the stream with the status OK."""
    trailers = stream._stream.trailers
    return trailers is not None and dict(trailers).get('grpc-status') == '0'


def abort(channel: Any) -> None:
    """Close a channel at once, also when its peer reads nothing."""
    protocol = channel._protocol
    connection = getattr(protocol, 'connection', None)
    transport = getattr(connection, '_transport', None)
    if transport is not None:
        transport.abort()
    channel.close()
