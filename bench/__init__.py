"""Measurements: decisions in virtual time, and one daemon under load."""
