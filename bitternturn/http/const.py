"""Default limits, timeouts and status codes of HTTP."""

from typing import Final

DEFAULT_BODY_BYTES: Final = 1024 * 1024
MAX_RESPONSE_BYTES: Final = 64 * 1024 * 1024
# Limits of responses while they arrive.
# Interim responses (1xx) that are accepted ahead of the final one.
MAX_INTERIM_RESPONSES: Final = 16
# Bytes beyond the body (head, chunk sizes, chunk extensions, trailers) that are
# accepted in any response, and in addition for each byte of the body: a chunk
# of one byte has a framing of five.
MAX_FRAMING_BYTES: Final = 64 * 1024
MAX_FRAMING_PER_BODY_BYTE: Final = 8
# Bodies up to this size are not counted by `BodyBuffers`.
SMALL_BODY_BYTES: Final = 8 * 1024

DEFAULT_HEADER_BYTES: Final = 16 * 1024
DEFAULT_HEADER_TIMEOUT_S: Final = 5.0
DEFAULT_IDLE_TIMEOUT_S: Final = 75.0
DEFAULT_MAX_CONNECTIONS: Final = 1024

READ_BYTES: Final = 64 * 1024

# Limits of what callers make a listener hold.
# Bytes that a connection of a caller reads at once.
SERVER_READ_BYTES: Final = 16 * 1024
# Bytes behind the current request from which on reading stops until its
# response is written.
MAX_BYTES_AHEAD: Final = 16 * 1024
# Unsent bytes of responses from which on no further request is handled.
MAX_UNSENT_BYTES: Final = 16 * 1024
# Connections that hold up to this size are not counted by `CallerMemory`: an
# ordinary request is smaller.
SMALL_HOLDING_BYTES: Final = 8 * 1024
# Default budget of `CallerMemory`.
DEFAULT_CALLER_MEMORY_BYTES: Final = 64 * 1024 * 1024
# Memory of a body as a multiple of its size: it is copied into the request, and
# may wait in the write buffer of the connection to a target.
BODY_COPIES: Final = 2
# Responses up to this size are written with one call; larger ones would be
# copied for that.
MAX_JOINED_BYTES: Final = 64 * 1024
# Events of the parser that a connection handles before others get a turn. An
# event takes about 4 us.
MAX_EVENTS_PER_TURN: Final = 64
# Bytes that must arrive within each timeout while a body is read. Slower ones
# would keep their connection and memory for days.
MIN_BODY_PROGRESS_BYTES: Final = 1024
# Time in which input is discarded after a refusal, in seconds: a peer that is
# still sending would otherwise get a reset instead of the response.
LINGER_S: Final = 1.0
MAX_LINGER_BYTES: Final = 256 * 1024
# Retry-After of a request that was refused for lack of memory, in seconds.
REFUSED_RETRY_AFTER_S: Final = 1
# Connections that are accepted in one turn of the event loop; they are open
# before the limit of connections is applied to them.
ACCEPTED_PER_TURN: Final = 16
# Time in which a connection that was opened, or began a request, does not count
# as unused, in seconds: the first request of a caller arrives within a round
# trip, and is read late by a busy process.
NEW_CONNECTION_S: Final = 0.5
# New connections that a listener holds beyond its limit, so that no idle one is
# closed for a connection that sends nothing. Small against the reserve of 64
# descriptors, as there are three listeners.
MAX_NEW_BEYOND_LIMIT: Final = 8
# Time until the limit is applied to connections that were new, in seconds.
# Those that were opened together have stopped to be new by then.
LIMIT_CHECK_DELAY_S: Final = 2 * NEW_CONNECTION_S
# Connections that the system may queue while others are accepted.
LISTEN_BACKLOG: Final = 128

STATUS_OK: Final = 200
STATUS_NO_CONTENT: Final = 204
STATUS_MULTIPLE_CHOICES: Final = 300
STATUS_NOT_MODIFIED: Final = 304
STATUS_BAD_REQUEST: Final = 400
STATUS_UNAUTHORIZED: Final = 401
STATUS_NOT_FOUND: Final = 404
STATUS_METHOD_NOT_ALLOWED: Final = 405
STATUS_REQUEST_TIMEOUT: Final = 408
STATUS_CONFLICT: Final = 409
STATUS_GONE: Final = 410
STATUS_CONTENT_TOO_LARGE: Final = 413
STATUS_MISDIRECTED_REQUEST: Final = 421
STATUS_TOO_MANY_REQUESTS: Final = 429
STATUS_HEADERS_TOO_LARGE: Final = 431
STATUS_CLIENT_CLOSED: Final = 499
STATUS_INTERNAL: Final = 500
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_GATEWAY_TIMEOUT: Final = 504
# Responses that end with their head.
STATUSES_WITHOUT_CONTENT: Final = frozenset(
    (STATUS_NO_CONTENT, STATUS_NOT_MODIFIED)
)
# Highest status that HTTP defines a class for.
MAX_STATUS: Final = 599
