"""Lend limit parts to other cells."""

from operator import attrgetter

from attrs import evolve

from ..effects import GrantParts
from ..specs import PARTS_PER_CELL, LimitParts

__all__ = ["PartLender"]

# More than twice the longest renewal interval of a request: its sender is unreachable.
REQUEST_TTL_MS = 4_500.0
# Grants are resent at this interval, in case a message was lost or the owner changed.
RESEND_INTERVAL_MS = 2_000.0
# Kept for new work in this cell, unless a blocked step of another cell needs it.
RETAINED = LimitParts.all_of(PARTS_PER_CELL // 10)
NONE = LimitParts()
OWN = LimitParts.all_of(PARTS_PER_CELL)


class PartLender:
    """Lend the cell's own parts that its work doesn't need.

    Requests are kept for a while and served as parts become idle. Uncovered runs of
    another cell, as after a limit was lowered, are served first. Parts that let a step
    start go before parts for more of its tasks, which are divided evenly. Blocked
    steps, local ones included, are ordered by whether they fit their cell's own parts,
    then by their waiting time.
    """

    def __init__(self, *, context, ledger, quotas, needs):
        self._context = context
        self._ledger = ledger
        self._quotas = quotas
        self._needs = needs
        self._requests = {}  # by account, then borrower: the request and its expiry
        self._epochs = {}  # latest owner epoch seen, by cell
        self._resend_due_ms = context.taken_over_ms

    def on_request(self, request, now_ms):
        """Lend what is available now, and keep the rest of the request."""
        if not self._is_latest(request):
            return
        waiting = self._requests.setdefault(request.account, {})
        waiting.pop(request.borrower, None)
        if request.least or request.most:
            waiting[request.borrower] = (request, now_ms + REQUEST_TTL_MS)
        if self._regrant(request, now_ms):
            waiting.pop(request.borrower, None)  # it sends a new request
        lent_to = self.serve(request.account, now_ms)
        if request.borrower in waiting and request.borrower not in lent_to:
            self._refuse(request, now_ms)

    def on_held_report(self, report, now_ms):
        """Reduce a loan to what the borrower still holds."""
        if not self._is_latest(report) or self._regrant(report, now_ms):
            return
        loan = self._ledger.loans(report.account).get(report.borrower)
        grant = (report.lender_epoch, report.number)
        if loan is None or loan.grant != grant:
            self._context.count("limit_parts", "late_hold")
            return
        returned = self._ledger.reduce_loan(
            report.account, report.borrower, report.parts
        )
        if returned:
            self._context.count("limit_parts", "came_back")
            self.serve(report.account, now_ms)

    def run_cycle(self, now_ms):
        """Serve pending requests, and resend grants when due."""
        for name in list(self._requests):
            self.serve(name, now_ms)
        if now_ms >= self._resend_due_ms:
            self._resend_due_ms = now_ms + RESEND_INTERVAL_MS
            for name in self._ledger.lent_accounts:
                self.resend_grants(name, now_ms)

    def has_requests(self, name):
        """Return whether another cell waits for parts of an account."""
        return bool(self._requests.get(name))

    def resend_grants(self, name, now_ms):
        """Resend the grants of an account to its borrowers."""
        for borrower, loan in self._ledger.loans(name).items():
            self._send_grant(name, borrower, loan, now_ms)

    def _is_latest(self, message):
        """Return whether a message is from the latest known owner of its cell."""
        loan = self._ledger.loans(message.account).get(message.borrower)
        latest = self._epochs.get(message.borrower, -1)
        if loan is not None:
            latest = max(latest, loan.borrower_epoch)
        if message.borrower_epoch < latest:
            self._context.count("limit_parts", "earlier_owner")
            return False
        self._epochs[message.borrower] = message.borrower_epoch
        return True

    def _regrant(self, message, now_ms):
        """Grant a previous owner's loan to the cell's new owner, if there is one."""
        loan = self._ledger.loans(message.account).get(message.borrower)
        if loan is None or loan.borrower_epoch >= message.borrower_epoch:
            return False
        self._lend(message.account, message.borrower, NONE, now_ms)
        return True

    # Serving -------------------------------------------------------------------

    def serve(self, name, now_ms):
        """Lend idle parts to pending requests; return the borrowers served."""
        requests = self._live_requests(name, now_ms)
        allocations = self._allocations(name, requests, now_ms)
        for borrower, amount in allocations.items():
            request, until_ms = self._requests[name][borrower]
            self._lend(name, borrower, amount, now_ms)
            left = evolve(
                request,
                least=request.least.minus(amount),
                most=request.most.minus(amount),
            )
            self._requests[name][borrower] = (left, until_ms)
            if not left.least and not left.most:
                del self._requests[name][borrower]
        self._reserve_for_runs(name)
        return allocations.keys()

    def _reserve_for_runs(self, name):
        """Reserve own parts for uncovered runs of other cells."""
        reserved = NONE
        for request, _ in self._requests.get(name, {}).values():
            if request.covers_runs:
                reserved += request.least
        self._ledger.set_reserved(name, reserved)

    def _live_requests(self, name, now_ms):
        """Return the unexpired requests, in serving order."""
        waiting = self._requests.get(name, {})
        for borrower, (_, until_ms) in list(waiting.items()):
            if until_ms <= now_ms:
                del waiting[borrower]
        if not waiting:
            self._requests.pop(name, None)
        return sorted(
            (request for request, _ in waiting.values()), key=attrgetter("order")
        )

    def _allocations(self, name, requests, now_ms):
        """Return the parts to lend now, by borrower."""
        allocations = {}
        given = NONE
        for request in requests:
            amount = request.least.elementwise_min(
                self._idle(name, now_ms, request).minus(given)
            )
            allocations[request.borrower] = amount
            given += amount
        if requests:
            spare = (
                self._idle(name, now_ms)
                .minus(RETAINED)
                .minus(given)
                .split(len(requests))
            )
            for request in requests:
                amount = allocations[request.borrower]
                allocations[request.borrower] = amount + request.most.minus(
                    amount
                ).elementwise_min(spare)
        return {borrower: amount for borrower, amount in allocations.items() if amount}

    def _idle(self, name, now_ms, request=None):
        """Return own parts that may be lent to a request.

        Borrowed parts go back to their lenders and are not lent on.
        """
        if not self._needs.has_known_limit(name):
            return NONE
        yields = request is not None and self._goes_first(request, now_ms)
        wanted = self._needs.used(name) if yields else self._needs.wanted(name)
        return self._ledger.unlent(name).minus(wanted)

    def _goes_first(self, request, now_ms):
        """Return whether a request goes before the steps that wait here."""
        name = request.account
        first = self._needs.required_to_start(name)
        if request.covers_runs:
            return True
        if not first.minus(self._ledger.usable(name)):
            return False  # the local step starts in the next plan
        demand = self._quotas.demands[name]
        age_ms = now_ms - demand.since_ms
        since_epoch_ms = round(self._context.epoch_ms() - age_ms)
        is_within = not first.minus(OWN)
        return request.order < (not is_within, since_epoch_ms, self._context.cell)

    def _lend(self, name, borrower, more, now_ms):
        loan = self._ledger.lend(
            name, borrower, more, borrower_epoch=self._epochs[borrower]
        )
        self._send_grant(name, borrower, loan, now_ms)
        if not more:
            return
        self._context.count("limit_parts", "lent")
        self._context.note(
            "parts_lent",
            account=name,
            to_cell=borrower,
            to_epoch=loan.borrower_epoch,
            more=more.row,
            lent=loan.parts.row,
            unlent=self._ledger.unlent(name).row,
            whole=self._ledger.whole,
            wanted_here=name in self._quotas.demands,
            number=loan.number,
        )

    def _send_grant(self, name, borrower, loan, now_ms):
        """Send a grant once its loan is stored."""
        grant = GrantParts(
            account=name,
            lender=self._context.cell,
            lender_epoch=loan.lender_epoch,
            borrower=borrower,
            borrower_epoch=loan.borrower_epoch,
            number=loan.number,
            parts=loan.parts,
            free=self._idle(name, now_ms),
        )
        self._context.journal.after(grant)

    def _refuse(self, request, now_ms):
        """Reply at once that nothing can be lent now."""
        name = request.account
        if not self._needs.has_known_limit(name):
            reason = "refused_unknown_account"
        elif not self._ledger.unlent(name):
            reason = "refused_all_lent"
        else:
            reason = "refused_in_use"
        self._context.count("limit_parts", reason)
        free = GrantParts(
            account=name,
            lender=self._context.cell,
            lender_epoch=self._context.epoch,
            borrower=request.borrower,
            borrower_epoch=request.borrower_epoch,
            number=0,
            parts=NONE,
            free=self._idle(name, now_ms),
        )
        self._context.emit(free)
