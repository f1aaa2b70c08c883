"""When a cell gives back what it borrowed of a limit."""

from ..effects import ReportHeldParts
from ..specs import LimitParts

__all__ = ["PartReturner"]

# What is idle for so long is given back: short tasks follow each other within it.
IDLE_MS = 300.0
# A step that doesn't get what it needs to begin in this time lets go of what it has
# got: two that each hold half of what they need would wait for each other for ever.
HOARD_MS = 400.0
# It then asks again after this long, and so much longer for each cell, so that two such
# steps don't meet once more.
PAUSE_MS = 120.0
PAUSE_PER_CELL_MS = 40.0
# A lender that still wants its parts has asked again by then.
RECALL_KEPT_MS = 2_500.0


class PartReturner:
    """Give back what is idle, what can't be used and what a lender needs itself."""

    def __init__(self, *, context, ledger, needs, asking):
        self._context = context
        self._ledger = ledger
        self._needs = needs
        self._asking = asking

    def on_recall(self, account, request, now_ms):
        """Start nothing more by what a lender now asks back."""
        row = self._ledger.borrowed_from(request.account).get(request.borrower)
        if row is None:
            return
        account.recalls.pop(request.borrower, None)
        parts = request.most.elementwise_min(row.parts)
        if parts:
            account.recalls[request.borrower] = (parts, now_ms + RECALL_KEPT_MS)
            self._context.count("limit_parts", "recalled")
        self.apply_recalls(request.account, account, now_ms)

    def apply_recalls(self, name, account, now_ms):
        """Give back what lenders ask back, as far as nothing runs by it any more."""
        left = {}
        for lender, (parts, until_ms) in account.recalls.items():
            held = self._ledger.borrowed_from(name)[lender].parts
            idle = parts.elementwise_min(held).elementwise_min(self._needs.unused(name))
            if idle and until_ms > now_ms:
                self._give_back(name, lender, idle, "recalled")
            if parts.minus(idle) and until_ms > now_ms:
                left[lender] = (parts.minus(idle), until_ms)
        account.recalls = left
        recalled = {lender: parts for lender, (parts, _) in left.items()}
        self._ledger.set_recalled(name, recalled)

    def review(self, name, account, is_wanted, now_ms):
        """Give back what has been idle for a while, at once what another cell wants."""
        if self._is_stuck(name, account, now_ms):
            self._let_go(name, account, now_ms)
            return
        idle = self._needs.idle(name)
        if account.idle is None:
            account.idle, account.idle_since_ms = idle, now_ms
        account.idle = account.idle.elementwise_min(idle)
        if is_wanted or now_ms - account.idle_since_ms >= IDLE_MS:
            reason = "wanted" if is_wanted else "idle"
            self._give_back_any(name, account.idle, reason)
            account.idle = None

    def report_held(self, name, lender):
        """Tell a lender what is still counted on, by its latest grant."""
        row = self._ledger.borrowed_from(name)[lender]
        self._hold(name, lender, row.grant, row.parts)

    def report_epoch(self, name, lender):
        """Tell a lender that another owner than the one it lent to has the cell."""
        self._hold(name, lender, (0, 0), LimitParts())

    def _is_stuck(self, name, account, now_ms):
        """Tell whether a step has waited for too long for parts to begin with."""
        if not self._needs.required_to_start(name).minus(self._ledger.usable(name)):
            account.unmet_since_ms = None
            return False
        if account.unmet_since_ms is None:
            account.unmet_since_ms = now_ms
        return now_ms - account.unmet_since_ms > HOARD_MS

    def _let_go(self, name, account, now_ms):
        account.unmet_since_ms = account.idle = None
        unused = self._needs.unused(name).elementwise_min(self._ledger.borrowed(name))
        if not unused:
            return
        self._give_back_any(name, unused, "could_not_begin")
        self._asking.stop(name)
        pause_ms = PAUSE_MS + PAUSE_PER_CELL_MS * self._context.cell
        account.due_ms = account.backoff_until_ms = now_ms + pause_ms

    def _give_back_any(self, name, parts, reason):
        for lender, row in self._ledger.borrowed_from(name).items():
            share = parts.elementwise_min(row.parts)
            if share:
                self._give_back(name, lender, share, reason)
                parts = parts.minus(share)

    def _give_back(self, name, lender, parts, reason):
        """Count on less from now on, then say so."""
        self._ledger.return_parts(name, lender, parts)
        self.report_held(name, lender)
        self._context.count("limit_parts", f"returned_{reason}")
        self._context.note(
            "parts_returned",
            level="DEBUG",
            account=name,
            to_cell=lender,
            reason=reason,
            returned=parts.row,
            held=self._ledger.held(name).row,
            used=self._needs.used(name).row,
            wanted=self._needs.wanted(name).row,
            whole=self._ledger.whole,
        )

    def _hold(self, name, lender, grant, parts):
        lender_epoch, number = grant
        self._context.emit(
            ReportHeldParts(
                account=name,
                borrower=self._context.cell,
                borrower_epoch=self._context.epoch,
                lender=lender,
                lender_epoch=lender_epoch,
                number=number,
                parts=parts,
            )
        )
