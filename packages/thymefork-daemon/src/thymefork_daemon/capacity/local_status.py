"""This instance's own status, on which the handover policy decides."""

from attrs import frozen

from .owner_load import OwnerLoad

__all__ = ["LocalStatus"]


@frozen(kw_only=True)
class LocalStatus:
    """Hold the cells owned here, out of all `cells`, and the current load.

    `may_hand_over` is true if the store takes appends and this instance is not
    stopping; `serves` is true if no takeover is in progress.
    """

    cells: int
    owned: frozenset[int]
    may_hand_over: bool
    serves: bool
    load: OwnerLoad

    @property
    def owns(self):
        """Return whether a cell is owned here, or being taken over."""
        return bool(self.owned)
