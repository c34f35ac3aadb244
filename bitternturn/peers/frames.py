"""Size-limited reading of gRPC messages, and access to grpclib internals."""

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
    """Return the next message, or None at the end of the stream.

    grpclib itself reads a message of any announced length into memory. This
    raises BitternturnError with BODY_TOO_LARGE for a message larger than
    `MAX_FRAME_BYTES`, and with BAD_ANSWER for a truncated or malformed one.
    """
    raw_stream = stream._stream
    prefix = await raw_stream.recv_data(_PREFIX.size)
    if not prefix:
        return None
    if len(prefix) < _PREFIX.size:
        raise _unreadable_frame('frame is truncated', peer)
    compressed, size = _PREFIX.unpack(prefix)
    if compressed or size > MAX_FRAME_BYTES:
        raise BitternturnError(
            f'frame of {size} bytes is compressed or too large',
            code=ErrorCode.BODY_TOO_LARGE,
            step=STEP_EXCHANGE,
            peer=peer,
        )
    body = await raw_stream.recv_data(size)
    if len(body) < size:
        raise _unreadable_frame('frame is truncated', peer)
    try:
        return decode(body)
    except DecodeError as error:
        raise _unreadable_frame(str(error), peer) from error


def _unreadable_frame(message: str, peer: str) -> BitternturnError:
    """Return the error for a truncated or malformed frame."""
    return BitternturnError(
        message,
        code=ErrorCode.BAD_ANSWER,
        step=STEP_EXCHANGE,
        peer=peer,
    )


def ended_cleanly(stream: Any) -> bool:
    """Return whether the server ended the stream with status OK."""
    trailers = stream._stream.trailers
    return trailers is not None and dict(trailers).get('grpc-status') == '0'


def abort_channel(channel: Any) -> None:
    """Close a channel without waiting for unsent data to be written."""
    protocol = channel._protocol
    connection = getattr(protocol, 'connection', None)
    transport = getattr(connection, '_transport', None)
    if transport is not None:
        transport.abort()
    channel.close()
