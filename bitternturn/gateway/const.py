"""Times and limits of the gateway."""

from typing import Final

from bitternturn.policy.silence import PROBE_S

# Longest time for a connection to a target to open, in seconds; a packet that
# was dropped is sent again after one.
CONNECT_TIMEOUT_S: Final = 1.0
# Share of the connections that a target allows to which instances keep, since
# the instances count each other with a lag.
CONNECTION_SHARE: Final = 0.9
# Age in seconds up to which an idle connection is used for a request that may
# not be repeated; an older one may be reset by the request.
FRESH_IDLE_S: Final = 1.0
# Share of the idle time that a target states after which its connection is
# not used any more.
IDLE_SHARE: Final = 0.75
# Idle time assumed when a target states none, in seconds.
DEFAULT_IDLE_S: Final = 10.0
# How long a send goes on after its answer is no longer needed: longer than
# most answers take, since a new connection costs a target a slot, and shorter
# than half a second, after which the work counts as wasted.
LINGER_S: Final = 0.25
# Sends to one part beyond the number of targets that its route allows, for
# targets that say that they did not run the request.
SENDS_BEYOND: Final = 1
# Sends to one part that may come to nothing before any target has it.
MAX_UNSENT: Final = 3
# Time before the deadline at which a request ends without an answer, so that
# the caller still learns of it.
DEADLINE_MARGIN_S: Final = 0.015
# Least time in which a target can answer; less left is not worth a send.
MIN_SEND_S: Final = 0.004
# When to come back after a refusal, in seconds: for load that passes soon,
# for targets that are gone, for an instance that knows nothing yet, and for
# targets that have fallen silent, which are tried as often.
BUSY_RETRY_S: Final = 0.1
UNAVAILABLE_RETRY_S: Final = 0.3
UNREADY_RETRY_S: Final = 0.5
SILENT_RETRY_S: Final = PROBE_S
# Time after the return of the store in which entries that lapsed come back.
LAPSE_GRACE_S: Final = 2.2
# Time after a failure of the store in which missing entries may have lapsed.
LAPSE_SUSPECT_S: Final = 8.0
# Sent for the time left when the caller states none.
DEFAULT_TIMEOUT_S: Final = 5.0
# Time after the signal to stop until the balancer sends no new connections:
# two probes, one each second, and a margin.
LEAVE_ROTATION_S: Final = 2.3
# Time before the end of the grace period at which new requests are refused,
# and at which those in flight are ended.
LAST_REQUESTS_S: Final = 1.6
LAST_ANSWERS_S: Final = 0.2
# Number of shards from which on peers share the sends of a request.
WIDE_SHARDS: Final = 32
# Least time between two looks at a request.
LEAST_PAUSE_S: Final = 0.001
