"""Messages between cell owners about the limit parts of client accounts.

They are effects of the sending cell and inputs of the receiving one.
"""

from attrs import frozen

from ..specs import LimitParts

__all__ = ["GrantParts", "ReportHeldParts", "RequestParts"]


@frozen(kw_only=True)
class RequestParts:
    """Request idle parts from a cell, and recall parts lent to it.

    `least` lets the first blocked step start, `most` all ready steps. A request
    replaces the previous one. `is_within` is true if the blocked step fits the
    borrower's own parts. `since_epoch_ms` is when that step became ready, since 1970; 0
    if the request is for runs that exceed the parts held.
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
        """Return whether it requests parts for runs that already exist."""
        return self.since_epoch_ms == 0

    @property
    def order(self):
        """Return the sort key for serving requests, the same in all cells."""
        return (not self.is_within, self.since_epoch_ms, self.borrower)

    @property
    def to_cell(self):
        """Return the destination cell."""
        return self.lender


@frozen(kw_only=True)
class GrantParts:
    """Report all parts lent to a cell; the lender stores the loan before sending it.

    `lender_epoch` and `number` identify the grant; a number of 0 grants nothing and
    only reports the parts that are still `free` to lend.
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
        """Return the destination cell."""
        return self.borrower


@frozen(kw_only=True)
class ReportHeldParts:
    """Report to a lender the parts still held under one of its grants.

    A number of 0 only reports the borrower's owner epoch.
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
        """Return the destination cell."""
        return self.lender
