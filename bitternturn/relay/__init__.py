"""Relay between instances: delegated sends and copies of the store."""
