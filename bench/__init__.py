"""Benches and the harness that runs real processes against stand-ins."""
