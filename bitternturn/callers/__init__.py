"""The callers' listener: query admission, fan-out and merging."""
