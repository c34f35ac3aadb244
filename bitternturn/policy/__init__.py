"""Policies for queries: pure decisions on state and the current time."""
