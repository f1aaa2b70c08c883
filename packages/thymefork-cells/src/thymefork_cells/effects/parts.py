"""Messages to the owners of other cells about parts of client accounts' limits.

They are effects of the cell that sends them and inputs of the one that takes them.
"""

from attrs import frozen

from ..specs import LimitParts

__all__ = ["GrantParts", "ReportHeldParts", "RequestParts"]


@frozen(kw_only=True)
class RequestParts:
    """Ask a cell to lend parts that it doesn't use, and to give back what it borrowed.

    `least` lets the first step that waits begin, `most` all that wait; an ask takes the
    place of the one before. `is_within` tells that the step fits the borrower's own
    share. Units: `since_epoch_ms` since 1970, when its turn came; 0 where more runs
    than the borrower holds parts for.
    """

    account: str
    borrower: int
    borrower_epoch: int
    lender: int
    least: LimitParts
    most: LimitParts
    since_epoch_ms: int
    is_within: bool

    @property
    def covers_runs(self):
        """Tell whether it asks for parts by which something runs already."""
        return self.since_epoch_ms == 0

    @property
    def order(self):
        """Return what tells who is served first, the same for all cells."""
        return (not self.is_within, self.since_epoch_ms, self.borrower)

    @property
    def to_cell(self):
        """Return the cell that it is for."""
        return self.lender


@frozen(kw_only=True)
class GrantParts:
    """Tell a cell all that is lent to it; stored by the lender before it is sent.

    `lender_epoch` and `number` name the grant; a number of 0 grants nothing and only
    tells what is `free`, which could be lent still.
    """

    account: str
    lender: int
    lender_epoch: int
    borrower: int
    borrower_epoch: int
    number: int
    parts: LimitParts
    free: LimitParts

    @property
    def to_cell(self):
        """Return the cell that it is for."""
        return self.borrower


@frozen(kw_only=True)
class ReportHeldParts:
    """Tell a lender what its borrower still counts on, of the grant that it names.

    A number of 0 tells only which epoch owns the borrowing cell.
    """

    account: str
    borrower: int
    borrower_epoch: int
    lender: int
    lender_epoch: int
    number: int
    parts: LimitParts

    @property
    def to_cell(self):
        """Return the cell that it is for."""
        return self.lender
