"""Limits of the owners of targets."""

from typing import Final

DEFAULT_MAX_AGE_S: Final = 300.0
DEFAULT_MAX_IDLE_S: Final = 30.0
DEFAULT_CHECK_AFTER_IDLE_S: Final = 2.0
DEFAULT_QUEUE_CAPACITY: Final = 256

# Connections beyond twice the slots: cancelled hedges close theirs.
HEDGE_ROOM: Final = 2
CONNECT_TIMEOUT_S: Final = 0.25
CONNECT_BACK_OFF_S: Final = 0.02
MAX_CONNECT_BACK_OFF_S: Final = 1.0
CHECK_TIMEOUT_S: Final = 0.25
# Share of the greatest age that is drawn at random, so that connections that
# were opened together don't all end together.
AGE_SPREAD: Final = 0.2

# Connections whose ages or idle times differ by less are siblings.
SIBLING_S: Final = 1.0
SIBLING_SHARE: Final = 0.2

# Time in which the closing of a connection reaches its target.
CANCEL_LINGER_S: Final = 0.005
# Time after its deadline in which a request surely ends at a target.
DEADLINE_LINGER_S: Final = 0.05

SILENT_FLOOR_S: Final = 0.1
SILENT_FACTOR: Final = 4.0
FIRST_LATENCY_S: Final = 0.025
LATENCY_SMOOTHING: Final = 0.125
DEVIATION_SMOOTHING: Final = 0.25
DEVIATIONS: Final = 4
# No exchange counts as silent before this share of its time has passed.
SILENT_LATEST_SHARE: Final = 0.5

# Sub-requests still queued this long before their deadline are answered.
QUEUE_MARGIN_S: Final = 0.002
MIN_REMAINING_MS: Final = 1

MAINTENANCE_S: Final = 0.25
# A target that moved to another owner is forgotten after this time, if no
# hand-over asks for its state.
ABANDON_S: Final = 10.0
# A target that said it was draining is tried again after this time at the
# latest, whatever its health endpoint says.
DRAINING_S: Final = 30.0

HEADER_CACHE: Final = 256
MAX_BODY_BYTES: Final = 2 * 1024 * 1024

PATH_SEARCH: Final = '/v1/search'
PATH_HEALTH: Final = '/v1/health'

STATE_COLD: Final = 'cold'
STATE_DRAINING: Final = 'draining'
