"""Limits of idempotency keys."""

from typing import Final

KIND_CLAIMS: Final = 'claims'

# Objects over which the keys are spread by hash.
BUCKETS: Final = 256

# The object API holds values up to a megabyte.
MAX_BUCKET_BYTES: Final = 900_000

MS_PER_HOUR: Final = 3_600_000

# How long a recorded outcome is found by its key.
DONE_KEPT_MS: Final = MS_PER_HOUR

# How long a key without an outcome stays taken.
IN_DOUBT_KEPT_MS: Final = 24 * MS_PER_HOUR

# Conditional writes of one bucket that may lose against other keepers.
MAX_CONFLICTS: Final = 8

# Pause before an outcome that could not be recorded is written again.
OUTCOME_RETRY_S: Final = 0.5
OUTCOME_RETRIES: Final = 240

MAX_KEY_BYTES: Final = 200

TOKEN_BITS: Final = 128
