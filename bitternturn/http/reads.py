"""Size of the reads of a connection."""

import asyncio

from bitternturn.http.const import READ_BYTES


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Read at most `READ_BYTES` at once.

    asyncio allocates 256 KiB for each read, which the allocator gets from the
    system and returns to it: three system calls for a few hundred bytes.
    """
    if hasattr(transport, 'max_size'):
        transport.max_size = READ_BYTES
