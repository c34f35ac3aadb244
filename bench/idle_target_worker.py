"""Stand-in for many idle targets: one listener that answers health checks."""

import asyncio
import sys

HOST = '127.0.0.1'
BACKLOG = 4096
BODY = b'{"state": "ready"}'
ANSWER = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: %d\r\n\r\n%s' % (len(BODY), BODY)
)
END_OF_REQUEST = b'\r\n\r\n'


class IdleTarget(asyncio.Protocol):
    """Connection on which each request is a health check without a body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the answers."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each request that ends in the data."""
        for _ in range(data.count(END_OF_REQUEST)):
            self.transport.write(ANSWER)


async def async_main() -> None:
    """Listen, print the port and serve until standard input is closed."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(IdleTarget, HOST, 0, backlog=BACKLOG)
    print(server.sockets[0].getsockname()[1], flush=True)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    await reader.read()
    server.close()


if __name__ == '__main__':
    asyncio.run(async_main())
