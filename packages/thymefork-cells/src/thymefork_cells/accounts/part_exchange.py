"""The parts of limits that pass between this cell and the others."""

from functools import singledispatchmethod

from ..effects import GrantParts, ReportHeldParts, RequestParts
from .part_borrower import PartBorrower
from .part_lender import PartLender
from .part_needs import PartNeeds

__all__ = ["PartExchange"]

# Idle parts and asks that wait are looked over this often.
REVIEW_MS = 100.0


class PartExchange:
    """Let parts of limits move by need; idle where there is one cell or no limit."""

    def __init__(self, *, context, ledger, quotas):
        self._context = context
        self._quotas = quotas
        parts = {
            "context": context,
            "ledger": ledger,
            "quotas": quotas,
            "needs": PartNeeds(context=context, ledger=ledger, quotas=quotas),
        }
        self._lending = PartLender(**parts)
        self._borrowing = PartBorrower(**parts)
        self._review_due_ms = 0.0

    def run_cycle(self, now_ms):
        """Ask, lend and give back; return when the next turn is due at the latest."""
        if self._context.cell_count == 1 or not self._quotas.has_limits:
            return float("inf")
        self._borrowing.run_cycle(now_ms)
        if now_ms >= self._review_due_ms:
            self._review_due_ms = now_ms + REVIEW_MS
            self._borrowing.review(now_ms, self._lending.has_requests)
            self._lending.run_cycle(now_ms)
        return self._borrowing.due_ms(now_ms)

    @singledispatchmethod
    def on_message(self, message, *, now_ms):
        """Take a message from another cell's owner."""
        raise TypeError(f"{type(message).__name__} is no message on parts")

    @on_message.register
    def _on_ask(self, request: RequestParts, *, now_ms):
        self._borrowing.on_recall(request, now_ms)
        self._lending.on_request(request, now_ms)

    @on_message.register
    def _on_grant(self, grant: GrantParts, *, now_ms):
        self._borrowing.on_grant(grant, now_ms)

    @on_message.register
    def _on_hold(self, hold: ReportHeldParts, *, now_ms):
        self._lending.on_hold(hold, now_ms)
