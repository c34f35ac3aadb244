"""Fault-injecting TCP proxy."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterator
from enum import Enum, unique

from bitternturn.core.tasks import TaskSet
from bitternturn.standins.proxy_faults import (
    DelayLine,
    DirectionFaults,
    ProxyFaults,
    blackhole,
    no_faults,
)

# SO_LINGER with a timeout of 0 s: closing sends a reset and discards unsent
# data.
LINGER_RESET = struct.pack('ii', 1, 0)
# Connections that fill the queue of a listener with a backlog of 0.
QUEUED_CONNECTIONS = 2


@unique
class Direction(Enum):
    """Direction of data: UP is from the client to the server."""

    UP = 'up'
    DOWN = 'down'


class FaultProxy:
    """Forwards connections from one port to a server, with faults."""

    def __init__(self, *, host: str, port: int) -> None:
        """Initialise for a server; the listener is not started yet."""
        self.server_host = host
        self.server_port = port
        self.faults = no_faults()
        self.connections: list[ProxyConnection] = []
        self.accepted_count = 0
        # Totals of forwarded bytes and of reads, over both directions.
        self.byte_count = 0
        self.read_count = 0
        self.host = ''
        self.port = 0
        self.tasks = TaskSet()
        self._listener: asyncio.Server | None = None
        # Socket that reserves the port while connections are refused, and those
        # that fill its queue of new connections.
        self._reserved: list[socket.socket] = []

    async def async_start(self, *, host: str, port: int = 0) -> None:
        """Start the listener; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._make_client_endpoint, host, port, reuse_port=True
        )
        self.host, self.port = self._listener.sockets[0].getsockname()[:2]

    async def async_stop(self) -> None:
        """Close the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._release()
        for connection in list(self.connections):
            connection.close()
        await self.tasks.async_stop()

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones are kept.

        The port stays reserved throughout, as another process may use it
        otherwise.
        """
        if self._listener is None:
            return
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        reserved.bind((self.host, self.port))
        self._reserved.append(reserved)
        self._listener.close()
        self._listener = None

    def ignore_connections(self) -> None:
        """Let new connections hang, as behind a partition.

        The kernel drops the opening packet while the queue of a listener is
        full.
        """
        self.refuse_connections()
        self._reserved[0].listen(0)
        for _ in range(QUEUED_CONNECTIONS):
            client = socket.socket()
            client.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                client.connect((self.host, self.port))
            self._reserved.append(client)

    async def async_accept_connections(self) -> None:
        """Accept new connections again, on the same port."""
        reserved = self._reserved
        self._reserved = []
        await self.async_start(host=self.host, port=self.port)
        for sock in reserved:
            sock.close()

    def _release(self) -> None:
        """Close the sockets that reserve the port and fill its queue."""
        for reserved in self._reserved:
            reserved.close()
        self._reserved.clear()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Set the faults of all open and future connections."""
        self.faults = faults
        for connection in self.connections:
            connection.faults = faults

    def blackhole_connections(self) -> None:
        """Drop all further data of open connections; new ones work."""
        for connection in self.connections:
            connection.faults = blackhole()

    def reset_connections(self) -> None:
        """Reset all open connections at both ends."""
        for connection in list(self.connections):
            connection.reset()

    def half_open_connections(self) -> None:
        """Reset connections at the server only; clients see no change."""
        for connection in list(self.connections):
            connection.reset_server()

    def _make_client_endpoint(self) -> 'ClientEndpoint':
        """Create a proxy connection; return its client-side protocol."""
        self.accepted_count += 1
        connection = ProxyConnection(proxy=self)
        self.connections.append(connection)
        return connection.client


class ProxyConnection:
    """Pair of endpoints that forwards one connection."""

    def __init__(self, *, proxy: FaultProxy) -> None:
        """Create both endpoints, not connected yet."""
        self.proxy = proxy
        self.faults = proxy.faults
        self.closed = False
        self.client = ClientEndpoint(connection=self, direction=Direction.UP)
        self.server = ProxyEndpoint(connection=self, direction=Direction.DOWN)

    async def async_connect(self) -> None:
        """Connect to the server; reset the client if that fails."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: self.server,
                self.proxy.server_host,
                self.proxy.server_port,
            )
        except OSError:
            self.reset()

    def direction_faults(self, direction: Direction) -> DirectionFaults:
        """Return the faults of one direction."""
        return self.faults.up if direction is Direction.UP else self.faults.down

    def opposite(self, endpoint: 'ProxyEndpoint') -> 'ProxyEndpoint':
        """Return the opposite endpoint."""
        return self.server if endpoint is self.client else self.client

    def close(self) -> None:
        """Abort both endpoints and remove the connection."""
        self.client.close()
        self.server.close()
        self.unregister()

    def reset(self) -> None:
        """Reset both endpoints and remove the connection."""
        self.client.reset()
        self.server.reset()
        self.unregister()

    def reset_server(self) -> None:
        """Reset the server's end and drop all further data."""
        self.faults = blackhole()
        self.server.reset()

    def unregister(self) -> None:
        """Remove the connection from the proxy."""
        self.closed = True
        with contextlib.suppress(ValueError):
            self.proxy.connections.remove(self)


class ProxyEndpoint(asyncio.Protocol):
    """One end of a connection; forwards what it reads to the other."""

    def __init__(
        self,
        *,
        connection: ProxyConnection,
        direction: Direction,
    ) -> None:
        """Initialise; `direction` is that of the data read here."""
        self.connection = connection
        self.direction = direction
        self.transport: asyncio.Transport | None = None
        self.bytes_passed = 0
        self.delay_line = DelayLine(deliver=self._forward)
        # Data for this end that arrived before it was connected.
        self.unsent: list[bytes | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the data that arrived before the connection was made."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.connection.closed:
            transport.abort()
        for chunk in self.unsent:
            self.write(chunk)
        self.unsent.clear()

    def data_received(self, data: bytes) -> None:
        """Forward data, subject to the faults of the direction."""
        faults = self.connection.direction_faults(self.direction)
        if faults.blackholed:
            return
        limit = faults.truncate_after_bytes
        if limit is not None:
            data = data[: max(0, limit - self.bytes_passed)]
        self.bytes_passed += len(data)
        self.connection.proxy.byte_count += len(data)
        self.connection.proxy.read_count += 1
        self.delay_line.enqueue(data, faults.delay_s)
        if limit is not None and self.bytes_passed >= limit:
            self.delay_line.enqueue(None, faults.delay_s)

    def eof_received(self) -> bool:
        """Forward the end of the stream; keep the other direction open."""
        faults = self.connection.direction_faults(self.direction)
        if not faults.blackholed:
            self.delay_line.enqueue(None, faults.delay_s)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Close or reset the other end, unless the direction drops data."""
        faults = self.connection.direction_faults(self.direction)
        if exc is not None and not faults.blackholed:
            # Forward a reset as a reset, not as a regular end of stream.
            self.connection.opposite(self).reset()
        elif not faults.blackholed:
            self.delay_line.enqueue(None, faults.delay_s)
        if all(self._iter_closed()):
            self.connection.unregister()

    def pause_writing(self) -> None:
        """Pause reading at the other end while this buffer is full."""
        source = self.connection.opposite(self).transport
        if source is not None and not source.is_closing():
            source.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading at the other end."""
        source = self.connection.opposite(self).transport
        if source is not None and not source.is_closing():
            source.resume_reading()

    def write(self, chunk: bytes | None) -> None:
        """Write a chunk to this end; None closes it."""
        if self.transport is None:
            self.unsent.append(chunk)
        elif chunk is None:
            self.transport.close()
        elif not self.transport.is_closing():
            self.transport.write(chunk)

    def close(self) -> None:
        """Abort this end and discard delayed data."""
        self.delay_line.close()
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close this end with a TCP reset."""
        if self.transport is None or self.transport.is_closing():
            return
        self.delay_line.close()
        sock = self.transport.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()

    def _forward(self, chunk: bytes | None) -> None:
        """Forward a chunk to the other end."""
        self.connection.opposite(self).write(chunk)

    def _iter_closed(self) -> Iterator[bool]:
        """Yield for each end whether it is closed or was never open."""
        for endpoint in (self.connection.client, self.connection.server):
            yield endpoint.transport is None or endpoint.transport.is_closing()


class ClientEndpoint(ProxyEndpoint):
    """Client-side end, which connects to the server once it is open."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start connecting to the server."""
        super().connection_made(transport)
        self.connection.proxy.tasks.spawn(self.connection.async_connect())
