"""Limits of idempotency keys."""

from typing import Final

KIND_CLAIMS: Final = 'claims'

# Number of objects over which keys are distributed by hash.
BUCKET_COUNT: Final = 256

# Below the largest value that the object API stores, 1 MiB.
MAX_BUCKET_BYTES: Final = 900_000

MS_PER_HOUR: Final = 3_600_000

# How long a recorded outcome is kept.
OUTCOME_RETENTION_MS: Final = MS_PER_HOUR

# How long a claim without a recorded outcome is kept.
UNFINISHED_RETENTION_MS: Final = 24 * MS_PER_HOUR

# Attempts of a conditional write that conflicts with other coordinators.
MAX_WRITE_ATTEMPTS: Final = 8

# Delay between attempts to record an outcome.
OUTCOME_RETRY_INTERVAL_S: Final = 0.5
MAX_OUTCOME_ATTEMPTS: Final = 240

MAX_KEY_BYTES: Final = 200

TOKEN_BITS: Final = 128
