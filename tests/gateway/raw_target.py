"""Targets whose response is given byte for byte."""

import asyncio
import re

REQUEST_ID = re.compile(rb'x-request-id: *([^\r]*)\r\n', re.IGNORECASE)
CONTENT_LENGTH = re.compile(rb'content-length: *(\d+)\r\n', re.IGNORECASE)

# Headers that a valid response has: with them, only the status is wrong.
HEADERS = (
    b'x-server-stamp: t.ID.1\r\nx-request-id: ID\r\ncontent-length: 2\r\n\r\nok'
)
# Responses whose status line, or the body that it excludes, is invalid.
INVALID_RESPONSES = {
    '000': b'HTTP/1.1 000 None\r\n' + HEADERS,
    '099': b'HTTP/1.1 099 None\r\n' + HEADERS,
    '600': b'HTTP/1.1 600 None\r\n' + HEADERS,
    '999': b'HTTP/1.1 999 None\r\n' + HEADERS,
    '999-not-run': b'HTTP/1.1 999 None\r\nx-not-executed: 1\r\n' + HEADERS,
    '1000': b'HTTP/1.1 1000 None\r\n' + HEADERS,
    'no-digits': b'HTTP/1.1 abc None\r\n' + HEADERS,
    'no-status': b'HTTP/1.1\r\n' + HEADERS,
    'endless-1xx': b'HTTP/1.1 102 Processing\r\n\r\n' * 99,
    '101': b'HTTP/1.1 101 Switching Protocols\r\n' + HEADERS,
    '204-with-length': b'HTTP/1.1 204 No Content\r\n' + HEADERS,
    '204-chunked': (
        b'HTTP/1.1 204 No Content\r\nx-server-stamp: t.ID.1\r\n'
        b'x-request-id: ID\r\ntransfer-encoding: chunked\r\n\r\n'
        b'2\r\nok\r\n0\r\n\r\n'
    ),
    '204-with-bytes': (
        b'HTTP/1.1 204 No Content\r\nx-server-stamp: t.ID.1\r\n'
        b'x-request-id: ID\r\n\r\nok'
    ),
}


class RawTarget:
    """Target that sends the same bytes in response to each request."""

    def __init__(self, name, response):
        self.id = name
        self.response = response
        self.host = '127.0.0.1'
        self.port = 0
        # Ids of the requests that were received completely.
        self.requests = []
        self.server = None

    async def async_start(self):
        self.server = await asyncio.start_server(
            self._async_accept, self.host, 0
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def async_stop(self):
        self.server.close()

    async def _async_accept(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = CONTENT_LENGTH.search(head)
                if length:
                    await reader.readexactly(int(length[1]))
                found = REQUEST_ID.search(head)
                request_id = found[1] if found else b''
                self.requests.append(request_id.decode())
                writer.write(self.response.replace(b'ID', request_id))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
