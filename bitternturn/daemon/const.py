"""Intervals and limits of the daemon."""

from typing import Final

# Time for the load balancer to notice that an instance is not ready.
DEFAULT_DRAIN_GRACE_S: Final = 0.5

CLOSE_UNUSED_LINKS_INTERVAL_S: Final = 10.0
LOOP_LAG_INTERVAL_S: Final = 0.05

INCARNATION_BITS: Final = 62
RNG_SEED_BITS: Final = 128

MS_PER_SECOND: Final = 1000

# Coordinators to try for a claim, the highest-ranked one first.
MAX_CLAIM_COORDINATORS: Final = 3

# Maximum lag of the platform's instance list.
INSTANCE_LIST_LAG_S: Final = 30.0
# Maximum age of the last instance list to rely on, in read intervals.
MAX_LIST_AGE_INTERVALS: Final = 3.0
