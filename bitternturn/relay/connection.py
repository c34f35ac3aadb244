"""Bidirectional connections between instances for length-prefixed frames."""

import asyncio
import zlib
from collections.abc import Callable

from google.protobuf.message import DecodeError

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.models import Address
from bitternturn.http.client import TCP_KEEPALIVE_OPTIONS
from bitternturn.http.reads import limit_reads
from bitternturn.http.response_size import BodyBuffers
from bitternturn.relay import const
from bitternturn.relay.traffic import Direction, RelayTraffic
from bitternturn.schema.relay_pb2 import Frame


class RelayConnection(asyncio.Protocol):
    """One connection; calls back for each frame and once when it is lost."""

    def __init__(
        self,
        *,
        on_frame: Callable[['RelayConnection', Frame], None],
        on_lost: Callable[['RelayConnection'], None],
        traffic: RelayTraffic,
        buffers: BodyBuffers | None = None,
    ) -> None:
        """Initialise without a transport; `buffers` bounds all buffers."""
        self.on_frame = on_frame
        self.on_lost = on_lost
        self.traffic = traffic
        self.peer_host = ''
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.buffers = buffers
        self.received_bytes = 0

    @property
    def usable(self) -> bool:
        """Whether frames can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; enable keepalive to detect a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        limit_reads(transport)
        address = transport.get_extra_info('peername') or ('', 0)
        self.peer_host = address[0]
        sock = transport.get_extra_info('socket')
        for level, option, number in TCP_KEEPALIVE_OPTIONS:
            sock.setsockopt(level, option, number)

    def data_received(self, data: bytes) -> None:
        """Buffer data and pass on complete frames; close on invalid ones."""
        self.received_bytes += len(data)
        self.buffer += data
        self._read_frames()
        self._update_buffers()

    def _update_buffers(self) -> None:
        """Update the size of the incomplete frame."""
        if self.buffers is None:
            return
        if self.usable and self.buffer:
            self.buffers.update(self.close, len(self.buffer))
        else:
            self.buffers.discard(self.close)

    def _read_frames(self) -> None:
        """Pass on complete frames; close on invalid ones."""
        while len(self.buffer) >= const.LENGTH_BYTES:
            prefix = int.from_bytes(self.buffer[: const.LENGTH_BYTES])
            size = prefix & ~const.COMPRESSED_FLAG
            end = const.LENGTH_BYTES + size
            if size > const.MAX_FRAME_BYTES:
                self.close()
                return
            if len(self.buffer) < end:
                return
            body = bytes(self.buffer[const.LENGTH_BYTES : end])
            del self.buffer[:end]
            frame = _decode_frame(
                body,
                compressed=bool(prefix & const.COMPRESSED_FLAG),
            )
            if frame is None:
                self.close()
                return
            self.traffic.record(self.peer_host, frame, Direction.RECEIVED, end)
            self.on_frame(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection."""
        if self.buffers is not None:
            self.buffers.discard(self.close)
        self.on_lost(self)

    def send(self, frame: Frame) -> None:
        """Write a frame; it is dropped if the connection is closed."""
        if self.transport is None or self.transport.is_closing():
            return
        body = frame.SerializeToString()
        prefix = 0
        if len(body) > const.MIN_COMPRESS_BYTES:
            body = zlib.compress(body, level=const.COMPRESS_LEVEL)
            prefix = const.COMPRESSED_FLAG
        prefix |= len(body)
        size = const.LENGTH_BYTES + len(body)
        self.traffic.record(self.peer_host, frame, Direction.SENT, size)
        self.transport.write(prefix.to_bytes(const.LENGTH_BYTES) + body)

    def close(self) -> None:
        """Close immediately, discarding buffered data."""
        if self.transport is not None:
            self.transport.abort()


def _decode_frame(body: bytes, *, compressed: bool) -> Frame | None:
    """Decode a frame; return None if it is invalid."""
    try:
        if compressed:
            decompressor = zlib.decompressobj()
            body = decompressor.decompress(body, const.MAX_FRAME_BYTES)
        return Frame.FromString(body)
    except (DecodeError, zlib.error):
        return None


async def async_open_connection(
    address: Address,
    *,
    on_frame: Callable[[RelayConnection, Frame], None],
    on_lost: Callable[[RelayConnection], None],
    traffic: RelayTraffic,
) -> RelayConnection:
    """Open a connection; raises BitternturnError PEER_UNREACHABLE."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(const.CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: RelayConnection(
                    on_frame=on_frame, on_lost=on_lost, traffic=traffic
                ),
                address.host,
                address.port,
            )
    except (OSError, OverflowError, ValueError) as error:
        raise BitternturnError(
            str(error) or 'timeout',
            code=ErrorCode.PEER_UNREACHABLE,
            step='connect to peer',
            peer=f'{address.host}:{address.port}',
        ) from error
    return connection
