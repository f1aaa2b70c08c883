"""Benchmarks of scheduling decisions on virtual time and of daemons under load."""
