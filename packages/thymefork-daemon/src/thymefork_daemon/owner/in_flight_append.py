"""A batch that is being appended to the store."""

from attrs import define

__all__ = ["InFlightAppend"]


@define(kw_only=True, eq=False)
class InFlightAppend:
    """Hold a batch and the state of its calls.

    `is_outcome_unknown` is true if the store may still carry out a call, `is_overdue`
    if a hedge is due once the batch is the head of the queue. A batch without records
    makes no call and has the sequence number of the one before it. `is_rejected` is
    true if the store has not stored it, `is_refused` if it never will.
    """

    batch: object
    sequence: int
    on_stored: object
    on_not_stored: object
    on_refused: object
    started_ms: float
    hedge_delay_ms: float
    was_sent: bool = False
    open_calls: int = 0
    is_outcome_unknown: bool = False
    is_overdue: bool = False
    is_rejected: bool = False
    is_refused: bool = False
    retry_timer: int = 0

    @property
    def is_certainly_not_stored(self):
        """Return whether no call has stored the batch or ever will."""
        return not self.is_outcome_unknown and self.open_calls == 0
