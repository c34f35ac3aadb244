"""Paths, headers, time margins and limits of the callers' listener."""

from typing import Final

PATH_QUERY: Final = '/v1/query/'
PATH_READY: Final = '/ready'

HEADER_REQUEST_ID: Final = 'x-request-id'
HEADER_DEADLINE_MS: Final = 'x-deadline-ms'
HEADER_IDEMPOTENCY_KEY: Final = 'idempotency-key'
HEADER_RETRY_AFTER: Final = 'retry-after'

MAX_REQUEST_ID_CHARS: Final = 128

# Time before the deadline that is reserved for merging and writing the answer.
ANSWER_MARGIN_S: Final = 0.003

# Time to wait for an outcome to be recorded before the caller is answered.
RECORD_TIMEOUT_S: Final = 0.25

DEFAULT_RETRY_AFTER_MS: Final = 100

MS_PER_SECOND: Final = 1000

REQUEST_ID_BITS: Final = 64

# Quantile of the latency after which a hedge is sent.
HEDGE_QUANTILE: Final = 0.95

US_PER_SECOND: Final = 1_000_000

# Reason that an instance which is shutting down is not ready.
REASON_DRAINING: Final = 'draining'
