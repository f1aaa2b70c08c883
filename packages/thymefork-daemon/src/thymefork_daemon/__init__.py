"""Scheduler daemon that runs on every entry instance."""
