"""Scheduling decisions of thymefork: no I/O, no clock, no randomness."""
