"""Query tier between callers and a sharded search service."""
