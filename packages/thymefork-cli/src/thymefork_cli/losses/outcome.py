"""How a request fell short."""

from enum import StrEnum

__all__ = ["Outcome"]


class Outcome(StrEnum):
    """Name how a request fell short."""

    LOST = "lost"
    LATE = "late"
