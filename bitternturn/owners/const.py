"""Constants of the owners of targets."""

from typing import Final

DEFAULT_MAX_AGE_S: Final = 300.0
DEFAULT_MAX_IDLE_S: Final = 30.0
DEFAULT_CHECK_AFTER_IDLE_S: Final = 2.0
DEFAULT_QUEUE_CAPACITY: Final = 256

# Connections to keep beyond twice the slots: cancelling a hedge closes one.
SPARE_HEDGE_CONNECTIONS: Final = 2
CONNECT_TIMEOUT_S: Final = 0.25
INITIAL_CONNECT_BACKOFF_S: Final = 0.02
MAX_CONNECT_BACKOFF_S: Final = 1.0
HEALTH_CHECK_TIMEOUT_S: Final = 0.25
# Share of the maximum age that is randomised, so that connections opened
# together do not all expire together.
MAX_AGE_JITTER: Final = 0.2

# Connections whose ages or idle times differ by less than the larger of these
# (the share is relative to that time) are checked together.
SIBLING_TOLERANCE_S: Final = 1.0
SIBLING_TOLERANCE_SHARE: Final = 0.2

# Time for the closing of a connection to reach its target.
CLOSE_DELAY_S: Final = 0.005
# Time past its deadline within which a request is sure to end at a target.
DEADLINE_GRACE_S: Final = 0.05

MIN_SILENCE_TIMEOUT_S: Final = 0.1
SILENCE_TIMEOUT_FACTOR: Final = 4.0
INITIAL_LATENCY_S: Final = 0.025
LATENCY_SMOOTHING: Final = 0.125
DEVIATION_SMOOTHING: Final = 0.25
DEVIATION_FACTOR: Final = 4
# Upper bound of the silence timeout as a share of the remaining time; the rest
# is left for a retry over another connection.
MAX_SILENCE_TIMEOUT_SHARE: Final = 0.5

# Queued sub-requests are rejected this long before their deadline.
QUEUE_DEADLINE_MARGIN_S: Final = 0.002
MIN_REMAINING_MS: Final = 1

MAINTENANCE_INTERVAL_S: Final = 0.25
# A target that moved to another owner is dropped after this time if it has not
# been released for a handover.
HANDOVER_TIMEOUT_S: Final = 10.0
# A target that reported draining is sent to again after this time, whatever
# its health endpoint reports.
MAX_DRAINING_S: Final = 30.0

HEADER_CACHE_SIZE: Final = 256
MAX_BODY_BYTES: Final = 2 * 1024 * 1024

PATH_SEARCH: Final = '/v1/search'
PATH_HEALTH: Final = '/v1/health'

STATE_COLD: Final = 'cold'
STATE_DRAINING: Final = 'draining'
