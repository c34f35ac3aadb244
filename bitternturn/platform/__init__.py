"""Process on the platform; clients of its object store and instance list."""
