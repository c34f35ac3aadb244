"""Times, sizes and paths of the object API."""

from typing import Final

DEFAULT_ATTEMPTS: Final = 4
DEFAULT_BACKOFF_S: Final = 0.02
DEFAULT_BACKOFF_CAP_S: Final = 1.0
DEFAULT_HEARTBEAT_S: Final = 5.0
DEFAULT_CALLS_PER_S: Final = 200.0
DEFAULT_CALL_BURST: Final = 100.0
DEFAULT_IDLE_CONNECTIONS: Final = 4

# A watch with no line for this many heartbeats is taken for silent.
SILENT_HEARTBEATS: Final = 3
TOKEN_BITS: Final = 128
VALUE_BYTES: Final = 1024 * 1024

HEADER_IF_VERSION: Final = 'if-version'
PATH_OBJECTS: Final = '/objects'
PATH_WATCH: Final = '/watch'
PATH_INSTANCES: Final = '/instances'
