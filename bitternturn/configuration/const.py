"""Limits of configurations, and names of their objects."""

from typing import Final

KIND_CONTROL: Final = 'control'
KIND_HISTORY: Final = 'history'
NAME_VIEW: Final = 'view'

# The object API stores up to 1 MiB; a history slot adds a few bytes of framing
# to the content.
MAX_CONTENT_BYTES: Final = 1024 * 1024 - 64
MAX_HISTORY_ENTRIES: Final = 20
MAX_HISTORY_ATTEMPTS: Final = 5
MAX_SWITCH_ATTEMPTS: Final = 8

MAX_DEADLINE_MS: Final = 600_000
MAX_RESULT_LIMIT: Final = 10_000
MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 100_000
MAX_NAME_LENGTH: Final = 128

DEFAULT_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 5.0
MAX_RETRY_DOUBLINGS: Final = 10
