"""What a cell lends of its parts of the accounts' limits, and to whom."""

from operator import attrgetter

from attrs import evolve

from ..effects import GrantParts
from ..specs import PARTS_PER_CELL, LimitParts

__all__ = ["PartLender"]

# An ask is renewed every two seconds at the latest while it holds; one that is older
# than twice that is of an owner that is cut off or gone.
ASK_KEPT_MS = 4_500.0
# A loan is told again this often: a grant, an answer or an owner there may be lost.
REMIND_MS = 2_000.0
# This is kept for what comes next here, unless it lets a step begin elsewhere that
# could not: a tenth of its own lets the widest cells start a task at once.
KEPT = LimitParts.all_of(PARTS_PER_CELL // 10)
NONE = LimitParts()
OWN = LimitParts.all_of(PARTS_PER_CELL)


class PartLender:
    """Lend the cell's own parts that its work doesn't want.

    An ask is kept for a while and served as parts become idle. What lets a step begin
    goes before what lets more of it run; of the latter, askers get equal shares. Steps
    that fit their cell's own share begin first, then the longest waiter. Work here that
    can't begin for want of parts gives way to a step before it in this order. What runs
    in another cell without parts, as after a limit was lowered, goes before all.
    """

    def __init__(self, *, context, ledger, quotas, needs):
        self._context = context
        self._ledger = ledger
        self._quotas = quotas
        self._needs = needs
        self._asks = {}  # by account, then by borrower, with when to forget it
        self._epochs = {}  # the latest owner heard of each cell
        self._remind_due_ms = context.taken_over_ms

    def on_request(self, request, now_ms):
        """Lend what can be lent now, and keep what is missing in mind."""
        if not self._is_latest(request):
            return
        waiting = self._asks.setdefault(request.account, {})
        waiting.pop(request.borrower, None)
        if request.least or request.most:
            waiting[request.borrower] = (request, now_ms + ASK_KEPT_MS)
        if self._readdress(request, now_ms):
            waiting.pop(request.borrower, None)  # it asks anew by what it then holds
        lent_to = self.serve(request.account, now_ms)
        if request.borrower in waiting and request.borrower not in lent_to:
            self._refuse(request, now_ms)

    def on_hold(self, hold, now_ms):
        """Take back what a borrower counts on no more."""
        if not self._is_latest(hold) or self._readdress(hold, now_ms):
            return
        loan = self._ledger.loans(hold.account).get(hold.borrower)
        grant = (hold.lender_epoch, hold.number)
        if loan is None or loan.grant != grant:
            self._context.count("limit_parts", "late_hold")
            return
        returned = self._ledger.reduce_loan(hold.account, hold.borrower, hold.parts)
        if returned:
            self._context.count("limit_parts", "came_back")
            self.serve(hold.account, now_ms)

    def run_cycle(self, now_ms):
        """Serve the asks that wait; tell what is lent once more when it is due."""
        for name in list(self._asks):
            self.serve(name, now_ms)
        if now_ms >= self._remind_due_ms:
            self._remind_due_ms = now_ms + REMIND_MS
            for name in self._ledger.lent_accounts:
                self.resend_grants(name, now_ms)

    def has_requests(self, name):
        """Tell whether another cell waits for parts of an account."""
        return bool(self._asks.get(name))

    def resend_grants(self, name, now_ms):
        """Tell each borrower of an account what is lent to it."""
        for borrower, loan in self._ledger.loans(name).items():
            self._tell(name, borrower, loan, now_ms)

    def _is_latest(self, message):
        """Tell whether a message is of the latest owner that was heard."""
        loan = self._ledger.loans(message.account).get(message.borrower)
        latest = self._epochs.get(message.borrower, -1)
        if loan is not None:
            latest = max(latest, loan.borrower_epoch)
        if message.borrower_epoch < latest:
            self._context.count("limit_parts", "earlier_owner")
            return False
        self._epochs[message.borrower] = message.borrower_epoch
        return True

    def _readdress(self, message, now_ms):
        """Tell a cell's new owner what the one before had borrowed."""
        loan = self._ledger.loans(message.account).get(message.borrower)
        if loan is None or loan.borrower_epoch >= message.borrower_epoch:
            return False
        self._lend(message.account, message.borrower, NONE, now_ms)
        return True

    # Serving -------------------------------------------------------------------

    def serve(self, name, now_ms):
        """Lend what is idle to those that wait for it; return to whom."""
        asks = self._live_asks(name, now_ms)
        gifts = self._gifts(name, asks, now_ms)
        for borrower, gift in gifts.items():
            request, until_ms = self._asks[name][borrower]
            self._lend(name, borrower, gift, now_ms)
            left = evolve(
                request, least=request.least.minus(gift), most=request.most.minus(gift)
            )
            self._asks[name][borrower] = (left, until_ms)
            if not left.least and not left.most:
                del self._asks[name][borrower]
        self._promise(name)
        return gifts.keys()

    def _promise(self, name):
        """Start nothing by what is to cover runs of other cells as runs end here."""
        promised = NONE
        for request, _ in self._asks.get(name, {}).values():
            if request.covers_runs:
                promised += request.least
        self._ledger.set_reserved(name, promised)

    def _live_asks(self, name, now_ms):
        """Return the asks that still wait, the longest waiter's first."""
        waiting = self._asks.get(name, {})
        for borrower, (_, until_ms) in list(waiting.items()):
            if until_ms <= now_ms:
                del waiting[borrower]
        if not waiting:
            self._asks.pop(name, None)
        return sorted(
            (request for request, _ in waiting.values()), key=attrgetter("order")
        )

    def _gifts(self, name, asks, now_ms):
        """Return what is lent now, by borrower."""
        gifts = {}
        given = NONE
        for request in asks:
            gift = request.least.elementwise_min(
                self._idle(name, now_ms, request).minus(given)
            )
            gifts[request.borrower] = gift
            given += gift
        if asks:
            spare = self._idle(name, now_ms).minus(KEPT).minus(given).split(len(asks))
            for request in asks:
                gift = gifts[request.borrower]
                gifts[request.borrower] = gift + request.most.minus(
                    gift
                ).elementwise_min(spare)
        return {borrower: gift for borrower, gift in gifts.items() if gift}

    def _idle(self, name, now_ms, request=None):
        """Return what is lent to an ask rather than used here.

        What is borrowed goes back to its lenders and isn't lent once more.
        """
        if not self._needs.has_known_limit(name):
            return NONE
        gives_way = request is not None and self._goes_first(request, now_ms)
        wanted = self._needs.used(name) if gives_way else self._needs.wanted(name)
        return self._ledger.unlent(name).minus(wanted)

    def _goes_first(self, request, now_ms):
        """Tell whether what waits here gives way to an ask's step."""
        name = request.account
        first = self._needs.required_to_start(name)
        if request.covers_runs:
            return True
        if not first.minus(self._ledger.usable(name)):
            return False  # it begins in the next plan
        demand = self._quotas.demands[name]
        age_ms = now_ms - demand.since_ms
        since_epoch_ms = round(self._context.epoch_ms() - age_ms)
        is_within = not first.minus(OWN)
        return request.order < (not is_within, since_epoch_ms, self._context.cell)

    def _lend(self, name, borrower, more, now_ms):
        loan = self._ledger.lend(
            name, borrower, more, borrower_epoch=self._epochs[borrower]
        )
        self._tell(name, borrower, loan, now_ms)
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

    def _tell(self, name, borrower, loan, now_ms):
        """Tell what is lent, once that is stored."""
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
        """Tell at once that nothing is lent now."""
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
