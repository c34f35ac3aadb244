"""Identifiers, errors, clocks, settings and logging used by all packages."""
