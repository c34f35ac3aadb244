"""Defaults and limits of the settings, and buckets of histograms."""

from typing import Final

DEFAULT_CLUSTER: Final = 'bitternturn'

DEFAULT_CALL_TIMEOUT_MS: Final = 1000
DEFAULT_INSTANCE_LIST_INTERVAL_MS: Final = 5000

DEFAULT_PROBE_INTERVAL_MS: Final = 250
DEFAULT_PROBE_TIMEOUT_MS: Final = 200
DEFAULT_SUSPICION_MS: Final = 600
DEFAULT_LEASE_MS: Final = 1500
DEFAULT_CLOCK_DRIFT: Final = 0.001

DEFAULT_BODY_BYTES: Final = 1024 * 1024
DEFAULT_HEADER_BYTES: Final = 16 * 1024
DEFAULT_HEADER_TIMEOUT_MS: Final = 5000
DEFAULT_CALLERS_CONNECTIONS: Final = 1024
DEFAULT_QUEUE_PER_TARGET: Final = 64
DEFAULT_DRAIN_MS: Final = 10_000

DEFAULT_CONNECTION_MAX_AGE_MS: Final = 600_000
DEFAULT_CONNECTION_MAX_IDLE_MS: Final = 60_000
DEFAULT_CHECK_AFTER_IDLE_MS: Final = 10_000

DEFAULT_LOG_LEVEL: Final = 'info'
DEFAULT_LOG_FORMAT: Final = 'text'
LOG_LEVELS: Final = ('debug', 'info', 'notice', 'warning', 'error', 'critical')
LOG_FORMATS: Final = ('text', 'json')

DEFAULT_TIMELINE_ENABLED: Final = True
DEFAULT_TIMELINE_CAPACITY: Final = 20_000
MAX_TIMELINE_CAPACITY: Final = 1_000_000

MAX_PORT: Final = 65_535
MAX_DURATION_MS: Final = 86_400_000
MAX_BYTES: Final = 64 * 1024 * 1024
MAX_COUNT: Final = 100_000
MAX_CLOCK_DRIFT: Final = 0.1
# A lease shorter than two probe intervals expires when one packet is lost.
MIN_PROBES_PER_LEASE: Final = 2

INSTANCE_ID_BYTES: Final = 6

UINT32_MAX: Final = (1 << 32) - 1
UINT64_MAX: Final = (1 << 64) - 1

LATENCY_BUCKETS_S: Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)
COVERAGE_BUCKETS: Final = (0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 1.0)
