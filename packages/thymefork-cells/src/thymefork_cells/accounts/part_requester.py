"""When a cell asks others for parts of a limit, and for how many."""

from ..effects import RequestParts
from ..specs import PARTS_PER_CELL, LimitParts

__all__ = ["PartRequester"]

# A round of asks and grants takes two ways and an append, some 30 ms.
ASK_AGAIN_MS = 60.0
# With nothing lent, asks are renewed at half the time for which a lender keeps one:
# it lends by itself when it can.
LONGEST_ASK_AGAIN_MS = 2_000.0
# An ask for more than the latest one follows it this soon at the earliest.
ASK_FOR_MORE_MS = 200.0
# Who has nothing free may have something in the next moment.
LEAST_WEIGHT = PARTS_PER_CELL // 20
NONE = LimitParts()
OWN = LimitParts.all_of(PARTS_PER_CELL)


class PartRequester:
    """Ask for parts by need.

    The first asks are for a share of what is missing, by what each lender had free;
    while a step can't begin, the next ones are for all that it needs from each.
    """

    def __init__(self, *, context, ledger, quotas, needs):
        self._context = context
        self._ledger = ledger
        self._quotas = quotas
        self._needs = needs
        self._plan_number = 0
        self._asking = set()
        self._may_lack = set()
        self._configuration = None

    def request(self, accounts, now_ms):
        """Ask for what work lacks whose turn has come; renew asks that still hold."""
        changed_accounts = self._ledger.changed_accounts
        is_new_plan = self._quotas.plan_number != self._plan_number
        self._plan_number = self._quotas.plan_number
        for name in self._quotas.demands:
            is_asking = name in self._asking
            if is_asking or not self._needs.is_satisfied(name):
                account = accounts[name]
                is_due = is_asking and now_ms >= account.due_ms
                if is_new_plan or is_due or name in changed_accounts:
                    self._ask_for(name, account, now_ms)
        changed_accounts.clear()
        for name in self._asking - self._quotas.demands.keys():
            if not accounts[name].is_covering:
                self.stop(name)

    def due_ms(self, accounts, now_ms):
        """Return when the next ask is due."""
        due = (accounts[name].due_ms for name in self._asking)
        return min((due_ms for due_ms in due if due_ms > now_ms), default=float("inf"))

    def cover_runs(self, accounts, now_ms):
        """Ask for parts by which something runs that this owner doesn't hold.

        So it is after a limit was lowered, and after a takeover until the lenders have
        told what the owner before had borrowed: the first round asks only for that.
        """
        if self._context.configuration is not self._configuration:
            self._configuration = self._context.configuration
            self._may_lack = set(self._context.usages)
        for name in list(self._may_lack):
            is_known = self._needs.has_known_limit(name)
            if not is_known or not self._cover(name, accounts[name], now_ms):
                self._may_lack.discard(name)

    def _cover(self, name, account, now_ms):
        """Ask for what runs without parts; tell whether there is any."""
        lacking = self._needs.used(name).minus(self._ledger.held(name))
        if not lacking:
            account.is_covering = False
            return False
        if not account.is_covering:
            account.is_covering = True
            account.due_ms = now_ms
            lacking = NONE
        if now_ms >= account.due_ms:
            self._ask_round(name, account, lacking, lacking, 0, now_ms)
        return True

    def stop(self, name):
        """Take the asks back that lenders keep in mind."""
        if name not in self._asking:
            return
        self._asking.discard(name)
        for cell in self._others:
            self._send(name, cell, NONE, NONE, 0)

    def _ask_for(self, name, account, now_ms):
        usable = self._ledger.usable(name)
        least = self._needs.required_to_start(name).minus(usable)
        wanted = self._needs.wanted(name).elementwise_min(self._needs.whole)
        most = wanted.minus(usable).elementwise_max(least)
        if least.minus(account.requested):
            soon_ms = max(now_ms, account.requested_ms + ASK_FOR_MORE_MS)
            account.due_ms = min(account.due_ms, max(soon_ms, account.backoff_until_ms))
        if not most:
            self.stop(name)
        elif now_ms >= account.due_ms and not account.is_covering:
            since_ms = min(self._quotas.demands[name].since_ms, now_ms)
            since_epoch_ms = round(self._context.epoch_ms() - (now_ms - since_ms))
            self._ask_round(name, account, least, most, since_epoch_ms, now_ms)

    def _ask_round(self, name, account, least, most, since_epoch_ms, now_ms):
        if name not in self._asking:
            self._asking.add(name)
            account.rounds = 0
        if now_ms - account.requested_ms > LONGEST_ASK_AGAIN_MS:
            account.retry_interval_ms = ASK_AGAIN_MS
        account.requested, account.requested_ms = least, now_ms
        account.due_ms = now_ms + account.retry_interval_ms
        account.retry_interval_ms = min(
            LONGEST_ASK_AGAIN_MS, 2 * account.retry_interval_ms
        )
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
        asks_for_all = account.rounds > 1 and since_epoch_ms
        for cell, weight in weights.items():
            asked_least = least if asks_for_all else least.share(weight, total)
            asked_most = most.share(weight, total).elementwise_max(asked_least)
            if cell in loans:
                asked_most = asked_most.elementwise_max(
                    loans[cell].parts.elementwise_min(most)
                )
            self._send(name, cell, asked_least, asked_most, since_epoch_ms)

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
    """Return how much a lender is asked for, beside others."""
    free = account.free.get(cell)
    return PARTS_PER_CELL if free is None else max(LEAST_WEIGHT, *free.row)
