"""What an instance knows of itself when it decides on giving cells away."""

from attrs import frozen

from .owner_load import OwnerLoad

__all__ = ["LocalStatus"]


@frozen(kw_only=True)
class LocalStatus:
    """Hold what this instance owns of so many cells, and how it fares.

    `may_hand_over` tells that the store answers and that this instance goes on;
    `serves` that no takeover is under way.
    """

    cells: int
    owned: frozenset[int]
    may_hand_over: bool
    serves: bool
    load: OwnerLoad

    @property
    def owns(self):
        """Tell whether a cell is owned, or being taken over."""
        return bool(self.owned)
