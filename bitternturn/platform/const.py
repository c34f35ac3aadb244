"""Timeouts, limits, paths and headers of the object API."""

from typing import Final

DEFAULT_MAX_ATTEMPTS: Final = 4
DEFAULT_BACKOFF_S: Final = 0.02
DEFAULT_BACKOFF_CAP_S: Final = 1.0
DEFAULT_HEARTBEAT_S: Final = 5.0
DEFAULT_CALLS_PER_S: Final = 200.0
DEFAULT_CALL_BURST: Final = 100.0
MAX_IDLE_CONNECTIONS: Final = 4

# A watch without a line for this many heartbeat intervals has failed.
MAX_MISSED_HEARTBEATS: Final = 3
TOKEN_BITS: Final = 128
MAX_VALUE_BYTES: Final = 1024 * 1024

HEADER_IF_VERSION: Final = 'if-version'
PATH_OBJECTS: Final = '/objects'
PATH_WATCH: Final = '/watch'
PATH_INSTANCES: Final = '/instances'
