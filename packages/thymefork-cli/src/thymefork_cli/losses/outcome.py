"""Outcomes of lost and late requests."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """Enumerate the outcomes that count as a loss."""

    LOST = "lost"
    LATE = "late"
