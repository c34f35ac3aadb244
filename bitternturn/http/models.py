"""Models of HTTP requests and responses."""

from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http.const import STATUS_OK


@dataclass(kw_only=True, slots=True)
class Request:
    """One complete request; header names are in lower case."""

    method: str
    path: str
    query: str = ''
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    peer: str = ''
    # Request target as received: path and query.
    request_target: str = ''
    # All headers in order: names in lower case, repeated ones included.
    header_pairs: Sequence[tuple[bytes, bytes]] = ()
    # Whether it is the first request on its connection.
    first_on_connection: bool = False
    # Round-trip time to the client in seconds, None if it is not known.
    round_trip_s: float | None = None

    def query_parameter(self, name: str, default: str = '') -> str:
        """Return one query parameter."""
        return parse_qs(self.query).get(name, [default])[0]

    def json(self) -> Any:
        """Decode the body from JSON; raises BitternturnError."""
        try:
            return msgspec.json.decode(self.body)
        except DECODE_ERRORS as error:
            raise BitternturnError(
                str(error),
                code=ErrorCode.BAD_REQUEST,
                step='decode body',
                peer=self.peer,
            ) from error


@dataclass(kw_only=True, slots=True)
class Response:
    """One response, with either a complete body or a stream of chunks."""

    status: int = STATUS_OK
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    stream: AsyncIterator[bytes] | None = None


def make_json_response(
    content: Any,
    *,
    status: int = STATUS_OK,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status=status,
        headers={'content-type': 'application/json', **(headers or {})},
        body=msgspec.json.encode(content),
    )


def make_error_response(
    error: BitternturnError,
    *,
    status: int,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Return a response with the code, step, peer and message of an error."""
    return make_json_response(
        {
            'code': error.code.value,
            'step': error.step,
            'peer': error.peer,
            'message': error.message,
        },
        status=status,
        headers=headers,
    )
