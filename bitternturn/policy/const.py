"""Defaults of the decisions."""

from typing import Final

# Float sums of weights differ by less than this from their true share.
COVERAGE_TOLERANCE: Final = 1e-9

DEFAULT_BUDGET_BURST: Final = 10

DEFAULT_LATENCY_WINDOW_S: Final = 10.0
DEFAULT_LATENCY_SAMPLES: Final = 50
# Quantiles of a window of 30 s hardly move in a shorter time.
LATENCY_REFRESH_S: Final = 1.0
# Finer latencies would make quantiles slower to compute.
MIN_LATENCY_US: Final = 100
MAX_LATENCY_US: Final = 60_000_000
LATENCY_DIGITS: Final = 2

DEFAULT_HEDGE_QUANTILE: Final = 0.95
# Share of a fan-out that may be open for its shards to count as stragglers.
STRAGGLER_SHARE: Final = 0.1
# Multiple of the hedge delay after which a common cause lasts too long.
COMMON_CAUSE_DELAYS: Final = 3.0
DEFAULT_HEDGE_FLOOR_S: Final = 0.002
# Share of the remaining time that passes before a hedge without samples.
LATE_HEDGE_SHARE: Final = 0.5

DEFAULT_ATTEMPTS: Final = 3
DEFAULT_RETRY_FLOOR_S: Final = 0.005
DEFAULT_RETRY_BACKOFF_S: Final = 0.002
MAX_RETRY_BACKOFF_S: Final = 0.1

DEFAULT_LATENCY_HALF_LIFE_S: Final = 5.0
# Latency assumed for a replica that none is known for.
DEFAULT_LATENCY_S: Final = 0.005
# Cost of a round trip to another failure domain.
CROSS_DOMAIN_S: Final = 0.003
# How strongly the cheaper of two replicas is preferred.
COST_EXPONENT: Final = 3
# Share of requests that warm up a cold replica while warm ones have room.
WARM_UP_SHARE: Final = 0.05

DEFAULT_QUEUE_CAPACITY: Final = 256
SERVICE_SMOOTHING: Final = 0.1
BEST_SERVICE_SMOOTHING: Final = 0.02
# Service times are halved for each such time without a new one.
SERVICE_HALF_LIFE_S: Final = 1.0
# Service times without a taken entry after which the queue counts as stalled.
STALL_FACTOR: Final = 2.0
MAX_RETRY_AFTER_S: Final = 30.0

SHED_FACTOR: Final = 0.7
DEFAULT_ROUND_TRIP_S: Final = 0.01
# Latency above this multiple of the usual one stops growth.
LATENCY_TOLERANCE: Final = 2.0
LATENCY_SMOOTHING: Final = 0.05

DEFAULT_GOOD_ANSWERS: Final = 8
DEFAULT_RAMP_STEP_S: Final = 1.0
# Successes per slot of a ramp's step before the next one.
RAMP_SUCCESSES: Final = 4
# A target that has shown nothing for this long may have restarted unseen.
DEFAULT_EVIDENCE_S: Final = 30.0

DEFAULT_CONSECUTIVE_FAILURES: Final = 5
DEFAULT_ERROR_SHARE: Final = 0.5
DEFAULT_ERROR_SAMPLES: Final = 20
DEFAULT_ERROR_WINDOW_S: Final = 10.0
DEFAULT_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
# Healthy time after which an earlier ejection no longer lengthens a new one.
EJECTION_MEMORY_S: Final = 60.0
MAX_EJECTED_SHARE: Final = 0.5
HINT_S: Final = 5.0

DEFAULT_RETURN_RAMP_S: Final = 10.0
RETURN_FIRST_SHARE: Final = 0.05

DEFAULT_MERGE_MARGIN_S: Final = 0.005

DEFAULT_ENTRY_CAPACITY: Final = 256
# Most of its priority's room that one profile may hold.
MAX_PROFILE_SHARE: Final = 0.75
# Lateness of the loop above which the capacity shrinks.
MAX_LOOP_LAG_S: Final = 0.02
LAG_SHRINK_FACTOR: Final = 0.8
LAG_GROWTH_FACTOR: Final = 1.05
MIN_CAPACITY_SHARE: Final = 0.1
