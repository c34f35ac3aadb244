"""Soak test of the gateway with real processes and injected faults."""
