"""Limits of the streams between instances."""

from typing import Final

PROTOCOL: Final = 1
OLDEST_PROTOCOL: Final = 1

DEFAULT_KEEP_ALIVE_S: Final = 0.25
DEFAULT_IDLE_KEEP_ALIVE_S: Final = 1.0
DEFAULT_SILENT_S: Final = 0.75
DEFAULT_CONNECT_TIMEOUT_S: Final = 0.5
DEFAULT_BACK_OFF_S: Final = 0.02
DEFAULT_MAX_BACK_OFF_S: Final = 2.0
DEFAULT_OUTSTANDING: Final = 4096
DEFAULT_UNUSED_S: Final = 60.0
DEFAULT_CALL_TIMEOUT_S: Final = 1.0

# A server gives up a client that sent nothing for this long.
SESSION_SILENT_S: Final = 5.0

LINGER_STEP_S: Final = 0.01
LINGER_STEPS: Final = 25

# A frame takes no further group or result beyond this size.
FRAME_BYTES: Final = 1024 * 1024
# Larger than one whole frame and one whole body of a target.
MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
MAX_BODY_BYTES: Final = 2 * 1024 * 1024
WINDOW_BYTES: Final = 4 * 1024 * 1024

MAX_SUB_ID: Final = 2**32 - 1

STEP_EXCHANGE: Final = 'peer exchange'
STEP_HELLO: Final = 'peer hello'
