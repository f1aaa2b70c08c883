"""One batch on its way to the store."""

from attrs import define

__all__ = ["InFlightAppend"]


@define(kw_only=True, eq=False)
class InFlightAppend:
    """Follow a batch and the calls that were made for it.

    `in_doubt` tells that a call of it may yet be carried out, `is_overdue` that it
    would have been repeated already, had nothing been under way before it. One without
    records makes no call; it bears the number of the one before it.
    """

    batch: object
    number: int
    on_stored: object
    on_not_stored: object
    began_ms: float
    hedge_ms: float
    has_call: bool = False
    calls_open: int = 0
    in_doubt: bool = False
    is_overdue: bool = False
    is_turned_away: bool = False
    repeat_timer: int = 0

    @property
    def is_undone(self):
        """Tell whether it is certain that no call has done it or ever will."""
        return not self.in_doubt and self.calls_open == 0
