"""One batch on its way to the store."""

from attrs import define

__all__ = ["InFlightAppend"]


@define(kw_only=True, eq=False)
class InFlightAppend:
    """Follow a batch and the calls that were made for it.

    `is_outcome_unknown` tells that a call of it may yet be carried out, `is_overdue` that it
    would have been repeated already, had nothing been under way before it. One without
    records makes no call; it bears the number of the one before it.
    """

    batch: object
    sequence: int
    on_stored: object
    on_not_stored: object
    started_ms: float
    hedge_delay_ms: float
    was_sent: bool = False
    open_calls: int = 0
    is_outcome_unknown: bool = False
    is_overdue: bool = False
    is_rejected: bool = False
    retry_timer: int = 0

    @property
    def is_certainly_not_stored(self):
        """Tell whether it is certain that no call has done it or ever will."""
        return not self.is_outcome_unknown and self.open_calls == 0
