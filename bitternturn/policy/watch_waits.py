"""Choice of how long a watch of the store waits for a change.

Guards against changes that take effect too late after an outage: a failing
store may accept a watch and never answer it, which only the end of the wait and
the timeout of the call reveal.
"""

from typing import Final

# Time from the failure of a watch until its changes have been read: the backoff
# of one probe and its answer.
RECOVERY_S: Final = 1.0
# Shorter waits cost too many calls, longer ones save hardly any.
MIN_WATCH_WAIT_S: Final = 0.5
MAX_WATCH_WAIT_S: Final = 8.0


def choose_watch_wait_s(
    *,
    effective_within_s: float,
    call_timeout_s: float,
    relay_s: float,
) -> float:
    """Return the wait of a watch, in seconds.

    `effective_within_s` is the time from the end of an outage within which a
    change has to take effect at all instances, and `relay_s` the time until
    instances have it that follow the one that watches.
    """
    spare_s = effective_within_s - call_timeout_s - RECOVERY_S - relay_s
    return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, spare_s))
