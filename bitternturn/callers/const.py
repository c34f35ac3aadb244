"""Paths, headers and margins of the callers' listener."""

from typing import Final

PATH_QUERY: Final = '/v1/query/'
PATH_READY: Final = '/ready'

HEADER_REQUEST_ID: Final = 'x-request-id'
HEADER_DEADLINE_MS: Final = 'x-deadline-ms'
HEADER_KEY: Final = 'idempotency-key'
HEADER_RETRY_AFTER: Final = 'retry-after'

MAX_REQUEST_ID_CHARS: Final = 128

# Time kept back for merging and writing the answer.
ANSWER_MARGIN_S: Final = 0.003

# Longest wait for the record of an outcome before the caller is answered.
RECORD_WAIT_S: Final = 0.25

DEFAULT_RETRY_AFTER_MS: Final = 100

MS_PER_SECOND: Final = 1000

REQUEST_ID_BITS: Final = 64

# Share of the answers' latencies after which a hedge is sent.
HEDGE_QUANTILE: Final = 0.95

US_PER_SECOND: Final = 1_000_000

# Why an instance that shuts down takes no new callers.
REASON_DRAINING: Final = 'draining'
