"""Tiers of instances by their suitability as owners of cells."""

from enum import IntEnum

__all__ = ["Tier"]


class Tier(IntEnum):
    """Rank an instance as an owner; the numbers are sent to peers."""

    LEAST = 1
    PARTIAL = 2
    FULL = 3

    @classmethod
    def from_number(cls, number):
        """Return the tier with a number sent by a peer, or None if it is unknown."""
        return cls(number) if number in cls._value2member_map_ else None
