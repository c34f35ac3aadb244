"""Times and limits of the daemon."""

from typing import Final

# Time in which the balancer notices that an instance is not ready.
DEFAULT_DRAIN_GRACE_S: Final = 0.5

CLOSE_UNUSED_INTERVAL_S: Final = 10.0
LAG_INTERVAL_S: Final = 0.05

INCARNATION_BITS: Final = 62
SEED_BITS: Final = 128

MS_PER_SECOND: Final = 1000

# Keepers that a claim is tried at, the bucket's first.
KEEPERS: Final = 3

# Longest time by which the platform's instance list lags.
INSTANCE_LIST_LAG_S: Final = 30.0
# Intervals of reading after which a list is too old to conclude from.
FRESH_INTERVALS: Final = 3.0
