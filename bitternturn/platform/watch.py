"""Line stream of a watch, with a timeout for missing heartbeats."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Iterator

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http import const as http
from bitternturn.http.client import ClientConnection, async_connect
from bitternturn.platform.transport import ObjectTransport, as_read_error


async def watch_lines(
    transport: ObjectTransport,
    path: str,
    *,
    silence_timeout_s: float,
) -> AsyncGenerator[bytes, None]:
    """Yield the lines of a watch except heartbeats.

    Raises BitternturnError WATCH_GONE, PLATFORM_BUSY or
    PLATFORM_UNREACHABLE; the iterator ends in no other way.
    """
    connection, chunks = await _async_open(transport, path)
    rest = b''
    try:
        while True:
            chunk = await _async_next_chunk(
                transport, path, chunks, silence_timeout_s
            )
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
    """Open a watch on a dedicated connection."""
    started_at = transport.now()
    transport.spend_call(path)
    with _convert_failures(transport, path):
        async with asyncio.timeout(transport.timeout_s):
            connection = await async_connect(
                host=transport.host,
                port=transport.port,
            )
            head, chunks = await connection.async_stream(path=path, headers={})
    try:
        transport.check_status(head.status, path, started_at)
    except BitternturnError as error:
        connection.close()
        raise as_read_error(error) from error
    if head.status == http.STATUS_OK:
        return connection, chunks
    connection.close()
    code = ErrorCode.PLATFORM_UNREACHABLE
    if head.status == http.STATUS_GONE:
        code = ErrorCode.WATCH_GONE
    raise transport.make_error(code, path, f'status {head.status}')


async def _async_next_chunk(
    transport: ObjectTransport,
    path: str,
    chunks: AsyncIterator[bytes],
    silence_timeout_s: float,
) -> bytes:
    """Return the next chunk; raises PLATFORM_UNREACHABLE if there is none."""
    with _convert_failures(transport, path):
        async with asyncio.timeout(silence_timeout_s):
            async for chunk in chunks:
                return chunk
    transport.failed_at = transport.now()
    raise transport.make_error(
        ErrorCode.PLATFORM_UNREACHABLE, path, 'watch ended'
    )


@contextlib.contextmanager
def _convert_failures(transport: ObjectTransport, path: str) -> Iterator[None]:
    """Convert connection failures into PLATFORM_UNREACHABLE."""
    try:
        yield
    except (TimeoutError, BitternturnError) as error:
        transport.failed_at = transport.now()
        raise transport.make_error(
            ErrorCode.PLATFORM_UNREACHABLE,
            path,
            str(error) or 'no line within the timeout',
        ) from error
