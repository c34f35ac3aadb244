"""Round-trip time of a connection, as measured by TCP."""

import asyncio
import socket
import struct
from typing import Final

# Offset of the smoothed round-trip time in `struct tcp_info` of Linux: seven
# bytes of state, one of padding, and 15 numbers of 32 bits precede it.
ROUND_TRIP_OFFSET: Final = 68
ROUND_TRIP_FORMAT: Final = '=I'
INFO_BYTES: Final = ROUND_TRIP_OFFSET + struct.calcsize(ROUND_TRIP_FORMAT)
MICROSECONDS_PER_SECOND: Final = 1_000_000


def read_round_trip_s(transport: asyncio.BaseTransport) -> float | None:
    """Return the round-trip time in seconds, None if it is not known."""
    sock = transport.get_extra_info('socket')
    option = getattr(socket, 'TCP_INFO', None)
    if sock is None or option is None:
        return None
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, option, INFO_BYTES)
    except OSError:
        return None
    if len(tcp_info) < INFO_BYTES:
        return None
    microseconds: int = struct.unpack_from(
        ROUND_TRIP_FORMAT, tcp_info, ROUND_TRIP_OFFSET
    )[0]
    return microseconds / MICROSECONDS_PER_SECOND if microseconds else None
