"""Identifiers, errors, clocks, settings and logs that every part uses."""
