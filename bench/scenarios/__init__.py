"""Bench scenarios, one module each."""
