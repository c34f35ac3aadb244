"""Gateway process on the platform; clients of its store and instance list."""
