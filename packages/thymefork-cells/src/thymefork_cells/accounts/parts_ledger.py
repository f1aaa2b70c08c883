"""Which parts of the accounts' limits a cell holds."""

import orjson
from attrs import define

from ..specs import PARTS_PER_CELL, LimitParts

__all__ = ["LOAN_KEY", "Borrowed", "Loan", "PartsLedger"]

LOAN_KEY = "l"
OWN = LimitParts.all_of(PARTS_PER_CELL)
NONE = LimitParts()


@define(kw_only=True)
class Loan:
    """Hold what is lent to a cell, under the grant that told it to an owner there."""

    parts: LimitParts
    lender_epoch: int
    number: int
    borrower_epoch: int

    @property
    def grant(self):
        """Return what names the grant."""
        return (self.lender_epoch, self.number)


@define(kw_only=True)
class Borrowed:
    """Hold what is borrowed from a cell, under its latest grant that was heard.

    It stays when nothing is borrowed any more, so that no grant is taken twice.
    """

    parts: LimitParts
    grant: tuple[int, int]


class PartsLedger:
    """Add up a cell's own parts, without what is lent, and what is borrowed.

    What is lent is stored; what is borrowed each owner hears from the lenders anew. A
    lender counts a loan as lent until its borrower says that it counts on less, so the
    cells never hold more than the whole between them. By what lenders ask back, and by
    what is promised to others, nothing is started any more. `changed_accounts` are the accounts
    whose parts changed since they were asked for last.
    """

    def __init__(self, *, context):
        self._context = context
        self._loans = {}  # by account, then by borrower
        self._borrowed = {}  # by account, then by lender
        self._in_debt = set()
        self._recalled = {}
        self._promised = {}
        self.changed_accounts = set()
        self._allowed = {}
        self._number = 0

    @property
    def whole(self):
        """Return how many parts a limit has in all cells together."""
        return PARTS_PER_CELL * self._context.cell_count

    @property
    def lent_accounts(self):
        """Return the accounts of which something is lent."""
        return list(self._loans)

    @property
    def borrowed_accounts(self):
        """Return the accounts of which something is borrowed."""
        return list(self._in_debt)

    @property
    def recalled_accounts(self):
        """Return the accounts of which a lender asks something back."""
        return list(self._recalled)

    def unlent(self, name):
        """Return what is left of the cell's own parts."""
        return OWN.minus(_sum(self.loans(name)))

    def borrowed(self, name):
        """Return what is borrowed in all."""
        return _sum(self.borrowed_from(name))

    def held(self, name):
        """Return all parts that the cell may count on."""
        return self.unlent(name) + self.borrowed(name)

    def usable(self, name):
        """Return the parts by which work may be started."""
        recalled = NONE
        for lender, parts in self._recalled.get(name, {}).items():
            recalled += parts.elementwise_min(self.borrowed_from(name)[lender].parts)
        promised = self._promised.get(name, NONE).elementwise_min(self.unlent(name))
        return self.held(name).minus(recalled).minus(promised)

    def allowed(self, name, limit):
        """Return what of an account's limit the cell may have running."""
        known = self._allowed.get(name)
        if known is None or known[0] is not limit or known[1] != self.whole:
            room = limit.part(self.usable(name), self.whole)
            known = self._allowed[name] = (limit, self.whole, room)
        return known[2]

    def _changed(self, name):
        self._allowed.pop(name, None)
        self.changed_accounts.add(name)
        self._context.needs_plan = True

    # Lent ----------------------------------------------------------------------

    def loans(self, name):
        """Return the loans of an account by borrower."""
        return self._loans.get(name, {})

    def load(self, records):
        """Count what the owners before have lent."""
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
        """Lend more, under a new grant to an owner; return the loan."""
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
        """Count a loan as no more than its borrower says; return what came back."""
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
        """Start nothing more by some of the cell's own parts."""
        if parts != self._promised.get(name, NONE):
            self._promised[name] = parts
            self._changed(name)

    def _store(self, name, borrower, loan):
        row = [loan.parts.row, loan.lender_epoch, loan.number, loan.borrower_epoch]
        value = orjson.dumps(row) if loan.parts else b""
        self._context.journal.put(f"{LOAN_KEY}{borrower}/{name}", value)
        self._changed(name)

    # Borrowed ------------------------------------------------------------------

    def borrowed_from(self, name):
        """Return what of an account is borrowed, by lender."""
        return self._borrowed.get(name, {})

    def borrow(self, name, lender, parts, grant):
        """Count on what a grant says, which is later than all before."""
        row = Borrowed(parts=parts, grant=grant)
        self._borrowed.setdefault(name, {})[lender] = row
        self._note_debt(name)

    def return_parts(self, name, lender, parts):
        """Count no more on some of what was borrowed."""
        row = self._borrowed[name][lender]
        row.parts = row.parts.minus(parts)
        self._note_debt(name)

    def _note_debt(self, name):
        if self.borrowed(name):
            self._in_debt.add(name)
        else:
            self._in_debt.discard(name)
        self._changed(name)

    def set_recalled(self, name, by_lender):
        """Start nothing more by what some lenders ask back."""
        if by_lender == self._recalled.get(name, {}):
            return
        if by_lender:
            self._recalled[name] = by_lender
        else:
            del self._recalled[name]
        self._changed(name)


def _sum(rows):
    total = NONE
    for row in rows.values():
        total += row.parts
    return total
