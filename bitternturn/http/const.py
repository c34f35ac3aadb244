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

STATUS_OK: Final = 200
STATUS_NO_CONTENT: Final = 204
STATUS_MULTIPLE_CHOICES: Final = 300
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
# Highest status that HTTP defines a class for.
MAX_STATUS: Final = 599
