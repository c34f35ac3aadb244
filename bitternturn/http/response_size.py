"""Limits of the responses that a process receives.

Guards against servers that send bytes without end: in a body, in the framing
around tiny chunks, or as interim responses ahead of the final one.
"""

from collections.abc import Callable

from bitternturn.http import const


class ResponseSize:
    """Size of one response so far."""

    __slots__ = (
        'body_bytes',
        'interim_count',
        'max_body_bytes',
        'received_bytes',
    )

    def __init__(self, *, max_body_bytes: int) -> None:
        """Initialise for the first response of a connection."""
        self.max_body_bytes = max_body_bytes
        self.received_bytes = 0
        self.body_bytes = 0
        self.interim_count = 0

    def reset(self) -> None:
        """Start to count the next response."""
        self.received_bytes = 0
        self.body_bytes = 0
        self.interim_count = 0

    def excess(self) -> str:
        """Return which limit is exceeded, empty if none is."""
        if self.body_bytes > self.max_body_bytes:
            return f'response body is larger than {self.max_body_bytes} bytes'
        if self.interim_count > const.MAX_INTERIM_RESPONSES:
            return f'more than {const.MAX_INTERIM_RESPONSES} interim responses'
        framing_bytes = self.received_bytes - self.body_bytes
        max_framing_bytes = (
            const.MAX_FRAMING_BYTES
            + self.body_bytes * const.MAX_FRAMING_PER_BODY_BYTE
        )
        if framing_bytes > max_framing_bytes:
            return f'response has {framing_bytes} bytes of framing'
        return ''


# Aborts the exchange that a body belongs to.
AbortExchange = Callable[[], None]


class BodyBuffers:
    """Bounds the memory of all bodies that are being received.

    A body may be as large as its own limit, but many at once would exceed the
    memory of the process. The exchange with the largest body is aborted first.
    """

    __slots__ = ('max_bytes', 'sizes', 'total_bytes')

    def __init__(self, *, max_bytes: int) -> None:
        """Initialise without bodies."""
        self.max_bytes = max_bytes
        self.sizes: dict[AbortExchange, int] = {}
        self.total_bytes = 0

    def update(self, abort: AbortExchange, body_bytes: int) -> None:
        """Set the size of a body; abort the largest ones above the limit."""
        if body_bytes <= const.SMALL_BODY_BYTES:
            # The buffer of a peer shrinks when its frame is complete.
            self.discard(abort)
            return
        self.total_bytes += body_bytes - self.sizes.get(abort, 0)
        self.sizes[abort] = body_bytes
        while self.total_bytes > self.max_bytes:
            largest = max(self.sizes, key=self.sizes.__getitem__)
            self.discard(largest)
            largest()

    def discard(self, abort: AbortExchange) -> None:
        """Remove a body that is complete or aborted."""
        self.total_bytes -= self.sizes.pop(abort, 0)
