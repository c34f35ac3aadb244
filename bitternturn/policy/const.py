"""Constants and default values of the policies."""

from typing import Final

# Upper bound of the rounding error in sums of weights.
COVERAGE_TOLERANCE: Final = 1e-9

DEFAULT_BUDGET_BURST: Final = 10

DEFAULT_LATENCY_WINDOW_S: Final = 10.0
MIN_LATENCY_SAMPLES: Final = 50
# Interval at which quantiles are recomputed; within a shorter time they hardly
# change, as they cover one to two windows.
LATENCY_REFRESH_S: Final = 1.0
# A higher resolution would make quantiles slower to compute.
MIN_LATENCY_US: Final = 100
MAX_LATENCY_US: Final = 60_000_000
LATENCY_SIGNIFICANT_DIGITS: Final = 2

DEFAULT_HEDGE_QUANTILE: Final = 0.95
# Shards count as stragglers while at most this share of a fan-out is pending.
STRAGGLER_SHARE: Final = 0.1
# Hedge delays after which shards are hedged even if many are late at once.
MAX_COMMON_CAUSE_DELAYS: Final = 3.0
DEFAULT_MIN_HEDGE_DELAY_S: Final = 0.002
# Hedge delay as a share of the remaining time while there are too few samples.
UNSAMPLED_HEDGE_SHARE: Final = 0.5

MAX_ATTEMPTS: Final = 3
DEFAULT_RETRY_DURATION_S: Final = 0.005
DEFAULT_RETRY_BACKOFF_S: Final = 0.002
MAX_RETRY_BACKOFF_S: Final = 0.1

DEFAULT_LATENCY_HALF_LIFE_S: Final = 5.0
# Latency assumed for a replica without measurements.
DEFAULT_LATENCY_S: Final = 0.005
# Extra latency of a round trip to another failure domain.
CROSS_DOMAIN_LATENCY_S: Final = 0.003
# A higher exponent prefers the cheaper of two replicas more strongly.
COST_EXPONENT: Final = 3
# Share of requests sent to a cold replica while warm ones have room.
WARM_UP_SHARE: Final = 0.05

DEFAULT_QUEUE_CAPACITY: Final = 256
SERVICE_SMOOTHING: Final = 0.1
BEST_SERVICE_SMOOTHING: Final = 0.02
# Half-life of the service times while no request completes.
SERVICE_HALF_LIFE_S: Final = 1.0
# Service times without a dequeued entry after which a queue is stalled.
STALL_FACTOR: Final = 2.0
MAX_RETRY_AFTER_S: Final = 30.0

SHED_DECREASE_FACTOR: Final = 0.7
DEFAULT_ROUND_TRIP_S: Final = 0.01
# Latency above this multiple of the average stops the increase of the limit.
LATENCY_TOLERANCE: Final = 2.0
LATENCY_SMOOTHING: Final = 0.05

MIN_GOOD_ANSWERS: Final = 8
DEFAULT_RAMP_STEP_S: Final = 1.0
# Successes per request of the current limit before the next step of the ramp.
RAMP_SUCCESSES_PER_SLOT: Final = 4
# A target without answers for this long may have restarted unnoticed.
MAX_EVIDENCE_AGE_S: Final = 30.0

DEFAULT_CONSECUTIVE_FAILURES: Final = 5
DEFAULT_ERROR_SHARE: Final = 0.5
MIN_ERROR_SAMPLES: Final = 20
DEFAULT_ERROR_WINDOW_S: Final = 10.0
DEFAULT_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
# Time without ejection after which the ejection time starts at its default.
EJECTION_RESET_S: Final = 60.0
MAX_EJECTED_SHARE: Final = 0.5
# Time for which an unhealthy check result makes a target suspect.
SUSPECT_DURATION_S: Final = 5.0

DEFAULT_RETURN_RAMP_S: Final = 10.0
RETURN_INITIAL_SHARE: Final = 0.05

DEFAULT_MERGE_MARGIN_S: Final = 0.005

DEFAULT_QUERY_CAPACITY: Final = 256
# Maximum share of the capacity left to its priority that a profile may use.
MAX_PROFILE_SHARE: Final = 0.75
# Lag of the event loop above which the capacity is reduced.
MAX_LOOP_LAG_S: Final = 0.02
LAG_SHRINK_FACTOR: Final = 0.8
LAG_GROWTH_FACTOR: Final = 1.05
MIN_CAPACITY_SHARE: Final = 0.1

# Bound of the requests to a target that has named a limit of so many requests
# per second: any window holds limit × factor × window + slack at most.
NAMED_LIMIT_WINDOW_S: Final = 4.0
NAMED_LIMIT_FACTOR: Final = 1.5
NAMED_LIMIT_SLACK: Final = 5.0
