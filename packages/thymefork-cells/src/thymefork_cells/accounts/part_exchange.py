"""Exchange limit parts with the other cells."""

from functools import singledispatchmethod

from ..effects import GrantParts, ReportHeldParts, RequestParts
from .part_borrower import PartBorrower
from .part_lender import PartLender
from .part_needs import PartNeeds

__all__ = ["PartExchange"]

REVIEW_INTERVAL_MS = 100.0


class PartExchange:
    """Borrow and lend limit parts; does nothing with one cell or no limits."""

    def __init__(self, *, context, ledger, quotas):
        self._context = context
        self._quotas = quotas
        dependencies = {
            "context": context,
            "ledger": ledger,
            "quotas": quotas,
            "needs": PartNeeds(context=context, ledger=ledger, quotas=quotas),
        }
        self._lender = PartLender(**dependencies)
        self._borrower = PartBorrower(**dependencies)
        self._review_due_ms = 0.0

    def run_cycle(self, now_ms):
        """Request, lend and return parts; return when the next cycle is due."""
        if self._context.cell_count == 1 or not self._quotas.has_limits:
            return float("inf")
        self._borrower.run_cycle(now_ms)
        if now_ms >= self._review_due_ms:
            self._review_due_ms = now_ms + REVIEW_INTERVAL_MS
            self._borrower.review(now_ms, self._lender.has_requests)
            self._lender.run_cycle(now_ms)
        return self._borrower.due_ms(now_ms)

    @singledispatchmethod
    def on_message(self, message, *, now_ms):
        """Handle a message from another cell's owner."""
        raise TypeError(f"{type(message).__name__} is not a limit part message")

    @on_message.register
    def _on_request(self, request: RequestParts, *, now_ms):
        self._borrower.on_recall(request, now_ms)
        self._lender.on_request(request, now_ms)

    @on_message.register
    def _on_grant(self, grant: GrantParts, *, now_ms):
        self._borrower.on_grant(grant, now_ms)

    @on_message.register
    def _on_held_report(self, report: ReportHeldParts, *, now_ms):
        self._lender.on_held_report(report, now_ms)
