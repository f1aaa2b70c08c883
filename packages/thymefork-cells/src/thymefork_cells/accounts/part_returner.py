"""Return borrowed limit parts to their lenders."""

from ..effects import ReportHeldParts
from ..specs import LimitParts

__all__ = ["PartReturner"]

# Longer than the gap between consecutive short tasks.
IDLE_RETURN_MS = 300.0
# Unused parts are released after this time without enough to start a step, so that two
# cells that each hold half of what they need don't deadlock.
MAX_UNMET_MS = 400.0
# Backoff before the next request; it differs by cell so that the cells don't collide.
BACKOFF_MS = 120.0
BACKOFF_PER_CELL_MS = 40.0
# A lender that still needs its parts renews its request before this expires.
RECALL_TTL_MS = 2_500.0


class PartReturner:
    """Return parts that are idle, unusable or recalled by their lender."""

    def __init__(self, *, context, ledger, needs, requester):
        self._context = context
        self._ledger = ledger
        self._needs = needs
        self._requester = requester

    def on_recall(self, account, request, now_ms):
        """Stop starting work on parts that a lender recalls."""
        row = self._ledger.borrowed_from(request.account).get(request.borrower)
        if row is None:
            return
        account.recalls.pop(request.borrower, None)
        parts = request.most.elementwise_min(row.parts)
        if parts:
            account.recalls[request.borrower] = (parts, now_ms + RECALL_TTL_MS)
            self._context.count("limit_parts", "recalled")
        self.apply_recalls(request.account, account, now_ms)

    def apply_recalls(self, name, account, now_ms):
        """Return recalled parts that no run uses any more."""
        left = {}
        for lender, (parts, until_ms) in account.recalls.items():
            held = self._ledger.borrowed_from(name)[lender].parts
            idle = parts.elementwise_min(held).elementwise_min(self._needs.unused(name))
            if idle and until_ms > now_ms:
                self._return(name, lender, idle, "recalled")
            if parts.minus(idle) and until_ms > now_ms:
                left[lender] = (parts.minus(idle), until_ms)
        account.recalls = left
        recalled = {lender: parts for lender, (parts, _) in left.items()}
        self._ledger.set_recalled(name, recalled)

    def review(self, name, account, is_wanted, now_ms):
        """Return idle parts: at once if another cell wants them, else after a delay."""
        if self._is_stuck(name, account, now_ms):
            self._release_unused(name, account, now_ms)
            return
        idle = self._needs.idle(name)
        if account.idle is None:
            account.idle, account.idle_since_ms = idle, now_ms
        account.idle = account.idle.elementwise_min(idle)
        if is_wanted or now_ms - account.idle_since_ms >= IDLE_RETURN_MS:
            reason = "wanted" if is_wanted else "idle"
            self._return_from_any(name, account.idle, reason)
            account.idle = None

    def report_held(self, name, lender):
        """Report the parts held under a lender's latest grant."""
        row = self._ledger.borrowed_from(name)[lender]
        self._send_held(name, lender, row.grant, row.parts)

    def report_epoch(self, name, lender):
        """Report this owner's epoch to a lender that granted to an earlier one."""
        self._send_held(name, lender, (0, 0), LimitParts())

    def _is_stuck(self, name, account, now_ms):
        """Return whether a step has waited too long for the parts to start."""
        if not self._needs.required_to_start(name).minus(self._ledger.usable(name)):
            account.unmet_since_ms = None
            return False
        if account.unmet_since_ms is None:
            account.unmet_since_ms = now_ms
        return now_ms - account.unmet_since_ms > MAX_UNMET_MS

    def _release_unused(self, name, account, now_ms):
        account.unmet_since_ms = account.idle = None
        unused = self._needs.unused(name).elementwise_min(self._ledger.borrowed(name))
        if not unused:
            return
        self._return_from_any(name, unused, "could_not_begin")
        self._requester.stop(name)
        backoff_ms = BACKOFF_MS + BACKOFF_PER_CELL_MS * self._context.cell
        account.due_ms = account.backoff_until_ms = now_ms + backoff_ms

    def _return_from_any(self, name, parts, reason):
        for lender, row in self._ledger.borrowed_from(name).items():
            share = parts.elementwise_min(row.parts)
            if share:
                self._return(name, lender, share, reason)
                parts = parts.minus(share)

    def _return(self, name, lender, parts, reason):
        """Return parts to a lender, and report what is still held."""
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

    def _send_held(self, name, lender, grant, parts):
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
