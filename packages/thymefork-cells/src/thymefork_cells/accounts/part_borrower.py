"""Borrow limit parts from other cells."""

from collections import defaultdict

from ..specs import LimitParts
from .borrowed_account import BorrowedAccount
from .part_requester import PartRequester
from .part_returner import PartReturner

__all__ = ["PartBorrower"]

# Time to collect the grants of one round before requesting what is still missing.
GRANT_COLLECTION_MS = 20.0


class PartBorrower:
    """Request parts by need, take grants and return idle parts."""

    def __init__(self, *, context, ledger, quotas, needs):
        self._context = context
        self._ledger = ledger
        self._needs = needs
        self._accounts = defaultdict(BorrowedAccount)
        self._requester = PartRequester(
            context=context, ledger=ledger, quotas=quotas, needs=needs
        )
        self._returner = PartReturner(
            context=context, ledger=ledger, needs=needs, requester=self._requester
        )

    def run_cycle(self, now_ms):
        """Request missing parts, and return recalled ones."""
        for name in self._ledger.recalled_accounts:
            self._returner.apply_recalls(name, self._accounts[name], now_ms)
        self._requester.request(self._accounts, now_ms)

    def due_ms(self, now_ms):
        """Return when the next request is due."""
        return self._requester.due_ms(self._accounts, now_ms)

    def review(self, now_ms, is_wanted):
        """Request parts for uncovered runs, and return idle parts."""
        self._requester.cover_runs(self._accounts, now_ms)
        for name in self._ledger.borrowed_accounts:
            if self._needs.has_known_limit(name):
                account = self._accounts[name]
                self._returner.review(name, account, is_wanted(name), now_ms)

    def on_recall(self, request, now_ms):
        """Return parts that a lender requests back."""
        if self._needs.has_known_limit(request.account):
            account = self._accounts[request.account]
            self._returner.on_recall(account, request, now_ms)

    def on_grant(self, grant, now_ms):
        """Take a grant unless it is for another owner or outdated."""
        if grant.borrower_epoch < self._context.epoch:
            self._returner.report_epoch(grant.account, grant.lender)
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
            self._returner.report_held(name, grant.lender)
            return
        if known is not None and key < known.grant:
            self._context.count("limit_parts", "late_grant")
            return
        before = known.parts if known is not None else LimitParts()
        self._ledger.borrow(name, grant.lender, grant.parts, key)
        account = self._accounts[name]
        account.idle = None
        if grant.parts.minus(before):
            soon_ms = max(now_ms + GRANT_COLLECTION_MS, account.backoff_until_ms)
            account.due_ms = min(account.due_ms, soon_ms)
            self._context.count("limit_parts", "borrowed")
