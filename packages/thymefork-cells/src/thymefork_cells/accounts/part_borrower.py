"""What a cell borrows of the accounts' limits."""

from collections import defaultdict

from ..specs import LimitParts
from .borrowed_account import BorrowedAccount
from .part_requester import PartRequester
from .part_returner import PartReturner

__all__ = ["PartBorrower"]

# Grants of one round come close together; what is missing still is asked for then.
GATHER_MS = 20.0


class PartBorrower:
    """Take what other cells lend; ask them by need, and give back what is idle."""

    def __init__(self, *, context, ledger, quotas, needs):
        self._context = context
        self._ledger = ledger
        self._needs = needs
        self._accounts = defaultdict(BorrowedAccount)
        self._asking = PartRequester(
            context=context, ledger=ledger, quotas=quotas, needs=needs
        )
        self._giving_back = PartReturner(
            context=context, ledger=ledger, needs=needs, asking=self._asking
        )

    def run_cycle(self, now_ms):
        """Ask for what is missing, and give back what lenders need."""
        for name in self._ledger.recalled_accounts:
            self._giving_back.apply_recalls(name, self._accounts[name], now_ms)
        self._asking.request(self._accounts, now_ms)

    def due_ms(self, now_ms):
        """Return when the next ask is due."""
        return self._asking.due_ms(self._accounts, now_ms)

    def review(self, now_ms, is_wanted):
        """Look for what runs without parts, and for what is idle."""
        self._asking.cover_runs(self._accounts, now_ms)
        for name in self._ledger.borrowed_accounts:
            if self._needs.has_known_limit(name):
                account = self._accounts[name]
                self._giving_back.review(name, account, is_wanted(name), now_ms)

    def on_recall(self, request, now_ms):
        """Give back what a lender asks for that lent it to this cell."""
        if self._needs.has_known_limit(request.account):
            account = self._accounts[request.account]
            self._giving_back.on_recall(account, request, now_ms)

    def on_grant(self, grant, now_ms):
        """Count on what is lent, by the latest grant to this owner."""
        if grant.borrower_epoch < self._context.epoch:
            self._giving_back.report_epoch(grant.account, grant.lender)
        elif grant.borrower_epoch > self._context.epoch:
            self._context.count("limit_parts", "later_owner")
        else:
            self._accounts[grant.account].free[grant.lender] = grant.free
            if grant.number:
                self._take(grant, now_ms)

    def _take(self, grant, now_ms):
        name, key = grant.account, (grant.lender_epoch, grant.number)
        known = self._ledger.borrowed_from(name).get(grant.lender)
        if known is not None and key == known.grant:
            self._giving_back.report_held(name, grant.lender)
            return
        if known is not None and key < known.grant:
            self._context.count("limit_parts", "late_grant")
            return
        before = known.parts if known is not None else LimitParts()
        self._ledger.borrow(name, grant.lender, grant.parts, key)
        account = self._accounts[name]
        account.idle = None
        if grant.parts.minus(before):
            soon_ms = max(now_ms + GATHER_MS, account.backoff_until_ms)
            account.due_ms = min(account.due_ms, soon_ms)
            self._context.count("limit_parts", "borrowed")
