"""Decisions on queries: pure functions of state and the present time."""
