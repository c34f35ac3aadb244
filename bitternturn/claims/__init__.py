"""Idempotency keys: a request that may not be repeated runs at most once."""
