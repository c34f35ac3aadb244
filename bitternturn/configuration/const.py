"""Limits of configurations and names of their objects."""

from typing import Final

KIND_CONTROL: Final = 'control'
KIND_HISTORY: Final = 'history'
NAME_VIEW: Final = 'view'

# Values of the object API hold this many bytes.
MAX_VALUE_BYTES: Final = 1024 * 1024
HISTORY_ENTRIES: Final = 20
HISTORY_ATTEMPTS: Final = 5

MAX_DEADLINE_MS: Final = 600_000
MAX_RESULT_LIMIT: Final = 10_000
MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 100_000
MAX_NAME_LENGTH: Final = 128

DEFAULT_RETRY_BASE_S: Final = 0.1
DEFAULT_RETRY_CAP_S: Final = 5.0
