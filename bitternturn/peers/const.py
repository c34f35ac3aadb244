"""Protocol versions, timeouts and size limits of peer connections."""

from typing import Final

PROTOCOL: Final = 1
OLDEST_PROTOCOL: Final = 1

DEFAULT_KEEP_ALIVE_INTERVAL_S: Final = 0.25
DEFAULT_IDLE_KEEP_ALIVE_INTERVAL_S: Final = 1.0
DEFAULT_SILENCE_TIMEOUT_S: Final = 0.75
DEFAULT_CONNECT_TIMEOUT_S: Final = 0.5
DEFAULT_MIN_BACKOFF_S: Final = 0.02
DEFAULT_MAX_BACKOFF_S: Final = 2.0
DEFAULT_MAX_OUTSTANDING: Final = 4096
DEFAULT_IDLE_TIMEOUT_S: Final = 60.0
DEFAULT_CALL_TIMEOUT_S: Final = 1.0

# A session is closed when its client has sent nothing for this long.
SESSION_SILENCE_TIMEOUT_S: Final = 5.0

# On shutdown the server waits for clients to close their connections, for at
# most MAX_CLOSE_POLLS intervals.
CLOSE_POLL_INTERVAL_S: Final = 0.01
MAX_CLOSE_POLLS: Final = 25

# No further group or result is added to a frame above this size.
SOFT_MAX_FRAME_BYTES: Final = 1024 * 1024
# Must exceed SOFT_MAX_FRAME_BYTES plus the largest body of a target, since
# the last item added to a frame may go over the soft limit.
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_BODY_BYTES: Final = 2 * 1024 * 1024
FLOW_CONTROL_WINDOW_BYTES: Final = 4 * 1024 * 1024

MAX_SUB_REQUEST_ID: Final = 2**32 - 1

STEP_EXCHANGE: Final = 'peer exchange'
STEP_HELLO: Final = 'peer hello'
