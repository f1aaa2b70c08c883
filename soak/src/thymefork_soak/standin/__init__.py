"""Simulated platform in one process: store, workers and advice service."""
