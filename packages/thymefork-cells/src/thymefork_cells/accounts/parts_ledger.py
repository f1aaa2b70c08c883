"""Ledger of the limit parts that a cell holds, lends and borrows."""

import orjson
from attrs import define

from ..specs import PARTS_PER_CELL, LimitParts

__all__ = ["LOAN_KEY", "Borrowed", "Loan", "PartsLedger"]

LOAN_KEY = "l"
OWN = LimitParts.all_of(PARTS_PER_CELL)
NONE = LimitParts()


@define(kw_only=True)
class Loan:
    """Hold the parts lent to a cell, and the grant that announced them."""

    parts: LimitParts
    lender_epoch: int
    number: int
    borrower_epoch: int

    @property
    def grant(self):
        """Return the grant's identifier."""
        return (self.lender_epoch, self.number)


@define(kw_only=True)
class Borrowed:
    """Hold the parts borrowed from a cell, and the latest grant received.

    Kept after all parts are returned, so that a repeated grant is recognized.
    """

    parts: LimitParts
    grant: tuple[int, int]


class PartsLedger:
    """Track a cell's own, lent and borrowed parts of each account's limit.

    Loans are stored; borrowed parts are reported anew by the lenders to each owner. A
    loan is reduced only after its borrower has reported holding less, so all cells
    together never hold more than the whole limit. Recalled and reserved parts start no
    new work. `changed_accounts` are those whose parts changed since the last request.
    """

    def __init__(self, *, context):
        self._context = context
        self._loans = {}  # by account, then by borrower
        self._borrowed = {}  # by account, then by lender
        self._borrowed_accounts = set()
        self._recalled = {}
        self._reserved = {}
        self.changed_accounts = set()
        self._allowed_cache = {}
        self._number = 0

    @property
    def whole(self):
        """Return the number of parts of a whole limit."""
        return PARTS_PER_CELL * self._context.cell_count

    @property
    def lent_accounts(self):
        """Return the accounts with loans to other cells."""
        return list(self._loans)

    @property
    def borrowed_accounts(self):
        """Return the accounts with borrowed parts."""
        return list(self._borrowed_accounts)

    @property
    def recalled_accounts(self):
        """Return the accounts with recalled parts."""
        return list(self._recalled)

    def unlent(self, name):
        """Return the cell's own parts that are not lent."""
        return OWN.minus(_sum(self.loans(name)))

    def borrowed(self, name):
        """Return the parts borrowed from all lenders."""
        return _sum(self.borrowed_from(name))

    def held(self, name):
        """Return own and borrowed parts together."""
        return self.unlent(name) + self.borrowed(name)

    def usable(self, name):
        """Return the parts that new work may use."""
        recalled = NONE
        for lender, parts in self._recalled.get(name, {}).items():
            recalled += parts.elementwise_min(self.borrowed_from(name)[lender].parts)
        reserved = self._reserved.get(name, NONE).elementwise_min(self.unlent(name))
        return self.held(name).minus(recalled).minus(reserved)

    def allowed(self, name, limit):
        """Return the resources that the cell may use of an account's limit."""
        known = self._allowed_cache.get(name)
        if known is None or known[0] is not limit or known[1] != self.whole:
            resources = limit.part(self.usable(name), self.whole)
            known = self._allowed_cache[name] = (limit, self.whole, resources)
        return known[2]

    def _mark_changed(self, name):
        self._allowed_cache.pop(name, None)
        self.changed_accounts.add(name)
        self._context.needs_plan = True

    # Lent ----------------------------------------------------------------------

    def loans(self, name):
        """Return the loans of an account by borrower."""
        return self._loans.get(name, {})

    def load(self, records):
        """Load the stored loans of previous owners."""
        for key, value in records.items():
            if key.startswith(LOAN_KEY):
                borrower, name = key.removeprefix(LOAN_KEY).split("/", 1)
                row, lender_epoch, number, borrower_epoch = orjson.loads(value)
                self._loans.setdefault(name, {})[int(borrower)] = Loan(
                    parts=LimitParts.from_row(row),
                    lender_epoch=lender_epoch,
                    number=number,
                    borrower_epoch=borrower_epoch,
                )

    def lend(self, name, borrower, more, *, borrower_epoch):
        """Increase a loan under a new grant, and return it."""
        self._number += 1
        before = self.loans(name).get(borrower)
        loan = Loan(
            parts=more + (before.parts if before is not None else NONE),
            lender_epoch=self._context.epoch,
            number=self._number,
            borrower_epoch=borrower_epoch,
        )
        self._loans.setdefault(name, {})[borrower] = loan
        self._store(name, borrower, loan)
        return loan

    def reduce_loan(self, name, borrower, parts):
        """Reduce a loan to what its borrower holds; return the parts freed."""
        loan = self._loans[name][borrower]
        returned = loan.parts.minus(parts)
        if not returned:
            return returned
        loan.parts = loan.parts.elementwise_min(parts)
        self._store(name, borrower, loan)
        if not loan.parts:
            del self._loans[name][borrower]
        if not self._loans[name]:
            del self._loans[name]
        return returned

    def set_reserved(self, name, parts):
        """Set the own parts on which nothing new is started."""
        if parts != self._reserved.get(name, NONE):
            self._reserved[name] = parts
            self._mark_changed(name)

    def _store(self, name, borrower, loan):
        row = [loan.parts.row, loan.lender_epoch, loan.number, loan.borrower_epoch]
        value = orjson.dumps(row) if loan.parts else b""
        self._context.journal.put(f"{LOAN_KEY}{borrower}/{name}", value)
        self._mark_changed(name)

    # Borrowed ------------------------------------------------------------------

    def borrowed_from(self, name):
        """Return what of an account is borrowed, by lender."""
        return self._borrowed.get(name, {})

    def borrow(self, name, lender, parts, grant):
        """Record the parts of a lender's newest grant."""
        row = Borrowed(parts=parts, grant=grant)
        self._borrowed.setdefault(name, {})[lender] = row
        self._update_borrowed(name)

    def return_parts(self, name, lender, parts):
        """Subtract returned parts from those borrowed from a lender."""
        row = self._borrowed[name][lender]
        row.parts = row.parts.minus(parts)
        self._update_borrowed(name)

    def _update_borrowed(self, name):
        if self.borrowed(name):
            self._borrowed_accounts.add(name)
        else:
            self._borrowed_accounts.discard(name)
        self._mark_changed(name)

    def set_recalled(self, name, by_lender):
        """Set the borrowed parts on which nothing new is started, by lender."""
        if by_lender == self._recalled.get(name, {}):
            return
        if by_lender:
            self._recalled[name] = by_lender
        else:
            del self._recalled[name]
        self._mark_changed(name)


def _sum(rows):
    total = NONE
    for row in rows.values():
        total += row.parts
    return total
