"""The callers' listener, the life of a query, and merging."""
