"""Rendezvous hashing: the same order of instances for a key everywhere."""

import zlib
from typing import Final

HASH_RANGE: Final = 0x100000000  # noqa: WPS432
# Odd multiplier near the golden ratio of the range (Fibonacci hashing, Knuth).
HASH_MULTIPLIER: Final = 0x9E3779B1  # noqa: WPS432


def hash_share(key: str, name: str) -> float:
    """Return a hash of an instance for a key, above 0 and below 1."""
    digest = zlib.crc32(f'{key}/{name}'.encode())
    # CRC is linear; the multiplication separates similar names.
    mixed_hash = (digest * HASH_MULTIPLIER) % HASH_RANGE
    return (mixed_hash + 1) / (HASH_RANGE + 1)
