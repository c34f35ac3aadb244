"""Lines of a watch, with detection of one that has gone silent."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Iterator

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http import const as http
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.platform.transport import ObjectTransport, read_failure


async def watch_lines(
    transport: ObjectTransport,
    path: str,
    *,
    silent_s: float,
) -> AsyncGenerator[bytes, None]:
    """Yield the lines of a watch, without its heartbeats.

    Raises BitternturnError WATCH_GONE, PLATFORM_BUSY or
    PLATFORM_UNREACHABLE; the iterator never ends by itself.
    """
    connection, chunks = await _async_open(transport, path)
    rest = b''
    try:
        while True:
            chunk = await _async_chunk(transport, path, chunks, silent_s)
            *lines, rest = (rest + chunk).split(b'\n')
            for line in lines:
                if line:
                    yield line
    finally:
        connection.close()


async def _async_open(
    transport: ObjectTransport,
    path: str,
) -> tuple[ClientConnection, AsyncIterator[bytes]]:
    """Open a watch on a connection of its own."""
    started = transport.now()
    transport.spend(path)
    with _unreachable(transport, path):
        async with asyncio.timeout(transport.timeout_s):
            connection = await async_connect(
                host=transport.host,
                port=transport.port,
            )
            head, chunks = await connection.async_stream(path=path, headers={})
    if head.status == http.STATUS_OK:
        transport.reached_at = started
        return connection, chunks
    connection.close()
    try:
        transport.check(head, path, started)
    except BitternturnError as error:
        raise read_failure(error) from error
    code = ErrorCode.PLATFORM_UNREACHABLE
    if head.status == http.STATUS_GONE:
        code = ErrorCode.WATCH_GONE
    raise transport.error(code, path, f'status {head.status}')


async def _async_chunk(
    transport: ObjectTransport,
    path: str,
    chunks: AsyncIterator[bytes],
    silent_s: float,
) -> bytes:
    """Return the next chunk; raises PLATFORM_UNREACHABLE without one."""
    with _unreachable(transport, path):
        async with asyncio.timeout(silent_s):
            async for chunk in chunks:
                return chunk
    transport.failed_at = transport.now()
    raise transport.error(ErrorCode.PLATFORM_UNREACHABLE, path, 'watch ended')


@contextlib.contextmanager
def _unreachable(transport: ObjectTransport, path: str) -> Iterator[None]:
    """Turn failures of the connection into PLATFORM_UNREACHABLE."""
    try:
        yield
    except (TimeoutError, BitternturnError) as error:
        transport.failed_at = transport.now()
        raise transport.error(
            ErrorCode.PLATFORM_UNREACHABLE,
            path,
            str(error) or 'no line in time',
        ) from error
