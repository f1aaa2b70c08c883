"""The tiers of instances as owners of cells."""

from enum import IntEnum

__all__ = ["Tier"]


class Tier(IntEnum):
    """Sort instances by what they can hold; the numbers are sent to peers."""

    LEAST = 1
    PARTIAL = 2
    FULL = 3

    @classmethod
    def from_number(cls, number):
        """Return the tier that a peer told, or None if it told none that is known."""
        return cls(number) if number in cls._value2member_map_ else None
