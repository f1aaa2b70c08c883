"""Request limit parts from other cells."""

from ..effects import RequestParts
from ..specs import PARTS_PER_CELL, LimitParts

__all__ = ["PartRequester"]

# Longer than a round of requests and grants: one round trip and one append, some 30 ms.
INITIAL_RETRY_MS = 60.0
# Less than half of the time for which a lender keeps a request.
MAX_RETRY_MS = 2_000.0
# Minimum time between two requests of which the second asks for more.
MIN_INCREASE_INTERVAL_MS = 200.0
# A lender without free parts still gets a small share of each request.
MIN_WEIGHT = PARTS_PER_CELL // 20
NONE = LimitParts()
OWN = LimitParts.all_of(PARTS_PER_CELL)


class PartRequester:
    """Request the parts that a cell's work needs from the other cells.

    The first round divides the missing parts among the lenders by their free parts.
    While a step still can't start, later rounds request all of them from each lender.
    """

    def __init__(self, *, context, ledger, quotas, needs):
        self._context = context
        self._ledger = ledger
        self._quotas = quotas
        self._needs = needs
        self._plan_number = 0
        self._requested_accounts = set()
        self._maybe_uncovered = set()
        self._configuration = None

    def request(self, accounts, now_ms):
        """Request parts that ready steps lack, and renew unmet requests."""
        changed_accounts = self._ledger.changed_accounts
        is_new_plan = self._quotas.plan_number != self._plan_number
        self._plan_number = self._quotas.plan_number
        for name in self._quotas.demands:
            is_requested = name in self._requested_accounts
            if is_requested or not self._needs.is_satisfied(name):
                account = accounts[name]
                is_due = is_requested and now_ms >= account.due_ms
                if is_new_plan or is_due or name in changed_accounts:
                    self._request_for(name, account, now_ms)
        changed_accounts.clear()
        for name in self._requested_accounts - self._quotas.demands.keys():
            if not accounts[name].is_covering:
                self.stop(name)

    def due_ms(self, accounts, now_ms):
        """Return when the next request is due."""
        due = (accounts[name].due_ms for name in self._requested_accounts)
        return min((due_ms for due_ms in due if due_ms > now_ms), default=float("inf"))

    def cover_runs(self, accounts, now_ms):
        """Request parts for runs that exceed the parts held.

        This happens after a limit was lowered, and after a takeover until the lenders
        have reported the previous owner's loans: the first round requests just those.
        """
        if self._context.configuration is not self._configuration:
            self._configuration = self._context.configuration
            self._maybe_uncovered = set(self._context.usages)
        for name in list(self._maybe_uncovered):
            is_known = self._needs.has_known_limit(name)
            if not is_known or not self._cover_account(name, accounts[name], now_ms):
                self._maybe_uncovered.discard(name)

    def _cover_account(self, name, account, now_ms):
        """Request parts for uncovered runs; return whether there are any."""
        lacking = self._needs.used(name).minus(self._ledger.held(name))
        if not lacking:
            account.is_covering = False
            return False
        if not account.is_covering:
            account.is_covering = True
            account.due_ms = now_ms
            lacking = NONE
        if now_ms >= account.due_ms:
            self._send_round(name, account, lacking, lacking, 0, now_ms)
        return True

    def stop(self, name):
        """Cancel the requests that lenders keep."""
        if name not in self._requested_accounts:
            return
        self._requested_accounts.discard(name)
        for cell in self._others:
            self._send(name, cell, NONE, NONE, 0)

    def _request_for(self, name, account, now_ms):
        usable = self._ledger.usable(name)
        least = self._needs.required_to_start(name).minus(usable)
        wanted = self._needs.wanted(name).elementwise_min(self._needs.whole)
        most = wanted.minus(usable).elementwise_max(least)
        if least.minus(account.requested):
            soon_ms = max(now_ms, account.requested_ms + MIN_INCREASE_INTERVAL_MS)
            account.due_ms = min(account.due_ms, max(soon_ms, account.backoff_until_ms))
        if not most:
            self.stop(name)
        elif now_ms >= account.due_ms and not account.is_covering:
            since_ms = min(self._quotas.demands[name].since_ms, now_ms)
            since_epoch_ms = round(self._context.epoch_ms() - (now_ms - since_ms))
            self._send_round(name, account, least, most, since_epoch_ms, now_ms)

    def _send_round(self, name, account, least, most, since_epoch_ms, now_ms):
        if name not in self._requested_accounts:
            self._requested_accounts.add(name)
            account.rounds = 0
        if now_ms - account.requested_ms > MAX_RETRY_MS:
            account.retry_interval_ms = INITIAL_RETRY_MS
        account.requested, account.requested_ms = least, now_ms
        account.due_ms = now_ms + account.retry_interval_ms
        account.retry_interval_ms = min(MAX_RETRY_MS, 2 * account.retry_interval_ms)
        account.rounds += 1
        self._send_all(name, account, least, most, since_epoch_ms)
        reason = "asked" if since_epoch_ms else "asked_for_runs"
        self._context.count("limit_parts", reason)
        self._context.note(
            "parts_asked",
            level="DEBUG",
            account=name,
            least=least.row,
            most=most.row,
            usable=self._ledger.usable(name).row,
            borrowed=self._ledger.borrowed(name).row,
            whole=self._ledger.whole,
            round=account.rounds,
            since_epoch_ms=since_epoch_ms,
        )

    def _send_all(self, name, account, least, most, since_epoch_ms):
        weights = {cell: _weight(account, cell) for cell in self._others}
        total = sum(weights.values())
        loans = self._ledger.loans(name)
        requests_all = account.rounds > 1 and since_epoch_ms
        for cell, weight in weights.items():
            lender_least = least if requests_all else least.share(weight, total)
            lender_most = most.share(weight, total).elementwise_max(lender_least)
            if cell in loans:
                lender_most = lender_most.elementwise_max(
                    loans[cell].parts.elementwise_min(most)
                )
            self._send(name, cell, lender_least, lender_most, since_epoch_ms)

    def _send(self, name, lender, least, most, since_epoch_ms):
        first = self._needs.required_to_start(name)
        self._context.emit(
            RequestParts(
                account=name,
                borrower=self._context.cell,
                borrower_epoch=self._context.epoch,
                lender=lender,
                least=least,
                most=most,
                since_epoch_ms=since_epoch_ms,
                is_within=not since_epoch_ms or not first.minus(OWN),
            )
        )

    @property
    def _others(self):
        cells = range(self._context.cell_count)
        return [cell for cell in cells if cell != self._context.cell]


def _weight(account, cell):
    """Return the weight of a lender in dividing a request."""
    free = account.free.get(cell)
    return PARTS_PER_CELL if free is None else max(MIN_WEIGHT, *free.row)
