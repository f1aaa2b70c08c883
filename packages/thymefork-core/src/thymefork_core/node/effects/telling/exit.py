"""Exit: leave: nothing is open any more."""

from attrs import frozen

__all__ = ["Exit"]


@frozen(kw_only=True)
class Exit:
    """Leave: nothing is open any more."""
