"""Which account's jobs go first, by what its runs hold and held lately."""

from heapq import heapify, heappop, heapreplace
from math import exp

from attrs import define

from ..state import AccountUsage

__all__ = ["DominantShares"]

# What an account held counts for as long as a handful of short tasks run: it makes up
# for unlike lengths of tasks, and what was lent is forgotten soon after.
USAGE_DECAY_MS = 2_000.0
# An account that has wanted room and held none for so long goes first: half of what
# callers would take for a standstill.
STARVATION_MS = 1_500.0
# The room changes with workers that come and go, which is seldom beside plans.
ROOM_MS = 500.0


@define(kw_only=True, eq=False)
class _Account:
    """Follow one account; `used` is the mean of what it held, as a part of the room."""

    usage: AccountUsage
    weight: float
    used: float
    at_ms: float
    wants_since_ms: float | None = None

    @property
    def holds_any(self):
        """Tell whether any of its runs may exist."""
        return self.usage.cpu_milli > 0 or self.usage.memory_mb > 0


class DominantShares:
    """Rank accounts by the room that they use over their weight.

    What an account uses is the larger of its parts of the processors and of the memory
    of all workers (dominant share), averaged over the last seconds. Only accounts with
    a weight and with live jobs are followed, so an account that wants nothing costs
    nothing, saves nothing up and owes nothing once it is forgotten.
    """

    def __init__(self, *, context):
        self._context = context
        self._accounts = {}
        self._cpu_milli = 0
        self._memory_mb = 0
        self._room_due_ms = float("-inf")

    @property
    def tracks_any(self):
        """Tell whether any account has a weight and live jobs."""
        return bool(self._accounts)

    def _learn_room(self):
        """Note the room of all workers that are listed."""
        workers = self._context.workers.values()
        entries = [worker.entry for worker in workers if worker.is_listed]
        self._cpu_milli = sum(max(0, entry.cpu_milli) for entry in entries)
        self._memory_mb = sum(max(0, entry.memory_mb) for entry in entries)

    def review(self, jobs, now_ms):
        """Bring what the accounts of live jobs used up to date."""
        seen = {}
        for job in jobs:
            name = job.account_name
            if name and name not in seen:
                seen[name] = self._review(name, job.usage, now_ms)
        self._accounts = {name: account for name, account in seen.items() if account}

    def _review(self, name, usage, now_ms):
        policy = self._context.configuration.account(name)
        if policy is None or not policy.weight:
            return None
        if now_ms >= self._room_due_ms or not self._cpu_milli:
            self._room_due_ms = now_ms + ROOM_MS
            self._learn_room()
        held = self._part(usage.cpu_milli, usage.memory_mb)
        account = self._accounts.get(name)
        if account is None:
            return _Account(usage=usage, weight=policy.weight, used=held, at_ms=now_ms)
        kept = exp(-(now_ms - account.at_ms) / USAGE_DECAY_MS)
        account.used = held + (account.used - held) * kept
        account.weight, account.at_ms = policy.weight, now_ms
        return account

    def _part(self, cpu_milli, memory_mb):
        """Return the larger of the parts of the room."""
        wants = ((cpu_milli, self._cpu_milli), (memory_mb, self._memory_mb))
        return max((held / room for held, room in wants if room), default=0.0)

    def tracks(self, account_name):
        """Tell whether an account has a weight and live jobs."""
        return account_name in self._accounts

    def used(self, account_name):
        """Return what an account used lately, as a part of the room; 0 if unknown."""
        account = self._accounts.get(account_name)
        return account.used if account is not None else 0.0

    # Standing still ----------------------------------------------------------

    def record_waiting(self, account_names, now_ms):
        """Note which accounts have tasks to start now."""
        for name, account in self._accounts.items():
            if name not in account_names or account.holds_any:
                account.wants_since_ms = None
            elif account.wants_since_ms is None:
                account.wants_since_ms = now_ms

    def is_starved(self, account_name, now_ms):
        """Tell whether an account has wanted room for long and held none."""
        account = self._accounts.get(account_name)
        if account is None or account.wants_since_ms is None:
            return False
        return now_ms - account.wants_since_ms >= STARVATION_MS

    # Order -------------------------------------------------------------------

    def fair_order(self, steps):
        """Return the steps by turns: next is always the account that uses the least.

        What a step would hold counts for its account from its turn on. The steps of an
        account keep their order. The cost is that of a heap of the accounts.
        """
        by_account = {}
        for step in steps:
            by_account.setdefault(step.job.account_name, []).append(step)
        heap = [
            (self._over_weight(name, self.used(name)), number, self.used(name), name)
            for number, name in enumerate(by_account)
        ]
        heapify(heap)
        waiting = {name: iter(rows) for name, rows in by_account.items()}
        turns = []
        while heap:
            _, number, used, name = heap[0]
            step = next(waiting[name], None)
            if step is None:
                heappop(heap)
                continue
            turns.append(step)
            used += self._wanted(step)
            heapreplace(heap, (self._over_weight(name, used), number, used, name))
        return turns

    def _over_weight(self, name, used):
        account = self._accounts.get(name)
        return used / account.weight if account is not None else 0.0

    def _wanted(self, step):
        """Return the part of the room that a step's waiting tasks would hold."""
        count = len(step.waiting)
        spec = step.spec
        return self._part(count * spec.reserved_cpu_milli, count * spec.memory_mb)
