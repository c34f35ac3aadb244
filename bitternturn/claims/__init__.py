"""Claims of idempotency keys, so that each request runs at most once."""
