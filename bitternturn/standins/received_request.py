"""Requests that an emulated target receives."""

import asyncio
import time
from dataclasses import dataclass

import h11

from bitternturn.http import const as http
from bitternturn.platform import wire_names


@dataclass(kw_only=True, slots=True)
class ReceivedRequest:
    """One request as received by the target."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    run: bool
    # When it arrived, on the monotonic clock.
    arrived_at: float = 0


async def async_read_request(
    connection: h11.Connection,
    reader: asyncio.StreamReader,
) -> ReceivedRequest | None:
    """Read the next request; return None at the end of the connection."""
    head: h11.Request | None = None
    body = b''
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(http.READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            break
        else:
            return None
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return ReceivedRequest(
        id=headers.get(wire_names.HEADER_REQUEST_ID, ''),
        method=head.method.decode(),
        target=head.target.decode(),
        headers=headers,
        body=body,
        run=False,
        arrived_at=time.monotonic(),
    )
