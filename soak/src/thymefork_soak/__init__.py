"""Soak test: real daemons against a simulated platform, with injected faults."""
