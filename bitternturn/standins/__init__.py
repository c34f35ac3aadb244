"""Emulators of the services around the tier, for demo, tests and bench."""
