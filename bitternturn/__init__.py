"""Query tier between callers and a search service spread over many shards."""
