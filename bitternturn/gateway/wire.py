"""Conversion of HTTP messages that the gateway requires."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from h11._headers import Headers

from bitternturn.gateway.models import (
    CallerRequest,
    RefusalReason,
    TargetAnswer,
    TargetEntry,
)
from bitternturn.http.models import Request, Response


@dataclass(kw_only=True, frozen=True, slots=True)
class Wire:
    """Converts HTTP messages of callers and targets to gateway types."""

    read_request: Callable[[Request], CallerRequest]
    # Removes the API key and the tenant that the caller states from the headers.
    withhold_credentials: Callable[[CallerRequest], None]
    # Does the same for a request from a peer if the peer has forwarded the key.
    withhold_forwarded_credentials: Callable[[CallerRequest], None]
    # Returns the headers that targets get over any path, with the tenant.
    forwarded_headers: Callable[[CallerRequest], Sequence[tuple[bytes, bytes]]]
    # Returns the headers of a send. Takes the request, the entry of the target
    # and the remaining time in seconds.
    write_send_headers: Callable[[CallerRequest, TargetEntry, float], Headers]
    read_answer: Callable[[Response], TargetAnswer]
    # Takes the request, the answers of the parts, the number of missing parts
    # and the merged body.
    write_merged: Callable[
        [CallerRequest, Sequence[TargetAnswer], int, bytes], Response
    ]
    write_answer: Callable[[TargetAnswer], Response]
    # Takes the request, the reason and the Retry-After time in seconds, None
    # if the response has none.
    write_refusal: Callable[
        [CallerRequest, RefusalReason, float | None], Response
    ]
    # Size of one record in the body of a part, in bytes.
    record_bytes: int
